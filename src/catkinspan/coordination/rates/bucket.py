"""A token bucket that may run into debt."""

from attrs import define


@define
class Bucket:
    """Tokens that refill at a rate up to a cap.

    Use that is reported late takes the level below zero; the debt is paid before
    anything else is admitted, so that the long-run rate holds.
    """

    rate: float
    cap: float
    level: float
    at: float

    @classmethod
    def full(cls, rate: float, cap: float, now: float) -> "Bucket":
        """Return a full bucket."""
        return cls(rate, cap, cap, now)

    def limit(self, rate: float, cap: float, now: float) -> None:
        """Change rate and cap; tokens above the new cap are lost."""
        self.refill(now)
        self.rate, self.cap = rate, cap
        self.level = min(self.level, cap)

    def refill(self, now: float) -> float:
        """Add what is due and return the level."""
        earned = max(0.0, now - self.at) * self.rate
        self.level = min(self.cap, self.level + earned)
        self.at = max(self.at, now)
        return self.level

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        if self.refill(now) < 1.0:
            return False
        self.level -= 1.0
        return True

    def charge(self, count: float) -> None:
        """Take tokens for use that has happened already."""
        self.level -= count
