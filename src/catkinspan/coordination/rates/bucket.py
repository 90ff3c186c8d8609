"""The bucket of one workspace at a grantor."""

from attrs import define, field

from catkinspan.coordination.rates.const import (
    ASKER_MEMORY_SECONDS,
    EPSILON,
    HIGH_PRESSURE,
    MINT_FACTOR,
    PRESSURE_WEIGHT,
)
from catkinspan.coordination.rates.leases import LeaseTable
from catkinspan.coordination.rates.ledger import Ledger
from catkinspan.state.ids import HostId
from catkinspan.state.tree import Workspace


def saved_tokens(limits: Workspace, table: LeaseTable, now: float) -> float:
    """Return the tokens of a workspace that was not used since the leases began."""
    rate = limits.rate * MINT_FACTOR
    return sum(
        lease.share * min(limits.burst, rate * (now - lease.start))
        for lease in table.leases.values()
    )


@define
class Pressure:
    """Whether a workspace asks for far more than its rate, and how many hosts ask.

    Under high pressure each host gets a slice of what is minted during a hold, and
    asks once in a hold, so the grantor's inbox does not grow with the overload.
    """

    short_share: float = 0.0
    """Decaying share of the asks that could not be met."""

    _askers: dict[HostId, float] = field(factory=dict)

    @property
    def is_high(self) -> bool:
        """Return whether the workspace is overloaded."""
        return self.short_share > HIGH_PRESSURE

    def note_answer(self, is_short: bool) -> None:
        """Count an answered ask."""
        self.short_share += PRESSURE_WEIGHT * (is_short - self.short_share)

    def note_asker(self, host: HostId, now: float) -> None:
        """Remember who asked."""
        self._askers[host] = now

    def askers(self, now: float) -> int:
        """Return the number of hosts that asked lately."""
        oldest = now - ASKER_MEMORY_SECONDS
        self._askers = {h: at for h, at in self._askers.items() if at >= oldest}
        return max(1, len(self._askers))


@define
class Bucket:
    """Tokens in stock and tokens granted but unspent.

    Both together stay within the cap, which is the burst times the share of the
    leases at hand. The total share is constant between two calls of `settle`; the
    owner settles all buckets of a shard whenever its leases change.
    """

    limits: Workspace
    tokens: float
    updated: float
    touched: float
    ledger: Ledger = field(factory=Ledger)
    pressure: Pressure = field(factory=Pressure)

    def settle(self, share: float, now: float) -> None:
        """Mint up to now, and forget grants whose life has ended on the way."""
        while (expiry := self.ledger.next_expiry()) <= now:
            self._mint(share, expiry)
            self.ledger.expire(expiry)
        self._mint(share, now)

    def clamp(self, share: float) -> None:
        """Drop tokens above the cap."""
        room = self.limits.burst * share - self.ledger.total
        self.tokens = max(0.0, min(self.tokens, room))

    def add(self, tokens: int, share: float) -> None:
        """Put tokens back into stock that came back unspent."""
        self.tokens += tokens
        self.clamp(share)

    def whole_tokens(self, share: float) -> int:
        """Return the whole tokens that may be granted against a share."""
        room = self.limits.burst * share - self.ledger.total
        return max(0, int(min(self.tokens, room) + EPSILON))

    def seconds_to_token(self, share: float) -> float:
        """Return the time until one token is in stock."""
        pace = self.limits.rate * MINT_FACTOR * share
        if pace <= 0 or self.limits.burst * share < 1 - EPSILON:
            return float("inf")
        return max(0.0, 1.0 - self.tokens) / pace

    def is_idle(self, share: float) -> bool:
        """Return whether the bucket equals one that was never used."""
        cap = self.limits.burst * share
        return self.ledger.total == 0 and self.tokens >= cap - EPSILON

    def _mint(self, share: float, now: float) -> None:
        if now > self.updated:
            rate = self.limits.rate * MINT_FACTOR
            self.tokens += rate * share * (now - self.updated)
            self.updated = now
        self.clamp(share)
