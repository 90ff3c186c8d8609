"""The clock of the operating system."""

import time
from datetime import UTC, datetime


class SystemClock:
    """Clock for running hosts; its monotonic time is that of the event loop."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)
