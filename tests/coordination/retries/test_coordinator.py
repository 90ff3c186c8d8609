"""Guards against retries and hedges that multiply the load on an upstream."""

from random import Random

import pytest

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.retries.const import (
    HEDGE_FLOOR,
    MAX_BACKOFF_SECONDS,
    RESERVE_RETRIES,
    WINDOW_SECONDS,
)
from catkinspan.coordination.retries.coordinator import RetryCoordinator, backoff
from catkinspan.state.ids import Revision, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Service, SettingsTree

SERVICE = ServiceId("catalogue")


def coordinator(ratio: float = 0.1) -> RetryCoordinator:
    retries = RetryCoordinator(Outbox())
    policy = Policy(retry_ratio=ratio)
    service = Service(SERVICE, (), policy)
    retries.apply_tree(SettingsTree(Revision(1), services={SERVICE: service}), 0.0)
    return retries


def retry(retries: RetryCoordinator, now: float = 0.0, made: int = 1) -> bool:
    return retries.may_retry(SERVICE, made, 3, 10.0, now)


@pytest.mark.parametrize("ratio", [0.0, 0.05, 0.1])
def test_fleet_stays_at_the_ratio_when_every_request_fails(ratio: float) -> None:
    # Guards against hosts that each stay in their budget while the fleet does not.
    fleet = [coordinator(ratio) for _ in range(40)]
    rng = Random(1)
    allowed = 0
    for _ in range(20_000):
        host = rng.choice(fleet)
        host.record_first_try(SERVICE, 0.0)
        for _ in range(2):
            allowed += host.may_retry(SERVICE, 1, 3, 10.0, 0.0)
            allowed += host.may_hedge(SERVICE, 1, 3, 10.0, 0.0)
    assert allowed <= ratio * 20_000 + (RESERVE_RETRIES * 40 if ratio else 0)


def test_low_traffic_can_retry_once() -> None:
    # Guards against a service with one request a minute that can never retry.
    retries = coordinator()
    retries.record_first_try(SERVICE, 0.0)
    assert retry(retries)
    assert not retry(retries)


def test_nothing_is_saved_up_beyond_the_window() -> None:
    """Guards against a fleet that spends the savings of a calm time at once: the bound
    holds in each window, and 40 hosts that had saved 10 retries each broke it."""
    retries = coordinator(ratio=0.2)
    for _ in range(1000):
        retries.record_first_try(SERVICE, 0.0)
    later = WINDOW_SECONDS + 1.0
    assert sum(retry(retries, now=1.0) for _ in range(400)) == 201
    retries.record_first_try(SERVICE, later)
    spent = sum(retries.may_retry(SERVICE, 1, 3, later + 9, later) for _ in range(100))
    assert spent == 1


def test_no_attempt_beyond_the_limits() -> None:
    # Guards against attempts past the caller's deadline or the policy's count.
    retries = coordinator()
    assert not retry(retries, now=9.99)
    assert not retry(retries, now=11.0)
    assert not retry(retries, made=3)
    assert retry(retries)


def test_hedges_leave_room_for_retries() -> None:
    """Guards against hedges that use up what a failed request needs."""
    retries = coordinator(ratio=0.2)
    hedges = 0
    for _ in range(50):
        retries.record_first_try(SERVICE, 0.0)
        hedges += retries.may_hedge(SERVICE, 1, 3, 10.0, 0.0)
    left = retries.left(SERVICE, 0.0)
    assert hedges >= 10
    assert left >= HEDGE_FLOOR


def test_backoff_is_bounded_and_spread() -> None:
    # Guards against hosts that retry in step, and against waits without a bound.
    rng = Random(1)
    waits = [backoff(attempt, rng) for attempt in range(1, 60) for _ in range(20)]
    assert all(0.0 <= wait <= MAX_BACKOFF_SECONDS for wait in waits)
    assert len(set(waits)) == len(waits)


def test_snapshot_tells_the_budget() -> None:
    # Guards against operators who cannot see why requests are not retried.
    retries = coordinator()
    retries.record_first_try(SERVICE, 0.0)
    retry(retries)
    retry(retries)
    budget = retries.snapshot(SERVICE, 0.0)
    assert budget is not None
    assert (budget.first_attempts, budget.spent, budget.refused) == (1, 1, 1)
    assert budget.available == pytest.approx(RESERVE_RETRIES + 0.1 - 1.0)
