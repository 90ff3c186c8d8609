"""Count of the latest events, by which a receiver bounds the age of a total."""

from attrs import define


@define
class RecentCount:
    """Counts the events within the last one to two periods.

    Two counts suffice for that, whatever the number of events.
    """

    period_seconds: float
    _period: int = 0
    _current: int = 0
    """Events of the current period."""

    _previous: int = 0

    def record(self, count: int, now: float) -> None:
        """Count events."""
        self._advance(now)
        self._current += count

    def total(self, now: float) -> int:
        """Return the recent events."""
        self._advance(now)
        return self._current + self._previous

    def _advance(self, now: float) -> None:
        period = int(now / self.period_seconds)
        if period == self._period:
            return
        self._previous = self._current if period == self._period + 1 else 0
        self._period, self._current = period, 0
