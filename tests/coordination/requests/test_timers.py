"""Tests that each request that runs has a next due time."""

from datetime import timedelta
from random import Random

import pytest

from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.const import DEADLINE_GRACE_SECONDS
from catkinspan.coordination.requests.errors import Ran, RefusalKind
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.coordination.timers import Timers
from catkinspan.state.ids import HostId, RequestId
from catkinspan.testing.hosts import ResponsePolicy, VirtualAttempt, VirtualFleet
from tests.virtual_fleet import virtual_fleet

REQUEST = RequestId("r1")
HOST = HostId("host-0")
DEADLINE_SECONDS = 3.0
WAKE_INTERVAL_SECONDS = 0.0001
BEFORE_HEDGE_SECONDS = 0.00003


def _submit(fleet: VirtualFleet) -> None:
    arrived = RequestArrived(
        REQUEST,
        "GET",
        "shop.example",
        "/jobs/1",
        presented_key="key-0",
        deadline=timedelta(seconds=DEADLINE_SECONDS),
    )
    fleet.submit_request(HOST, arrived)


def _wake_until(fleet: VirtualFleet, until: float) -> None:
    """Wake the host as the timers of other requests do, whatever is due."""
    node = fleet.hosts[HOST]
    while fleet.channel.now < until:
        fleet.channel.run(fleet.channel.now + WAKE_INTERVAL_SECONDS)
        node.coordinator.wake(fleet.channel.now)
        node.tick(fleet.channel.now)


def _fails_just_before_hedge(hedge_after: float) -> ResponsePolicy:
    def respond(attempt: VirtualAttempt, rng: Random) -> tuple[OutcomeKind, float]:
        if attempt.assigned.attempt == 1:
            return OutcomeKind.SERVER_ERROR, hedge_after - BEFORE_HEDGE_SECONDS
        return OutcomeKind.OK, 0.01

    return respond


def _never_ends(attempt: VirtualAttempt, rng: Random) -> tuple[OutcomeKind, float]:
    return OutcomeKind.OK, 1e6


def _hedge_after(seed: int) -> float:
    """Return the time after which an unanswered request is hedged."""
    fleet = virtual_fleet(3, seed=seed, respond=_never_ends)
    _submit(fleet)
    return fleet.hosts[HOST].coordinator.requests.next_due() - fleet.channel.now


@pytest.mark.parametrize("seed", range(1, 21))
def test_wakes_for_other_requests_do_not_drop_a_retry(seed: int) -> None:
    """Guards against a hedge time that ends the timer of a request in its backoff."""
    policy = _fails_just_before_hedge(_hedge_after(seed))
    fleet = virtual_fleet(3, seed=seed, respond=policy)
    _submit(fleet)
    _wake_until(fleet, fleet.channel.now + 1.0)
    assert REQUEST in fleet.hosts[HOST].finished
    assert [attempt.assigned.attempt for attempt in fleet.attempts] == [1, 2]


def test_request_whose_attempts_never_end_is_refused_after_its_deadline() -> None:
    """Guards against a request that waits for a front end which lost its attempt."""
    fleet = virtual_fleet(3, respond=_never_ends)
    requests = fleet.hosts[HOST].coordinator.requests
    _submit(fleet)
    started = fleet.channel.now
    while requests.running:
        due = requests.next_due()
        assert due <= started + DEADLINE_SECONDS + DEADLINE_GRACE_SECONDS
        fleet.channel.run(due)
        fleet.hosts[HOST].coordinator.wake(due)
    fleet.hosts[HOST].tick(fleet.channel.now)
    refusal = fleet.hosts[HOST].refusals[REQUEST]
    assert (refusal.kind, refusal.ran) == (RefusalKind.UPSTREAM_TIMEOUT, Ran.MAYBE)


def test_replaced_due_time_is_not_due() -> None:
    timers = Timers()
    timers.set(REQUEST, 1.0)
    timers.set(REQUEST, 2.0)
    assert timers.take_due(1.5) == []
    assert timers.next_due() == 2.0
    assert timers.take_due(2.0) == [REQUEST]
    assert timers.next_due() == float("inf")


def test_attempts_that_the_deadline_ends_are_counted() -> None:
    """Guards against metrics without the servers that hang."""
    fleet = virtual_fleet(3, respond=_never_ends)
    fleet.channel.run(2.0)
    _submit(fleet)
    fleet.channel.run(2.0 + DEADLINE_SECONDS + 1.0)
    metrics = fleet.hosts[HOST].coordinator.metrics.snapshot(fleet.channel.now)
    counts = {kind: count for (_, kind), count in metrics.attempts.items()}
    started = [a for a in fleet.attempts if a.assigned.request_id == REQUEST]
    assert counts == {OutcomeKind.TIMEOUT: len(started)}
