"""A clock that moves only when told to."""

from datetime import UTC, datetime, timedelta

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualClock:
    """Clock for tests in virtual time."""

    def __init__(self, start: float = 1000.0) -> None:
        self._start = start
        self._monotonic = start
        self._suspended = 0.0

    def monotonic(self) -> float:
        """Return the virtual seconds."""
        return self._monotonic

    def suspended(self) -> float:
        """Return the seconds that the machine stood still."""
        return self._suspended

    def now(self) -> datetime:
        """Return the wall-clock time that matches the virtual seconds."""
        return EPOCH + timedelta(seconds=self._monotonic - self._start)

    def suspend(self, seconds: float) -> None:
        """Let the machine stand still."""
        self._suspended += seconds

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._monotonic += seconds
