"""Tests that callers within the published rate and burst are not refused for it."""

import pytest

from catkinspan.coordination.rates.bucket import TokenBucket
from catkinspan.state.ids import WorkspaceId
from catkinspan.state.tree import Workspace
from tests.rates_fleet import RatesFleet

RATES = (5.0, 10.0, 20.0, 60.0)
"""Published rates of the workspaces, in requests per second."""

DEMAND_SHARE = 0.6
HOT_DEMAND = 4.0
"""Demand of a hot workspace as a multiple of its rate."""

MAX_REFUSED_SHARE = 0.01
HUBS = 6
"""Hosts that are hubs, the first ones of the fleet."""

BURST_EXCESS = 1.5
"""Requests sent as a multiple of the burst; those beyond it are left out."""

LEVELS_ARRIVE_SECONDS = 0.6
"""Time after which a started fleet has levels of its hubs: three reports."""


def _fleet(seed: int, burst_seconds: float) -> RatesFleet:
    workspaces = {
        (name := WorkspaceId(f"w-{rate:g}")): Workspace(
            name, (), rate=rate, burst=rate * burst_seconds
        )
        for rate in RATES
    }
    fleet = RatesFleet(workspaces, host_count=60, seed=seed)
    fleet.add_clients({n: w.rate * DEMAND_SHARE for n, w in workspaces.items()})
    return fleet


def _send_burst(fleet: RatesFleet, seconds: float) -> None:
    """Send the burst of each workspace within some seconds, then the usual demand."""
    published = {
        name: TokenBucket.full(workspace.rate, workspace.burst, fleet.channel.now)
        for name, workspace in fleet.workspaces.items()
    }
    hot = {
        name: BURST_EXCESS * workspace.burst / seconds / (workspace.rate * DEMAND_SHARE)
        for name, workspace in fleet.workspaces.items()
    }
    fleet.run(seconds, hot, published)
    fleet.run(4.0, published=published)


def _over_rate_share(fleet: RatesFleet, since: float) -> float:
    """Return the share of the requests since a time that were refused by a rate."""
    recent = [r for r in fleet.requests if r.at >= since]
    return sum(r.is_over_rate for r in recent) / len(recent)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("burst_seconds", [0.2, 1.0])
@pytest.mark.parametrize("seconds", [0.4, 1.0, 2.0])
def test_published_burst_is_admitted(
    seed: int, burst_seconds: float, seconds: float
) -> None:
    """Guards against 429 within the rate while hubs have room in the window's bound."""
    fleet = _fleet(seed, burst_seconds)
    fleet.run(10.0)
    fleet.channel.run(fleet.channel.now + 5.0)
    since = fleet.channel.now
    _send_burst(fleet, seconds)
    assert _over_rate_share(fleet, since) <= MAX_REFUSED_SHARE


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("seconds", [0.4, 1.0, 2.0])
def test_published_burst_is_admitted_after_a_restart(seed: int, seconds: float) -> None:
    """Guards against 429 within the rate when callers return at once after a restart
    of all hosts."""
    fleet = _fleet(seed, burst_seconds=1.0)
    fleet.run(10.0)
    fleet.restart(fleet.nodes)
    fleet.channel.run(fleet.channel.now + LEVELS_ARRIVE_SECONDS)
    since = fleet.channel.now
    _send_burst(fleet, seconds)
    assert _over_rate_share(fleet, since) <= MAX_REFUSED_SHARE


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("trouble", ["restart", "hub restart", "partition"])
def test_bursts_around_trouble_stay_below_the_bound(seed: int, trouble: str) -> None:
    """Guards against a second burst, because the use of the first one is forgotten."""
    fleet = _fleet(seed, burst_seconds=1.0)
    fleet.run(10.0)
    hot = dict.fromkeys(fleet.workspaces, HOT_DEMAND / DEMAND_SHARE)
    fleet.run(0.6, hot)
    hosts = list(fleet.nodes)
    match trouble:
        case "restart":
            fleet.restart(hosts)
        case "hub restart":
            fleet.restart(hosts[:HUBS])
        case "partition":
            fleet.lose_levels(hosts[::2])
    fleet.run(8.0, hot)
    assert max(fleet.excess().values()) <= 1.0
