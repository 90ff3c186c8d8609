"""Clock interface."""

from datetime import datetime
from typing import Protocol


class Clock(Protocol):
    """Time source for the tasks of a host."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""

    def suspended(self) -> float:
        """Return the total seconds that the machine was suspended, which `monotonic`
        does not count."""

    def now(self) -> datetime:
        """Return the current time as a timezone-aware datetime."""
