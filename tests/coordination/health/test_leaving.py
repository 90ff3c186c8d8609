"""Guards against new work for leaving servers, and against stale reports."""

import cattrs
import orjson
from attrs import evolve
from bench.health import DEPLOYMENTS, SERVICE, WARM_UP, Fleet, make_fleet

from catkinspan.coordination.health.models import (
    MESSAGES,
    HealthDigest,
    ServerEvidence,
    ServerState,
    Signal,
)
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.state.ids import RequestId, ServerId
from catkinspan.state.tree import SettingsTree
from catkinspan.testing.faulty_servers import WORKSPACE, Fault, FaultKind

LABORATORIO = DEPLOYMENTS[1]
LEAVING = ServerId("s05")


def listed_leaving(fleet: Fleet) -> SettingsTree:
    upstreams = tuple(
        evolve(u, leaving=u.id == LEAVING) for u in fleet.service.upstreams
    )
    service = evolve(fleet.service, upstreams=upstreams)
    return SettingsTree(services={SERVICE: service})


def drain_answer() -> AttemptOutcome:
    return AttemptOutcome(
        RequestId("r"),
        1,
        SERVICE,
        LEAVING,
        WORKSPACE,
        OutcomeKind.OK,
        0.03,
        bytes_written=True,
        server_draining=True,
    )


def test_listed_as_leaving_gets_no_new_work() -> None:
    # Guards against a published mark that hosts ignore.
    fleet = make_fleet(LABORATORIO, 1)
    for node in fleet.coordinators():
        node.apply_tree(listed_leaving(fleet), 0.0)
    assert fleet.users_of(LEAVING) == 0


def test_one_hosts_drain_signal_reaches_all_hosts() -> None:
    # Guards against hosts that wait for a signal or the list of their own.
    fleet = make_fleet(LABORATORIO, 2, load=0.001)
    fleet.run(1.0)
    fleet.coordinators()[7].record(drain_answer(), fleet.channel.now)
    fleet.run(1.5)
    assert fleet.users_of(LEAVING) == 0


def test_drain_notices_survive_loss() -> None:
    # Guards against a single lost message that keeps a leaving server in use.
    fleet = make_fleet(LABORATORIO, 3, load=0.001, loss=0.2)
    fleet.run(1.0)
    fleet.coordinators()[7].record(drain_answer(), fleet.channel.now)
    fleet.run(4.0)
    assert fleet.users_of(LEAVING) <= 2


def test_unconfirmed_drain_ends_with_a_cold_start() -> None:
    # Guards against a server that is lost for good after one stray signal.
    fleet = make_fleet(LABORATORIO, 4, load=0.001)
    fleet.run(1.0)
    fleet.coordinators()[7].record(drain_answer(), fleet.channel.now)
    fleet.run(33.0)
    shares = [
        candidate.share
        for candidate in fleet.coordinators()[7].available(SERVICE, fleet.channel.now)
        if candidate.upstream.id == LEAVING
    ]
    assert len(shares) == 1
    assert 0.0 < shares[0] < 1.0


def test_report_names_state_evidence_and_freshness() -> None:
    # Guards against a report that cannot answer what is down, since when and why.
    fleet = make_fleet(LABORATORIO, 5)
    fleet.run(WARM_UP)
    fleet.load.servers[LEAVING].fault = Fault(FaultKind.HANG)
    fleet.run(WARM_UP + 6.0)
    now = fleet.channel.now
    report = fleet.coordinators()[0].report(SERVICE, now)
    assert report is not None
    server = next(s for s in report.servers if s.server == LEAVING)
    assert server.state is ServerState.EJECTED
    assert server.since is not None and WARM_UP < server.since < now
    assert server.reason == "stall"
    assert len(server.hosts) >= 2
    assert len(server.data_centres) >= 2
    assert server.hold_until is not None and server.hold_until > now
    assert (report.published, report.floor, report.unavailable) == (6, 5, 1)
    assert report.distance_to_floor == 0
    assert report.assessor_heard is not None
    assert now - report.assessor_heard < 40.0


def test_second_fault_past_the_floor_is_reported() -> None:
    # Guards against an unhealthy server that the floor keeps in service unnoticed.
    fleet = make_fleet(LABORATORIO, 6)
    fleet.run(WARM_UP)
    for server in (LEAVING, ServerId("s00")):
        fleet.load.servers[server].fault = Fault(FaultKind.ERRORS, 0.5)
    fleet.run(WARM_UP + 8.0)
    states = {
        server.state
        for node in fleet.coordinators()
        if (report := node.report(SERVICE, fleet.channel.now))
        for server in report.servers
    }
    assert {ServerState.EJECTED, ServerState.KEPT_BY_FLOOR} <= states


def test_messages_survive_json() -> None:
    # Guards against message fields that the codec cannot carry.
    converter = cattrs.Converter()
    entry = ServerEvidence(LEAVING, Signal.SLOW, 2.0)
    digest = HealthDigest(SERVICE, 0.5, (entry,), {LEAVING: 3})
    text = orjson.dumps(converter.unstructure(digest))
    assert converter.structure(orjson.loads(text), HealthDigest) == digest
    assert HealthDigest in MESSAGES
