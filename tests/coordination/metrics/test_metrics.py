"""Tests of the limits and the meaning of the counts."""

from catkinspan.coordination.metrics.const import (
    MAX_ENTRIES,
    MAX_OVERFLOW_SERIES,
    MAX_SERIES,
    OTHER_LABEL,
)
from catkinspan.coordination.metrics.coordinator import MetricsCoordinator
from catkinspan.coordination.metrics.endings import has_category
from catkinspan.coordination.metrics.models import FinishedRequest
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.errors import RefusalKind
from catkinspan.state.ids import RequestId, ServerId, ServiceId, WorkspaceId

SERVICE = ServiceId("catalogue")
SERVER = ServerId("catalogue-1")


def finished(
    workspace: str = "w",
    kind: str = "passed",
    status: int = 200,
    service: str = SERVICE,
) -> FinishedRequest:
    return FinishedRequest(
        ServiceId(service), WorkspaceId(workspace), status, kind, 0.01, 1
    )


def failed_attempt() -> AttemptOutcome:
    return AttemptOutcome(
        RequestId("r"),
        1,
        SERVICE,
        SERVER,
        WorkspaceId("w"),
        OutcomeKind.TIMEOUT,
        3.0,
        True,
    )


def test_number_of_series_is_bounded_and_no_request_is_lost() -> None:
    """Guards against a histogram for each of 26,000 workspaces, which fills memory."""
    metrics = MetricsCoordinator()
    count = MAX_SERIES + 50
    for number in range(count):
        metrics.record_request(finished(f"w-{number}"), 1.0)
    for number in range(MAX_OVERFLOW_SERIES + 50):
        metrics.record_request(finished(service=f"service-{number}"), 1.0)
    latencies = metrics.latencies(0, 10_000)
    assert len(latencies) <= MAX_SERIES + MAX_OVERFLOW_SERIES + 1
    assert sum(series.count for series in latencies) == count + MAX_OVERFLOW_SERIES + 50
    assert any(series.key.workspace == OTHER_LABEL for series in latencies)


def test_tracked_workspaces_are_bounded_and_expire() -> None:
    metrics = MetricsCoordinator()
    for number in range(MAX_ENTRIES + 10):
        metrics.record_request(finished(f"w-{number}", "rate_exceeded", 429), 1.0)
    assert len(metrics.recent_of_workspaces(1.0)) <= MAX_ENTRIES + 1
    metrics.tick(500.0)
    assert metrics.recent_of_workspaces(500.0) == {}


def test_worst_served_excludes_rate_refusals_and_rare_workspaces() -> None:
    metrics = MetricsCoordinator()
    for _ in range(20):
        metrics.record_request(finished("greedy", "rate_exceeded", 429), 1.0)
        metrics.record_request(finished("greedy"), 1.0)
        metrics.record_request(finished("starved"), 1.0)
    for _ in range(5):
        metrics.record_request(finished("starved", "no_capacity", 503), 1.0)
        metrics.record_request(finished("rare", "no_capacity", 503), 1.0)
    worst = metrics.worst_served(1.0)
    assert worst is not None
    assert (worst.workspace, worst.share, worst.eligible) == ("starved", 0.8, 25)
    snapshot = metrics.snapshot(1.0)
    assert snapshot.in_rate_refusals == {RefusalKind.NO_CAPACITY: 10}
    assert snapshot.refusals == {"rate_exceeded": 20, "no_capacity": 10}


def test_detection_time_counts_from_the_first_failure_of_the_run() -> None:
    metrics = MetricsCoordinator()
    metrics.record_attempt(failed_attempt(), 1.0)
    for now in (100.0, 101.0, 102.0):
        metrics.record_attempt(failed_attempt(), now)
    metrics.record_ejection(SERVICE, SERVER, 102.5)
    metrics.record_ejection(SERVICE, SERVER, 300.0)
    stats = metrics.snapshot(300.0).detection[SERVICE]
    assert (stats.count, stats.seconds_sum, stats.seconds_max) == (1, 2.5, 2.5)


def test_each_kind_of_refusal_has_a_category() -> None:
    """Guards against a new kind that counts as a caller's fault and hides an outage."""
    assert [kind for kind in RefusalKind if not has_category(kind)] == []
