"""Arithmetic of lent minting rights."""

from collections.abc import Iterator
from heapq import heappop, heappush
from math import inf

from attrs import define, field

from catkinspan.coordination.rates.const import (
    DRIFT_MARGIN,
    LEASE_PERIODS,
    LENDING_MESSAGES_PER_SECOND,
    LENDING_PERIOD_SECONDS,
    LIST_MEMORY_SECONDS,
    SMALL_FLEET_HOSTS,
)
from catkinspan.state.ids import HostId


def lending_period(max_hosts: int) -> float:
    """Return the seconds between two lending updates to the same peer."""
    if max_hosts <= SMALL_FLEET_HOSTS:
        return LENDING_PERIOD_SECONDS
    return max_hosts / LENDING_MESSAGES_PER_SECOND


def lease_seconds(max_hosts: int) -> float:
    """Return the length of a lease on the borrower's clock."""
    return LEASE_PERIODS * lending_period(max_hosts)


def lender_wait(max_hosts: int) -> float:
    """Return the seconds after which a lender may use a lent right again."""
    return lease_seconds(max_hosts) * DRIFT_MARGIN


def list_memory(max_hosts: int) -> float:
    """Return the seconds for which an id that left the list still takes a rank.

    No shorter than the longest lease: the rights of the departed host may be in use.
    """
    return max(LIST_MEMORY_SECONDS, lender_wait(max_hosts))


@define
class Lease:
    """Minting rights that a host has lent."""

    share: float
    """Fraction of the rate and the burst."""

    incarnation: int
    start: float
    expiry: float


@define
class LeaseTable:
    """The rights that a grantor holds for one shard."""

    leases: dict[HostId, Lease] = field(factory=dict)
    total: float = 0.0
    """Sum of the shares."""

    _expiries: list[tuple[float, HostId]] = field(factory=list)

    def next_expiry(self) -> float:
        """Return when the first lease ends unless it is renewed."""
        while self._expiries:
            expiry, lender = self._expiries[0]
            lease = self.leases.get(lender)
            if lease is not None and lease.expiry == expiry:
                return expiry
            heappop(self._expiries)
        return inf

    def expired(self, now: float) -> Iterator[tuple[float, HostId]]:
        """Yield the leases that ended up to now, oldest first.

        The caller removes each lease before it asks for the next one.
        """
        while (expiry := self.next_expiry()) <= now:
            yield expiry, self._expiries[0][1]

    def current(self, now: float) -> Iterator[HostId]:
        """Yield the lenders whose leases run now."""
        return (host for host, lease in self.leases.items() if lease.expiry > now)

    def changes(self, lender: HostId, share: float) -> bool:
        """Return whether a lease of this share would change the total."""
        lease = self.leases.get(lender)
        return lease is None or lease.share != share

    def renew(
        self, lender: HostId, share: float, incarnation: int, expiry: float, now: float
    ) -> None:
        """Add or extend a lease; an older process of the lender cannot."""
        lease = self.leases.get(lender)
        if lease is None:
            self.leases[lender] = Lease(share, incarnation, now, expiry)
            heappush(self._expiries, (expiry, lender))
            self._sum_up()
            return
        if lease.incarnation > incarnation:
            return
        lease.incarnation = incarnation
        if lease.share != share:
            lease.share, lease.start = share, now
            self._sum_up()
        if expiry > lease.expiry:
            lease.expiry = expiry
            heappush(self._expiries, (expiry, lender))

    def remove(self, lender: HostId) -> None:
        """End a lease."""
        self.leases.pop(lender, None)
        self._sum_up()

    def share_until(self, horizon: float) -> float:
        """Return the total share of the leases that last until `horizon`."""
        if self.next_expiry() >= horizon:
            return self.total
        return sum(x.share for x in self.leases.values() if x.expiry >= horizon)

    def _sum_up(self) -> None:
        self.total = sum(lease.share for lease in self.leases.values())
