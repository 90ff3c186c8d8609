"""Tests that a large fleet coordinates over links of 10 Mbit/s."""

from random import Random

import pytest
from attrs import define

from catkinspan.coordination.configuration.const import READING_DATA_CENTRES
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.membership.models import HostStatusChanged
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.protocol.settings.documents import TreeDocuments
from catkinspan.state.hosts import HostStatus
from catkinspan.state.ids import HostId
from catkinspan.testing.hosts import VirtualFleet
from catkinspan.testing.links import HostLinks
from tests.virtual_fleet import (
    DATA_CENTRES,
    host_records,
    small_settings_tree,
    store_documents,
)

HOSTS = 135
WORKSPACES = 87
SERVERS = 60
MANY_SERVERS = 200
LINK_BYTES_PER_SECOND = 10e6 / 8
START_SECONDS = 6.0
"""Half of the time from the start of a fleet to its first requests."""

REST_SECONDS = 6.0
CHANGE_SECONDS = 1.0
"""Time for a change, of the 2.5 s from its publication to its use on all hosts."""

ORDINARY_BYTES_PER_SECOND = 6_000
HUB_LINK_SHARE = 0.1
"""Share of the link that a hub may use for control at rest."""


@define
class NarrowFleet:
    """A fleet on narrow links."""

    fleet: VirtualFleet
    links: HostLinks

    def hubs(self) -> dict[str, set[tuple[HostId, ...]]]:
        found: dict[str, set[tuple[HostId, ...]]] = {}
        for host in self.fleet.hosts.values():
            view = host.coordinator.view
            found.setdefault(view.self_data_centre, set()).add(view.hubs)
        return found

    def sent_bytes(self) -> dict[HostId, int]:
        return {host: self.links.sent_bytes(host) for host in self.fleet.hosts}


def narrow_fleet(seed: int, servers: int = SERVERS) -> NarrowFleet:
    codec = PeerCodec(PEER_MESSAGES)
    links = HostLinks(lambda _: LINK_BYTES_PER_SECOND, codec.size)
    tree = small_settings_tree(servers=servers, workspaces=WORKSPACES)
    fleet = VirtualFleet(
        host_records(HOSTS),
        store_documents(tree),
        TreeDocuments,
        Random(seed),
        links=links,
    )
    fleet.channel.run(START_SECONDS)
    return NarrowFleet(fleet, links)


@pytest.mark.parametrize("seed", [1, 2])
def test_fleet_started_at_once_converges(seed: int) -> None:
    """Guards against lists of hosts that fill the hubs' links during the start, so that
    heartbeats are late and the hubs change all the time."""
    narrow = narrow_fleet(seed)
    hubs = narrow.hubs()
    assert {name: len(pairs) for name, pairs in hubs.items()} == dict.fromkeys(
        DATA_CENTRES, 1
    )
    for host in narrow.fleet.hosts.values():
        view = host.coordinator.view
        assert (view.known_count, view.alive_count) == (HOSTS, HOSTS)
        assert host.coordinator.is_ready(START_SECONDS)


def test_fleet_at_rest_is_stable_within_its_budget() -> None:
    """Guards against hosts that are taken for silent without a fault, and against
    control traffic that grows with the square of the fleet."""
    narrow = narrow_fleet(1)
    fleet = narrow.fleet
    for host in fleet.hosts.values():
        host.events.clear()
    before, calls_before = narrow.sent_bytes(), fleet.store.call_count
    hubs_before = narrow.hubs()
    fleet.channel.run(START_SECONDS + REST_SECONDS)
    silent = [
        event
        for host in fleet.hosts.values()
        for event in host.events
        if isinstance(event, HostStatusChanged) and event.status is HostStatus.SILENT
    ]
    assert silent == []
    assert narrow.hubs() == hubs_before
    after = narrow.sent_bytes()
    for name, host in fleet.hosts.items():
        rate = (after[name] - before[name]) / REST_SECONDS
        if host.coordinator.view.is_hub:
            assert rate <= HUB_LINK_SHARE * LINK_BYTES_PER_SECOND
        else:
            assert rate <= ORDINARY_BYTES_PER_SECOND
    readers = [h for h in fleet.hosts.values() if h.coordinator.configuration.is_reader]
    assert len(readers) == READING_DATA_CENTRES
    calls = fleet.store.call_count - calls_before
    assert calls <= len(DATA_CENTRES) * (REST_SECONDS + 1)


def test_change_is_in_force_on_all_hosts_within_a_second() -> None:
    """Guards against changes that are late on hosts whose hubs' links are full."""
    fleet = narrow_fleet(1, MANY_SERVERS).fleet
    before = {host.coordinator.tree.revision for host in fleet.hosts.values()}
    tree = small_settings_tree(servers=MANY_SERVERS, workspaces=WORKSPACES, rate=7.0)
    fleet.store.put(store_documents(tree))
    fleet.channel.run(START_SECONDS + CHANGE_SECONDS)
    after = {host.coordinator.tree.revision for host in fleet.hosts.values()}
    assert len(after) == 1
    assert after != before
