"""Guards the stated targets of membership, configuration and keys."""

import pytest

from bench import configuration as bench

CONTROL_MEMORY_BYTES = 64_000_000


@pytest.mark.parametrize(
    ("hosts", "seed", "loss"),
    [(40, 0, 0.0), (40, 1, 0.0), (40, 2, 0.05), (40, 3, 0.05), (200, 1, 0.0)],
)
def test_change_is_in_force_everywhere_in_time(
    hosts: int, seed: int, loss: float
) -> None:
    # Failure: a change needs longer while a data centre cannot reach the service.
    run = bench.change_cut_off_from_service(hosts, seed, loss)
    assert run.seconds <= bench.SPREAD_TARGET_SECONDS


def test_largest_document_is_in_force_everywhere_in_time() -> None:
    # Failure: a document of 1 MB takes longer than the bound for any change.
    run = bench.change_cut_off_from_service(40, 1, pad=bench.LARGE_DOCUMENT_CHARS)
    assert run.seconds <= bench.SPREAD_BOUND_SECONDS


@pytest.mark.parametrize("seed", [3, 4])
def test_withdrawn_key_is_refused_in_time(seed: int) -> None:
    # Failure: some hosts go on with a withdrawn key.
    reachable, last = bench.withdrawal(40, seed, cut_off=6)
    assert reachable <= bench.WITHDRAWAL_TARGET_SECONDS
    assert last <= bench.ISOLATION_SECONDS + bench.CHECK_SECONDS


def test_traffic_stays_within_half_of_the_control_budget() -> None:
    # Failure: control traffic leaves no room for the other concerns.
    small = bench.steady_traffic(40, 1, 8.0)
    larger = bench.steady_traffic(100, 1, 4.0)
    assert small.worst_bytes <= bench.BYTES_TARGET
    assert larger.bytes <= 1.1 * small.bytes
    assert larger.platform_calls <= bench.PLATFORM_CALLS_LIMIT


def test_stated_rate_of_changes_stays_within_the_same_half() -> None:
    # Failure: pushed deltas use up what probes and acks leave.
    assert bench.bytes_at_stated_changes(40, 1, 6.0) <= bench.BYTES_TARGET


def test_state_of_the_full_size_fits() -> None:
    # Failure: 26,000 workspaces and 17,000 routes exceed the memory for control.
    workspace = bench.bytes_for_each_workspace(1000)
    text = bench.document_bytes_for_each_workspace()
    route = bench.bytes_for_each_route(shared_policy=True, count=1000)
    assert 26_000 * (workspace + text) + 17_000 * route <= CONTROL_MEMORY_BYTES
