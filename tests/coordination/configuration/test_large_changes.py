"""Tests the propagation of changes that are too large to be pushed to all hosts."""

from random import Random

import pytest
from attrs import evolve

from catkinspan.coordination.configuration.const import (
    MAX_CHANGES_CHARS,
    WINDOW_CHARS_PER_MBPS,
)
from catkinspan.coordination.configuration.coordinator import ConfigurationCoordinator
from catkinspan.coordination.configuration.models import (
    Changes,
    ChangesReceived,
    CopyPart,
    Document,
    Freshness,
    Pull,
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.membership.models import HostStatusChanged, HubsChanged
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.protocol.settings.documents import TreeDocuments
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, Revision
from catkinspan.state.tree import Address
from catkinspan.testing.hosts import VirtualFleet
from catkinspan.testing.links import HostLinks
from tests.virtual_fleet import (
    host_records,
    small_settings_tree,
    store_documents,
    virtual_fleet,
)

LONE_READER_SECONDS = 0.6
"""Time for a change that one host reads: the wait for a push, and two exchanges."""

REFUSED_READERS_SECONDS = 1.0
"""Time for a change that is published as the store refuses its readers: two takeovers,
and the time of a lone reader."""

NARROW_MBPS = 10.0
LINK_BYTES_PER_SECOND = NARROW_MBPS * 1e6 / 8
LARGE_DOCUMENTS = 1_400
LARGE_CHANGE_SECONDS = 6.7
"""Time for 420 KB to each of the 20 hosts of a data centre over the link of one hub."""

HUB = HostId("hub")
ADDRESS = Address("127.0.0.1", 1)
FOLLOWERS = tuple(HostId(f"follower-{n}") for n in range(30))

MANY_SERVERS = 60
"""Servers that make a change large."""


def put_large_change(fleet: VirtualFleet, rate: float = 7.0) -> None:
    tree = small_settings_tree(servers=MANY_SERVERS + int(rate), rate=rate)
    fleet.store.put(store_documents(tree))


def hosts_without(fleet: VirtualFleet, rate: float = 7.0) -> list[HostId]:
    return [
        name
        for name, host in fleet.hosts.items()
        if any(w.rate != rate for w in host.coordinator.tree.workspaces.values())
    ]


def record_pulls(fleet: VirtualFleet) -> list[HostId]:
    """Return a list that receives the sender of each request for changes."""
    senders: list[HostId] = []

    def on_send(source: HostId, target: HostId, message: PeerMessage) -> None:
        if isinstance(message, Pull):
            senders.append(source)

    fleet.channel.set_send_callback(on_send)
    return senders


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
@pytest.mark.parametrize("rank", [0, 1], ids=["first", "second"])
def test_large_change_from_a_lone_reader_is_in_force_in_time(
    rank: int, seed: int
) -> None:
    """Guards against hubs that wait for a push that no host sends, and against pulls
    from hosts that have only heard of the change."""
    fleet = virtual_fleet(40, seed=seed)
    fleet.channel.run(6.0)
    hosts = list(fleet.hosts)
    reader = fleet.hosts[hosts[0]].coordinator.view.hubs[rank]
    fleet.store.unreachable_from = set(hosts) - {reader}
    fleet.channel.run(10.0)
    pulls = record_pulls(fleet)
    put_large_change(fleet)
    fleet.channel.run(10.0 + LONE_READER_SECONDS)
    assert hosts_without(fleet) == []
    assert len(pulls) <= len(hosts) / 3


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("refused", [1, 2], ids=["first", "first two"])
def test_large_change_is_in_force_in_time_as_the_store_refuses_its_readers(
    refused: int, seed: int
) -> None:
    """Guards against a takeover that waits for the age of the last contact although the
    readers know at once that their calls fail."""
    fleet = virtual_fleet(40, seed=seed)
    fleet.channel.run(6.0)
    views = [host.coordinator.view for host in fleet.hosts.values()]
    fleet.store.refused = {hub for view in views for hub in view.hubs[:refused]}
    put_large_change(fleet)
    fleet.channel.run(6.0 + REFUSED_READERS_SECONDS)
    assert hosts_without(fleet) == []


def put_many_documents(fleet: VirtualFleet) -> None:
    rng = Random(2)
    texts = ("".join(rng.choices("0123456789abcdef", k=300)) for _ in iter(int, 1))
    fleet.store.put({f"large/{n}": next(texts) for n in range(LARGE_DOCUMENTS)})


def test_large_change_leaves_room_on_narrow_links() -> None:
    """Guards against a change that fills the hubs' links, so that heartbeats are late,
    hubs change and the change is requested again and again."""
    links = HostLinks(lambda _: LINK_BYTES_PER_SECOND, PeerCodec(PEER_MESSAGES).size)
    documents = store_documents(small_settings_tree())
    fleet = VirtualFleet(
        host_records(60), documents, TreeDocuments, Random(1), links=links
    )
    fleet.channel.run(6.0)
    for host in fleet.hosts.values():
        host.events.clear()
    put_many_documents(fleet)
    fleet.channel.run(6.0 + LARGE_CHANGE_SECONDS)
    hosts = [host.coordinator.configuration for host in fleet.hosts.values()]
    assert min(host.store_revision for host in hosts) >= LARGE_DOCUMENTS
    disturbances = [
        event
        for host in fleet.hosts.values()
        for event in host.events
        if isinstance(event, HostStatusChanged | HubsChanged)
    ]
    assert disturbances == []


def test_large_change_is_completed_from_the_other_hub() -> None:
    """Guards against hosts that wait for a hub that has failed between two messages."""
    links = HostLinks(lambda _: LINK_BYTES_PER_SECOND, PeerCodec(PEER_MESSAGES).size)
    documents = store_documents(small_settings_tree())
    fleet = VirtualFleet(
        host_records(30), documents, TreeDocuments, Random(1), links=links
    )
    fleet.channel.run(6.0)
    put_many_documents(fleet)
    fleet.channel.run(6.6)
    hosts = [host.coordinator.configuration for host in fleet.hosts.values()]
    assert min(host.store_revision for host in hosts) < LARGE_DOCUMENTS
    view = next(iter(fleet.hosts.values())).coordinator.view
    fleet.crash_host(view.hubs[0])
    fleet.channel.run(6.6 + LARGE_CHANGE_SECONDS)
    hosts = [host.coordinator.configuration for host in fleet.hosts.values()]
    assert min(host.store_revision for host in hosts) >= LARGE_DOCUMENTS


def hub_with_large_change(
    count: int, chars: int = 20_000
) -> tuple[ConfigurationCoordinator, Outbox]:
    """Return a hub that has pushed `count` documents."""
    outbox, data_centre = Outbox(), DataCentre("north")
    hub = ConfigurationCoordinator(HUB, TreeDocuments(), outbox, 0.0)
    records = {
        host: HostRecord(host, data_centre, ADDRESS, link_mbps=NARROW_MBPS)
        for host in (HUB, *FOLLOWERS)
    }
    view = FleetView(
        HUB,
        data_centre,
        records,
        hubs=(HUB,),
        followers=FOLLOWERS,
        primary_followers=FOLLOWERS,
    )
    hub.apply_view(view, 0.0)
    first = Document("first", Revision(5), "")
    hub.apply_store_snapshot(StoreSnapshot(Revision(5), (first,)), 0.0)
    outbox.take_envelopes()
    documents = tuple(
        Document(f"large/{n}", Revision(6 + n // 2), "x" * chars) for n in range(count)
    )
    revision = documents[-1].revision
    hub.apply_store_changes(StoreChanges(Revision(5), revision, documents), 1.0)
    return hub, outbox


def sent_changes(outbox: Outbox) -> list[tuple[HostId, Changes]]:
    return [
        (HostId(str(envelope.to)), envelope.message)
        for envelope in outbox.take_envelopes()
        if isinstance(envelope.message, Changes)
    ]


def test_large_change_is_sent_to_few_hosts_at_once() -> None:
    """Guards against a change that is sent to all followers at once."""
    hub, outbox = hub_with_large_change(8)
    sent = sent_changes(outbox)
    sizes = [sum(len(d.text or "") for d in message.documents) for _, message in sent]
    assert max(sizes) <= MAX_CHANGES_CHARS
    assert sum(sizes[:-1]) < NARROW_MBPS * WINDOW_CHARS_PER_MBPS
    host, message = sent[0]
    hub.handle(ChangesReceived(message.revision), Sender(host, 1), 1.05)
    further = sent_changes(outbox)
    assert [receiver for receiver, _ in further] == [host]
    assert further[0][1].after_revision == message.revision


def test_changes_of_one_revision_are_sent_together() -> None:
    """Guards against a message that claims a revision of which it has only a part."""
    _, outbox = hub_with_large_change(8)
    for _, message in sent_changes(outbox):
        revisions = [document.revision for document in message.documents]
        assert revisions.count(message.revision) == 2


def test_hosts_of_older_versions_get_large_changes_in_time() -> None:
    """Guards against a hub that waits for acknowledgements which no host sends."""
    hub, outbox = hub_with_large_change(2)
    receivers = {host for host, _ in sent_changes(outbox)}
    for step in range(50):
        hub.tick(1.0 + step * 0.05)
        receivers |= {host for host, _ in sent_changes(outbox)}
    assert receivers == set(FOLLOWERS)


def test_large_document_is_sent_to_one_host_at_a_time() -> None:
    """Guards against a hub that goes on to the next host while the links still carry
    the document, until the links are full."""
    chars = 700_000
    hub, outbox = hub_with_large_change(1, chars)
    assert len(sent_changes(outbox)) == 1
    transfer_seconds = 2 * chars / LINK_BYTES_PER_SECOND
    for step in range(round(transfer_seconds / 0.05)):
        hub.tick(1.0 + step * 0.05)
    assert sent_changes(outbox) == []
    hub.handle(ChangesReceived(Revision(6)), Sender(FOLLOWERS[0], 1), 3.0)
    assert len(sent_changes(outbox)) == 1


def test_offer_of_a_host_that_is_gone_is_forgotten() -> None:
    """Guards against a host that goes on requesting changes that only a lost host had,
    and then no longer waits for a push of later ones."""
    hub, outbox = hub_with_large_change(2)
    gone, stays = FOLLOWERS[0], FOLLOWERS[1]
    hub.handle(Freshness(Revision(9), 0), Sender(gone, 1), 2.0)
    hub.tick(3.0)
    assert pull_receivers(outbox) == [gone]
    view = FleetView(
        HUB,
        DataCentre("north"),
        {h: HostRecord(h, DataCentre("north"), ADDRESS) for h in (HUB, stays)},
        hubs=(HUB,),
    )
    hub.apply_view(view, 3.0)
    for step in range(100):
        hub.tick(3.0 + step * 0.05)
    assert pull_receivers(outbox) == []
    hub.handle(Freshness(Revision(10), 0), Sender(stays, 1), 9.0)
    assert pull_receivers(outbox) == []
    hub.tick(9.5)
    assert pull_receivers(outbox) == [stays]


def test_changes_that_follow_a_copy_are_requested_at_once() -> None:
    """Guards against a host that starts during a change and gets it only after the wait
    for a lost answer."""
    hub, outbox = hub_with_large_change(2)
    host = FOLLOWERS[0]
    receiver_outbox = Outbox()
    receiver = ConfigurationCoordinator(host, TreeDocuments(), receiver_outbox, 1.0)
    receiver.apply_view(FleetView(host, DataCentre("north"), hubs=(HUB,)), 1.0)
    pushed = next(message for to, message in sent_changes(outbox) if to == host)
    receiver.handle(Freshness(Revision(5), 0), Sender(HUB, 1), 1.0)
    receiver.handle(pushed, Sender(HUB, 1), 1.1)
    receiver_outbox.take_envelopes()
    documents = (Document("first", Revision(5), ""),)
    copy = CopyPart(Revision(5), 0, documents, is_last=True)
    receiver.handle(copy, Sender(HUB, 1), 1.15)
    pulls = [
        envelope.message
        for envelope in receiver_outbox.take_envelopes()
        if isinstance(envelope.message, Pull)
    ]
    assert [pull.after_revision for pull in pulls] == [Revision(5)]


def test_host_that_cannot_use_a_push_gets_what_it_lacks() -> None:
    """Guards against a request that is taken for a repeated one, since later changes
    were just sent to the host."""
    hub, outbox = hub_with_large_change(2)
    host = FOLLOWERS[0]
    deliver_all(hub, outbox, 1.1)
    document = Document("large/9", Revision(7), "x" * 20_000)
    hub.apply_store_changes(StoreChanges(Revision(6), Revision(7), (document,)), 1.2)
    assert deliver_all(hub, outbox, 1.2)[host] == [6]
    hub.apply_store_changes(
        StoreChanges(Revision(7), Revision(8), (evolve(document, revision=8),)), 1.3
    )
    sent = [message for to, message in sent_changes(outbox) if to == host]
    assert [message.after_revision for message in sent] == [7]
    hub.handle(Pull(Revision(5), in_parts=True), Sender(host, 1), 1.4)
    hub.tick(2.0)
    assert deliver_all(hub, outbox, 2.0)[host] == [5, 7]


def test_revision_without_changes_is_answered() -> None:
    """Guards against hosts that request for ever a revision of the store which the hub
    knows from a full read, and which changed nothing."""
    hub, outbox = hub_with_large_change(2)
    host = FOLLOWERS[0]
    deliver_all(hub, outbox, 1.1)
    documents = tuple(
        Document(f"large/{n}", Revision(6), "x" * 20_000) for n in range(2)
    )
    first = Document("first", Revision(5), "")
    hub.apply_store_snapshot(StoreSnapshot(Revision(9), (first, *documents)), 1.2)
    outbox.take_envelopes()
    hub.handle(Pull(Revision(6), in_parts=True), Sender(host, 1), 1.3)
    sent = [message for to, message in sent_changes(outbox) if to == host]
    assert [(m.after_revision, m.revision, m.documents) for m in sent] == [(6, 9, ())]


def test_large_change_follows_an_answered_request_at_once() -> None:
    """Guards against a push that waits for the acknowledgement of small changes, which
    no host sends."""
    hub, outbox = hub_with_large_change(2)
    host = FOLLOWERS[0]
    deliver_all(hub, outbox, 1.1)
    small = Document("small", Revision(7), "x")
    hub.apply_store_changes(StoreChanges(Revision(6), Revision(7), (small,)), 1.2)
    outbox.take_envelopes()
    hub.handle(Pull(Revision(6), in_parts=True), Sender(host, 1), 1.3)
    assert [m.revision for to, m in sent_changes(outbox) if to == host] == [7]
    large = Document("large/9", Revision(8), "x" * 20_000)
    hub.apply_store_changes(StoreChanges(Revision(7), Revision(8), (large,)), 1.35)
    assert deliver_all(hub, outbox, 1.35)[host] == [7]


def deliver_all(
    hub: ConfigurationCoordinator, outbox: Outbox, now: float
) -> dict[HostId, list[Revision]]:
    """Acknowledge all changes; return the revisions after which each host got them."""
    delivered: dict[HostId, list[Revision]] = {}
    while sent := sent_changes(outbox):
        for receiver, message in sent:
            delivered.setdefault(receiver, []).append(message.after_revision)
            received = ChangesReceived(message.revision)
            hub.handle(received, Sender(receiver, 1), now)
    return delivered


def pull_receivers(outbox: Outbox) -> list[HostId]:
    envelopes = outbox.take_envelopes()
    return [HostId(str(e.to)) for e in envelopes if isinstance(e.message, Pull)]
