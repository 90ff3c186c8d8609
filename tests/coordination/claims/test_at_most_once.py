"""Seeded fault schedules that search for a claim that runs twice."""

import pytest
from bench.claims import (
    ABLATIONS,
    bytes_per_promise,
    cut_off,
    grants,
    hashes_per_list_change,
    healthy,
    restarted,
    search,
)

from catkinspan.coordination.claims.const import HOLDERS, MAX_PROMISES


@pytest.mark.parametrize("first", [0, 100, 200])
def test_no_claim_runs_twice(first: int) -> None:
    """Guards against a double charge under restarts, pauses, cuts and list changes."""
    result = search(range(first, first + 8))
    assert result.excess == 0
    assert result.ran > 0


@pytest.mark.parametrize(
    ("variant", "seed"),
    [("without abstention", 3), ("replaced lists forgotten", 4)],
)
def test_schedules_find_double_runs(variant: str, seed: int) -> None:
    """Guards against schedules that are too mild to show a missing rule."""
    assert search(range(seed, seed + 1), ABLATIONS[variant]).excess > 0


def test_healthy_fleet_grants_all_at_bounded_cost() -> None:
    """Guards against refusals without a fault, and against extra messages."""
    result = grants(2, healthy, count=200)
    assert result.share == 1.0
    assert result.messages <= 3 * HOLDERS


def test_loss_of_a_data_centre_refuses_nothing_outside_it() -> None:
    """Guards against holders of which one data centre has a majority."""
    result = grants(3, lambda fleet: cut_off(fleet, inside=False), count=200)
    assert result.share == 1.0


def test_two_restarts_refuse_nothing() -> None:
    """Guards against a quorum that a rolling restart of single hosts breaks."""
    result = grants(4, lambda fleet: restarted(fleet, 0.05), count=200)
    assert result.share == 1.0


def test_promises_fit_the_memory_for_control() -> None:
    """Guards against promises that take over a quarter of the 64 MB for control."""
    assert bytes_per_promise(2_000) * MAX_PROMISES <= 16_000_000


def test_list_change_does_not_weigh_every_host() -> None:
    """Guards against holders chosen anew from 1,100 hosts at each of their changes.

    At 1,600 replaced hosts a day, a list changes about once a minute.
    """
    first, changed = hashes_per_list_change(300)
    assert changed <= first / 10
