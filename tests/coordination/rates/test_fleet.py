"""Tests the rates across a fleet: no refusals below them, and the windowed bound."""

from datetime import timedelta
from random import Random

import pytest

from catkinspan.state.node import RateWindow
from catkinspan.testing.hosts import VirtualFleet
from tests.virtual_fleet import Traffic, small_settings_tree, virtual_fleet

RATE, BURST = 25.0, 25.0
WINDOW = RateWindow(timedelta(seconds=5), overshoot=0.25, slack=20)
BOUND = (RATE * 5 + BURST) * 1.25 + 20


def max_admitted_in_window(fleet: VirtualFleet, seconds: float = 5.0) -> int:
    attempt_times = sorted(attempt.started_at for attempt in fleet.attempts)
    max_count = first = 0
    for last, at in enumerate(attempt_times):
        while attempt_times[first] < at - seconds:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_traffic_inside_the_rate_is_never_refused(seed: int) -> None:
    """Guards against hosts that admit only their own share while a hub answers."""
    fleet = virtual_fleet(
        40, small_settings_tree(rate=RATE, burst=BURST), seed, rate_window=WINDOW
    )
    traffic = Traffic(fleet, Random(seed))
    traffic.run(fleet.channel.now + 20, RATE / 1.6)
    assert traffic.refused() == []


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load_factor", [2.0, 7.5])
def test_hot_workspace_stays_below_the_windowed_bound(
    seed: int, load_factor: float
) -> None:
    fleet = virtual_fleet(
        40, small_settings_tree(rate=RATE, burst=BURST), seed, rate_window=WINDOW
    )
    traffic = Traffic(fleet, Random(seed))
    traffic.run(fleet.channel.now + 15, load_factor * RATE / 1.6)
    assert max_admitted_in_window(fleet) <= BOUND
    assert len(fleet.attempts) >= RATE * 15


@pytest.mark.parametrize("seed", [1, 2])
def test_partitioned_fleet_stays_below_the_bound(seed: int) -> None:
    """Guards against a partition that takes the other one for crashed and uses the
    share of its hosts."""
    fleet = virtual_fleet(
        40, small_settings_tree(rate=RATE, burst=BURST), seed, rate_window=WINDOW
    )
    traffic = Traffic(fleet, Random(seed))
    traffic.run(fleet.channel.now + 5, 2 * RATE)
    hosts = list(fleet.hosts)
    fleet.channel.partition(hosts[:20], hosts[20:])
    traffic.run(fleet.channel.now + 15, 2 * RATE)
    assert max_admitted_in_window(fleet) <= BOUND


@pytest.mark.parametrize("seed", [1, 2])
def test_fleet_restarted_at_once_stays_below_the_bound(seed: int) -> None:
    """Guards against 40 full bursts of hosts that have not found each other yet."""
    fleet = virtual_fleet(
        40, small_settings_tree(rate=RATE, burst=BURST), seed, rate_window=WINDOW
    )
    traffic = Traffic(fleet, Random(seed))
    traffic.run(fleet.channel.now + 5, 4 * RATE)
    hosts = list(fleet.hosts)
    for host in hosts:
        fleet.crash_host(host)
    fleet.channel.run(fleet.channel.now + 0.5)
    for host in hosts:
        fleet.start_host(host)
    traffic.run(fleet.channel.now + 10, 4 * RATE)
    assert max_admitted_in_window(fleet) <= BOUND


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_killed_hubs_refuse_under_two_percent(seed: int) -> None:
    """Guards against refusals until a crashed hub is replaced."""
    fleet = virtual_fleet(
        40, small_settings_tree(rate=RATE, burst=BURST), seed, rate_window=WINDOW
    )
    traffic = Traffic(fleet, Random(seed))
    traffic.run(fleet.channel.now + 3, RATE / 1.6)
    killed_at = fleet.channel.now
    for hub in {h.coordinator.view.hubs[0] for h in fleet.hosts.values()}:
        fleet.crash_host(hub)
    traffic.run(killed_at + 40, RATE / 1.6)
    sent = [at for at, _, _ in traffic.sent if at >= killed_at]
    assert len(traffic.refused(killed_at)) < 0.02 * len(sent)
