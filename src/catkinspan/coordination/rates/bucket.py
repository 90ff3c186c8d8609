"""A token bucket whose level may become negative."""

from attrs import define


@define
class TokenBucket:
    """Tokens that are refilled at a rate up to a capacity.

    Usage that is reported late takes the level below zero. No request is admitted until
    the debt is refilled, so the long-term rate is kept.
    """

    rate: float
    capacity: float
    level: float
    refilled_at: float

    @classmethod
    def full(cls, rate: float, capacity: float, now: float) -> "TokenBucket":
        """Return a full bucket."""
        return cls(rate, capacity, capacity, now)

    def set_limits(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; tokens above the new capacity are dropped."""
        self.refill(now)
        self.rate, self.capacity = rate, capacity
        self.level = min(self.level, capacity)

    def refill(self, now: float) -> float:
        """Add the tokens earned since the last refill and return the level."""
        earned = max(0.0, now - self.refilled_at) * self.rate
        self.level = min(self.capacity, self.level + earned)
        self.refilled_at = max(self.refilled_at, now)
        return self.level

    def try_take(self, now: float) -> bool:
        """Take one token; return whether one was available."""
        if self.refill(now) < 1.0:
            return False
        self.level -= 1.0
        return True

    def debit_request(self, count: float) -> None:
        """Subtract tokens for requests, admitted or not, down to one empty capacity.

        Requests that were refused leave no lasting debt.
        """
        self.level = max(-self.capacity, self.level - count)

    def debit(self, count: float) -> None:
        """Subtract tokens for requests that were already admitted."""
        self.level -= count
