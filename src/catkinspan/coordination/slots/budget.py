"""The number of asks that a host may send."""

from catkinspan.coordination.slots.const import (
    LARGE_FLEET_ASKS,
    RETRY_SHARE,
    SMALL_FLEET_ASKS,
    SMALL_FLEET_HOSTS,
)


class AskBudget:
    """A token bucket over all services of a host.

    A small fleet may ask for each request. In a large one there are fewer slots of a
    service than hosts, and asking for each request would exceed the control budget.
    """

    def __init__(self) -> None:
        self._rate = self._burst = self._tokens = SMALL_FLEET_ASKS
        self._at = 0.0

    @property
    def rate(self) -> float:
        """Return the asks a second."""
        return self._rate

    def resize(self, hosts: int, now: float) -> None:
        """Set the rate for a number of hosts."""
        small = hosts <= SMALL_FLEET_HOSTS
        self.limit(SMALL_FLEET_ASKS if small else LARGE_FLEET_ASKS, now)

    def limit(self, rate: float, now: float, burst: float | None = None) -> None:
        """Set the asks a second, and at once; the same number unless given."""
        self._refill(now)
        self._rate = rate
        self._burst = rate if burst is None else burst
        self._tokens = min(self._tokens, self._burst)

    def available(self, first_attempt: bool, now: float) -> bool:
        """Return whether an ask may be sent.

        First attempts leave a part of the budget to requests that were shed, which
        gain more from a leased slot.
        """
        self._refill(now)
        kept = self._burst * RETRY_SHARE if first_attempt else 0.0
        return self._tokens >= 1.0 + kept

    def take(self, first_attempt: bool, now: float) -> bool:
        """Use one ask; return False if none may be sent."""
        if not self.available(first_attempt, now):
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._at = now
