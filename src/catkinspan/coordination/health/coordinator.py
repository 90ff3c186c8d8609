"""Coordinator of server health, on each host and on the hubs."""

from collections.abc import Mapping
from typing import ClassVar

from attrs import define

from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.health.assessor import Assessor
from catkinspan.coordination.health.const import (
    AVOIDED_CHECK_SECONDS,
    AVOIDED_RISK,
    MAX_PAUSE_SECONDS,
    MISDIRECTED_SECONDS,
    RECOVERED_RISK,
)
from catkinspan.coordination.health.count_reporter import CountReporter
from catkinspan.coordination.health.departures import Departures
from catkinspan.coordination.health.latencies import ExpectedLatencies, overdue_after
from catkinspan.coordination.health.models import (
    HostCounts,
    MissedStatesRequest,
    ServerAvoided,
    ServerBack,
    ServerCondition,
    ServerDraining,
    ServerMisdirected,
    ServerPaused,
    ServerReport,
    ServerStates,
    ServerStatus,
    ServerView,
    ServiceConditions,
    ServiceReport,
    ZoneCounts,
    index_digests,
    server_digest,
)
from catkinspan.coordination.health.observer import Observer
from catkinspan.coordination.health.publisher import StatePublisher
from catkinspan.coordination.health.subscriber import ReceivedState, StateSubscriber
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import (
    OWN_OUTCOMES,
    AttemptOutcome,
    AttemptStarted,
    OutcomeKind,
)
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, ServerId, ServiceId
from catkinspan.state.tree import SettingsTree, Upstream


@define
class _Server:
    """State of a published server."""

    service: ServiceId
    upstream: Upstream
    cold_until: float
    digest: int
    avoided_since: float | None = None
    is_avoided_logged: bool = False
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
        MissedStatesRequest,
    )

    def __init__(self, self_id: HostId, incarnation: int, outbox: Outbox) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._outbox = outbox
        self._view: FleetView | None = None
        self._servers: dict[ServerId, _Server] = {}
        self._services: Mapping[ServiceId, tuple[ServerId, ...]] = {}
        self._observer = Observer()
        self._departures = Departures()
        self._latencies = ExpectedLatencies()
        self._server_by_digest: dict[int, ServerId] = {}
        self._local_slots: dict[ServerId, int] = {}
        self._avoided: set[ServerId] = set()
        self._avoided_checked_at = float("-inf")
        self._assessor = Assessor()
        self._publisher = StatePublisher(self._assessor)
        self._subscriber = StateSubscriber()
        self._reporter = CountReporter(
            self_id, incarnation, self._observer, self._assessor, outbox
        )
        self._is_urgent = False
        """Whether the next report does not wait for the interval."""

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Replace the published servers; one with the same process keeps its state."""
        servers: dict[ServerId, _Server] = {}
        for service in tree.services.values():
            for upstream in service.upstreams:
                servers[upstream.id] = self._update_server(service.id, upstream, now)
        self._servers = servers
        self._departures.apply_servers({n: s.upstream for n, s in servers.items()})
        self._services = {
            service.id: tuple(u.id for u in service.upstreams)
            for service in tree.services.values()
        }
        self._server_by_digest = index_digests(servers)
        self._update_local_slots()
        self._avoided &= servers.keys()
        self._observer.follow(set(servers), now)
        self._assessor.keep_only(set(servers), now)
        self._publisher.keep_only(set(servers))

    def _update_local_slots(self) -> None:
        data_centre = self._data_centre
        self._local_slots = {
            server_id: max(1, server.upstream.slots)
            for server_id, server in self._servers.items()
            if server.upstream.data_centre == data_centre
        }

    @property
    def _data_centre(self) -> DataCentre | None:
        return None if self._view is None else self._view.self_data_centre

    def _update_server(
        self, service: ServiceId, upstream: Upstream, now: float
    ) -> _Server:
        known = self._servers.get(upstream.id)
        if known is None or known.upstream.process != upstream.process:
            cold_until = now + upstream.warmup.total_seconds()
            self._avoided.discard(upstream.id)
            return _Server(service, upstream, cold_until, server_digest(upstream.id))
        if known.upstream is upstream:
            return known
        if known.upstream != upstream:
            known.misdirected_until = float("-inf")
        known.upstream = upstream
        return known

    def apply_view(self, view: FleetView, now: float) -> None:
        """Use the hubs of the view; a change triggers a report of recent changes."""
        previous, self._view = self._view, view
        has_new_hubs = previous is None or view.hubs != previous.hubs
        self._reporter.apply_view(view, has_new_hubs)
        if has_new_hubs:
            self._subscriber.keep_only(view.hubs)
        if previous is None:
            self._update_local_slots()

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
        elif outcome.kind not in OWN_OUTCOMES:
            self._is_urgent = True
        server = self._servers.get(outcome.server)
        if server is None:
            return
        if outcome.server_draining and self._departures.record(server.upstream):
            self._outbox.emit(ServerDraining(outcome.service, outcome.server))
            self._observer.record_departure(outcome.server, now)
            self._is_urgent = True
        if outcome.server_pause:
            self._record_pause(outcome, now)
        if outcome.kind is OutcomeKind.MISDIRECTED:
            server.misdirected_until = now + MISDIRECTED_SECONDS
            self._outbox.emit(ServerMisdirected(outcome.service, outcome.server))
        self._update_avoided(outcome.server, server, now)

    def _record_pause(self, outcome: AttemptOutcome, now: float) -> None:
        seconds = min(outcome.server_pause, MAX_PAUSE_SECONDS)
        if not self._observer.record_pause(outcome.server, now + seconds, now):
            return
        self._is_urgent = True
        self._outbox.emit(ServerPaused(outcome.service, outcome.server, seconds))

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
        load_changed_at = own.started_at
        state = self._fleet_state(server_id, server, now)
        if state is not None:
            others = state.in_flight - state.own_in_flight_included
            in_flight = running + max(0, others)
            load_changed_at = max(load_changed_at, state.at)
            # Without evidence this host's estimate decays towards its stationary
            # value, while the hub's risk rests on the requests of the whole fleet.
            risk = state.risk_at(now)
            if own.estimate.risk > AVOIDED_RISK or own.overdue:
                risk = max(risk, own_risk)
        return ServerView(
            in_flight,
            risk,
            is_draining=self._departures.has_announced(server.upstream),
            is_cold=now < server.cold_until,
            is_misdirected=now < server.misdirected_until,
            state_age=self._subscriber.age(self._hubs, now),
            load_age=now - load_changed_at,
            pause_seconds=max(0.0, own.paused_until - now),
        )

    @property
    def _hubs(self) -> tuple[HostId, ...]:
        return () if self._view is None else self._view.hubs

    def _fleet_state(
        self, server_id: ServerId, server: _Server, now: float
    ) -> ReceivedState | None:
        if self._server_by_digest.get(server.digest) != server_id:
            return None
        return self._subscriber.state(server.digest, self._hubs, now)

    def report(self, service: ServiceId, now: float) -> ServiceReport | None:
        """Return the health of a service, None for an unknown one."""
        names = self._services.get(service)
        if names is None:
            return None
        return ServiceReport(service, tuple(self._server_report(n, now) for n in names))

    def conditions(self, service: ServiceId, now: float) -> ServiceConditions | None:
        """Return the statuses of the servers of a service, None for an unknown one."""
        names = self._services.get(service)
        if names is None:
            return None
        servers = ((name, self._servers[name]) for name in names)
        return ServiceConditions(
            service,
            tuple(
                ServerCondition(name, self._status(server, now), server.avoided_since)
                for name, server in servers
            ),
        )

    def _server_report(self, server_id: ServerId, now: float) -> ServerReport:
        server = self._servers[server_id]
        view = self.server_view(server_id, now)
        own = self._observer.attempts_at(server_id, now)
        return ServerReport(
            server_id,
            self._status(server, now),
            server.avoided_since,
            round(view.risk, 3),
            round(own.estimate.risk, 3),
            view.in_flight,
            own.overdue,
            view.state_age,
        )

    def _status(self, server: _Server, now: float) -> ServerStatus:
        if server.upstream.leaving:
            return ServerStatus.LEAVING
        if self._departures.has_announced(server.upstream):
            return ServerStatus.DRAINING
        if now < server.misdirected_until:
            return ServerStatus.MISDIRECTED
        if server.avoided_since is not None:
            return ServerStatus.AVOIDED
        return ServerStatus.COLD if now < server.cold_until else ServerStatus.HEALTHY

    # Peers

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Add the counts of a host or hub, or apply the states that a hub sends."""
        match message:
            case HostCounts(counts):
                self._assessor.add_host_counts(
                    sender.host, sender.incarnation, counts, now
                )
            case ZoneCounts(counts):
                record = self._view and self._view.hosts.get(sender.host)
                if record:
                    data_centre = record.data_centre
                    self._assessor.add_data_centre_counts(
                        sender.host, data_centre, sender.incarnation, counts, now
                    )
            case ServerStates():
                self._apply_states(message, sender, now)
            case MissedStatesRequest(since):
                answer = self._publisher.catch_up(since, now)
                if answer is not None:
                    self._outbox.send(sender.host, answer)

    def _apply_states(self, message: ServerStates, sender: Sender, now: float) -> None:
        if sender.host not in self._hubs:
            return
        servers = {
            state.server: server
            for state in message.states
            if (server := self._server_by_digest.get(state.server)) is not None
        }
        own_in_flight = {
            digest: self._observer.attempts_at(server, now).reported_in_flight
            for digest, server in servers.items()
        }
        changed = self._subscriber.receive(message, sender, own_in_flight, now)
        for digest in changed:
            if digest in servers:
                server = servers[digest]
                self._update_avoided(server, self._servers[server], now)

    def _update_avoided(self, server_id: ServerId, server: _Server, now: float) -> None:
        """Note when a server becomes avoided or has recovered, and emit an event.

        The evidence of the fleet is logged by the hubs only. If each host repeated it,
        the events would grow with the number of hosts times that of servers.
        """
        if server.avoided_since is None and not self._may_be_bad(
            server_id, server, now
        ):
            return
        view = self.server_view(server_id, now)
        if server.avoided_since is None and view.risk >= AVOIDED_RISK:
            server.avoided_since = now
            self._avoided.add(server_id)
            state = self._fleet_state(server_id, server, now)
            is_fleet = state is not None and state.risk_at(now) >= AVOIDED_RISK
            server.is_avoided_logged = self._is_hub or not is_fleet
            if server.is_avoided_logged:
                self._emit_avoided(server_id, server, view.risk, is_fleet, now)
        elif server.avoided_since is not None and view.risk <= RECOVERED_RISK:
            seconds = round(now - server.avoided_since, 3)
            server.avoided_since = None
            self._avoided.discard(server_id)
            if server.is_avoided_logged:
                self._outbox.emit(ServerBack(server.service, server_id, seconds))

    def _may_be_bad(self, server_id: ServerId, server: _Server, now: float) -> bool:
        """Return whether any latest risk is that of an avoided server.

        Risks decay towards a lower value, so no later view has one either.
        """
        own = self._observer.attempts_at(server_id, now)
        if own.estimate.risk >= AVOIDED_RISK:
            return True
        state = self._fleet_state(server_id, server, now)
        return state is not None and state.risk >= AVOIDED_RISK

    @property
    def _is_hub(self) -> bool:
        return self._view is not None and self._view.is_hub

    def _emit_avoided(
        self,
        server_id: ServerId,
        server: _Server,
        risk: float,
        is_fleet: bool,
        now: float,
    ) -> None:
        own = self._observer.attempts_at(server_id, now)
        self._outbox.emit(
            ServerAvoided(
                server.service,
                server_id,
                round(risk, 3),
                round(own.estimate.risk, 3),
                own.overdue,
                "fleet" if is_fleet else "own",
            )
        )

    def _check_avoided(self, now: float) -> None:
        """Check the avoided servers, whose risk decays without a message."""
        if now - self._avoided_checked_at < AVOIDED_CHECK_SECONDS:
            return
        self._avoided_checked_at = now
        for server_id in sorted(self._avoided):
            self._update_avoided(server_id, self._servers[server_id], now)

    # Time

    def next_overdue(self) -> float:
        """Return when the next attempt becomes overdue, in monotonic seconds."""
        return self._observer.next_overdue()

    def tick(self, now: float) -> None:
        """Mark overdue attempts, report to the hubs, and send states as a hub."""
        self._observer.end_pauses(now)
        if self._observer.mark_overdue(now):
            self._is_urgent = True
        self._check_avoided(now)
        if self._view is None:
            return
        if self._reporter.report_to_primary(self._view, self._is_urgent, now):
            self._is_urgent = False
        self._send_states(self._view, now)
        for hub, since in self._subscriber.missed_states(self._view.hubs, now):
            self._outbox.send(hub, MissedStatesRequest(since))
        self._reporter.report_to_others(self._view, now)

    def _send_states(self, view: FleetView, now: float) -> None:
        """Send the fleet's states to the followers, and apply them on this host."""
        if not view.primary_followers and not view.is_hub:
            return
        self._assessor.recount(now)
        message = self._publisher.next_message(
            len(view.primary_followers), self._local_slots, now
        )
        if message is None:
            return
        for host in view.primary_followers:
            self._outbox.send(host, message)
        self._apply_states(message, Sender(self._self_id, self._incarnation), now)

    def resume(self, gap: float, now: float) -> None:
        """Drop all states that were received before a pause."""
        self._subscriber.clear()
