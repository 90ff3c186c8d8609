"""Tests the propagation of the store's changes to all hosts."""

import pytest

from catkinspan.coordination.configuration.const import (
    MAX_READING_CANDIDATES,
    SUBSTITUTE_READERS,
)
from catkinspan.coordination.configuration.models import (
    ReadingChanged,
    ServersLapsed,
    StoreContactLost,
    StoreContactRegained,
)
from catkinspan.state.ids import HostId
from catkinspan.testing.hosts import READ_RETRY_SECONDS, VirtualFleet
from tests.platform.entries import configuration, platform_fleet, server_entry
from tests.virtual_fleet import small_settings_tree, store_documents, virtual_fleet

DRAIN_SECONDS = 2.0
"""Time after which a draining server may get no request (the platform's `drain_ms`)."""


def revisions(fleet: VirtualFleet) -> set[int]:
    return {host.coordinator.tree.revision for host in fleet.hosts.values()}


def servers_in_use(fleet: VirtualFleet) -> list[set[str]]:
    return [
        {
            upstream.id
            for service in host.coordinator.tree.services.values()
            for upstream in service.upstreams
            if not upstream.leaving
        }
        for host in fleet.hosts.values()
    ]


def test_change_takes_effect_on_all_hosts_within_half_a_second() -> None:
    fleet = virtual_fleet(40)
    before = revisions(fleet)
    fleet.store.put(store_documents(small_settings_tree(rate=7.0)))
    fleet.channel.run(fleet.channel.now + 0.5)
    assert len(revisions(fleet)) == 1
    assert revisions(fleet) != before


def test_store_is_read_by_one_host_of_each_data_centre() -> None:
    """Guards against more than one watch a second for each data centre, since the
    store's calls are billed."""
    fleet = virtual_fleet(40)
    fleet.channel.run(6.0)
    before = fleet.store.call_count
    fleet.channel.run(16.0)
    assert fleet.store.call_count - before <= 3 * 11


@pytest.mark.parametrize("refused", ["first reader", "all first readers", "a third"])
def test_drain_reaches_all_hosts_while_the_store_refuses_some(refused: str) -> None:
    """Guards against a data centre that gets no changes because the store refuses the
    host that reads it."""
    fleet = platform_fleet(12)
    fleet.channel.run(6.0)
    hosts = list(fleet.hosts)
    first = {fleet.hosts[h].coordinator.view.hubs[0] for h in hosts}
    fleet.store.unreachable_from = {
        "first reader": {sorted(first)[0]},
        "all first readers": first,
        "a third": set(hosts[::3]),
    }[refused]
    fleet.store.put({"servers/i-0": server_entry(0, state="draining")})
    fleet.channel.run(fleet.channel.now + DRAIN_SECONDS)
    assert all("i-0" not in servers for servers in servers_in_use(fleet))


def test_reader_killed_as_a_server_drains_is_replaced() -> None:
    fleet = platform_fleet(12)
    fleet.channel.run(6.0)
    for host in {h.coordinator.view.hubs[0] for h in fleet.hosts.values()}:
        fleet.crash_host(host)
    fleet.store.put({"servers/i-0": server_entry(0, state="draining")})
    fleet.channel.run(fleet.channel.now + 3.0)
    assert all("i-0" not in servers for servers in servers_in_use(fleet))


def test_restarted_host_gets_the_documents_from_its_hub() -> None:
    """Guards against a read of the whole store for each restarted host."""
    fleet = platform_fleet(12)
    fleet.channel.run(6.0)
    non_hub = next(h for h in fleet.hosts if not fleet.hosts[h].coordinator.view.is_hub)
    fleet.crash_host(non_hub)
    fleet.start_host(non_hub)
    fleet.channel.run(fleet.channel.now + 1.5)
    assert fleet.hosts[non_hub].coordinator.is_ready(fleet.channel.now)
    assert not fleet.hosts[non_hub].coordinator.configuration.is_reader


def test_fleet_serves_and_a_host_joins_during_a_store_outage() -> None:
    fleet = platform_fleet(12)
    fleet.channel.run(6.0)
    fleet.store.is_down = True
    fleet.channel.run(60.0)
    fleet.crash_host(HostId("host-4"))
    fleet.start_host(HostId("host-4"))
    fleet.channel.run(63.0)
    for host in fleet.hosts.values():
        assert host.coordinator.is_ready(fleet.channel.now)


def test_entries_expired_in_an_outage_are_kept_for_two_seconds() -> None:
    """Guards against a fleet without servers after an outage of the store, during
    which entries expire."""
    fleet = platform_fleet(9)
    fleet.channel.run(6.0)
    fleet.store.is_down = True
    fleet.channel.run(12.0)
    fleet.store.put({"servers/i-0": None, "servers/i-1": None})
    fleet.store.is_down = False
    fleet.channel.run(13.5)
    assert all({"i-0", "i-1"} <= servers for servers in servers_in_use(fleet))
    events = [e for h in fleet.hosts.values() for e in h.events]
    assert any(isinstance(event, ServersLapsed) for event in events)
    fleet.store.put({"servers/i-1": server_entry(1)})
    fleet.channel.run(17.0)
    assert all("i-0" not in servers for servers in servers_in_use(fleet))
    assert all("i-1" in servers for servers in servers_in_use(fleet))


def test_removed_entry_is_dropped_at_once_without_an_outage() -> None:
    fleet = platform_fleet(9)
    fleet.channel.run(6.0)
    fleet.store.put({"servers/i-0": None})
    fleet.channel.run(fleet.channel.now + 0.5)
    assert all("i-0" not in servers for servers in servers_in_use(fleet))


def test_older_configuration_changes_nothing() -> None:
    fleet = platform_fleet(6)
    fleet.channel.run(6.0)
    old = configuration(version=3)
    fleet.store.put({"op/config": old})
    fleet.channel.run(fleet.channel.now + 1.0)
    assert revisions(fleet) == {7}


def test_unreadable_configuration_is_ignored_and_servers_are_updated() -> None:
    fleet = platform_fleet(6)
    fleet.channel.run(6.0)
    fleet.store.put({"op/config": "{", "servers/i-9": server_entry(9)})
    fleet.channel.run(fleet.channel.now + 1.0)
    assert revisions(fleet) == {7}
    assert all("i-9" in servers for servers in servers_in_use(fleet))


def test_store_outage_is_reported_once() -> None:
    """Guards against taking a peer's slightly later contact for the end of the outage:
    each host logged ten lines of lost and regained contact (incident inc-cd78)."""
    fleet = virtual_fleet(12)
    fleet.channel.run(4.0)
    fleet.store.is_down = True
    fleet.channel.run(9.0)
    fleet.store.is_down = False
    fleet.channel.run(12.0)
    for host in fleet.hosts.values():
        lost = [e for e in host.events if isinstance(e, StoreContactLost)]
        regained = [e for e in host.events if isinstance(e, StoreContactRegained)]
        assert (len(lost), len(regained)) == (1, 1)
        assert regained[0].outage_seconds >= 4.0


def test_outage_of_the_store_leaves_few_readers() -> None:
    """Guards against a fleet whose hosts all read a store that does not answer."""
    fleet = virtual_fleet(60)
    fleet.channel.run(4.0)
    fleet.store.is_down = True
    fleet.channel.run(12.0)
    before = fleet.store.call_count
    fleet.channel.run(22.0)
    readers = [h for h in fleet.hosts.values() if h.coordinator.configuration.is_reader]
    limit = 3 * MAX_READING_CANDIDATES + 2 * SUBSTITUTE_READERS
    assert 3 <= len(readers) <= limit
    assert fleet.store.call_count - before <= limit * 10.0 / READ_RETRY_SECONDS


def test_one_host_replaces_a_reader_that_the_store_refuses() -> None:
    """Guards against a second reader that starts and stops all the time because it
    takes its own contact, which its hub reports back, for that of another host."""
    fleet = virtual_fleet(12, data_centres=("north",))
    fleet.channel.run(4.0)
    first = next(iter(fleet.hosts.values())).coordinator.view.hubs[0]
    fleet.store.unreachable_from = {first}
    fleet.channel.run(8.0)
    for host in fleet.hosts.values():
        host.events.clear()
    fleet.channel.run(20.0)
    events = [event for host in fleet.hosts.values() for event in host.events]
    assert not [event for event in events if isinstance(event, ReadingChanged)]


def test_new_reader_watches_from_its_own_revision() -> None:
    """Guards against a read of all documents by each host that takes over."""
    fleet = virtual_fleet(12)
    fleet.channel.run(6.0)
    before = fleet.store.full_read_count
    for host in {h.coordinator.view.hubs[0] for h in fleet.hosts.values()}:
        fleet.crash_host(host)
    fleet.channel.run(12.0)
    fleet.store.put(store_documents(small_settings_tree(rate=7.0)))
    fleet.channel.run(13.0)
    assert len(revisions(fleet)) == 1
    assert fleet.store.full_read_count == before


def test_host_without_a_hub_reads_the_store() -> None:
    fleet = virtual_fleet(12)
    fleet.channel.run(6.0)
    alone = next(h for h in fleet.hosts if not fleet.hosts[h].coordinator.view.is_hub)
    fleet.channel.partition([alone], [host for host in fleet.hosts if host != alone])
    fleet.channel.run(10.0)
    fleet.store.put(store_documents(small_settings_tree(rate=7.0)))
    fleet.channel.run(10.5)
    assert len(revisions(fleet)) == 1


def test_lost_push_of_a_large_change_is_pulled_from_the_other_hub() -> None:
    """Guards against a host that waits for the changes of a hub it does not hear."""
    fleet = virtual_fleet(12)
    fleet.channel.run(6.0)
    host = next(h for h in fleet.hosts if not fleet.hosts[h].coordinator.view.is_hub)
    primary = fleet.hosts[host].coordinator.view.hubs[0]
    fleet.channel.cut(primary, host)
    fleet.store.put(store_documents(small_settings_tree(servers=60, rate=7.0)))
    fleet.channel.run(7.0)
    assert len(revisions(fleet)) == 1
