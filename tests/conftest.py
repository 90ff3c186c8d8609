"""Configuration for all tests, and the handling of known failing tests."""

import re
from pathlib import Path

import pytest
from loguru import logger

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failing_tests() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line.lstrip("- ").strip() for line in lines if re.match(r"[- ]+tests/", line)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run all tests, and mark exactly the known failing ones as expected failures."""
    known_failing = known_failing_tests()
    for item in items:
        if item.nodeid in known_failing:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the outcome of each known failing test."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"KNOWN RED ({outcome}): {report.nodeid}")


@pytest.fixture(autouse=True)
def silence_logs() -> None:
    """Remove the log handlers, so that hosts do not log to the test output."""
    logger.remove()
    logger.configure(extra={"host": "-", "request_id": "-"})
