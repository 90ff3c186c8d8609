"""A clock that advances only on request."""

from datetime import UTC, datetime, timedelta

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualClock:
    """Clock for tests that run in virtual time."""

    def __init__(self, start: float = 1000.0) -> None:
        self._start = start
        self._monotonic = start
        self._suspended = 0.0

    def monotonic(self) -> float:
        """Return the virtual monotonic time in seconds."""
        return self._monotonic

    def suspended(self) -> float:
        """Return the total seconds that the machine was suspended."""
        return self._suspended

    def now(self) -> datetime:
        """Return the wall-clock time that matches the virtual monotonic time."""
        return EPOCH + timedelta(seconds=self._monotonic - self._start)

    def suspend(self, seconds: float) -> None:
        """Add to the time that the machine was suspended."""
        self._suspended += seconds

    def advance(self, seconds: float) -> None:
        """Advance the monotonic clock."""
        self._monotonic += seconds
