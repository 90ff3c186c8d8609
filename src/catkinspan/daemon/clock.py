"""The clock of the operating system."""

import time
from datetime import UTC, datetime


class SystemClock:
    """Clock of a running host, with the same monotonic time as the event loop.

    The wall clock may jump, so no decision depends on it; it only dates log lines and
    audit entries.
    """

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""
        return time.monotonic()

    def suspended(self) -> float:
        """Return the total seconds that the machine was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)
