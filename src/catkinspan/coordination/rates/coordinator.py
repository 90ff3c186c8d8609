"""Admission by the rates, on each host and over the fleet."""

from random import Random
from typing import ClassVar

from attrs import define

from catkinspan.coordination.concern import BaseCoordinator
from catkinspan.coordination.const import (
    REPORT_INTERVAL_SECONDS,
    STANDBY_REPORT_INTERVAL_SECONDS,
)
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.bucket import Bucket
from catkinspan.coordination.rates.const import (
    FRESH_SECONDS,
    RECENT_SECONDS,
    UNKNOWN_FLEET,
)
from catkinspan.coordination.rates.ledger import Ledger
from catkinspan.coordination.rates.models import (
    HostUse,
    Levels,
    RatesSnapshot,
    WorkspaceLevel,
    WorkspaceRates,
    WorkspaceUsage,
    ZoneUse,
)
from catkinspan.coordination.rates.policy import BucketLimits, RatePolicy
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, WorkspaceId
from catkinspan.state.tree import SettingsTree, Workspace


@define
class _Own:
    """A workspace in use on this host."""

    share: Bucket
    """The host's own share, used without news of a hub."""

    admitted: int = 0
    refused: int = 0
    used_at: float = 0.0
    scarce: WorkspaceLevel | None = None
    """The hub's latest word; None while the workspace has enough."""


class RateCoordinator(BaseCoordinator):
    """Bounds each workspace over the fleet by one bucket that every hub keeps.

    Hosts report how many requests they admitted; hubs of all data centres exchange
    their sums and tell the level of the common bucket. Use that becomes known late is
    a debt of that bucket, so that the rate holds over time and a window exceeds it
    only by what the fleet admits within one exchange. A part of the fleet that does
    not hear the rest uses its share of the rate only.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (HostUse, ZoneUse, Levels)

    def __init__(
        self,
        self_id: HostId,
        incarnation: int,
        outbox: Outbox,
        rng: Random,
        policy: RatePolicy,
    ) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._outbox = outbox
        self._workspaces: dict[WorkspaceId, Workspace] = {}
        self._view: FleetView | None = None
        self._own: dict[WorkspaceId, _Own] = {}
        self._rng = rng
        self._policy = policy
        self._ledger = Ledger(policy)
        self._reported_at = float("-inf")
        self._standby_at = float("-inf")
        self._told_at = float("-inf")
        """When a hub told the levels last."""

        self._told_by = 0
        """Place of that hub among the hubs."""

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over changed rates."""
        if tree.workspaces == self._workspaces:
            return
        self._workspaces = dict(tree.workspaces)
        self._ledger.apply_limits(tree.workspaces, now)
        for name in self._own.keys() - tree.workspaces.keys():
            del self._own[name]
        self._limit_shares(now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the size of the fleet."""
        self._view = view
        self._ledger.apply_share(view.heard_share if view.known_count > 1 else 1.0, now)
        self._limit_shares(now)

    def _limit_shares(self, now: float) -> None:
        size = self._fleet_size()
        for name, own in self._own.items():
            limits = self._policy.limits(self._workspaces[name])
            rate, cap = limits.rate / size, max(1.0, limits.cap / size)
            if (own.share.rate, own.share.cap) != (rate, cap):
                own.share.limit(rate, cap, now)

    def _fleet_size(self) -> int:
        if self._view is None or self._view.known_count <= 1:
            return UNKNOWN_FLEET
        return self._view.known_count

    # Admission

    def take(self, workspace: WorkspaceId, now: float) -> bool:
        """Admit a request of a workspace, or refuse it."""
        limit = self._workspaces.get(workspace)
        if limit is None:
            return False
        own = self._own.get(workspace)
        if own is None:
            size, limits = self._fleet_size(), self._policy.limits(limit)
            share = self._first_share(limits, size, now)
            own = self._own[workspace] = _Own(share)
        own.used_at = now
        admitted = not limit.is_limited or self._admits(own, now)
        if admitted:
            own.admitted += 1
        else:
            own.refused += 1
        return admitted

    def _first_share(self, limits: BucketLimits, size: int, now: float) -> Bucket:
        """Return the own share of a workspace that is new to this host.

        A share of the cap below one token is the chance of one; a whole one on each
        host of a fleet that has just started would be several bursts.
        """
        part = limits.cap / size
        level = part if part >= 1.0 else float(self._rng.random() < part)
        return Bucket(limits.rate / size, max(1.0, part), level, now)

    def _admits(self, own: _Own, now: float) -> bool:
        if now - self._told_at > FRESH_SECONDS:
            return own.share.take(now)
        if own.scarce is None:
            return True
        return self._rng.random() < own.scarce.admit_share

    def retry_after(self, workspace: WorkspaceId) -> float:
        """Return the seconds until a token is likely to be there."""
        limit = self._workspaces.get(workspace)
        own = self._own.get(workspace)
        if limit is None or own is None or limit.rate <= 0:
            return 1.0
        level = 0.0 if own.scarce is None else own.scarce.level
        return max(1.0, 1.0 - level) / limit.rate

    def evidence(self, workspace: WorkspaceId, now: float) -> str:
        """Return what decides on a workspace's requests now, for the log."""
        own = self._own.get(workspace)
        if own is None:
            return "unknown workspace"
        age = now - self._told_at
        if age > FRESH_SECONDS:
            share = own.share
            size = self._fleet_size()
            return f"own share {share.level:.1f} of {share.cap:.1f} ({size} hosts)"
        if own.scarce is None:
            return f"plentiful, told {age:.2f} s ago"
        return (
            f"level {own.scarce.level:.1f}, share {own.scarce.admit_share:.2f}, told "
            f"{age:.2f} s ago"
        )

    def snapshot(self, now: float) -> RatesSnapshot:
        """Return the state for operators."""
        lines = {}
        age = now - self._told_at
        for name, own in self._own.items():
            scarce = own.scarce if age <= FRESH_SECONDS else None
            lines[name] = WorkspaceRates(
                name,
                own.admitted,
                own.refused,
                None if scarce is None else scarce.level,
                None if scarce is None else age,
            )
        is_used = age <= FRESH_SECONDS and self._view is not None
        hub = self._view.hubs[0] if is_used and self._view is not None else None
        return RatesSnapshot(hub, lines)

    # Reports

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Count reports of others, or take over the levels of a hub."""
        match message:
            case HostUse(uses):
                self._ledger.count_host(sender.host, sender.incarnation, uses, now)
            case ZoneUse(uses):
                record = self._view and self._view.hosts.get(sender.host)
                if record:
                    self._ledger.count_zone(
                        sender.host, record.data_centre, sender.incarnation, uses, now
                    )
            case Levels(levels):
                self._take_levels(sender.host, levels, now)

    def _take_levels(
        self, hub: HostId, levels: tuple[WorkspaceLevel, ...], now: float
    ) -> None:
        """Use the levels of the first hub that answers."""
        hubs = self._view.hubs if self._view is not None else ()
        if hub not in hubs:
            return
        place = hubs.index(hub)
        if place > self._told_by and now - self._told_at <= 2 * REPORT_INTERVAL_SECONDS:
            return
        self._told_at, self._told_by = now, place
        named = {told.workspace: told for told in levels}
        for name, own in self._own.items():
            own.scarce = named.get(name)

    def tick(self, now: float) -> None:
        """Report what was admitted, and answer as a hub."""
        if now - self._reported_at < REPORT_INTERVAL_SECONDS or self._view is None:
            return
        self._reported_at = now
        self._report(now)
        hosts = self._view.primary_followers
        if now - self._standby_at >= STANDBY_REPORT_INTERVAL_SECONDS:
            self._standby_at = now
            hosts = self._view.followers
        levels = Levels(tuple(self._ledger.scarce(now)))
        for host in hosts:
            self._outbox.send(host, levels)
        if self._view.hubs[0] == self._self_id:
            self._take_levels(self._self_id, levels.levels, now)
            self._tell_remote(now)
        self._ledger.forget_idle(now)

    def resume(self, gap: float, now: float) -> None:
        """Use no level from before a pause."""
        self._told_at = float("-inf")
        for own in self._own.values():
            own.share.refill(now)
            own.share.level = min(own.share.level, 1.0)

    def _report(self, now: float) -> None:
        assert self._view is not None
        uses = tuple(
            WorkspaceUsage(name, own.admitted, own.admitted + own.refused)
            for name, own in self._own.items()
            if now - own.used_at <= RECENT_SECONDS
        )
        self._ledger.count_host(self._self_id, self._incarnation, uses, now)
        if not uses:
            return
        to_all = now - self._standby_at >= STANDBY_REPORT_INTERVAL_SECONDS
        for hub in self._view.hubs if to_all else self._view.hubs[:1]:
            if hub != self._self_id:
                self._outbox.send(hub, HostUse(uses))

    def _tell_remote(self, now: float) -> None:
        assert self._view is not None
        uses = self._ledger.zone_uses(now)
        if not uses:
            return
        message = ZoneUse(uses)
        for hub in self._view.remote_hubs:
            self._outbox.send(hub, message)
