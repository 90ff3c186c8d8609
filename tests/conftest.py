"""Settings that all tests share, and the tests known to be red."""

import re
from pathlib import Path

import pytest
from loguru import logger

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt names."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.lstrip("- ").strip() for line in lines if re.match(r"[- ]+tests/", line)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the known red tests, but let the run pass over exactly these."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known red tests with what became of them."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"KNOWN RED ({outcome}): {report.nodeid}")


@pytest.fixture(autouse=True)
def quiet_logs() -> None:
    """Keep the hosts' logs out of the test output."""
    logger.remove()
    logger.configure(extra={"host": "-", "request_id": "-"})
