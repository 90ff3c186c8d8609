"""Guards the evidence of requests that are slow, before any of them is overdue."""

from catkinspan.coordination.health.assessor import Assessor
from catkinspan.coordination.health.const import AVOIDED_RISK, START_RISK
from catkinspan.coordination.health.latencies import LatencyLimits
from catkinspan.coordination.health.models import ServerCount
from catkinspan.coordination.health.observer import Observer
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.state.ids import HostId, RequestId, ServerId, ServiceId, WorkspaceId

SERVER = ServerId("server-1")
LIMITS = LatencyLimits(slow=0.3, overdue=0.5)


def _outcome(request: str, kind: OutcomeKind = OutcomeKind.OK) -> AttemptOutcome:
    return AttemptOutcome(
        RequestId(request),
        1,
        ServiceId("prints"),
        SERVER,
        WorkspaceId("studio"),
        kind,
        latency=0.1,
        bytes_written=True,
        request_class="prints/jobs",
    )


def test_slow_request_becomes_overdue_once() -> None:
    observer = Observer()
    observer.start(SERVER, (RequestId("r1"), 1), LIMITS, 0.0)
    assert observer.next_late() == 0.3
    assert observer.note_late(0.35)
    own = observer.server(SERVER, 0.35)
    assert (own.slow, own.overdue, own.failed) == (1, 0, 0)
    assert not observer.note_late(0.4)
    assert observer.note_late(0.6)
    assert (own.slow, own.overdue, own.failed) == (0, 1, 1)
    assert observer.next_late() == float("inf")


def test_evidence_of_a_slow_request_is_gone_with_its_answer() -> None:
    """One healthy request in seven is slow; its server must not stay avoided."""
    observer = Observer()
    observer.start(SERVER, (RequestId("r1"), 1), LIMITS, 0.0)
    observer.note_late(0.35)
    own = observer.server(SERVER, 0.35)
    assert own.belief.risk_with(own.slow, 0.35) > 2 * START_RISK
    assert observer.finish(_outcome("r1"), 0.4)
    assert own.slow == 0
    assert own.belief.risk_with(own.slow, 0.4) < START_RISK


def test_slow_requests_of_two_hosts_make_a_server_avoided() -> None:
    """Each host sees a few requests only; without the others' it would wait until its
    own ones are overdue."""
    assessor = Assessor()
    for host in ("host-1", "host-2"):
        count = ServerCount(SERVER, 1, 0, 0, 0, slow=1)
        assessor.count_host(HostId(host), 1, (count,), 1.0)
    (state,) = assessor.states([SERVER], 1.0)
    assert state.risk >= AVOIDED_RISK
    for host in ("host-1", "host-2"):
        assessor.count_host(HostId(host), 1, (ServerCount(SERVER, 0, 0, 1, 0),), 1.1)
    (state,) = assessor.states([SERVER], 1.1)
    assert state.risk < START_RISK
