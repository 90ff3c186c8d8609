"""Tests that retries and hedges are limited and do not multiply upstream load."""

from random import Random

import pytest

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.retries.const import (
    BASE_RETRIES_PER_WINDOW,
    MAX_BACKOFF_SECONDS,
    MIN_BUDGET_AFTER_HEDGE,
    WINDOW_SECONDS,
)
from catkinspan.coordination.retries.coordinator import RetryCoordinator, backoff
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, Revision, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Service, SettingsTree

SERVICE = ServiceId("catalogue")


def make_coordinator(ratio: float = 0.1) -> RetryCoordinator:
    retries = RetryCoordinator(Outbox())
    policy = Policy(retry_ratio=ratio)
    service = Service(SERVICE, (), policy)
    retries.apply_tree(SettingsTree(Revision(1), services={SERVICE: service}), 0.0)
    return retries


def retry(retries: RetryCoordinator, now: float = 0.0, attempts_made: int = 1) -> bool:
    return retries.acquire_retry(SERVICE, attempts_made, 3, 10.0, now)


@pytest.mark.parametrize("ratio", [0.0, 0.05, 0.1])
def test_fleet_stays_at_the_ratio_when_every_request_fails(ratio: float) -> None:
    """Guards against a fleet that exceeds the ratio while each host keeps to it."""
    fleet = [make_coordinator(ratio) for _ in range(40)]
    rng = Random(1)
    allowed = 0
    for _ in range(20_000):
        host = rng.choice(fleet)
        host.record_first_attempt(SERVICE, 0.0)
        for _ in range(2):
            allowed += host.acquire_retry(SERVICE, 1, 3, 10.0, 0.0)
            allowed += host.acquire_hedge(SERVICE, 1, 3, 10.0, 0.0)
    assert allowed <= ratio * 20_000 + (BASE_RETRIES_PER_WINDOW * 40 if ratio else 0)


@pytest.mark.parametrize("hosts", [40, 115, 1100])
def test_base_retries_do_not_grow_with_the_fleet(hosts: int) -> None:
    """Guards against a fleet that exceeds the platform's slack of 60 by its size."""
    view = FleetView(HostId("a"), DataCentre("d"), known_count=hosts)
    fleet = [make_coordinator(0.2) for _ in range(hosts)]
    first_attempts, allowed = 3, 0
    for host in fleet:
        host.apply_view(view, 0.0)
        for _ in range(first_attempts):
            host.record_first_attempt(SERVICE, 0.0)
        allowed += sum(retry(host) for _ in range(3))
    assert allowed <= 0.2 * first_attempts * hosts + 60


@pytest.mark.parametrize("hosts", [40, 115, 1100])
def test_base_retries_are_usable_in_a_large_fleet(hosts: int) -> None:
    """Guards against a service with one request on each host that can never retry."""
    allowed = 0
    for number in range(hosts):
        host = make_coordinator(0.2)
        name = HostId(f"host-{number}")
        host.apply_view(FleetView(name, DataCentre("d"), known_count=hosts), 0.0)
        host.record_first_attempt(SERVICE, 0.0)
        allowed += retry(host)
    assert 0 < allowed <= 0.2 * hosts + 60


def test_low_traffic_can_retry_once() -> None:
    """Guards against a service with one request per minute that can never retry."""
    retries = make_coordinator()
    retries.record_first_attempt(SERVICE, 0.0)
    assert retry(retries)
    assert not retry(retries)


def test_unused_budget_expires_with_the_window() -> None:
    """Guards against a burst of retries from budget saved up in a quiet period.

    The limit applies to each window; 40 hosts with 10 saved retries each exceeded it.
    """
    retries = make_coordinator(ratio=0.2)
    for _ in range(1000):
        retries.record_first_attempt(SERVICE, 0.0)
    later = WINDOW_SECONDS + 1.0
    assert sum(retry(retries, now=1.0) for _ in range(400)) == 201
    retries.record_first_attempt(SERVICE, later)
    spent = sum(
        retries.acquire_retry(SERVICE, 1, 3, later + 9, later) for _ in range(100)
    )
    assert spent == 1


def test_no_attempt_beyond_the_limits() -> None:
    """Guards against attempts past the caller's deadline or above `max_attempts`."""
    retries = make_coordinator()
    assert not retry(retries, now=9.99)
    assert not retry(retries, now=11.0)
    assert not retry(retries, attempts_made=3)
    assert retry(retries)


def test_hedges_leave_room_for_retries() -> None:
    """Guards against hedges that use up the budget needed by failed requests."""
    retries = make_coordinator(ratio=0.2)
    hedges = 0
    for _ in range(50):
        retries.record_first_attempt(SERVICE, 0.0)
        hedges += retries.acquire_hedge(SERVICE, 1, 3, 10.0, 0.0)
    remaining = retries.remaining(SERVICE, 0.0)
    assert hedges >= 10
    assert remaining >= MIN_BUDGET_AFTER_HEDGE


def test_backoff_is_bounded_and_spread() -> None:
    """Guards against hosts that retry in step, and against unbounded backoff."""
    rng = Random(1)
    waits = [backoff(attempt, rng) for attempt in range(1, 60) for _ in range(20)]
    assert all(0.0 <= wait <= MAX_BACKOFF_SECONDS for wait in waits)
    assert len(set(waits)) == len(waits)


def test_snapshot_reports_the_budget() -> None:
    """Guards against a report that does not show why requests are not retried."""
    retries = make_coordinator()
    retries.record_first_attempt(SERVICE, 0.0)
    retry(retries)
    retry(retries)
    budget = retries.snapshot(SERVICE, 0.0)
    assert budget is not None
    assert (budget.first_attempts, budget.spent, budget.refused) == (1, 1, 1)
    assert budget.available == pytest.approx(BASE_RETRIES_PER_WINDOW + 0.1 - 1.0)
