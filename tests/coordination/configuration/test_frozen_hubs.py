"""Tests that hosts hear of a server that leaves while their hubs are frozen.

Guards against requests to a server that has left: hosts waited too long before they
read the store themselves, and took the silence of their hubs for an outage of it.
"""

import math
from random import Random

import pytest

from catkinspan.coordination.configuration.models import ServersLapsed
from catkinspan.state.ids import HostId
from catkinspan.testing.hosts import VirtualFleet
from tests.coordination.configuration.test_fleet import DRAIN_SECONDS
from tests.platform.entries import platform_fleet

FROZEN_SHARE = 0.11
"""Share of the hosts that may freeze at once (the platform's `node_freeze`)."""

STEADY_SECONDS = 6.0
FREEZE_SECONDS = 3.5
LEAVING = "i-0"


def _first_candidates(fleet: VirtualFleet) -> list[HostId]:
    """Return the hosts of each data centre in the order in which they become hubs."""
    ranks = {name: h.coordinator.view.rank for name, h in fleet.hosts.items()}
    return sorted(ranks, key=lambda name: ranks[name])


def _freeze(fleet: VirtualFleet, hosts: list[HostId]) -> None:
    """Freeze hosts as a server leaves, and wake them later."""
    for host in hosts:
        fleet.channel.pause(host)
    fleet.store.put({f"servers/{LEAVING}": None})
    wake_at = fleet.channel.now + FREEZE_SECONDS
    fleet.channel.call_at(wake_at, lambda: [fleet.channel.wake(h) for h in hosts])


def _hosts_in_use(fleet: VirtualFleet, frozen: list[HostId]) -> list[HostId]:
    """Return the other hosts that still use the server."""
    return [
        name
        for name, host in fleet.hosts.items()
        if name not in frozen
        for service in host.coordinator.tree.services.values()
        if any(upstream.id == LEAVING for upstream in service.upstreams)
    ]


@pytest.mark.parametrize("data_centres", [("north",), ("north", "east", "south")])
@pytest.mark.parametrize("host_count", [6, 12, 40])
@pytest.mark.parametrize("seed", range(1, 6))
def test_removal_reaches_all_hosts_whose_first_hubs_freeze(
    host_count: int, data_centres: tuple[str, ...], seed: int
) -> None:
    fleet = platform_fleet(host_count, seed=seed, data_centres=data_centres)
    fleet.channel.run(STEADY_SECONDS + Random(seed).random())
    frozen = _first_candidates(fleet)[: math.ceil(FROZEN_SHARE * host_count)]
    _freeze(fleet, frozen)
    fleet.channel.run(fleet.channel.now + DRAIN_SECONDS)
    assert _hosts_in_use(fleet, frozen) == []


@pytest.mark.parametrize("seed", range(1, 11))
def test_removal_reaches_all_hosts_while_random_ones_freeze(seed: int) -> None:
    rng = Random(seed)
    fleet = platform_fleet(40, seed=seed)
    fleet.channel.run(STEADY_SECONDS + rng.random())
    frozen = rng.sample(list(fleet.hosts), math.ceil(FROZEN_SHARE * 40))
    _freeze(fleet, frozen)
    fleet.channel.run(fleet.channel.now + DRAIN_SECONDS)
    assert _hosts_in_use(fleet, frozen) == []


def test_silence_of_all_hubs_is_no_outage_of_the_store() -> None:
    """The store answered each call, so an entry that is missing has been removed."""
    fleet = platform_fleet(12, data_centres=("north",))
    fleet.channel.run(STEADY_SECONDS)
    frozen = _first_candidates(fleet)[:10]
    _freeze(fleet, frozen)
    fleet.channel.run(fleet.channel.now + FREEZE_SECONDS + 4.0)
    events = [e for host in fleet.hosts.values() for e in host.events]
    assert not [event for event in events if isinstance(event, ServersLapsed)]
