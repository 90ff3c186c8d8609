"""Tests of refusals while hosts are silent, which may be dead or cut off."""

import pytest

from catkinspan.state.ids import HostId, WorkspaceId
from catkinspan.state.tree import Workspace
from tests.rates_fleet import RatesFleet

WORKSPACES = 30
DEMAND = 6.0
"""Requests per second of each workspace."""

MAX_OVER_RATE_SHARE = 0.01
HUBS = 6
"""Hosts that are hubs, the first ones of the fleet."""


def _fleet(rate: float, seed: int) -> RatesFleet:
    names = [WorkspaceId(f"w-{n}") for n in range(WORKSPACES)]
    workspaces = {n: Workspace(n, (), rate=rate, burst=rate) for n in names}
    fleet = RatesFleet(workspaces, host_count=60, seed=seed)
    fleet.add_clients(dict.fromkeys(names, DEMAND))
    return fleet


def _lose(fleet: RatesFleet, share: float) -> float:
    """Stop a share of the hosts, move their callers, and return the present time."""
    hosts: list[HostId] = list(fleet.nodes)
    dead = hosts[HUBS : HUBS + round(share * len(hosts))]
    fleet.lose_hosts(dead)
    fleet.run(3.0)
    return fleet.channel.now


def _over_rate_share(fleet: RatesFleet, since: float) -> float:
    recent = [r for r in fleet.requests if r.at >= since]
    return sum(r.is_over_rate for r in recent) / len(recent)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("share", [0.25, 0.5, 0.75])
def test_callers_within_the_rate_are_not_blamed_for_lost_hosts(
    share: float, seed: int
) -> None:
    """Guards against 429 for the part of a rate that hubs keep for silent hosts."""
    fleet = _fleet(1.6 * DEMAND, seed)
    fleet.run(20.0)
    since = _lose(fleet, share)
    fleet.run(20.0)
    assert _over_rate_share(fleet, since) <= MAX_OVER_RATE_SHARE


@pytest.mark.parametrize("share", [0.25, 0.5])
def test_callers_over_the_rate_are_told_so_while_hosts_are_lost(share: float) -> None:
    """Guards against 503 for callers that send more than any fleet may admit."""
    fleet = _fleet(DEMAND / 3, 1)
    fleet.run(20.0)
    since = _lose(fleet, share)
    fleet.run(20.0)
    refused = [r for r in fleet.requests if r.at >= since and not r.is_admitted]
    assert sum(r.is_over_rate for r in refused) / len(refused) >= 0.95
    assert max(fleet.excess().values()) <= 1.0
