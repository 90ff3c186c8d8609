"""The lender's side: which grantor has the own minting right, shard by shard."""

from collections import deque
from heapq import heappop, heappush
from random import Random

from attrs import define, field

from catkinspan.coordination.models import Origin
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.const import (
    FRESH_PERIODS,
    KEPT_STAMPS,
    MIN_UPDATE_INTERVAL_SECONDS,
    SELF_LEASE_SECONDS,
)
from catkinspan.coordination.rates.grantor import Grantor
from catkinspan.coordination.rates.leases import (
    lease_seconds,
    lender_wait,
    lending_period,
)
from catkinspan.coordination.rates.models import LeaseRelease, LendingUpdate
from catkinspan.coordination.rates.right import MintingRight
from catkinspan.coordination.rates.shards import Grantors, shard_of
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId
from catkinspan.state.tree import SettingsTree

NEVER = float("-inf")


@define
class Peer:
    """What a host knows of its exchange with a peer."""

    sent: deque[tuple[int, float]] = field(factory=lambda: deque(maxlen=KEPT_STAMPS))
    """Own stamps with their times."""

    heard: int = 0
    """Last stamp seen from the peer."""

    heard_incarnation: int = 0
    heard_at: float = NEVER
    echoed_at: float = NEVER
    """When the last stamp that the peer echoed was sent."""

    sent_at: float = NEVER
    due: float = NEVER

    def time_of(self, stamp: int) -> float | None:
        """Return when a stamp was sent, or None if it is not known any more."""
        return next((at for known, at in self.sent if known == stamp), None)


@define
class Loan:
    """Where the own right for a shard is."""

    borrower: HostId
    incarnation: int
    until: float
    stamp: int = 0
    """Own stamp of the latest update that lent it."""


class Lending:
    """Lends the own right, shard by shard, to one grantor at a time.

    A right is lent to another grantor only after the time that the last lease to the
    former one may run. Without a grantor in reach in both directions the host uses
    its right itself, under a lease to itself.
    """

    def __init__(
        self,
        self_id: HostId,
        incarnation: int,
        outbox: Outbox,
        rng: Random,
        right: MintingRight,
        grantor: Grantor,
    ) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._outbox = outbox
        self._rng = rng
        self._right = right
        self._grantor = grantor
        self._grantors = Grantors()
        self._view: FleetView | None = None
        self._shards = 0
        self._populated: set[int] = set()
        self._stamp = incarnation
        self._peers: dict[HostId, Peer] = {}
        self._schedule: list[tuple[float, HostId]] = []
        self._loans: dict[int, Loan] = {}
        self._draining = False

    @property
    def shards(self) -> int:
        """Return the number of shards."""
        return self._shards

    @property
    def loans(self) -> dict[int, Loan]:
        """Return where the own right is, by shard."""
        return self._loans

    def grantor_of(self, shard: int) -> HostId | None:
        """Return the grantor of a shard in the own view."""
        return self._grantors.of(shard)

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over which shards hold workspaces.

        The number of shards of the first tree holds for the life of the process: a
        workspace that changes its shard could use one right in two places.
        """
        self._shards = self._shards or tree.fleet.rate_shards
        self._populated = {shard_of(name, self._shards) for name in tree.workspaces}
        self._choose_peers(now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over a changed view of the fleet."""
        self._view = view
        self._choose_peers(now)

    def _choose_peers(self, now: float) -> None:
        view = self._view
        if view is None or not self._shards:
            return
        self._grantors.update(frozenset(view.usable), self._shards, self._populated)
        serving = bool(self._grantors.served_by(self._self_id))
        wanted = set(view.usable) if serving else set(self._grantors.hosts)
        wanted.discard(self._self_id)
        for host in self._peers.keys() - wanted:
            del self._peers[host]
        spread = lending_period(view.max_hosts) if not self._peers else 0.0
        for host in sorted(wanted - self._peers.keys()):
            self._peers[host] = Peer()
            self._plan(host, now + self._rng.random() * spread)

    def handle_update(self, update: LendingUpdate, origin: Origin, now: float) -> None:
        """Take over lent rights and the peer's stamp."""
        peer = self._peers.get(origin.host)
        if peer is None:
            peer = self._peers[origin.host] = Peer()
        if origin.incarnation < peer.heard_incarnation:
            return
        sent_at = peer.time_of(update.echo)
        if sent_at is not None:
            peer.echoed_at = max(peer.echoed_at, sent_at)
            self._borrow(update, origin, sent_at, now)
        if update.stamp <= peer.heard and origin.incarnation == peer.heard_incarnation:
            return
        peer.heard, peer.heard_at = update.stamp, now
        peer.heard_incarnation = origin.incarnation
        if self._should_answer_early(origin.host, peer, update, now):
            self._plan(origin.host, now)
            self._send_due(now)

    def handle_release(self, release: LeaseRelease, origin: Origin, now: float) -> None:
        """Take a right back that the grantor released."""
        for shard in release.shards:
            loan = self._loans.get(shard)
            if loan is None or loan.borrower != origin.host:
                continue
            if loan.stamp <= release.echo:
                loan.until = now

    def tick(self, now: float) -> None:
        """Send the updates that are due."""
        if self._view is not None:
            self._send_due(now)

    def use_at_home(self, now: float) -> None:
        """Renew the leases of the own right to this host where nobody else has it."""
        if self._view is None or self._right.obstacle(now) is not None:
            return
        share = 1.0 / self._view.max_hosts
        for shard in self._populated:
            self._use_at_home(shard, share, now)

    def resume(self) -> None:
        """Forget all leases; the own right rests until the longest has ended."""
        self._loans.clear()
        for peer in self._peers.values():
            peer.heard_at = peer.echoed_at = NEVER
            peer.sent.clear()

    def drain(self, now: float) -> None:
        """Give the borrowed rights back and stop serving."""
        self._draining = True
        self.release_idle(now)

    def release_idle(self, now: float) -> None:
        """Release borrowed shards that this host serves no longer."""
        back: dict[HostId, list[int]] = {}
        for shard_id, shard in self._grantor.shards.items():
            if not self._draining and self.grantor_of(shard_id) == self._self_id:
                continue
            for lender in list(shard.table.leases):
                if lender == self._self_id:
                    continue
                if self._grantor.give_back(shard_id, lender, now):
                    back.setdefault(lender, []).append(shard_id)
        for lender, shards in back.items():
            peer = self._peers.get(lender)
            if peer is not None:
                self._outbox.send(lender, LeaseRelease(peer.heard, tuple(shards)))

    def _borrow(
        self, update: LendingUpdate, origin: Origin, sent_at: float, now: float
    ) -> None:
        if self._draining or update.shard_count != self._shards:
            return
        expiry = sent_at + lease_seconds(update.max_hosts)
        share = 1.0 / update.max_hosts
        for shard in update.shards:
            self._grantor.lend(
                shard, origin.host, share, origin.incarnation, expiry, now
            )

    def _should_answer_early(
        self, host: HostId, peer: Peer, update: LendingUpdate, now: float
    ) -> bool:
        if self._view is None or now - peer.sent_at < MIN_UPDATE_INTERVAL_SECONDS:
            return False
        if peer.time_of(update.echo) is None:
            return True
        return any(self._may_lend(shard, host, now) for shard in self._unlent(host))

    def _unlent(self, host: HostId) -> list[int]:
        served = self._grantors.served_by(host)
        return [s for s in served if self._borrower(s) != host]

    def _borrower(self, shard: int) -> HostId | None:
        loan = self._loans.get(shard)
        return None if loan is None else loan.borrower

    def _plan(self, host: HostId, due: float) -> None:
        self._peers[host].due = due
        heappush(self._schedule, (due, host))

    def _send_due(self, now: float) -> None:
        while self._schedule and self._schedule[0][0] <= now:
            due, host = heappop(self._schedule)
            peer = self._peers.get(host)
            if peer is not None and peer.due == due:
                self._send_update(host, peer, now)

    def _send_update(self, host: HostId, peer: Peer, now: float) -> None:
        if self._view is None:
            return
        max_hosts = self._view.max_hosts
        self._stamp += 1
        shards = self._shards_for(host, now)
        for shard in shards:
            until = now + lender_wait(max_hosts)
            self._loans[shard] = Loan(host, peer.heard_incarnation, until, self._stamp)
        peer.sent.append((self._stamp, now))
        peer.sent_at = now
        update = LendingUpdate(self._stamp, peer.heard, max_hosts, self._shards, shards)
        self._outbox.send(host, update)
        self._plan(host, now + lending_period(max_hosts))

    def _shards_for(self, host: HostId, now: float) -> tuple[int, ...]:
        if self._right.obstacle(now) is not None:
            return ()
        served = self._grantors.served_by(host)
        return tuple(shard for shard in served if self._may_lend(shard, host, now))

    def _may_lend(self, shard: int, host: HostId, now: float) -> bool:
        if not self._in_reach(host, now):
            return False
        loan = self._loans.get(shard)
        if loan is None or loan.until <= now:
            return True
        if loan.borrower == host:
            return loan.incarnation == self._peers[host].heard_incarnation
        if loan.borrower == self._self_id:
            return self._grantor.give_back(shard, self._self_id, now)
        return False

    def _in_reach(self, host: HostId, now: float) -> bool:
        peer = self._peers.get(host)
        if peer is None or self._view is None:
            return False
        oldest = now - FRESH_PERIODS * lending_period(self._view.max_hosts)
        return peer.heard_at >= oldest and peer.echoed_at >= oldest

    def _use_at_home(self, shard: int, share: float, now: float) -> None:
        loan = self._loans.get(shard)
        if loan is not None and loan.until > now:
            if loan.borrower != self._self_id:
                return
            if loan.until - now > SELF_LEASE_SECONDS * 2 / 3:
                return
        expiry = now + SELF_LEASE_SECONDS
        self._loans[shard] = Loan(self._self_id, self._incarnation, expiry)
        self._grantor.lend(shard, self._self_id, share, self._incarnation, expiry, now)
