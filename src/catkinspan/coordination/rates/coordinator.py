"""Coordinator of the admission of requests by the rates of workspaces."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import ClassVar

from catkinspan.coordination.const import (
    REPORT_INTERVAL_SECONDS,
    STANDBY_REPORT_INTERVAL_SECONDS,
)
from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.bucket import TokenBucket
from catkinspan.coordination.rates.const import (
    ASSUMED_FLEET_HOSTS,
    HOST_USE_BYTES_PER_SECOND,
    LEVEL_KEPT_SECONDS,
    LEVELS_MAX_AGE_SECONDS,
    MAX_SYNC_LEVELS,
    OWN_USE_WINDOW_SECONDS,
    REPORT_AFTER_USE_SECONDS,
    RESERVED_LEVEL_BYTES,
)
from catkinspan.coordination.rates.ledger import UsageLedger
from catkinspan.coordination.rates.level_sync import LevelSync
from catkinspan.coordination.rates.models import (
    HostUse,
    HubLevels,
    HubLevelsRequest,
    Levels,
    RatesSnapshot,
    WorkspaceRates,
    WorkspaceUsage,
    ZoneUse,
)
from catkinspan.coordination.rates.own_use import OwnUse
from catkinspan.coordination.rates.policy import BucketLimits, RatePolicy
from catkinspan.coordination.rates.publisher import LevelPublisher
from catkinspan.coordination.rates.use_reports import UseReports
from catkinspan.coordination.rates.workspace_state import WorkspaceState
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, WorkspaceId
from catkinspan.state.tree import SettingsTree, Workspace


class RateCoordinator(BaseCoordinator):
    """Limits each workspace by a fleet-wide bucket of which every hub keeps a copy.

    Hosts report how many requests they admitted. The hubs of all data centres exchange
    their totals and report the level of the shared bucket. Usage that is reported late
    becomes a debt of that bucket, so the rate holds over time and a window exceeds it
    only by what the fleet admits within one exchange. A part of the fleet that is
    partitioned from the rest admits only its share of the rate.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (
        HostUse,
        ZoneUse,
        Levels,
        HubLevelsRequest,
        HubLevels,
    )

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
        self._states: dict[WorkspaceId, WorkspaceState] = {}
        self._rng = rng
        self._policy = policy
        self._ledger = UsageLedger(policy)
        self._publisher = LevelPublisher()
        self._primary_reports = UseReports(HOST_USE_BYTES_PER_SECOND)
        self._standby_reports = UseReports(HOST_USE_BYTES_PER_SECOND)
        self._sync = LevelSync()
        self._last_report_at = float("-inf")
        self._last_standby_report_at = float("-inf")
        self._levels_received_at = float("-inf")
        """Time at which levels of a hub were last received."""

        self._levels_hub_index = 0
        """Index of that hub among the hubs."""

        self._levels_hub: HostId | None = None
        self._levels_leave_out = False
        """Whether the hub's messages leave out workspaces that are short."""

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Apply changed rates."""
        if tree.workspaces == self._workspaces:
            return
        self._workspaces = dict(tree.workspaces)
        self._ledger.apply_limits(tree.workspaces, now)
        for name in self._states.keys() - tree.workspaces.keys():
            del self._states[name]
        self._update_local_buckets(now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Apply a changed size of the fleet."""
        self._view = view
        if self._sync.set_hub_role(view.is_hub, now):
            self._ledger.forget_reporters()
        self._ledger.apply_alive_share(
            view.alive_share if view.known_count > 1 else 1.0, now
        )
        self._update_local_buckets(now)

    def _update_local_buckets(self, now: float) -> None:
        hosts = self._fleet_size()
        for name, state in self._states.items():
            limits = self._policy.limits(self._workspaces[name])
            if limits.rate < state.limits.rate:
                state.own_use.reduce(limits.rate / state.limits.rate)
            state.limits = limits
            rate, capacity = limits.rate / hosts, max(1.0, limits.capacity / hosts)
            if (state.bucket.rate, state.bucket.capacity) != (rate, capacity):
                state.bucket.set_limits(rate, capacity, now)

    @staticmethod
    def _is_cut_off(view: FleetView) -> bool:
        """Return whether the host hears no other, so its own levels tell it nothing."""
        return view.alive_count <= 1 < view.known_count

    def _fleet_size(self) -> int:
        if self._view is None or self._view.known_count <= 1:
            return ASSUMED_FLEET_HOSTS
        return self._view.known_count

    # Admission

    def admit(self, workspace: WorkspaceId, now: float) -> bool:
        """Return whether a request of a workspace is admitted, and count it."""
        settings = self._workspaces.get(workspace)
        if settings is None:
            return False
        state = self._states.get(workspace)
        if state is None:
            limits = self._policy.limits(settings)
            bucket = self._new_local_bucket(limits, now)
            state = WorkspaceState(limits, bucket, OwnUse(now))
            self._states[workspace] = state
        state.last_used_at = now
        admitted = not settings.is_limited or self._is_admitted(state, now)
        if admitted:
            state.admitted += 1
            state.unconfirmed += 1
            state.own_use.record(now)
            state.recent_use.record(1, now)
        else:
            state.refused += 1
        for reports in (self._primary_reports, self._standby_reports):
            reports.record(workspace, int(admitted), 1, now)
        return admitted

    def _new_local_bucket(self, limits: BucketLimits, now: float) -> TokenBucket:
        """Return an empty bucket for this host's share of a workspace's rate."""
        hosts = self._fleet_size()
        capacity = max(1.0, limits.capacity / hosts)
        return TokenBucket(limits.rate / hosts, capacity, 0.0, now)

    def _window_share(self, limits: BucketLimits) -> float:
        """Return this host's share of what the fleet may admit in one window.

        The hosts that hear a hub may use the burst at the same time.
        """
        available = limits.rate * OWN_USE_WINDOW_SECONDS + limits.initial
        return available / self._fleet_size()

    def _is_admitted(self, state: WorkspaceState, now: float) -> bool:
        is_unknown = self._levels_leave_out and state.hub_level is None
        if is_unknown or not self._has_levels(now):
            return self._is_admitted_without_levels(state, now)
        if state.hub_level is None:
            return True
        return self._rng.random() < state.hub_level.admit_share

    def _has_levels(self, now: float) -> bool:
        return now - self._levels_received_at <= LEVELS_MAX_AGE_SECONDS

    def _is_admitted_without_levels(self, state: WorkspaceState, now: float) -> bool:
        own_use, is_short = state.own_use, state.hub_level is not None
        share = self._window_share(state.limits)
        limit = own_use.limit(share, is_short, self._rng, now)
        if own_use.count(now) < limit:
            return True
        return limit == 0 and state.bucket.try_take(now)

    def is_over_rate(self, workspace: WorkspaceId) -> bool:
        """Return whether a hub reported that a workspace exceeds its rate.

        Otherwise a refusal has its cause in what the host or its hub does not know.
        """
        state = self._states.get(workspace)
        if state is None or state.hub_level is None:
            return False
        return not state.is_reserved

    def _is_short(self, workspace: WorkspaceId) -> bool:
        state = self._states.get(workspace)
        return state is not None and state.hub_level is not None

    def retry_after(self, workspace: WorkspaceId) -> float:
        """Return the estimated seconds until the workspace's requests are admitted."""
        settings = self._workspaces.get(workspace)
        state = self._states.get(workspace)
        if settings is None or state is None or settings.rate <= 0:
            return 1.0
        if state.hub_level is None:
            return 1.0 / settings.rate
        return max(1.0, state.hub_level.missing_tokens) / settings.rate

    def evidence(self, workspace: WorkspaceId, now: float) -> str:
        """Return the current basis for admission of a workspace, for the log."""
        state = self._states.get(workspace)
        if state is None:
            return "unknown workspace"
        age = now - self._levels_received_at
        count, limit = state.own_use.count(now), state.own_use.frozen_limit
        if age > LEVELS_MAX_AGE_SECONDS:
            return f"no levels for {age:.1f} s, own use {count} of {limit} in a window"
        if state.hub_level is None and self._levels_leave_out:
            return f"left out by the hub, own use {count} of {limit} in a window"
        if state.hub_level is None:
            return f"enough tokens, reported {age:.2f} s ago"
        if state.is_reserved:
            return (
                f"level {state.hub_level.level:.1f}, reported {age:.2f} s ago, within "
                f"the rate; a part is kept for hosts that are not heard from"
            )
        return (
            f"level {state.hub_level.level:.1f}, "
            f"share {state.hub_level.admit_share:.2f}, reported {age:.2f} s ago"
        )

    def snapshot(self, now: float) -> RatesSnapshot:
        """Return the state for operators' reports."""
        workspaces = {}
        age = now - self._levels_received_at
        for name, state in self._states.items():
            level = state.hub_level if age <= LEVELS_MAX_AGE_SECONDS else None
            workspaces[name] = WorkspaceRates(
                name,
                state.admitted,
                state.refused,
                None if level is None else level.level,
                None if level is None else age,
            )
        return RatesSnapshot(self.levels_hub(now), workspaces)

    def levels_hub(self, now: float) -> HostId | None:
        """Return the hub whose levels are in use; None without recent levels."""
        if now - self._levels_received_at > LEVELS_MAX_AGE_SECONDS:
            return None
        return self._levels_hub

    # Reports

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Count reported usage or apply the levels of a hub."""
        match message:
            case HostUse(usages):
                self._ledger.count_host_report(
                    sender.host, sender.incarnation, usages, now
                )
            case ZoneUse(usages):
                record = self._view and self._view.hosts.get(sender.host)
                if record:
                    self._ledger.count_remote_report(
                        sender.host, record.data_centre, sender.incarnation, usages, now
                    )
            case Levels():
                self._apply_levels(sender.host, message, now)
            case HubLevelsRequest() | HubLevels():
                self._synchronise(message, sender.host, now)

    def _synchronise(
        self, message: HubLevelsRequest | HubLevels, sender: HostId, now: float
    ) -> None:
        """Answer a new hub, or apply the answer as a new hub."""
        if self._view is None or sender not in self._view.hosts:
            return
        match message:
            case HubLevelsRequest() if self._sync.can_answer(now):
                levels = sorted(self._ledger.low_levels(now), key=lambda x: x.level)
                self._outbox.send(sender, HubLevels(tuple(levels[:MAX_SYNC_LEVELS])))
            case HubLevels(levels) if self._sync.is_active(now):
                self._sync.record_answer()
                self._ledger.reduce_levels(levels, now)

    def _apply_levels(self, hub: HostId, message: Levels, now: float) -> None:
        """Apply a hub's levels unless a hub of lower index sent some recently."""
        hubs = self._view.hubs if self._view is not None else ()
        if hub not in hubs:
            return
        hub_index = hubs.index(hub)
        if (
            hub_index > self._levels_hub_index
            and now - self._levels_received_at <= 2 * REPORT_INTERVAL_SECONDS
        ):
            return
        self._levels_received_at, self._levels_hub_index = now, hub_index
        self._levels_hub = hub
        self._levels_leave_out = message.leaves_out
        levels = {level.workspace: level for level in message.levels}
        indices = set(message.reserved)
        reserved = {
            level.workspace
            for index, level in enumerate(message.levels)
            if index in indices
        }
        recovered = frozenset(message.recovered)
        for name, state in self._states.items():
            state.unconfirmed = 0
            level = levels.get(name)
            if level is not None:
                state.hub_level, state.hub_level_at = level, now
                state.is_reserved = name in reserved
                state.own_use.clear_limit()
            elif name in recovered or not message.is_partial:
                state.hub_level = None
                state.own_use.clear_limit()
            else:
                self._apply_omission(state, now)

    def _apply_omission(self, state: WorkspaceState, now: float) -> None:
        """Keep the level that a partial message leaves out for a while."""
        if now - state.hub_level_at > LEVEL_KEPT_SECONDS:
            state.hub_level = None
        if not self._levels_leave_out:
            state.own_use.clear_limit()

    def tick(self, now: float) -> None:
        """Report usage and, as a hub, send levels and the totals of the data centre."""
        if now - self._last_report_at < REPORT_INTERVAL_SECONDS or self._view is None:
            return
        self._last_report_at = now
        self._report_usage(now)
        self._request_levels(now)
        hosts, is_standby_due = self._view.primary_followers, False
        if now - self._last_standby_report_at >= STANDBY_REPORT_INTERVAL_SECONDS:
            self._last_standby_report_at = now
            hosts, is_standby_due = self._view.followers, True
        if not self._sync.holds_levels_back(now):
            self._send_levels(hosts, now)
        if self._view.hubs[0] == self._self_id or is_standby_due:
            self._report_to_remote_hubs(now)
        self._ledger.forget_idle(now)

    def _request_levels(self, now: float) -> None:
        """Ask the other hubs for their levels, as a new hub."""
        assert self._view is not None
        if not self._workspaces or not self._sync.is_request_due(now):
            return
        for hub in (*self._view.hubs, *self._view.remote_hubs):
            if hub != self._self_id:
                self._outbox.send(hub, HubLevelsRequest())

    def _send_levels(self, hosts: Sequence[HostId], now: float) -> None:
        assert self._view is not None
        short = {level.workspace: level for level in self._ledger.low_levels(now)}
        if hosts:
            message = self._publisher.next_message(short, len(hosts), now)
            message = self._ledger.mark_reserved(message, now)
            size = RESERVED_LEVEL_BYTES * len(message.reserved)
            self._publisher.charge(size * len(hosts), now)
            for host in hosts:
                self._outbox.send(host, message)
        if self._view.hubs[0] == self._self_id and not self._is_cut_off(self._view):
            own = self._ledger.mark_reserved(Levels(tuple(short.values())), now)
            self._apply_levels(self._self_id, own, now)

    def resume(self, gap: float, now: float) -> None:
        """Discard hub levels from before the pause; cap local buckets at one token."""
        self._levels_received_at = float("-inf")
        for state in self._states.values():
            state.bucket.refill(now)
            state.bucket.level = min(state.bucket.level, 1.0)

    def _report_usage(self, now: float) -> None:
        assert self._view is not None
        self._ledger.count_host_report(
            self._self_id, self._incarnation, self.usages(now), now
        )
        primary, *standby = self._view.hubs
        self._send_use([primary], self._primary_reports, now)
        if now - self._last_standby_report_at >= STANDBY_REPORT_INTERVAL_SECONDS:
            self._send_use(standby, self._standby_reports, now)

    def _send_use(
        self, hubs: Iterable[HostId], reports: UseReports, now: float
    ) -> None:
        """Report the use of workspaces to other hosts, within the byte budget."""
        receivers = [hub for hub in hubs if hub != self._self_id]
        selected = reports.select(len(receivers), self._is_short, now)
        if not selected:
            return
        usages = tuple(
            self._usage(name, self._states[name], now, unreported)
            for name, unreported in selected.items()
            if name in self._states
        )
        for hub in receivers:
            self._outbox.send(hub, HostUse(usages))

    def usages(self, now: float) -> tuple[WorkspaceUsage, ...]:
        """Return the use of the workspaces that this host served lately."""
        return tuple(
            self._usage(name, state, now)
            for name, state in self._states.items()
            if now - state.last_used_at <= REPORT_AFTER_USE_SECONDS
        )

    @staticmethod
    def _usage(
        name: WorkspaceId, state: WorkspaceState, now: float, unreported: int = 0
    ) -> WorkspaceUsage:
        requested = state.admitted + state.refused
        recent = max(unreported, state.recent_use.total(now))
        unconfirmed = max(unreported, state.unconfirmed)
        return WorkspaceUsage(name, state.admitted, requested, recent, unconfirmed)

    def _report_to_remote_hubs(self, now: float) -> None:
        assert self._view is not None
        usages = self._ledger.local_usages(len(self._view.remote_hubs), now)
        if not usages:
            return
        message = ZoneUse(usages)
        for hub in self._view.remote_hubs:
            self._outbox.send(hub, message)
