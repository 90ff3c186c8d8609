"""Count of the latest admissions, by which a receiver bounds the age of a total."""

from attrs import define

from catkinspan.coordination.rates.const import RECENT_USE_SECONDS


@define
class RecentUse:
    """Counts what was admitted within the last one to two `RECENT_USE_SECONDS`.

    Two counts suffice for that, whatever the number of requests.
    """

    _period: int = 0
    _current: int = 0
    """Admissions of the current period."""

    _previous: int = 0

    def record(self, count: int, now: float) -> None:
        """Count admissions."""
        self._advance(now)
        self._current += count

    def total(self, now: float) -> int:
        """Return the recent admissions."""
        self._advance(now)
        return self._current + self._previous

    def _advance(self, now: float) -> None:
        period = int(now / RECENT_USE_SECONDS)
        if period == self._period:
            return
        self._previous = self._current if period == self._period + 1 else 0
        self._period, self._current = period, 0
