"""Hosts that read the store, in fleets of several data centres.

Guards against a price of the store that grows with the number of data centres, and
against readers that hold the others back.
"""

import pytest

from catkinspan.coordination.configuration.const import READING_DATA_CENTRES
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.state.ids import HostId, RequestId
from catkinspan.testing.hosts import VirtualFleet
from tests.platform.entries import platform_fleet, server_entry
from tests.virtual_fleet import READY_SECONDS, small_settings_tree, virtual_fleet

FIVE = ("north", "east", "south", "west", "centre")
APPLY_SECONDS = 2.0
"""Time after which a change is in force at each host (the platform's bound)."""

MAX_CALLS_PER_HOST = 0.1
"""Calls a second and host at rest, of a fleet of 20 hosts."""


def readers(fleet: VirtualFleet) -> list[HostId]:
    return [
        host
        for host, node in fleet.hosts.items()
        if node.coordinator.configuration.is_reader
    ]


def five_data_centres(hosts: int = 20) -> VirtualFleet:
    fleet = virtual_fleet(hosts, small_settings_tree(), data_centres=FIVE)
    fleet.channel.run(READY_SECONDS + 3.0)
    return fleet


def test_two_data_centres_read_for_a_fleet_in_five() -> None:
    fleet = five_data_centres()
    assert len(readers(fleet)) == READING_DATA_CENTRES
    before = fleet.store.call_count
    fleet.channel.run(fleet.channel.now + 20.0)
    calls = fleet.store.call_count - before
    assert calls / 20.0 / len(fleet.hosts) <= MAX_CALLS_PER_HOST


@pytest.mark.parametrize("fault", ["refused", "silent", "killed"])
def test_change_is_in_force_in_time_without_the_readers(fault: str) -> None:
    """The readers are lost just before a change, all at once."""
    fleet = five_data_centres()
    lost = readers(fleet)
    if fault == "refused":
        fleet.store.refused.update(lost)
    if fault == "silent":
        fleet.store.unreachable_from.update(lost)
    if fault == "killed":
        for host in lost:
            fleet.crash_host(host)
    fleet.store.put({"servers/i-9": server_entry(9)})
    fleet.channel.run(fleet.channel.now + APPLY_SECONDS)
    behind = [
        host
        for host, node in fleet.hosts.items()
        if node.coordinator.configuration.store_revision < fleet.store.revision
    ]
    assert behind == []


def test_hosts_without_a_usable_configuration_do_not_all_poll_the_store() -> None:
    """Guards against reads that grow with the hosts whose callers wait."""
    fleet = platform_fleet(hosts=20, text="no configuration")
    fleet.channel.run(READY_SECONDS)
    before = fleet.store.call_count
    for number in range(200):
        host = HostId(f"host-{number % 20}")
        arrived = RequestArrived(RequestId(f"r-{number}"), "GET", "a.example", "/")
        fleet.submit_request(host, arrived)
        fleet.channel.run(fleet.channel.now + 0.05)
    calls = fleet.store.call_count - before
    assert calls / 10.0 / len(fleet.hosts) <= 2 * MAX_CALLS_PER_HOST
