"""A fleet of membership, configuration and key coordinators in virtual time."""

import json
from collections.abc import Iterable, Mapping
from hashlib import sha256
from random import Random

import attrs
import orjson
from attrs import define, field, frozen
from result import Err, Ok, Result

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.configuration.const import WATCH_TIMEOUT_MS
from catkinspan.coordination.configuration.coordinator import ConfigurationCoordinator
from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
)
from catkinspan.coordination.configuration.models import (
    PLATFORM,
    Delta,
    Document,
    ParsedDocuments,
)
from catkinspan.coordination.const import PAUSE_SECONDS
from catkinspan.coordination.keys.coordinator import KeyCoordinator
from catkinspan.coordination.membership.coordinator import MembershipCoordinator
from catkinspan.coordination.membership.isolation import IsolationMonitor
from catkinspan.coordination.models import Event, Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView, HostList, ListedHost
from catkinspan.state.ids import (
    NO_REVISION,
    DataCentre,
    HostId,
    KeyId,
    Revision,
    WorkspaceId,
)
from catkinspan.state.tree import (
    Address,
    FleetSettings,
    KeyEntry,
    SettingsTree,
    Workspace,
)
from catkinspan.testing.channel import FakeChannel

FRAME_BYTES = 75
"""Sender, incarnation and tag in JSON with the gRPC and HTTP/2 frame headers, when a
batch holds one message. TCP and IP headers and TLS records are not included."""

PLATFORM_SECONDS = 0.01
DATA_CENTRES = 3
INVALID = "invalid"


@frozen
class Published:
    """What the platform, or a stale replica of it, serves."""

    revision: Revision = NO_REVISION
    documents: Mapping[str, Document] = field(factory=dict)

    def changed(self, **texts: str) -> "Published":
        """Return the next revision with changed or new documents."""
        revision = Revision(self.revision + 1)
        documents = dict(self.documents)
        for name, text in texts.items():
            documents[name] = Document(name, revision, text)
        return Published(revision, documents)

    def without(self, name: str) -> "Published":
        """Return the next revision with a document removed."""
        documents = {n: d for n, d in self.documents.items() if n != name}
        return Published(Revision(self.revision + 1), documents)

    def delta(self, base: Revision, held: Iterable[str]) -> Delta:
        """Return what a reader at a revision finds changed."""
        documents = tuple(d for d in self.documents.values() if d.revision > base)
        removed = tuple(name for name in held if name not in self.documents)
        return Delta(base, self.revision, documents, removed)


class FakeParser:
    """Parses small JSON documents; shared by all hosts of a simulated fleet.

    A document named ``hosts`` lists hosts, ``root`` sets fleet limits, and all others
    map workspace ids to keys. A text with the word "invalid" is rejected.
    """

    def __init__(self) -> None:
        self._results: dict[frozenset[tuple[str, int]], ParsedDocuments] = {}
        self._workspaces: dict[tuple[str, int, str], dict[WorkspaceId, Workspace]] = {}

    def parse(
        self, documents: Mapping[str, Document], revision: Revision
    ) -> Result[ParsedDocuments, RejectedConfiguration]:
        """Return the tree and the host list."""
        for name, document in documents.items():
            if INVALID in document.text:
                fault = SettingsFault(name, "not a setting", "remove it")
                return Err(RejectedConfiguration(revision, (fault,)))
        key = frozenset((name, d.revision) for name, d in documents.items())
        if key not in self._results:
            self._results[key] = self._build(documents, revision)
        return Ok(self._results[key])

    def _build(
        self, documents: Mapping[str, Document], revision: Revision
    ) -> ParsedDocuments:
        workspaces: dict[WorkspaceId, Workspace] = {}
        hosts = HostList()
        fleet = FleetSettings()
        for name, document in documents.items():
            if name == "hosts":
                hosts = parse_hosts(document)
            elif name == "root":
                fleet = FleetSettings(max_hosts=json.loads(document.text)["max_hosts"])
            else:
                workspaces |= self._shard(document)
        tree = SettingsTree(revision, fleet, workspaces=workspaces)
        return ParsedDocuments(tree, hosts)

    def _shard(self, document: Document) -> dict[WorkspaceId, Workspace]:
        key = (document.name, document.revision, document.text)
        if key not in self._workspaces:
            self._workspaces[key] = {
                WorkspaceId(id_): _workspace(id_, entry)
                for id_, entry in json.loads(document.text).items()
                if isinstance(entry, dict)
            }
        return self._workspaces[key]


def _workspace(id_: str, entry: Mapping[str, object]) -> Workspace:
    keys = entry["keys"]
    assert isinstance(keys, dict)
    entries = tuple(KeyEntry(KeyId(k), bytes.fromhex(v)) for k, v in keys.items())
    rate = entry["rate"]
    assert isinstance(rate, int | float)
    return Workspace(WorkspaceId(id_), entries, rate, rate * 2)


def shard_text(first: int, count: int, rate: float = 10.0, pad: int = 0) -> str:
    """Return the text of a document with workspaces of one key each."""
    shard: dict[str, object] = {
        f"workspace-{n:05}": {
            "rate": rate,
            "keys": {f"key-{n:05}": sha256(f"secret-{n}".encode()).hexdigest()},
        }
        for n in range(first, first + count)
    }
    if pad:
        shard["comment"] = "x" * pad
    return json.dumps(shard)


def parse_hosts(document: Document) -> HostList:
    """Return the host list of a document."""
    listed = {}
    for id_, (data_centre, port, leaving) in json.loads(document.text).items():
        address = Address("127.0.0.1", port)
        host = ListedHost(HostId(id_), DataCentre(data_centre), address, leaving)
        listed[host.id] = host
    return HostList(document.revision, listed)


def host_ids(count: int) -> list[HostId]:
    return [HostId(f"host-{n:04}") for n in range(count)]


def listing(host: HostId, data_centres: int = DATA_CENTRES) -> ListedHost:
    number = int(host.rsplit("-", 1)[1])
    data_centre = DataCentre(f"dc-{number % data_centres}")
    return ListedHost(host, data_centre, Address("127.0.0.1", 20000 + number))


def hosts_text(
    hosts: Iterable[HostId],
    leaving: Iterable[HostId] = (),
    data_centres: int = DATA_CENTRES,
) -> str:
    gone = set(leaving)
    entries = [listing(host, data_centres) for host in hosts]
    return json.dumps(
        {e.id: [e.data_centre, e.peer_address.port, e.id in gone] for e in entries}
    )


class VirtualPlatform:
    """The configuration service: may be unreachable or stale for some hosts."""

    def __init__(self, published: Published) -> None:
        self.published = published
        self.unreachable: set[HostId] = set()
        self.replicas: dict[HostId, Published] = {}
        self.calls = 0

    def serves(self, host: HostId) -> Published | None:
        """Return what the host reads, or None if it cannot reach the service."""
        if host in self.unreachable:
            return None
        return self.replicas.get(host, self.published)


def _without_defaults(message: PeerMessage) -> dict[str, object]:
    fields = attrs.fields_dict(type(message))
    plain = attrs.asdict(message, recurse=False)
    wanted = {n: v for n, v in plain.items() if fields[n].default != v}
    return {name: attrs.asdict(message)[name] for name in wanted}


class CountingOutbox(Outbox):
    """Counts messages and estimated bytes by message class."""

    def __init__(self) -> None:
        super().__init__()
        self.messages: dict[str, int] = {}
        self.bytes: dict[str, int] = {}
        self.small_bytes = 0
        self.counting = False
        self.log: list[Event] = []

    def send(self, to: HostId, message: PeerMessage) -> None:
        """Queue and count a message."""
        super().send(to, message)
        if not self.counting:
            return
        name = type(message).__name__
        size = FRAME_BYTES + len(orjson.dumps(attrs.asdict(message)))
        self.small_bytes += FRAME_BYTES + len(orjson.dumps(_without_defaults(message)))
        self.messages[name] = self.messages.get(name, 0) + 1
        self.bytes[name] = self.bytes.get(name, 0) + size

    def emit(self, event: Event) -> None:
        """Keep events for the checks of tests."""
        self.log.append(event)


@define(slots=False, eq=False)
class FleetHost:
    """One host: the three concerns, the isolation monitor and a platform reader."""

    listed: ListedHost
    fleet: "Fleet"
    incarnation: int = 1

    def __attrs_post_init__(self) -> None:
        """Compose the concerns."""
        rng = Random(f"{self.fleet.seed}/{self.listed.id}/{self.incarnation}")
        self.outbox = CountingOutbox()
        self.membership = MembershipCoordinator(
            self.listed, self.incarnation, self.outbox, rng
        )
        self.configuration = ConfigurationCoordinator(
            self.listed.id, self.fleet.parser, self.outbox, rng
        )
        self.membership.exchange_revisions(self.configuration)
        self.keys = KeyCoordinator(self.outbox)
        self.isolation = IsolationMonitor(
            self.membership, self.configuration, self.outbox, self.fleet.channel.now
        )
        self.concerns: tuple[BaseConcern, ...] = (
            self.membership,
            self.configuration,
            self.keys,
        )
        self._view: FleetView | None = None
        self._ticked_at: float | None = None
        self._watch_until = 0.0
        self.accepted_at: dict[Revision, float] = {}

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Route a message to its concern."""
        self._note_gap(now)
        for concern in self.concerns:
            if type(message) in concern.handles:
                concern.handle(message, origin, now)
        self.spread(now)

    def tick(self, now: float) -> None:
        """Run all that is due."""
        self._note_gap(now)
        for concern in self.concerns:
            concern.tick(now)
        self.isolation.tick(now)
        self.configuration.set_cut_off(self.isolation.is_endangered(now))
        self._read_platform(now)
        self.spread(now)

    def resume(self, gap: float, now: float) -> None:
        """Tell the concerns of a pause."""
        for concern in self.concerns:
            concern.resume(gap, now)

    def spread(self, now: float) -> None:
        """Hand a new tree and a new view to the concerns."""
        accepted = self.configuration.take_accepted()
        if accepted is not None:
            self.accepted_at[self.configuration.revision] = now
            self.isolation.apply_limit(accepted.tree.fleet.isolation)
            self.membership.apply_host_list(accepted.hosts, now)
            for concern in self.concerns:
                concern.apply_tree(accepted.tree, now)
        if self.membership.view is not self._view:
            self._view = self.membership.view
            for concern in self.concerns:
                concern.apply_view(self._view, now)

    def opens(self, key: str) -> bool:
        """Return whether a request with the key would run here now."""
        now = self.fleet.channel.now
        if self.isolation.is_isolated(now):
            return False
        return self.keys.workspace_for(key, now).is_ok()

    def _note_gap(self, now: float) -> None:
        before, self._ticked_at = self._ticked_at, now
        if before is not None and now - before > PAUSE_SECONDS:
            self.resume(now - before, now)

    def _read_platform(self, now: float) -> None:
        """Watch as an elected reader, or read once when a fallback read is due."""
        configuration, platform = self.configuration, self.fleet.platform
        if not configuration.is_reader:
            if configuration.fallback_read_due(now):
                platform.calls += 1
                self._read(now)
            return
        served = platform.serves(self.listed.id)
        news = served is not None and served.revision > configuration.watch_after
        if now < self._watch_until and not news:
            return
        platform.calls += 1
        self._watch_until = now + WATCH_TIMEOUT_MS / 1000
        self._read(now)

    def _read(self, now: float) -> None:
        platform, configuration = self.fleet.platform, self.configuration
        served = platform.serves(self.listed.id)
        if served is None:
            return
        configuration.platform_contact(now, served.revision)
        if served.revision <= configuration.watch_after:
            return
        delta = served.delta(configuration.revision, configuration.document_names)
        platform.calls += 2 + len(delta.documents)
        when = self.fleet.channel.now + PLATFORM_SECONDS
        self.fleet.channel.at(when, lambda: self._take(delta))

    def _take(self, delta: Delta) -> None:
        now = self.fleet.channel.now
        channel = self.fleet.channel
        if channel.members.get(self.listed.id, None) is None:
            return
        self.configuration.offer(delta, PLATFORM, now)
        self.spread(now)
        channel.flush(self.listed.id)


class Fleet:
    """Hosts, platform and channel of one simulation."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: tuple[float, float] = (0.001, 0.004),
        documents: Mapping[str, str] | None = None,
        data_centres: int = DATA_CENTRES,
        warm: float = 8.0,
    ) -> None:
        self.seed = seed
        self.parser = FakeParser()
        self.channel = FakeChannel(Random(seed), delay, loss, duplication)
        self.ids = host_ids(count)
        texts = {
            "root": json.dumps({"max_hosts": count}),
            "hosts": hosts_text(self.ids, data_centres=data_centres),
            "workspaces/00": shard_text(0, 8),
            **(documents or {}),
        }
        published = Published().changed(**texts)
        self.platform = VirtualPlatform(published)
        self.hosts: dict[HostId, FleetHost] = {}
        self._data_centres = data_centres
        for host in self.ids:
            self.start(host, seeded=published)
        self.channel.run(warm)

    def start(
        self, host: HostId, incarnation: int = 1, seeded: Published | None = None
    ) -> FleetHost:
        """Start a host; a seeded one has the configuration from the beginning."""
        node = FleetHost(listing(host, self._data_centres), self, incarnation)
        self.hosts[host] = node
        self.channel.attach(host, node, node.outbox, incarnation)
        if seeded is not None:
            node.configuration.offer(
                seeded.delta(NO_REVISION, ()), PLATFORM, self.channel.now
            )
            node.spread(self.channel.now)
        return node

    def start_with_seeds(
        self, host: HostId, seeds: Iterable[HostId], incarnation: int = 1
    ) -> FleetHost:
        """Start a new host that knows some peers from its settings."""
        node = self.start(host, incarnation)
        hosts = {seed: listing(seed, self._data_centres) for seed in seeds}
        node.membership.apply_host_list(HostList(NO_REVISION, hosts), self.channel.now)
        node.spread(self.channel.now)
        return node

    def stop(self, host: HostId) -> None:
        """Crash a host."""
        self.channel.detach(host)
        del self.hosts[host]

    def publish(self, **texts: str) -> Revision:
        """Publish the next revision."""
        self.platform.published = self.platform.published.changed(**texts)
        return self.platform.published.revision

    def in_data_centre(self, number: int) -> list[HostId]:
        """Return the hosts of a data centre."""
        name = f"dc-{number}"
        return [h for h, n in self.hosts.items() if n.listed.data_centre == name]

    def run_for(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.channel.run(self.channel.now + seconds)

    def spread_seconds(self, revision: Revision, since: float) -> float:
        """Return the time until the last host had a revision in force.

        The result is infinite while a host has no revision as high as this one.
        """
        latest = 0.0
        for node in self.hosts.values():
            times = [at for r, at in node.accepted_at.items() if r >= revision]
            latest = max(latest, min(times, default=float("inf")) - since)
        return latest

    def count_traffic(self, seconds: float) -> "Traffic":
        """Return messages and bytes for each host and second."""
        for node in self.hosts.values():
            node.outbox.counting = True
            node.outbox.messages.clear()
            node.outbox.bytes.clear()
            node.outbox.small_bytes = 0
        calls = self.platform.calls
        self.run_for(seconds)
        boxes = [node.outbox for node in self.hosts.values()]
        for box in boxes:
            box.counting = False
        rates = [sum(box.bytes.values()) / seconds for box in boxes]
        by_class: dict[str, float] = {}
        for box in boxes:
            for name, size in box.bytes.items():
                by_class[name] = by_class.get(name, 0.0) + size / seconds / len(boxes)
        count = sum(sum(box.messages.values()) for box in boxes)
        return Traffic(
            count / seconds / len(boxes),
            sum(rates) / len(rates),
            sum(box.small_bytes for box in boxes) / seconds / len(boxes),
            max(rates),
            (self.platform.calls - calls) / seconds,
            by_class,
        )


@frozen
class Traffic:
    """Rates of control traffic that hosts send."""

    messages: float
    bytes: float
    """Mean bytes for each host and second."""

    small_bytes: float
    """The same if the codec leaves out fields that have their default value."""

    worst_bytes: float
    platform_calls: float
    """Calls a second over the whole fleet, waiting watches included."""

    by_class: Mapping[str, float]
