"""Owner of the evidence on servers, on each host and as a hub."""

from collections.abc import Iterable, Mapping
from typing import ClassVar

from attrs import define

from catkinspan.coordination.concern import BaseCoordinator
from catkinspan.coordination.const import (
    STANDBY_REPORT_INTERVAL_SECONDS,
    TICK_INTERVAL_SECONDS,
)
from catkinspan.coordination.health.assessor import Assessor
from catkinspan.coordination.health.const import (
    AVOIDED_RISK,
    BACK_RISK,
    DRAIN_SECONDS,
    FLEET_FRESH_SECONDS,
    FULL_SECONDS,
    GONE_SECONDS,
    LOAD_HOSTS,
    LOAD_SECONDS,
    REMOTE_LOAD_SECONDS,
)
from catkinspan.coordination.health.latencies import UsualLatencies, overdue_after
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
    """A published server."""

    service: ServiceId
    upstream: Upstream
    cold_until: float
    told: ServerState | None = None
    """What the first hub that answers tells."""

    told_at: float = float("-inf")
    told_by: int = 0
    """Place of that hub among the hubs."""

    own_in_flight_told: int = 0
    """The own host's requests in flight that the hub's number contains."""

    avoided_since: float | None = None
    draining_until: float = float("-inf")
    misdirected_until: float = float("-inf")


class HealthCoordinator(BaseCoordinator):
    """Pools the evidence of all hosts on each server.

    Hosts report counts of their attempts to their hubs; hubs of all data centres
    exchange sums and tell each host the load and the risk of each server. Overdue
    requests are told at once. What the own host sees by itself counts as well, for
    paths that are bad from here only.
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
        self._latencies = UsualLatencies()
        self._assessor = Assessor()
        self._reported_at = float("-inf")
        self._full_at = float("-inf")
        self._standby_at = float("-inf")
        self._remote_at = float("-inf")
        self._remote_full_at = float("-inf")
        self._urgent = False
        """Whether something was seen that others should hear at once."""

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the published servers."""
        servers: dict[ServerId, _Server] = {}
        for service in tree.services.values():
            for upstream in service.upstreams:
                servers[upstream.id] = self._published(service.id, upstream, now)
        self._servers = servers
        self._services = {
            service.id: tuple(u.id for u in service.upstreams)
            for service in tree.services.values()
        }
        self._observer.keep_only(set(servers))
        self._assessor.forget(set(servers), now)

    def _published(self, service: ServiceId, upstream: Upstream, now: float) -> _Server:
        known = self._servers.get(upstream.id)
        if known is None or known.upstream.process != upstream.process:
            cold_until = now + upstream.warmup.total_seconds()
            return _Server(service, upstream, cold_until)
        if known.upstream != upstream:
            known.misdirected_until = float("-inf")
        known.upstream = upstream
        return known

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the hubs."""
        if self._view is None or view.hubs != self._view.hubs:
            self._full_at = float("-inf")
        self._view = view

    # Evidence

    def usual_latency(self, request_class: str, target: float | None) -> float:
        """Return the usual latency of a class of requests, in seconds."""
        return self._latencies.expect(request_class, target)

    def record_start(
        self, started: AttemptStarted, target: float | None, now: float
    ) -> None:
        """Note an attempt that is sent now."""
        server = self._servers.get(started.server)
        usual = self._latencies.expect(started.request_class, target)
        in_flight = self.view_of(started.server, now).in_flight
        slots = 1 if server is None else server.upstream.slots
        limit = overdue_after(usual, in_flight + 1, slots)
        if server is not None and now < server.cold_until:
            limit *= 2.0
        key = (started.request_id, started.attempt)
        self._observer.start(started.server, key, limit, now)

    def record(self, outcome: AttemptOutcome, now: float) -> None:
        """Take the outcome of an attempt as evidence."""
        succeeded = self._observer.finish(outcome, now)
        if succeeded:
            self._latencies.record(outcome.request_class, outcome.latency)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            self._urgent = True
        server = self._servers.get(outcome.server)
        if server is None:
            return
        if outcome.server_draining and now >= server.draining_until:
            self._outbox.emit(ServerDraining(outcome.service, outcome.server))
        if outcome.server_draining:
            server.draining_until = now + DRAIN_SECONDS
        if outcome.kind is OutcomeKind.MISDIRECTED:
            server.misdirected_until = now + GONE_SECONDS
            self._outbox.emit(ServerMisdirected(outcome.service, outcome.server))
        self._follow(outcome.server, server, now)

    # Answers

    def view_of(self, server_id: ServerId, now: float) -> ServerView:
        """Return what is believed of a server now."""
        own = self._observer.server(server_id, now)
        own_risk = own.belief.drift(now)
        running = len(own.running)
        server = self._servers.get(server_id)
        if server is None:
            return ServerView(running, own_risk)
        in_flight, risk = running, own_risk
        if server.told is not None and now - server.told_at <= FLEET_FRESH_SECONDS:
            others = server.told.in_flight - server.own_in_flight_told
            in_flight = running + max(0, others)
            # The own belief goes back to its resting value, the fleet's one knows.
            risk = server.told.risk
            if own.belief.risk > AVOIDED_RISK or own.overdue:
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
        return ServiceReport(service, tuple(self._report(n, now) for n in names))

    def _report(self, server_id: ServerId, now: float) -> ServerReport:
        server = self._servers[server_id]
        view = self.view_of(server_id, now)
        own = self._observer.server(server_id, now)
        age = now - server.told_at
        return ServerReport(
            server_id,
            _standing(server, view),
            server.avoided_since,
            round(view.risk, 3),
            round(own.belief.risk, 3),
            view.in_flight,
            own.overdue,
            None if age == float("inf") else age,
        )

    # Peers

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Count reports of others, or take over what a hub tells."""
        match message:
            case HostCounts(counts):
                if self._assessor.count_host(
                    sender.host, sender.incarnation, counts, now
                ):
                    self._urgent = True
            case ZoneCounts(counts):
                record = self._view and self._view.hosts.get(sender.host)
                if record:
                    place = record.data_centre
                    if self._assessor.count_zone(
                        sender.host, place, sender.incarnation, counts, now
                    ):
                        self._urgent = True
            case ServerStates(states):
                self._take_states(sender.host, states, now)

    def _take_states(
        self, hub: HostId, states: tuple[ServerState, ...], now: float
    ) -> None:
        hubs = self._view.hubs if self._view is not None else ()
        if hub not in hubs:
            return
        place = hubs.index(hub)
        for state in states:
            server = self._servers.get(state.server)
            if server is None:
                continue
            is_fresh = now - server.told_at <= FLEET_FRESH_SECONDS
            if is_fresh and place > server.told_by:
                continue
            own = self._observer.server(state.server, now)
            changed = server.told is None or server.told.risk != state.risk
            server.told, server.told_at, server.told_by = state, now, place
            server.own_in_flight_told = min(own.reported, state.in_flight)
            if changed:
                self._follow(state.server, server, now)

    def _follow(self, server_id: ServerId, server: _Server, now: float) -> None:
        """Report when a server becomes avoided or is back."""
        view = self.view_of(server_id, now)
        if server.avoided_since is None and view.risk >= AVOIDED_RISK:
            server.avoided_since = now
            own = self._observer.server(server_id, now)
            told = server.told.risk if server.told is not None else 0.0
            evidence = "fleet" if told >= AVOIDED_RISK else "own"
            self._outbox.emit(
                ServerAvoided(
                    server.service,
                    server_id,
                    round(view.risk, 3),
                    round(own.belief.risk, 3),
                    own.overdue,
                    evidence,
                )
            )
        elif server.avoided_since is not None and view.risk <= BACK_RISK:
            seconds = round(now - server.avoided_since, 3)
            server.avoided_since = None
            self._outbox.emit(ServerBack(server.service, server_id, seconds))

    # Time

    def next_overdue(self) -> float:
        """Return when the next attempt becomes overdue, in monotonic seconds."""
        return self._observer.next_overdue()

    def tick(self, now: float) -> None:
        """Find overdue attempts, report to hubs and answer as a hub."""
        if self._observer.note_overdue(now):
            self._urgent = True
        if self._view is None:
            return
        interval = LOAD_SECONDS * max(1.0, self._view.known_count / LOAD_HOSTS)
        # Half a tick is left to the ticks' own delay.
        if (
            now - self._reported_at < interval - TICK_INTERVAL_SECONDS / 2
            and not self._urgent
        ):
            return
        since, self._reported_at = self._reported_at, now
        self._urgent = False
        is_full = now - self._full_at >= FULL_SECONDS
        if is_full:
            self._full_at = now
        self._report_own(since, is_full, now)
        self._answer(since, is_full, now)
        if self._view.hubs[0] == self._self_id:
            self._tell_first_remote(now)
        if now - self._standby_at >= STANDBY_REPORT_INTERVAL_SECONDS:
            self._report_to_standby(self._standby_at, now)
            self._standby_at = now

    def _report_own(self, since: float, is_full: bool, now: float) -> None:
        assert self._view is not None
        counts = self._observer.report(since, is_full)
        if not counts:
            return
        self._assessor.count_host(self._self_id, self._incarnation, counts, now)
        if self._view.hubs[0] != self._self_id:
            self._outbox.send(self._view.hubs[0], HostCounts(counts))

    def _report_to_standby(self, since: float, now: float) -> None:
        """Tell the other hubs what changed, so that they can take over."""
        assert self._view is not None
        counts = self._observer.report(since, is_full=False)
        for hub in self._view.hubs[1:]:
            if hub != self._self_id and counts:
                self._outbox.send(hub, HostCounts(counts))
        if self._view.hubs[0] == self._self_id:
            first = self._view.primary_remote_hubs
            others = [hub for hub in self._view.remote_hubs if hub not in first]
            self._tell_remote(others, since, now)

    def _answer(self, since: float, is_full: bool, now: float) -> None:
        """Tell followers, and the own host, what the fleet knows."""
        assert self._view is not None
        is_own_hub = self._self_id in self._view.hubs
        if not self._view.primary_followers and not is_own_hub:
            return
        assessor = self._assessor
        names = assessor.known() if is_full else assessor.changed_since(since)
        if not names:
            return
        message = ServerStates(tuple(assessor.states(names, now)))
        for host in self._view.primary_followers:
            self._outbox.send(host, message)
        if is_own_hub:
            self._take_states(self._self_id, message.states, now)

    def _tell_first_remote(self, now: float) -> None:
        """Tell the first hub of each other data centre the news of this one."""
        assert self._view is not None
        if now - self._remote_at < REMOTE_LOAD_SECONDS:
            return
        since, self._remote_at = self._remote_at, now
        if now - self._remote_full_at >= FULL_SECONDS:
            since, self._remote_full_at = float("-inf"), now
        self._tell_remote(self._view.primary_remote_hubs, since, now)

    def _tell_remote(self, hubs: Iterable[HostId], since: float, now: float) -> None:
        """Tell hubs of other data centres the sums that changed since a moment."""
        counts = self._assessor.zone_counts(since, now)
        if not counts:
            return
        message = ZoneCounts(counts)
        for hub in hubs:
            self._outbox.send(hub, message)

    def resume(self, gap: float, now: float) -> None:
        """Use nothing that was told before a pause."""
        for server in self._servers.values():
            server.told_at = float("-inf")


def _standing(server: _Server, view: ServerView) -> ServerStatus:
    if server.upstream.leaving:
        return ServerStatus.LEAVING
    if view.is_draining:
        return ServerStatus.DRAINING
    if view.is_misdirected:
        return ServerStatus.MISDIRECTED
    if server.avoided_since is not None:
        return ServerStatus.AVOIDED
    return ServerStatus.COLD if view.is_cold else ServerStatus.HEALTHY
