"""Tests how hosts without settings get a copy of them."""

from collections import Counter
from random import Random

from attrs import evolve

from catkinspan.coordination.configuration.const import COPY_LINK_SHARE, MAX_PART_CHARS
from catkinspan.coordination.configuration.coordinator import ConfigurationCoordinator
from catkinspan.coordination.configuration.models import (
    CopyPart,
    CopyRequest,
    Document,
    Pull,
    StoreSnapshot,
)
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.protocol.settings.documents import TreeDocuments
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import NO_REVISION, DataCentre, HostId, Revision
from catkinspan.state.tree import Address
from catkinspan.testing.hosts import VirtualFleet
from catkinspan.testing.links import HostLinks
from tests.virtual_fleet import (
    DATA_CENTRES,
    host_records,
    small_settings_tree,
    store_documents,
)

HOSTS = 60
WIDE_MBPS = 200.0
NARROW_MBPS = 10.0
DOCUMENT_CHARS = 20_000
DOCUMENTS = 100
START_SECONDS = 8.0
"""Time for 2 MB to each host over a link of 10 Mbit/s, with a round for the half."""

HUB = HostId("hub")
FOLLOWERS = tuple(HostId(f"follower-{n}") for n in range(30))


def fleet_with_large_settings(hosts: int = HOSTS) -> VirtualFleet:
    """Start all hosts at once; two of each data centre have a wide link."""
    rng = Random(3)
    texts = {
        f"large/{n}": "".join(rng.choices("0123456789abcdef", k=DOCUMENT_CHARS))
        for n in range(DOCUMENTS)
    }
    records = [
        evolve(record, link_mbps=WIDE_MBPS if n < 6 else NARROW_MBPS)
        for n, record in enumerate(host_records(hosts))
    ]
    bandwidth = {record.id: record.link_mbps * 1e6 / 8 for record in records}
    links = HostLinks(bandwidth.__getitem__, PeerCodec(PEER_MESSAGES).size)
    documents = {**store_documents(small_settings_tree()), **texts}
    return VirtualFleet(records, documents, TreeDocuments, Random(1), links=links)


def count_copies(fleet: VirtualFleet) -> Counter[HostId]:
    """Return a counter of the copies that are begun, by receiver."""
    copies: Counter[HostId] = Counter()

    def on_send(source: HostId, target: HostId, message: PeerMessage) -> None:
        if isinstance(message, CopyPart) and message.index == 0:
            copies[target] += 1

    fleet.channel.set_send_callback(on_send)
    return copies


def test_restart_of_all_hosts_sends_one_copy_to_each() -> None:
    """Guards against copies that hosts request from several hubs at once, which fill
    the hubs' links, and against hosts that read the store meanwhile."""
    fleet = fleet_with_large_settings()
    copies = count_copies(fleet)
    fleet.channel.run(START_SECONDS)
    waiting = [
        h for h, node in fleet.hosts.items() if not node.coordinator.tree.services
    ]
    assert waiting == []
    assert max(copies.values()) == 1
    assert fleet.store.full_read_count == len(DATA_CENTRES)


def test_copy_is_completed_from_the_other_hub() -> None:
    """Guards against a host that waits for a hub that has failed during a copy."""
    fleet = fleet_with_large_settings(12)
    fleet.channel.run(START_SECONDS)
    hub = next(iter(fleet.hosts.values())).coordinator.view.hubs[0]
    data_centre = fleet.hosts[hub].coordinator.view.self_data_centre
    host = next(
        name
        for name, node in fleet.hosts.items()
        if not node.coordinator.view.is_hub
        and node.coordinator.view.self_data_centre == data_centre
    )
    fleet.crash_host(host)
    fleet.start_host(host)
    fleet.channel.run(fleet.channel.now + 1.0)
    assert not fleet.hosts[host].coordinator.is_ready(fleet.channel.now)
    for name in fleet.hosts[host].coordinator.view.hubs[:1]:
        fleet.crash_host(name)
    fleet.channel.run(fleet.channel.now + 6.0)
    assert fleet.hosts[host].coordinator.is_ready(fleet.channel.now)


def hub_with_copy(
    followers: tuple[HostId, ...],
) -> tuple[ConfigurationCoordinator, Outbox]:
    outbox = Outbox()
    hub = ConfigurationCoordinator(HUB, TreeDocuments(), outbox, 0.0)
    data_centre = DataCentre("north")
    links = {HUB: WIDE_MBPS, **dict.fromkeys(followers, NARROW_MBPS)}
    records = {
        host: HostRecord(host, data_centre, Address("127.0.0.1", 1), link_mbps=mbps)
        for host, mbps in links.items()
    }
    view = FleetView(HUB, data_centre, records, hubs=(HUB,), followers=followers)
    hub.apply_view(view, 0.0)
    documents = tuple(
        Document(f"large/{n}", Revision(5), "x" * MAX_PART_CHARS) for n in range(6)
    )
    hub.apply_store_snapshot(StoreSnapshot(Revision(5), documents), 0.0)
    outbox.take_envelopes()
    return hub, outbox


def sent_parts(outbox: Outbox) -> list[tuple[HostId, int]]:
    return [
        (envelope.to, envelope.message.index)
        for envelope in outbox.take_envelopes()
        if isinstance(envelope.message, CopyPart)
    ]


def test_copies_fill_at_most_a_share_of_the_link() -> None:
    """Guards against copies for all hosts at once, before which heartbeats wait."""
    hub, outbox = hub_with_copy(FOLLOWERS)
    for host in FOLLOWERS:
        hub.handle(Pull(NO_REVISION, in_parts=True), Sender(host, 1), 1.0)
    receivers = {host for host, _ in sent_parts(outbox)}
    assert len(receivers) * NARROW_MBPS == COPY_LINK_SHARE * WIDE_MBPS
    for received in range(1, 7):
        request = CopyRequest(Revision(5), received)
        hub.handle(request, Sender(FOLLOWERS[0], 1), 1.1)
    parts = sent_parts(outbox)
    assert [index for host, index in parts if host == FOLLOWERS[0]] == [2, 3, 4, 5]
    assert len({host for host, _ in parts} - {FOLLOWERS[0]}) == 1


def test_host_of_an_older_version_gets_all_parts() -> None:
    """Guards against a host that never requests the second part of its copy."""
    hub, outbox = hub_with_copy(FOLLOWERS)
    hub.handle(Pull(NO_REVISION), Sender(FOLLOWERS[0], 1), 1.0)
    assert sent_parts(outbox) == [(FOLLOWERS[0], index) for index in range(6)]
