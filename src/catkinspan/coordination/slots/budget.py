"""The number of asks that a host may send."""

from catkinspan.coordination.slots.const import (
    FLEET_ASKS_PER_SECOND,
    MIN_ASKS_PER_SECOND,
)


class AskBudget:
    """A token bucket over all services of a host.

    A small fleet may ask for each request. In a large one there are fewer slots of a
    service than hosts, and asking for each request would exceed the control budget.
    """

    def __init__(self) -> None:
        self._rate = FLEET_ASKS_PER_SECOND
        self._tokens = 1.0
        self._at = 0.0

    @property
    def rate(self) -> float:
        """Return the asks a second."""
        return self._rate

    def resize(self, hosts: int, now: float) -> None:
        """Set the rate for a number of hosts."""
        self._refill(now)
        self._rate = max(MIN_ASKS_PER_SECOND, FLEET_ASKS_PER_SECOND / max(hosts, 1))

    def available(self, now: float) -> bool:
        """Return whether an ask may be sent."""
        self._refill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> bool:
        """Use one ask; return False if there is none left."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._at) * self._rate
        self._tokens = min(self._rate, self._tokens + earned)
        self._at = now
