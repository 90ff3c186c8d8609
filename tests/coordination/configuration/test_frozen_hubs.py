"""Tests that hosts hear of a server that leaves while their hubs are frozen.

Guards against requests to a server that has left: hosts waited too long before they
read the store themselves, and took the silence of their hubs for an outage of it.
"""

from catkinspan.coordination.configuration.models import ServersLapsed
from catkinspan.state.ids import HostId
from catkinspan.testing.hosts import VirtualFleet
from tests.platform.entries import platform_fleet

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


def test_silence_of_all_hubs_is_no_outage_of_the_store() -> None:
    """The store answered each call, so an entry that is missing has been removed."""
    fleet = platform_fleet(12, data_centres=("north",))
    fleet.channel.run(STEADY_SECONDS)
    frozen = _first_candidates(fleet)[:10]
    _freeze(fleet, frozen)
    fleet.channel.run(fleet.channel.now + FREEZE_SECONDS + 4.0)
    events = [e for host in fleet.hosts.values() for e in host.events]
    assert not [event for event in events if isinstance(event, ServersLapsed)]
