# VENV may point at an existing environment; it is then reused when its packages
# match requirements.lock.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-$(shell cat requirements.lock pyproject.toml | cksum | cut -d' ' -f1)
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0

.PHONY: run test check format slopes clean

$(STAMP): requirements.lock pyproject.toml
	@test -f $@ || { \
	  $(PYTHON) -m venv $(VENV) && \
	  $(BIN)/pip install -q --disable-pip-version-check -r requirements.lock && \
	  $(BIN)/pip install -q --disable-pip-version-check --no-deps -e . ; }
	@touch $@

run: $(STAMP)
	$(BIN)/python -m catkinspan demo

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: check
	$(BIN)/pytest -n 6 --dist loadfile

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf .venv .pytest_cache .mypy_cache .ruff_cache
