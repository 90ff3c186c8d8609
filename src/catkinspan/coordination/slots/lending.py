"""Loans of slots between the dispatchers of a service."""

from collections.abc import Iterable, Sequence

from attrs import define, field

from catkinspan.coordination.slots.const import (
    LOAN_BACKOFF_SECONDS,
    LOAN_GAP_SECONDS,
    LOAN_SECONDS,
    MAX_REPORTED_WORKSPACES,
)
from catkinspan.coordination.slots.fairness import water_fill
from catkinspan.coordination.slots.models import WorkspaceDemand
from catkinspan.state.ids import HostId, WorkspaceId


@define
class Partner:
    """The dispatcher of another data centre."""

    host: HostId
    asked_at: float = float("-inf")
    wanted: int = 0
    """Slots that the last request was for."""

    answered: bool = True
    not_before: float = float("-inf")
    """Time before which the partner is not asked, since it had nothing to lend."""

    owed: int = 0
    """Slots promised to the partner as soon as they become free."""

    first: bool = False
    """Whether the promise comes before the own queue, for the sake of fairness."""

    owed_until: float = 0.0
    demand: tuple[WorkspaceDemand, ...] = ()
    demand_at: float = float("-inf")

    def may_ask(self, wants: int, now: float) -> bool:
        """Return whether a request for a loan may go out now.

        A partner without free slots has promised those that it was asked for, and is
        asked again soon only for more.
        """
        gap = LOAN_GAP_SECONDS if self.answered else LOAN_BACKOFF_SECONDS
        if now - self.asked_at < gap:
            return False
        return now >= self.not_before or wants > self.wanted


@define
class Partners:
    """Chooses the dispatcher to borrow from."""

    _partners: dict[HostId, Partner] = field(factory=dict)

    def replace(self, hosts: Iterable[HostId]) -> None:
        """Take over the dispatchers of the other data centres."""
        known = self._partners
        self._partners = {host: known.get(host, Partner(host)) for host in hosts}

    def get(self, host: HostId) -> Partner | None:
        """Return a partner, or None for a host that is none."""
        return self._partners.get(host)

    def next(self, wants: int, now: float) -> Partner | None:
        """Return the partner that was asked longest ago and may be asked now."""
        ready = [p for p in self._partners.values() if p.may_ask(wants, now)]
        return min(ready, key=lambda p: p.asked_at, default=None)

    def owed(self, now: float, *, first: bool) -> Partner | None:
        """Return a partner to which a free slot is promised.

        With `first`, promises that come only after the own queue are left out.
        """
        for partner in self._partners.values():
            due = partner.owed > 0 and now < partner.owed_until
            if due and (partner.first or not first):
                return partner
        return None


def largest(demand: Iterable[WorkspaceDemand]) -> tuple[WorkspaceDemand, ...]:
    """Return the largest demands, as many as one message may carry."""
    ordered = sorted(demand, key=lambda d: (-d.slots, d.workspace))
    return tuple(ordered[:MAX_REPORTED_WORKSPACES])


def fair_capacity(
    capacity: float,
    lender: Sequence[WorkspaceDemand],
    borrower: Sequence[WorkspaceDemand],
) -> float:
    """Return the borrower's part of the capacity that two dispatchers share.

    The capacity is divided among workspaces by max-min fairness over both demands,
    and each workspace's part between the two by where its demand is. A workspace far
    above its share in one data centre therefore draws no capacity from the others.
    """
    total: dict[WorkspaceId, tuple[float, float]] = {}
    for demand in (*lender, *borrower):
        weight, slots = total.get(demand.workspace, (demand.weight, 0.0))
        total[demand.workspace] = (weight, slots + demand.slots)
    shares = water_fill(capacity, total)
    part = 0.0
    for demand in borrower:
        if demand.slots:
            whole = total[demand.workspace][1]
            part += shares[demand.workspace] * demand.slots / whole
    spare = capacity - sum(shares.values())
    return part + spare / 2


def loan_end(sent_at: float) -> float:
    """Return the end of a loan on the borrower's clock.

    It counts from the request, which is earlier than the lender's grant.
    """
    return sent_at + LOAN_SECONDS
