"""Tests full reads of a store that changes while its pages are read."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

import pytest

from catkinspan.coordination.configuration.coordinator import ConfigurationCoordinator
from catkinspan.coordination.configuration.models import (
    Document,
    ParsedDocuments,
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import NO_REVISION, DataCentre, HostId, Revision
from catkinspan.state.tree import Address, SettingsTree
from catkinspan.testing.channel import FakeChannel

NORTH = DataCentre("north")
HOSTS = tuple(HostId(f"host-{n}") for n in range(4))
HUBS = HOSTS[:2]
NAMES = tuple(f"entry-{n}" for n in range(6))
PAGE_ITEMS = 2
STEPS = 60
READ_SHARE = 0.2
SETTLE_SECONDS = 15.0


class Store:
    """A store whose pages are not read from one snapshot."""

    def __init__(self) -> None:
        self.documents: dict[str, Document] = {}
        self.events: list[Document] = []
        self.revision = Revision(0)

    def put(self, name: str, text: str | None) -> None:
        self.revision = Revision(self.revision + 1)
        event = Document(name, self.revision, text)
        self.events.append(event)
        self.documents.pop(name, None)
        if text is not None:
            self.documents[name] = event

    def write_at_random(self, rng: Random) -> None:
        name = rng.choice(NAMES)
        if name in self.documents and rng.random() < 0.6:
            self.put(name, None)
        else:
            self.put(name, str(rng.random()))

    def read_all(self, between_pages: Callable[[], None]) -> StoreSnapshot:
        revision = last_revision = self.revision
        after, documents = "", []
        while page := self._page(after):
            documents += page
            after, last_revision = page[-1].name, self.revision
            between_pages()
        return StoreSnapshot(revision, tuple(documents), last_revision)

    def watch(self, after: Revision) -> StoreChanges:
        events = tuple(event for event in self.events if event.revision > after)
        return StoreChanges(after, self.revision, events)

    def _page(self, after: str) -> Sequence[Document]:
        names = sorted(name for name in self.documents if name > after)
        return [self.documents[name] for name in names[:PAGE_ITEMS]]


class RecordingParser:
    """Keeps the documents that are in force; implements `DocumentParser`."""

    def __init__(self) -> None:
        self.documents: dict[str, Document] = {}

    def parse(self, documents: Mapping[str, Document]) -> ParsedDocuments:
        self.documents = dict(documents)
        return ParsedDocuments(SettingsTree())

    def is_server(self, name: str) -> bool:
        return False


class Fleet:
    """Hosts of a data centre, two of which are hubs; the tests read the store."""

    def __init__(self, rng: Random) -> None:
        self.store = Store()
        self.channel = FakeChannel(rng, loss=0.1)
        self.parsers = {host: RecordingParser() for host in HOSTS}
        self.coordinators: dict[HostId, ConfigurationCoordinator] = {}
        self._rng = rng
        for host, parser in self.parsers.items():
            outbox = Outbox()
            coordinator = ConfigurationCoordinator(host, parser, outbox, 0.0)
            coordinator.apply_view(_view(host), 0.0)
            self.coordinators[host] = coordinator
            self.channel.attach(host, coordinator, outbox)

    def read_all(self, host: HostId, writes: int) -> None:
        """Let a host read all pages while the store changes between them."""

        def write() -> None:
            for _ in range(self._rng.randint(0, writes)):
                self.store.write_at_random(self._rng)

        snapshot = self.store.read_all(write)
        if not snapshot.is_consistent:
            snapshot = snapshot.with_changes(self.store.watch(snapshot.revision))
        self.coordinators[host].apply_store_snapshot(snapshot, self.channel.now)
        self.channel.flush(host)

    def watch(self, host: HostId) -> None:
        coordinator = self.coordinators[host]
        changes = self.store.watch(coordinator.store_revision)
        coordinator.apply_store_changes(changes, self.channel.now)
        self.channel.flush(host)

    def take_step(self) -> None:
        host = self._rng.choice(HOSTS)
        match self._rng.choice(("write", "wait", "watch", "read")):
            case "write":
                self.store.write_at_random(self._rng)
            case "wait":
                self.channel.run(self.channel.now + self._rng.choice((0.01, 0.5)))
            case "watch" if self.coordinators[host].store_revision > NO_REVISION:
                self.watch(host)
            case "read" if self._rng.random() < READ_SHARE:
                self.read_all(host, writes=2)


def _view(host: HostId) -> FleetView:
    records = {
        name: HostRecord(name, NORTH, Address("127.0.0.1", number))
        for number, name in enumerate(HOSTS, 1)
    }
    followers = tuple(name for name in HOSTS if name != host and host in HUBS)
    return FleetView(
        host,
        NORTH,
        hosts=records,
        usable=HOSTS,
        hubs=HUBS,
        followers=followers,
        primary_followers=followers if host == HUBS[0] else (),
        known_count=len(HOSTS),
        alive_count=len(HOSTS),
    )


@pytest.mark.parametrize("seed", range(1, 101))
def test_all_hosts_hold_what_the_store_holds(seed: int) -> None:
    """Guards against an entry that was removed during a full read and stays in use,
    and against one that was added meanwhile and is missing on other hosts."""
    fleet = Fleet(Random(seed))
    for _ in range(STEPS):
        fleet.take_step()
    fleet.read_all(HUBS[0], writes=2)
    fleet.watch(HUBS[0])
    fleet.channel.run(fleet.channel.now + SETTLE_SECONDS)
    for parser in fleet.parsers.values():
        assert parser.documents == fleet.store.documents
