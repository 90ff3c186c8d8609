"""Conversion of a host's monotonic seconds to datetimes."""

from datetime import datetime, timedelta

from attrs import frozen


@frozen
class ClockReading:
    """The current time on a host's monotonic clock and on its wall clock."""

    now: float
    """Monotonic seconds."""

    at: datetime

    def to_datetime(self, seconds: float | None) -> datetime | None:
        """Return the datetime of monotonic seconds, to the millisecond."""
        if seconds is None:
            return None
        exact = self.at - timedelta(seconds=self.now - seconds)
        return exact.replace(microsecond=exact.microsecond // 1000 * 1000)

    def age(self, seconds: float | None) -> float | None:
        """Return the seconds that have passed since a time in monotonic seconds."""
        return None if seconds is None else round(max(0.0, self.now - seconds), 3)
