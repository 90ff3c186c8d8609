"""Budget of bytes that limits how often messages are sent."""

from attrs import define

BUDGET_BURST_SECONDS = 0.1
"""Time for which unused budget is kept."""


@define
class ByteBudget:
    """Token bucket in bytes, which a message may overdraw.

    The next message waits until the debt is paid, so that the interval follows from the
    size of the messages and the number of receivers.

    Example::

        budget = ByteBudget(bytes_per_second=1000.0)
        if budget.is_available(now):
            budget.charge(2000, now)  # The next message may go two seconds later.
    """

    bytes_per_second: float
    burst_seconds: float = BUDGET_BURST_SECONDS
    """Time for which unused budget is kept."""

    _level: float = 0.0
    _updated_at: float = float("-inf")

    def is_available(self, now: float) -> bool:
        """Return whether a message may be sent."""
        self._refill(now)
        return self._level >= 0.0

    def spendable(self, interval: float, now: float) -> float:
        """Return the bytes for a message that is sent at an interval, in seconds.

        These are all that are left, and at least those of an interval, but none after
        an overdraft.
        """
        if not self.is_available(now):
            return 0.0
        return max(self._level, self.bytes_per_second * interval)

    def charge(self, size: float, now: float) -> None:
        """Take the bytes of a message."""
        self._refill(now)
        self._level -= size

    def _refill(self, now: float) -> None:
        limit = self.bytes_per_second * self.burst_seconds
        earned = (now - self._updated_at) * self.bytes_per_second
        self._level = min(limit, self._level + earned)
        self._updated_at = now
