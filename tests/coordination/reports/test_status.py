"""Tests of the state of services and of what a host reports as unknown."""

from datetime import UTC, datetime

import pytest

from catkinspan.coordination.configuration.models import ConfigurationSnapshot
from catkinspan.coordination.const import TICK_INTERVAL_SECONDS
from catkinspan.coordination.health.models import (
    ServerCondition,
    ServerReport,
    ServerStatus,
    ServiceConditions,
    ServiceReport,
)
from catkinspan.coordination.membership.models import MembershipSnapshot
from catkinspan.coordination.metrics.coordinator import MetricsCoordinator
from catkinspan.coordination.metrics.models import (
    FinishedRequest,
    ResultCategory,
    ResultCounts,
)
from catkinspan.coordination.rates.models import RatesSnapshot, WorkspaceRates
from catkinspan.coordination.reports.assess import assess
from catkinspan.coordination.reports.clock_reading import ClockReading
from catkinspan.coordination.reports.const import ASSESSMENT_INTERVAL_SECONDS
from catkinspan.coordination.reports.gather import (
    HostFacts,
    ServiceFacts,
    WorkspaceFacts,
)
from catkinspan.coordination.reports.health_state import HealthState
from catkinspan.coordination.reports.history import StatusHistory, TrackedState
from catkinspan.coordination.reports.models import (
    LimitedBy,
    StatusReport,
)
from catkinspan.coordination.reports.status import status_report
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import (
    DataCentre,
    HostId,
    KeyId,
    Revision,
    ServerId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Address, KeyEntry, Service, SettingsTree, Workspace

SERVICE = ServiceId("laboratorio")
MUSEUM = WorkspaceId("museum")
SELF, PEER = HostId("host-1"), HostId("host-2")
PLACE = DataCentre("lecco")
AT = datetime(2026, 12, 4, 12, tzinfo=UTC)
NOW = 1000.0
S = ServerStatus


def health_of(*states: ServerStatus, since: float = 900.0) -> ServiceReport:
    servers = tuple(
        ServerReport(
            ServerId(f"s-{n}"),
            state,
            since if state is S.AVOIDED else None,
            0.8 if state is S.AVOIDED else 0.01,
            0.1,
            2,
            0,
            0.4,
        )
        for n, state in enumerate(states)
    )
    return ServiceReport(SERVICE, servers)


def result_counts(**counts: int) -> ResultCounts:
    return ResultCounts({ResultCategory(name): count for name, count in counts.items()})


@pytest.mark.parametrize(
    ("states", "recent", "expected"),
    [
        ((S.HEALTHY, S.HEALTHY), {}, HealthState.UP),
        ((S.HEALTHY, S.HEALTHY, S.COLD, S.DRAINING, S.LEAVING), {}, HealthState.UP),
        ((S.HEALTHY, S.AVOIDED), {}, HealthState.DEGRADED),
        ((S.HEALTHY, S.MISDIRECTED), {}, HealthState.DEGRADED),
        ((S.AVOIDED, S.MISDIRECTED), {}, HealthState.DOWN),
        ((), {}, HealthState.DOWN),
        ((S.HEALTHY,), {"served": 90, "failed": 10}, HealthState.DEGRADED),
        ((S.HEALTHY,), {"served": 10, "failed": 10}, HealthState.DOWN),
        ((S.HEALTHY,), {"served": 90, "capacity": 10}, HealthState.DEGRADED),
        # Too few requests are no evidence, and refusals by rate or key are no failures.
        ((S.HEALTHY,), {"failed": 9}, HealthState.UP),
        ((S.HEALTHY,), {"served": 10, "rate": 90, "key": 90}, HealthState.UP),
    ],
)
def test_service_state_by_servers_and_requests(states, recent, expected) -> None:
    """Guards against a false `down`, which pages operators, and against a false `up`,
    which hides an outage."""
    assert assess(health_of(*states), result_counts(**recent)).state is expected


def test_avoided_servers_are_named() -> None:
    reasons = assess(health_of(S.HEALTHY, S.AVOIDED), result_counts()).reasons
    assert reasons == ("1 avoided: s-1",)


def report(
    health: ServiceReport | None = None,
    contact_age: float | None = 0.2,
    isolated: bool = False,
    peer_last_seen_at: float = NOW,
    last_hub_message_at: float | None = NOW,
    since: float | None = None,
    recent: ResultCounts | None = None,
) -> StatusReport:
    records = {h: HostRecord(h, PLACE, Address("127.0.0.1", 1)) for h in (SELF, PEER)}
    usable = (SELF, PEER) if peer_last_seen_at > NOW - 2 else (SELF,)
    view = FleetView(SELF, PLACE, records, usable, (PEER, SELF))
    workspace = Workspace(MUSEUM, (KeyEntry(KeyId("k"), b"\1" * 32),), 5, 10)
    facts = HostFacts(
        NOW,
        SettingsTree(Revision(7), workspaces={MUSEUM: workspace}),
        MembershipSnapshot(view, {PEER: peer_last_seen_at}, last_hub_message_at),
        ConfigurationSnapshot(
            Revision(7), Revision(9), (), None, True, contact_age, True, 4
        ),
        ready=True,
        isolated=isolated,
    )
    tracked = TrackedState(
        HealthState.UP if since is None else HealthState.DEGRADED, since
    )
    found = health or health_of(S.HEALTHY)
    service = ServiceFacts(found, tracked, ResultCounts(), ResultCounts(), None)
    rates = WorkspaceRates(MUSEUM, 10, 3, -2.0, 0.1)
    workspaces = WorkspaceFacts(
        RatesSnapshot(PEER, {MUSEUM: rates}), {MUSEUM: recent or ResultCounts()}, {}, {}
    )
    return status_report(facts, [service], workspaces, False, ClockReading(NOW, AT))


def test_healthy_host_reports_nothing_unknown() -> None:
    healthy = report()
    assert healthy.state is HealthState.UP
    assert healthy.unknown == ()
    assert healthy.held_back == ()


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"isolated": True}, "isolated: no news of the store"),
        ({"contact_age": 7200.0}, "nobody known has reached the store for 2.0 h"),
        ({"contact_age": None}, "nobody known has reached the store since"),
        ({"last_hub_message_at": NOW - 5}, "no hub answers"),
        ({"peer_last_seen_at": NOW - 11}, "hosts that are silent: host-2"),
    ],
)
def test_report_lists_what_the_host_cannot_know(change, text) -> None:
    assert text in report(**change).unknown[0]


def test_an_isolated_host_is_down() -> None:
    assert report(isolated=True).state is HealthState.DOWN


def test_since_and_evidence_of_an_avoided_server() -> None:
    [service] = report(health_of(S.HEALTHY, S.AVOIDED, since=940.0)).services
    assert service.since == datetime(2026, 12, 4, 11, 59, tzinfo=UTC)
    assert service.evidence == ("the fleet's requests, news 0.4 s old",)
    [server] = service.servers
    assert (server.server, server.risk, server.in_flight) == ("s-1", 0.8, 2)
    seen = report(health_of(S.HEALTHY, S.AVOIDED), since=970.0).services[0]
    assert seen.since == datetime(2026, 12, 4, 11, 59, 30, tzinfo=UTC)


def test_workspaces_held_back_by_rate_and_capacity() -> None:
    [line] = report(recent=result_counts(served=1, rate=3, capacity=2)).held_back
    assert [(limitation.by, limitation.detail) for limitation in line.held_by] == [
        (LimitedBy.RATE, "3 refused above the rate in 30 s"),
        (LimitedBy.RATE, "-2 tokens left over the fleet"),
        (LimitedBy.CAPACITY, "2 refused for want of capacity in 30 s"),
    ]
    assert line.keys[0].digest == "01" * 6


class ScriptedHealth:
    def __init__(self) -> None:
        self.states: tuple[ServerStatus, ...] = (S.HEALTHY, S.HEALTHY)
        self.since = 0.0

    def conditions(self, service: ServiceId, now: float) -> ServiceConditions:
        health = health_of(*self.states, since=self.since)
        servers = (ServerCondition(s.server, s.status, s.since) for s in health.servers)
        return ServiceConditions(SERVICE, tuple(servers))


def test_history_records_starts_of_states_ejections_and_returns() -> None:
    health, metrics = ScriptedHealth(), MetricsCoordinator()
    history = StatusHistory(health, metrics)
    assert history.assess_service(SERVICE, 10.0) == TrackedState(HealthState.UP, None)
    health.states, health.since = (S.HEALTHY, S.AVOIDED), 19.5
    for now in (20.0, 21.0):
        tracked = history.assess_service(SERVICE, now)
        assert (tracked.state, tracked.since) == (HealthState.DEGRADED, 20.0)
    health.states = (S.HEALTHY, S.COLD)
    assert history.assess_service(SERVICE, 30.0).state is HealthState.UP
    snapshot = metrics.snapshot(30.0)
    assert snapshot.ejections == {SERVICE: 1}
    assert snapshot.returns == {SERVICE: 1}


class CountingHealth(ScriptedHealth):
    def __init__(self) -> None:
        super().__init__()
        self.reported: list[ServiceId] = []

    def conditions(self, service: ServiceId, now: float) -> ServiceConditions:
        self.reported.append(service)
        return super().conditions(service, now)


def test_assessments_take_a_bounded_share_of_the_host_task() -> None:
    """Guards against assessing 180 services in each tick, which takes three times the
    control budget."""
    health = CountingHealth()
    history = StatusHistory(health, MetricsCoordinator())
    names = [ServiceId(f"service-{number}") for number in range(180)]
    services = {name: Service(name, (), Policy()) for name in names}
    history.apply_tree(SettingsTree(Revision(1), services=services))
    round_seconds = len(names) * ASSESSMENT_INTERVAL_SECONDS
    ticks = int(round_seconds / TICK_INTERVAL_SECONDS)
    for tick in range(ticks):
        history.tick(tick * TICK_INTERVAL_SECONDS)
    assert len(health.reported) <= len(names)
    for tick in range(ticks, 2 * ticks):
        history.tick(tick * TICK_INTERVAL_SECONDS)
    assert set(health.reported) == set(names)


def test_an_outage_shows_within_seconds_and_so_does_its_end() -> None:
    """Guards against an outage that is hidden by the requests served in the 30 s before
    it, while the servers still count as healthy."""
    health, metrics = ScriptedHealth(), MetricsCoordinator()
    history = StatusHistory(health, metrics)

    def serve(seconds: range, status: int, kind: str) -> None:
        for second in seconds:
            for _ in range(20):
                request = FinishedRequest(SERVICE, MUSEUM, status, kind, 0.1, 1)
                metrics.record_request(request, float(second))

    serve(range(30), 200, "passed")
    assert history.assess_service(SERVICE, 29.9).state is HealthState.UP
    serve(range(30, 33), 504, "upstream_timeout")
    tracked = history.assess_service(SERVICE, 32.9)
    assert (tracked.state, tracked.since) == (HealthState.DOWN, 32.9)
    serve(range(33, 38), 200, "passed")
    assert history.assess_service(SERVICE, 37.9).state is HealthState.UP


def test_service_with_few_requests_is_assessed_by_a_longer_span() -> None:
    health, metrics = ScriptedHealth(), MetricsCoordinator()
    history = StatusHistory(health, metrics)
    for second in range(0, 24, 2):
        failed = FinishedRequest(SERVICE, MUSEUM, 504, "upstream_timeout", 3.0, 1)
        metrics.record_request(failed, float(second))
    assert history.assess_service(SERVICE, 24.0).state is HealthState.DOWN
    assert history.assess_service(SERVICE, 60.0).state is HealthState.UP
