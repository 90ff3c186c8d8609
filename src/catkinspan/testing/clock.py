"""A clock that moves only when told to."""

from datetime import UTC, datetime, timedelta

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualClock:
    """Clock for tests in virtual time."""

    def __init__(self, start: float = 1000.0) -> None:
        self._start = start
        self._monotonic = start

    def monotonic(self) -> float:
        """Return the virtual seconds."""
        return self._monotonic

    def now(self) -> datetime:
        """Return the wall-clock time that matches the virtual seconds."""
        return EPOCH + timedelta(seconds=self._monotonic - self._start)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._monotonic += seconds
