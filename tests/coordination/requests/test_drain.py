"""Tests that a stopping host takes only requests that it can let end."""

from datetime import timedelta
from random import Random

import pytest

from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.const import DEADLINE_GRACE_SECONDS
from catkinspan.coordination.requests.errors import Ran, RefusalKind
from catkinspan.coordination.requests.models import (
    BodyWanted,
    Refused,
    RequestArrived,
)
from catkinspan.state.ids import HostId, RequestId
from catkinspan.testing.hosts import VirtualAttempt, VirtualFleet
from tests.virtual_fleet import small_settings_tree, virtual_fleet

HOST = HostId("host-0")
REQUEST = RequestId("r1")
DRAIN_SECONDS = 5.0


def _arrived(
    request_id: RequestId = REQUEST,
    seconds: float | None = 3.0,
    method: str = "POST",
    content_length: int = 0,
) -> RequestArrived:
    return RequestArrived(
        request_id,
        method,
        "shop.example",
        "/jobs/1",
        presented_key="key-0",
        deadline=None if seconds is None else timedelta(seconds=seconds),
        content_length=content_length,
    )


def _drain(fleet: VirtualFleet, seconds: float = DRAIN_SECONDS) -> float:
    """Begin to stop the host; return when it ends."""
    now = fleet.channel.now
    fleet.hosts[HOST].coordinator.drain(now, now + seconds)
    return now + seconds


def _unreachable(attempt: VirtualAttempt, rng: Random) -> tuple[OutcomeKind, float]:
    return OutcomeKind.CONNECT_ERROR, 0.5


def test_request_that_may_outlast_the_stop_is_refused_at_once() -> None:
    """Guards against a request that is passed on and cut when its host ends."""
    fleet = virtual_fleet(3)
    _drain(fleet, seconds=2.0)
    fleet.submit_request(HOST, _arrived())
    refusal = fleet.hosts[HOST].refusals[REQUEST]
    assert refusal.kind is RefusalKind.STOPPING
    assert refusal.ran is Ran.NO
    assert refusal.retry_after is not None
    assert fleet.attempts == []


def test_request_that_ends_before_the_stop_is_served() -> None:
    """Guards against a stopping host that refuses what it could serve."""
    fleet = virtual_fleet(3)
    _drain(fleet, seconds=2.0)
    fleet.submit_request(HOST, _arrived(seconds=1.5))
    fleet.channel.run(fleet.channel.now + 1.0)
    assert REQUEST in fleet.hosts[HOST].finished


@pytest.mark.parametrize("seed", range(1, 11))
def test_no_request_taken_during_a_drain_outlasts_it(seed: int) -> None:
    """Guards against cut requests for any limit of a route and of a caller."""
    rng = Random(seed)
    route_seconds = rng.uniform(0.2, 2 * DRAIN_SECONDS)

    def respond(attempt: VirtualAttempt, _: Random) -> tuple[OutcomeKind, float]:
        remaining = attempt.assigned.deadline - attempt.started_at
        latency = remaining * rng.choice((0.01, 0.5, 1.0))
        return OutcomeKind.TIMEOUT if latency == remaining else OutcomeKind.OK, latency

    settings = {"deadline_ms": round(route_seconds * 1000)}
    fleet = virtual_fleet(3, small_settings_tree(settings=settings), seed, respond)
    node = fleet.hosts[HOST]
    stops_at = _drain(fleet)
    ids = [RequestId(f"r{number}") for number in range(100)]
    for number, request_id in enumerate(ids):
        fleet.channel.run(stops_at - DRAIN_SECONDS * (1.0 - number / len(ids)))
        seconds = rng.choice((None, rng.uniform(0.1, 2 * DRAIN_SECONDS)))
        method = rng.choice(("GET", "POST"))
        fleet.submit_request(HOST, _arrived(request_id, seconds, method))
    fleet.channel.run(stops_at)
    ended = node.finished | set(node.refusals)
    assert ended >= set(ids)


def test_upload_that_may_outlast_the_stop_is_refused_when_the_stop_begins() -> None:
    """Guards against an upload that is passed on late and cut, and against a caller
    that learns only at its end that the host is stopping."""
    fleet = virtual_fleet(3)
    coordinator = fleet.hosts[HOST].coordinator
    now = fleet.channel.now
    coordinator.handle_request(_arrived(content_length=1_000), now)
    (wanted,) = coordinator.outbox.take_directives()
    assert isinstance(wanted, BodyWanted)
    _drain(fleet, seconds=2.0)
    (refused,) = coordinator.outbox.take_directives()
    assert isinstance(refused, Refused)
    assert refused.refusal.kind is RefusalKind.STOPPING


def test_request_not_sent_yet_is_not_retried_past_the_stop() -> None:
    """Guards against a first attempt that starts too late, after connect errors."""
    fleet = virtual_fleet(3, respond=_unreachable)
    fleet.submit_request(HOST, _arrived())
    _drain(fleet, seconds=2.0)
    fleet.channel.run(fleet.channel.now + 1.0)
    refusal = fleet.hosts[HOST].refusals[REQUEST]
    assert refusal.ran is Ran.NO
    assert len(fleet.attempts) == 1


def test_stop_comes_nearer_while_the_host_is_suspended() -> None:
    """Guards against a host that counts on time which passed during a suspension."""
    fleet = virtual_fleet(3)
    _drain(fleet, seconds=4.0)
    coordinator = fleet.hosts[HOST].coordinator
    coordinator.resume(1.0, fleet.channel.now)
    fleet.submit_request(HOST, _arrived(seconds=3.0 - DEADLINE_GRACE_SECONDS / 2))
    assert fleet.hosts[HOST].refusals[REQUEST].kind is RefusalKind.STOPPING
