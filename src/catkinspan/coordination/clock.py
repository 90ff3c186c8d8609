"""The clock as an interface."""

from datetime import datetime
from typing import Protocol


class Clock(Protocol):
    """Source of time for the tasks of a host."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def suspended(self) -> float:
        """Return the seconds that the machine stood still, which `monotonic` leaves
        out."""

    def now(self) -> datetime:
        """Return the current time with its time zone."""
