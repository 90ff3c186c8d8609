"""The clock of the operating system."""

import time
from datetime import UTC, datetime


class SystemClock:
    """Clock for running hosts; its monotonic time is that of the event loop.

    The time of day may jump and decides nothing; it only dates log lines and audit
    entries.
    """

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def suspended(self) -> float:
        """Return the seconds that the machine stood still."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)
