"""Tests hubs with wide links, the loss of hubs, and fleets that join or restart."""

from random import Random

import pytest
from attrs import evolve

from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.membership.const import (
    HOST_EXPIRY_SECONDS,
    HOST_SILENT_SECONDS,
)
from catkinspan.coordination.membership.models import Heartbeat, Roster
from catkinspan.coordination.models import PeerMessage
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.protocol.settings.documents import TreeDocuments
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.testing.hosts import VirtualFleet
from catkinspan.transport.peers.const import MAX_DATAGRAM_BYTES
from tests.virtual_fleet import (
    DATA_CENTRES,
    host_records,
    small_settings_tree,
    store_documents,
)

READY_SECONDS = 4.0
REPLACED_SECONDS = 2.0
WIDE_HOSTS = frozenset(HostId(f"host-{n}") for n in range(6))


def widen(record: HostRecord) -> HostRecord:
    return evolve(record, link_mbps=200.0 if record.id in WIDE_HOSTS else 10.0)


def new_fleet(
    records: list[HostRecord], seed: int = 1, seconds: float = READY_SECONDS
) -> VirtualFleet:
    documents = store_documents(small_settings_tree())
    fleet = VirtualFleet(records, documents, TreeDocuments, Random(seed))
    fleet.channel.run(seconds)
    return fleet


def hub_pairs(fleet: VirtualFleet) -> dict[DataCentre, set[frozenset[HostId]]]:
    found: dict[DataCentre, set[frozenset[HostId]]] = {}
    for host in fleet.hosts.values():
        view = host.coordinator.view
        found.setdefault(view.self_data_centre, set()).add(frozenset(view.hubs))
    return found


def agreed_hubs(fleet: VirtualFleet) -> set[HostId]:
    pairs = hub_pairs(fleet)
    assert all(len(found) == 1 for found in pairs.values()), pairs
    return {host for found in pairs.values() for pair in found for host in pair}


def counts(fleet: VirtualFleet) -> set[tuple[int, int]]:
    views = [host.coordinator.view for host in fleet.hosts.values()]
    return {(view.known_count, view.alive_count) for view in views}


def test_hosts_with_wide_links_are_hubs_while_they_live() -> None:
    """Guards against a host with a narrow link that serves a whole data centre, and
    against a data centre that depends on its large hosts."""
    fleet = new_fleet([widen(record) for record in host_records(36)])
    assert agreed_hubs(fleet) == WIDE_HOSTS
    for host in WIDE_HOSTS:
        fleet.crash_host(host)
    fleet.channel.run(READY_SECONDS + 2 * REPLACED_SECONDS)
    assert len(agreed_hubs(fleet)) == 2 * len(DATA_CENTRES)


def test_lost_hubs_are_replaced_and_the_share_of_lost_hosts_stays_reserved() -> None:
    """Guards against new hubs that count only the hosts they have heard of."""
    fleet = new_fleet(host_records(36))
    assert counts(fleet) == {(36, 36)}
    lost = agreed_hubs(fleet)
    for host in lost:
        fleet.crash_host(host)
    fleet.channel.run(READY_SECONDS + REPLACED_SECONDS + 2 * HOST_SILENT_SECONDS)
    assert not agreed_hubs(fleet) & lost
    fleet.channel.run(fleet.channel.now + 2.0)
    assert counts(fleet) == {(36, 30)}
    fleet.channel.run(fleet.channel.now + HOST_EXPIRY_SECONDS + 5.0)
    assert counts(fleet) == {(30, 30)}


@pytest.mark.parametrize("seed", [1, 2])
def test_parts_of_a_fleet_join_through_seeds(seed: int) -> None:
    """Guards against two parts of a data centre that never hear of each other."""
    records = host_records(24)
    fleet = new_fleet(records, seed, seconds=0.0)
    hosts = [record.id for record in records]
    # The second part reaches no seed until the cut ends.
    first, second = hosts[:12], hosts[12:]
    fleet.channel.partition(first, second)
    fleet.channel.run(READY_SECONDS)
    assert any(len(pairs) > 1 for pairs in hub_pairs(fleet).values())
    fleet.channel.heal_all()
    fleet.channel.run(READY_SECONDS + 6.0)
    agreed_hubs(fleet)
    fleet.channel.run(fleet.channel.now + 4.0)
    assert counts(fleet) == {(24, 24)}


def test_fleet_that_restarts_at_once_agrees_again() -> None:
    """Guards against new processes that follow the records of the earlier ones."""
    fleet = new_fleet(host_records(36))
    for host in list(fleet.hosts):
        fleet.crash_host(host)
    for host in list(fleet._records):
        fleet.start_host(host)
    fleet.channel.run(READY_SECONDS * 2)
    agreed_hubs(fleet)
    assert counts(fleet) == {(36, 36)}


def test_host_that_was_cut_off_returns_without_seeds() -> None:
    """Guards against a host that forgets all others during a partition."""
    fleet = new_fleet(host_records(24))
    seeds = {HostId("host-0"), HostId("host-1"), HostId("host-2")}
    alone = next(
        host
        for host, node in fleet.hosts.items()
        if not node.coordinator.view.is_hub and host not in seeds
    )
    for seed in seeds:
        fleet.crash_host(seed)
    fleet.channel.run(READY_SECONDS + 6.0)
    fleet.channel.partition([alone], [host for host in fleet.hosts if host != alone])
    fleet.channel.run(fleet.channel.now + 10.0)
    view = fleet.hosts[alone].coordinator.view
    assert view.hubs == (alone,)
    assert view.alive_count == 1
    fleet.channel.heal_all()
    fleet.channel.run(fleet.channel.now + 4.0)
    agreed_hubs(fleet)


@pytest.mark.parametrize("data_centres", [3, 13])
def test_roster_fits_into_a_datagram(data_centres: int) -> None:
    """Guards against rosters that need a stream to each follower."""
    codec = PeerCodec(PEER_MESSAGES)
    names = tuple(f"perth-north-{n}" for n in range(data_centres))
    records = [
        evolve(record, id=HostId(f"front-{record.data_centre}-{n}"))
        for n, record in enumerate(host_records(5 * data_centres, names))
    ]
    sizes: list[int] = []

    def add_size(source: HostId, target: HostId, message: PeerMessage) -> None:
        if isinstance(message, Roster):
            sizes.append(codec.size(message))

    fleet = new_fleet(records)
    fleet.channel.set_send_callback(add_size)
    fleet.channel.run(READY_SECONDS + 4.0)
    assert 0 < max(sizes) <= MAX_DATAGRAM_BYTES


def test_settled_host_seldom_contacts_the_seeds() -> None:
    """Guards against three seeds that hear all hosts of a large fleet all the time."""
    fleet = new_fleet(host_records(60))
    contacts: list[HostId] = []

    def count_contact(source: HostId, target: HostId, message: PeerMessage) -> None:
        if isinstance(message, Heartbeat) and message.hub_index is None:
            contacts.append(source)

    fleet.channel.run(10.0)
    fleet.channel.set_send_callback(count_contact)
    fleet.channel.run(20.0)
    hubs = agreed_hubs(fleet)
    assert len([source for source in contacts if source in hubs]) <= 6 * 3 * 7
    assert len([source for source in contacts if source not in hubs]) <= 54 * 3


def test_hosts_join_after_the_loss_of_all_candidates_and_seeds() -> None:
    """Guards against hosts that each stay alone because all hosts that they know of
    failed at the same time."""
    fleet = new_fleet(host_records(60), seconds=20.0)
    seeds = {HostId("host-0"), HostId("host-1"), HostId("host-2")}
    ordinary = [
        node.coordinator.view
        for host, node in fleet.hosts.items()
        if not node.coordinator.view.is_hub and host not in seeds
    ]
    known = {host for view in ordinary for host in {*view.usable} - {view.self_id}}
    assert len(known | seeds) <= 20
    for host in known | seeds:
        fleet.crash_host(host)
    fleet.channel.run(26.0)
    agreed_hubs(fleet)


@pytest.mark.parametrize("seed", [1, 2])
def test_hosts_of_a_starting_fleet_soon_know_its_size(seed: int) -> None:
    """Guards against hosts that each admit a large part of a rate because they know
    only a few others yet."""
    fleet = new_fleet(host_records(60), seed, seconds=1.5)
    known = [node.coordinator.view.known_count for node in fleet.hosts.values()]
    assert min(known) >= 0.9 * 60
