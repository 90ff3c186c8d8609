"""Coordinator of server health, on each host and on the hubs."""

from collections.abc import Iterable, Mapping
from typing import ClassVar

from attrs import define

from catkinspan.coordination.const import (
    STANDBY_REPORT_INTERVAL_SECONDS,
    TICK_INTERVAL_SECONDS,
)
from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.health.assessor import Assessor
from catkinspan.coordination.health.const import (
    AVOIDED_RISK,
    BASE_INTERVAL_HOSTS,
    DRAIN_SIGNAL_SECONDS,
    FULL_REPORT_SECONDS,
    LOAD_REPORT_SECONDS,
    MAX_STATE_AGE_SECONDS,
    MISDIRECTED_SECONDS,
    RECOVERED_RISK,
    REMOTE_LOAD_REPORT_SECONDS,
)
from catkinspan.coordination.health.latencies import ExpectedLatencies, overdue_after
from catkinspan.coordination.health.models import (
    HostCounts,
    ServerAvoided,
    ServerBack,
    ServerDraining,
    ServerMisdirected,
    ServerReport,
    ServerState,
    ServerStates,
    ServerStatus,
    ServerView,
    ServiceReport,
    ZoneCounts,
)
from catkinspan.coordination.health.observer import Observer
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import (
    AttemptOutcome,
    AttemptStarted,
    OutcomeKind,
)
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, ServerId, ServiceId
from catkinspan.state.tree import SettingsTree, Upstream


@define
class _Server:
    """State of a published server."""

    service: ServiceId
    upstream: Upstream
    cold_until: float
    fleet_state: ServerState | None = None
    """Latest state from the first hub in the list that sends states."""

    fleet_state_at: float = float("-inf")
    hub_index: int = 0
    """Index of that hub in the list of hubs."""

    own_in_flight_included: int = 0
    """Requests of this host that the in-flight count of `fleet_state` includes."""

    avoided_since: float | None = None
    draining_until: float = float("-inf")
    misdirected_until: float = float("-inf")


class HealthCoordinator(BaseCoordinator):
    """Combines the evidence of all hosts on each server.

    Hosts report counts of their attempts to their hubs. The hubs of all data centres
    exchange totals and send each host the load and the risk of each server. Overdue
    requests are reported at once. The evidence of this host counts as well, since a
    network path may be bad from this host only.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (
        HostCounts,
        ZoneCounts,
        ServerStates,
    )

    def __init__(self, self_id: HostId, incarnation: int, outbox: Outbox) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._outbox = outbox
        self._view: FleetView | None = None
        self._servers: dict[ServerId, _Server] = {}
        self._services: Mapping[ServiceId, tuple[ServerId, ...]] = {}
        self._observer = Observer()
        self._latencies = ExpectedLatencies()
        self._assessor = Assessor()
        self._reported_at = float("-inf")
        self._full_report_at = float("-inf")
        self._standby_report_at = float("-inf")
        self._remote_report_at = float("-inf")
        self._remote_full_report_at = float("-inf")
        self._is_urgent = False
        """Whether the next tick reports without waiting for the interval."""

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Replace the published servers; one with the same process keeps its state."""
        servers: dict[ServerId, _Server] = {}
        for service in tree.services.values():
            for upstream in service.upstreams:
                servers[upstream.id] = self._update_server(service.id, upstream, now)
        self._servers = servers
        self._services = {
            service.id: tuple(u.id for u in service.upstreams)
            for service in tree.services.values()
        }
        self._observer.keep_only(set(servers))
        self._assessor.keep_only(set(servers), now)

    def _update_server(
        self, service: ServiceId, upstream: Upstream, now: float
    ) -> _Server:
        known = self._servers.get(upstream.id)
        if known is None or known.upstream.process != upstream.process:
            cold_until = now + upstream.warmup.total_seconds()
            return _Server(service, upstream, cold_until)
        if known.upstream != upstream:
            known.misdirected_until = float("-inf")
        known.upstream = upstream
        return known

    def apply_view(self, view: FleetView, now: float) -> None:
        """Use the hubs of the view; a change triggers a full report."""
        if self._view is None or view.hubs != self._view.hubs:
            self._full_report_at = float("-inf")
        self._view = view

    # Evidence

    def expected_latency(self, request_class: str, target: float | None) -> float:
        """Return the expected latency in seconds of a class of requests."""
        return self._latencies.expected_latency(request_class, target)

    def record_start(
        self, started: AttemptStarted, target: float | None, now: float
    ) -> None:
        """Add an attempt that is sent now."""
        server = self._servers.get(started.server)
        expected = self._latencies.expected_latency(started.request_class, target)
        in_flight = self.server_view(started.server, now).in_flight
        slots = 1 if server is None else server.upstream.slots
        limit = overdue_after(expected, in_flight + 1, slots)
        if server is not None and now < server.cold_until:
            limit *= 2.0
        key = (started.request_id, started.attempt)
        self._observer.record_start(started.server, key, limit, now)

    def record_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome of an attempt as evidence on its server."""
        succeeded = self._observer.record_end(outcome, now)
        if succeeded:
            self._latencies.record(outcome.request_class, outcome.latency)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            self._is_urgent = True
        server = self._servers.get(outcome.server)
        if server is None:
            return
        if outcome.server_draining and now >= server.draining_until:
            self._outbox.emit(ServerDraining(outcome.service, outcome.server))
        if outcome.server_draining:
            server.draining_until = now + DRAIN_SIGNAL_SECONDS
        if outcome.kind is OutcomeKind.MISDIRECTED:
            server.misdirected_until = now + MISDIRECTED_SECONDS
            self._outbox.emit(ServerMisdirected(outcome.service, outcome.server))
        self._update_avoided(outcome.server, server, now)

    # State of servers

    def server_view(self, server_id: ServerId, now: float) -> ServerView:
        """Return the current load and risk of a server."""
        own = self._observer.attempts_at(server_id, now)
        own_risk = own.estimate.decay_to(now)
        running = len(own.running)
        server = self._servers.get(server_id)
        if server is None:
            return ServerView(running, own_risk)
        in_flight, risk = running, own_risk
        if (
            server.fleet_state is not None
            and now - server.fleet_state_at <= MAX_STATE_AGE_SECONDS
        ):
            others = server.fleet_state.in_flight - server.own_in_flight_included
            in_flight = running + max(0, others)
            # Without evidence this host's estimate decays towards its stationary
            # value, while the hub's risk rests on the requests of the whole fleet.
            risk = server.fleet_state.risk
            if own.estimate.risk > AVOIDED_RISK or own.overdue:
                risk = max(risk, own_risk)
        return ServerView(
            in_flight,
            risk,
            is_draining=server.upstream.leaving or now < server.draining_until,
            is_cold=now < server.cold_until,
            is_misdirected=now < server.misdirected_until,
        )

    def report(self, service: ServiceId, now: float) -> ServiceReport | None:
        """Return the health of a service, None for an unknown one."""
        names = self._services.get(service)
        if names is None:
            return None
        return ServiceReport(service, tuple(self._server_report(n, now) for n in names))

    def _server_report(self, server_id: ServerId, now: float) -> ServerReport:
        server = self._servers[server_id]
        view = self.server_view(server_id, now)
        own = self._observer.attempts_at(server_id, now)
        age = now - server.fleet_state_at
        return ServerReport(
            server_id,
            _server_status(server, view),
            server.avoided_since,
            round(view.risk, 3),
            round(own.estimate.risk, 3),
            view.in_flight,
            own.overdue,
            None if age == float("inf") else age,
        )

    # Peers

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Add the counts of a host or hub, or apply the states that a hub sends."""
        match message:
            case HostCounts(counts):
                if self._assessor.add_host_counts(
                    sender.host, sender.incarnation, counts, now
                ):
                    self._is_urgent = True
            case ZoneCounts(counts):
                record = self._view and self._view.hosts.get(sender.host)
                if record:
                    data_centre = record.data_centre
                    if self._assessor.add_data_centre_counts(
                        sender.host, data_centre, sender.incarnation, counts, now
                    ):
                        self._is_urgent = True
            case ServerStates(states):
                self._apply_states(sender.host, states, now)

    def _apply_states(
        self, hub: HostId, states: tuple[ServerState, ...], now: float
    ) -> None:
        hubs = self._view.hubs if self._view is not None else ()
        if hub not in hubs:
            return
        hub_index = hubs.index(hub)
        for state in states:
            server = self._servers.get(state.server)
            if server is None:
                continue
            is_fresh = now - server.fleet_state_at <= MAX_STATE_AGE_SECONDS
            if is_fresh and hub_index > server.hub_index:
                continue
            own = self._observer.attempts_at(state.server, now)
            risk_changed = (
                server.fleet_state is None or server.fleet_state.risk != state.risk
            )
            server.fleet_state, server.fleet_state_at, server.hub_index = (
                state,
                now,
                hub_index,
            )
            server.own_in_flight_included = min(own.reported_in_flight, state.in_flight)
            if risk_changed:
                self._update_avoided(state.server, server, now)

    def _update_avoided(self, server_id: ServerId, server: _Server, now: float) -> None:
        """Emit an event when a server becomes avoided or has recovered."""
        view = self.server_view(server_id, now)
        if server.avoided_since is None and view.risk >= AVOIDED_RISK:
            server.avoided_since = now
            own = self._observer.attempts_at(server_id, now)
            fleet_risk = (
                server.fleet_state.risk if server.fleet_state is not None else 0.0
            )
            evidence = "fleet" if fleet_risk >= AVOIDED_RISK else "own"
            self._outbox.emit(
                ServerAvoided(
                    server.service,
                    server_id,
                    round(view.risk, 3),
                    round(own.estimate.risk, 3),
                    own.overdue,
                    evidence,
                )
            )
        elif server.avoided_since is not None and view.risk <= RECOVERED_RISK:
            seconds = round(now - server.avoided_since, 3)
            server.avoided_since = None
            self._outbox.emit(ServerBack(server.service, server_id, seconds))

    # Time

    def next_overdue(self) -> float:
        """Return when the next attempt becomes overdue, in monotonic seconds."""
        return self._observer.next_overdue()

    def tick(self, now: float) -> None:
        """Mark overdue attempts, report to the hubs, and send states as a hub."""
        if self._observer.mark_overdue(now):
            self._is_urgent = True
        if self._view is None:
            return
        interval = LOAD_REPORT_SECONDS * max(
            1.0, self._view.known_count / BASE_INTERVAL_HOSTS
        )
        # Half a tick of tolerance, since ticks arrive late.
        if (
            now - self._reported_at < interval - TICK_INTERVAL_SECONDS / 2
            and not self._is_urgent
        ):
            return
        since, self._reported_at = self._reported_at, now
        self._is_urgent = False
        is_full = now - self._full_report_at >= FULL_REPORT_SECONDS
        if is_full:
            self._full_report_at = now
        self._report_to_primary(since, is_full, now)
        self._send_states(since, is_full, now)
        if self._view.hubs[0] == self._self_id:
            self._report_to_remote_hubs(now)
        if now - self._standby_report_at >= STANDBY_REPORT_INTERVAL_SECONDS:
            self._report_to_standby(self._standby_report_at, now)
            self._standby_report_at = now

    def _report_to_primary(self, since: float, is_full: bool, now: float) -> None:
        """Send counts to the primary hub, and add them on this host."""
        assert self._view is not None
        counts = self._observer.report(since, is_full)
        if not counts:
            return
        self._assessor.add_host_counts(self._self_id, self._incarnation, counts, now)
        if self._view.hubs[0] != self._self_id:
            self._outbox.send(self._view.hubs[0], HostCounts(counts))

    def _report_to_standby(self, since: float, now: float) -> None:
        """Send changed counts to the standby hubs, so that they can take over."""
        assert self._view is not None
        counts = self._observer.report(since, is_full=False)
        for hub in self._view.hubs[1:]:
            if hub != self._self_id and counts:
                self._outbox.send(hub, HostCounts(counts))
        if self._view.hubs[0] == self._self_id:
            primary = self._view.primary_remote_hubs
            others = [hub for hub in self._view.remote_hubs if hub not in primary]
            self._send_data_centre_counts(others, since, now)

    def _send_states(self, since: float, is_full: bool, now: float) -> None:
        """Send the fleet's states to the followers, and apply them on this host."""
        assert self._view is not None
        is_hub = self._self_id in self._view.hubs
        if not self._view.primary_followers and not is_hub:
            return
        assessor = self._assessor
        names = assessor.known_servers() if is_full else assessor.changed_since(since)
        if not names:
            return
        message = ServerStates(tuple(assessor.states(names, now)))
        for host in self._view.primary_followers:
            self._outbox.send(host, message)
        if is_hub:
            self._apply_states(self._self_id, message.states, now)

    def _report_to_remote_hubs(self, now: float) -> None:
        """Report changed totals to the primary hub of each other data centre."""
        assert self._view is not None
        if now - self._remote_report_at < REMOTE_LOAD_REPORT_SECONDS:
            return
        since, self._remote_report_at = self._remote_report_at, now
        if now - self._remote_full_report_at >= FULL_REPORT_SECONDS:
            since, self._remote_full_report_at = float("-inf"), now
        self._send_data_centre_counts(self._view.primary_remote_hubs, since, now)

    def _send_data_centre_counts(
        self, hubs: Iterable[HostId], since: float, now: float
    ) -> None:
        """Send totals that changed since a time to hubs of other data centres."""
        counts = self._assessor.data_centre_counts(since, now)
        if not counts:
            return
        message = ZoneCounts(counts)
        for hub in hubs:
            self._outbox.send(hub, message)

    def resume(self, gap: float, now: float) -> None:
        """Expire all states that were received before a pause."""
        for server in self._servers.values():
            server.fleet_state_at = float("-inf")


def _server_status(server: _Server, view: ServerView) -> ServerStatus:
    if server.upstream.leaving:
        return ServerStatus.LEAVING
    if view.is_draining:
        return ServerStatus.DRAINING
    if view.is_misdirected:
        return ServerStatus.MISDIRECTED
    if server.avoided_since is not None:
        return ServerStatus.AVOIDED
    return ServerStatus.COLD if view.is_cold else ServerStatus.HEALTHY
