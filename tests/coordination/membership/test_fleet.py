"""Tests host discovery through seeds and the selection of hubs."""

from random import Random

import pytest

from catkinspan.coordination.membership.const import DATA_CENTRE_SILENT_SECONDS
from catkinspan.protocol.settings.documents import TreeDocuments
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.testing.hosts import VirtualFleet
from tests.virtual_fleet import (
    DATA_CENTRES,
    host_records,
    small_settings_tree,
    store_documents,
)

DISCOVERY_SECONDS = 1.5


def new_fleet(count: int = 12, seed: int = 1) -> VirtualFleet:
    return VirtualFleet(
        host_records(count),
        store_documents(small_settings_tree()),
        TreeDocuments,
        Random(seed),
    )


def view(fleet: VirtualFleet, host: HostId) -> FleetView:
    return fleet.hosts[host].coordinator.view


def data_centre_of(fleet: VirtualFleet, host: HostId) -> DataCentre:
    return view(fleet, host).self_data_centre


def hubs_by_data_centre(
    fleet: VirtualFleet,
) -> dict[DataCentre, set[tuple[HostId, ...]]]:
    found: dict[DataCentre, set[tuple[HostId, ...]]] = {}
    for host in fleet.hosts:
        found.setdefault(data_centre_of(fleet, host), set()).add(view(fleet, host).hubs)
    return found


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fleet_started_at_once_agrees_on_hubs(seed: int) -> None:
    fleet = new_fleet(40, seed)
    fleet.channel.run(DISCOVERY_SECONDS)
    for hubs in hubs_by_data_centre(fleet).values():
        assert len(hubs) == 1
        assert len(next(iter(hubs))) == 2


@pytest.mark.parametrize("alive_seeds", [1, 2])
def test_seeds_may_be_down(alive_seeds: int) -> None:
    """Guards against a new host that depends on one particular seed."""
    fleet = new_fleet()
    for number in range(alive_seeds, 3):
        fleet.crash_host(HostId(f"host-{number}"))
    fleet.channel.run(DISCOVERY_SECONDS)
    for hubs in hubs_by_data_centre(fleet).values():
        assert len(hubs) == 1


def test_killed_hub_is_replaced_within_seconds() -> None:
    fleet = new_fleet()
    fleet.channel.run(3.0)
    data_centre = DataCentre(DATA_CENTRES[0])
    ((first, second),) = hubs_by_data_centre(fleet)[data_centre]
    fleet.crash_host(first)
    fleet.channel.run(6.0)
    ((new_first, _),) = hubs_by_data_centre(fleet)[data_centre]
    assert new_first == second


def test_restarted_host_joins_and_its_old_process_is_dropped() -> None:
    """Guards against the assumption that incarnations increase: they are random, so a
    restarted host may announce a lower one."""
    fleet = new_fleet()
    fleet.channel.run(3.0)
    host = HostId("host-5")
    fleet.crash_host(host)
    fleet._incarnation = -5  # Lower than the previous incarnation.
    fleet.start_host(host)
    fleet.channel.run(6.0)
    own = view(fleet, host)
    assert len(own.hubs) == 2
    hub = view(fleet, own.hubs[0])
    assert hub.hosts[host].incarnation == -4
    assert host in hub.followers or host in hub.hubs


def test_size_counts_all_data_centres() -> None:
    fleet = new_fleet(40)
    fleet.channel.run(5.0)
    for local_hubs in hubs_by_data_centre(fleet).values():
        for hub in next(iter(local_hubs)):
            assert (view(fleet, hub).known_count, view(fleet, hub).alive_count) == (
                40,
                40,
            )


def test_cut_off_data_centre_counts_as_not_alive() -> None:
    """Guards against parts of a partitioned fleet that each admit the full rates."""
    fleet = new_fleet(12)
    fleet.channel.run(5.0)
    inside = [h for h in fleet.hosts if data_centre_of(fleet, h) == DataCentre("north")]
    outside = [h for h in fleet.hosts if h not in inside]
    fleet.channel.partition(inside, outside)
    fleet.channel.run(5.0 + DATA_CENTRE_SILENT_SECONDS + 0.5)
    hub = view(fleet, inside[0]).hubs[0]
    assert view(fleet, hub).alive_share == pytest.approx(4 / 12)
    other = view(fleet, outside[0]).hubs[0]
    assert view(fleet, other).alive_share == pytest.approx(8 / 12)


def test_messages_of_an_idle_host_do_not_grow_with_the_fleet() -> None:
    """Guards against a host that sends messages to all hosts instead of its hubs only,
    which would exceed the budget of control traffic."""

    def messages_per_host_second(count: int) -> float:
        fleet = new_fleet(count)
        fleet.channel.run(5.0)
        before = fleet.channel.sent_messages
        fleet.channel.run(10.0)
        return (fleet.channel.sent_messages - before) / 5.0 / count

    assert messages_per_host_second(60) <= 1.5 * messages_per_host_second(12)
