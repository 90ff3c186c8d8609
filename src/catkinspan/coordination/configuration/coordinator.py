"""Owner of the copy of the store and of the settings in force."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import ClassVar

from attrs import define, field

from catkinspan.coordination.concern import BaseCoordinator
from catkinspan.coordination.configuration.const import (
    ALONE_SECONDS,
    FIRST_READ_SECONDS,
    FRESHNESS_SECONDS,
    LAPSE_GRACE_SECONDS,
    OUTAGE_SECONDS,
    PART_CHARS,
    PULL_SECONDS,
    READING_CANDIDATES,
    REVISIONS_SHOWN,
    TAKEOVER_SECONDS,
    TAKEOVER_STEP_SECONDS,
)
from catkinspan.coordination.configuration.difference import differences
from catkinspan.coordination.configuration.models import (
    AppliedRevision,
    Changes,
    ConfigurationAccepted,
    ConfigurationRejected,
    ConfigurationSnapshot,
    CopyPart,
    Document,
    DocumentParser,
    EntryIgnored,
    Freshness,
    ParsedDocuments,
    Pull,
    ReadingChanged,
    ServersChanged,
    ServersLapsed,
    StoreChanges,
    StoreContactLost,
    StoreContactRegained,
    StoreSnapshot,
)
from catkinspan.coordination.configuration.replica import Replica
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import NO_REVISION, HostId, Revision, ServerId
from catkinspan.state.tree import SettingsTree, Upstream

STORE = "store"
"""Name of the store as a source in events."""


@define
class _Copying:
    """A whole copy of which some parts have arrived."""

    revision: Revision
    documents: list[Document] = field(factory=list)
    parts: int = 0


class ConfigurationCoordinator(BaseCoordinator):
    """Keeps a copy of the store, passes changes on and decides who reads.

    The first hub candidate of each data centre reads and watches the store. Every
    host that learns a change first passes it on: hubs to their followers and to the
    hubs of the other data centres, others to their hubs. Each host tells how old its
    news of the store is; where that grows too old, the next candidates read as well,
    and in the end a host on its own.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (
        Changes,
        CopyPart,
        Pull,
        Freshness,
    )

    def __init__(
        self, self_id: HostId, parser: DocumentParser, outbox: Outbox, now: float
    ) -> None:
        self._self_id = self_id
        self._parser = parser
        self._outbox = outbox
        self._replica = Replica()
        self._tree = SettingsTree()
        self._view: FleetView | None = None
        self._started_at = now
        self._contact_at = float("-inf")
        self._others_contact_at = float("-inf")
        """As `_contact_at`, without the own reading."""

        self._lost_since: float | None = None
        """Last contact with the store before it counted as lost."""

        self._is_reader = False
        self._is_awaited = False
        """Whether requests wait for the first configuration."""

        self._told_at = float("-inf")
        self._pulled_at = float("-inf")
        self._copying: dict[HostId, _Copying] = {}
        self._lapsed: dict[str, Document] = {}
        """Servers whose entries vanished around an outage, still in use."""

        self._lapse_until = float("-inf")
        self._last_documents: Mapping[str, Document] = {}
        """Documents at the last parsing, lapsed ones included."""

        self._rejected = NO_REVISION
        self._parsed = ParsedDocuments(self._tree)
        self._recent: deque[AppliedRevision] = deque(maxlen=REVISIONS_SHOWN)

    @property
    def tree(self) -> SettingsTree:
        """Return the settings in force."""
        return self._tree

    @property
    def is_reader(self) -> bool:
        """Return whether the host should read and watch the store."""
        return self._is_reader

    @property
    def store_revision(self) -> Revision:
        """Return the revision of the store up to which all changes are known."""
        return self._replica.revision

    def is_ready(self) -> bool:
        """Return whether there are settings and a server to serve by."""
        services = self._tree.services.values()
        return self._tree.revision > NO_REVISION and any(s.upstreams for s in services)

    def hurry(self, now: float) -> None:
        """Read the store at once, since requests wait for a configuration."""
        if self.is_ready() or self._is_awaited:
            return
        self._is_awaited = True
        self._choose_reader(now)

    def contact_age(self, now: float) -> float:
        """Return the seconds since anyone known reached the store.

        Before the first contact these are the seconds since the start of the host.
        """
        latest = max(self._contact_at, self._others_contact_at, self._started_at)
        return now - latest

    @property
    def _was_reached(self) -> bool:
        """Return whether anyone known ever reached the store."""
        return max(self._contact_at, self._others_contact_at) > float("-inf")

    def snapshot(self, now: float) -> ConfigurationSnapshot:
        """Return the state for operators."""
        age = self.contact_age(now)
        return ConfigurationSnapshot(
            self._tree.revision,
            self._replica.revision,
            tuple(self._recent),
            self._parsed.rejected,
            self._is_reader,
            age if self._was_reached else None,
            self.is_ready(),
            len(self._replica.documents),
        )

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the peers."""
        self._view = view

    # The store

    def take_changes(self, changes: StoreChanges, now: float) -> None:
        """Take over what the own watch brought."""
        self.reached_store(now)
        if changes.after_revision > self._replica.revision:
            return
        news = self._replica.merge(changes.documents, changes.revision)
        self._spread(news, None, now)

    def take_copy(self, copy: StoreSnapshot, now: float) -> None:
        """Take over a whole reading of the store."""
        self.reached_store(now)
        self._spread(self._replica.replace(copy.documents, copy.revision), None, now)

    def reached_store(self, now: float) -> None:
        """Note that the store answered this host."""
        self._note_contact(now, STORE, now)
        self._contact_at = now

    # Peers

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Take over changes, and answer those that lack some."""
        match message:
            case Changes():
                self._on_changes(message, sender.host, now)
            case CopyPart():
                self._on_part(message, sender.host, now)
            case Pull(after):
                self._answer_pull(sender.host, after, now)
            case Freshness():
                self._on_freshness(message, sender.host, now)

    def _on_changes(self, message: Changes, source: HostId, now: float) -> None:
        if message.after_revision > self._replica.revision:
            self._pull(source, now)
            return
        self._pulled_at = float("-inf")
        # A removal may be the first sign that the store is back after an outage.
        self._hear_of_contact(now - message.store_contact_age_ms / 1000, source, now)
        news = self._replica.merge(message.documents, message.revision)
        self._spread(news, source, now)

    def _on_part(self, part: CopyPart, source: HostId, now: float) -> None:
        copying = self._copying.get(source)
        if part.index == 0:
            copying = self._copying[source] = _Copying(part.revision)
        if copying is None or part.revision != copying.revision:
            return
        if part.index != copying.parts:
            del self._copying[source]
            return
        copying.documents += part.documents
        copying.parts += 1
        self._pulled_at = now
        if part.is_last:
            del self._copying[source]
            self._pulled_at = float("-inf")
            news = self._replica.replace(copying.documents, copying.revision)
            self._spread(news, source, now)

    def _on_freshness(self, message: Freshness, source: HostId, now: float) -> None:
        self._hear_of_contact(now - message.store_contact_age_ms / 1000, source, now)
        if message.revision > self._replica.revision:
            self._pull(source, now)

    def _hear_of_contact(self, at: float, source: HostId, now: float) -> None:
        if at > self._others_contact_at:
            self._note_contact(at, source, now)
            self._others_contact_at = at

    def _pull(self, source: HostId, now: float) -> None:
        if now - self._pulled_at < PULL_SECONDS:
            return
        self._pulled_at = now
        self._outbox.send(source, Pull(self._replica.revision))

    def _answer_pull(self, host: HostId, after: Revision, now: float) -> None:
        replica = self._replica
        if after >= replica.revision:
            return
        changes = replica.changes_after(after) if after > NO_REVISION else None
        if changes is not None:
            age_ms = self._age_ms(now)
            changed = Changes(after, replica.revision, changes, age_ms)
            self._outbox.send(host, changed)
            return
        parts = _parts(replica.documents.values())
        for index, documents in enumerate(parts):
            is_last = index == len(parts) - 1
            part = CopyPart(replica.revision, index, documents, is_last)
            self._outbox.send(host, part)

    def _spread(
        self, news: tuple[Document, ...], source: HostId | None, now: float
    ) -> None:
        """Put changes into force, and pass them on to those that may lack them."""
        if not news:
            return
        self._adopt(news, source or STORE, now)
        view = self._view
        if view is None:
            return
        to = {*view.followers, *view.remote_hubs, *view.hubs}
        to -= {self._self_id, source}
        if source is not None and not view.is_hub:
            to = set(view.followers) - {source}
        first = min(document.revision for document in news)
        after = Revision(first - 1)
        if sum(len(d.text or "") for d in news) > PART_CHARS:
            # Receivers see the revision and pull the copy in parts.
            message: PeerMessage = Freshness(self._replica.revision, 0)
        else:
            age_ms = self._age_ms(now)
            message = Changes(after, self._replica.revision, news, age_ms)
        for host in to:
            self._outbox.send(host, message)

    # Time

    def tick(self, now: float) -> None:
        """Tell the age of the news, choose the readers and end lapses."""
        self._choose_reader(now)
        if now - self._told_at >= FRESHNESS_SECONDS:
            self._told_at = now
            self._tell_freshness(now)
        age = self.contact_age(now)
        is_lost = age > OUTAGE_SECONDS and self._was_reached
        if is_lost and self._lost_since is None:
            self._lost_since = now - age
            self._outbox.emit(StoreContactLost(round(age, 3)))
        if self._lapsed and now >= self._lapse_until:
            self._lapsed.clear()
            self._parse(STORE, now)

    def resume(self, gap: float, now: float) -> None:
        """Ask again for what may have been missed during a pause."""
        self._pulled_at = float("-inf")
        self._copying.clear()
        self._contact_at -= gap
        self._others_contact_at -= gap

    def _age_ms(self, now: float) -> int:
        return max(0, round(self.contact_age(now) * 1000))

    def _tell_freshness(self, now: float) -> None:
        view = self._view
        if view is None or not self._was_reached:
            return
        message = Freshness(self._replica.revision, self._age_ms(now))
        for host in {*view.followers, *view.remote_hubs}:
            self._outbox.send(host, message)

    def _choose_reader(self, now: float) -> None:
        reads = self._should_read(now)
        if reads == self._is_reader:
            return
        self._is_reader = reads
        rank = -1 if self._view is None else self._view.rank
        self._outbox.emit(ReadingChanged(reads, rank, self._age_ms(now)))

    def _should_read(self, now: float) -> bool:
        if self._is_awaited and not self.is_ready():
            return True
        if self._view is None or now - self._started_at < FIRST_READ_SECONDS:
            return False
        rank = self._view.rank
        if rank == 0:
            return True
        others = now - max(self._others_contact_at, self._started_at)
        if rank < READING_CANDIDATES:
            return others > TAKEOVER_SECONDS + TAKEOVER_STEP_SECONDS * (rank - 1)
        return others > ALONE_SECONDS

    def _note_contact(self, at: float, source: str, now: float) -> None:
        outage = at - max(self._contact_at, self._others_contact_at)
        if outage > OUTAGE_SECONDS and self._was_reached:
            self._lapse_until = now + LAPSE_GRACE_SECONDS
        # A contact that is itself old by now is no end of an outage.
        if self._lost_since is not None and now - at < OUTAGE_SECONDS:
            seconds = round(at - self._lost_since, 3)
            self._lost_since = None
            self._outbox.emit(StoreContactRegained(seconds, source))

    # Settings

    def _adopt(self, news: Iterable[Document], source: str, now: float) -> None:
        """Keep servers in use whose entries vanished around an outage."""
        lapsed = []
        for document in news:
            self._lapsed.pop(document.name, None)
            if document.text is not None or now >= self._lapse_until:
                continue
            before = self._last_documents.get(document.name)
            if before is not None and self._parser.is_server(document.name):
                self._lapsed[document.name] = before
                lapsed.append(document.name)
        if lapsed:
            grace = round(self._lapse_until - now, 3)
            self._outbox.emit(ServersLapsed(tuple(lapsed), grace))
        self._parse(source, now)

    def _parse(self, source: str, now: float) -> None:
        documents = {**self._replica.documents, **self._lapsed}
        before = self._parsed
        self._parsed = parsed = self._parser.parse(documents)
        self._last_documents = documents
        for fault in parsed.ignored:
            if fault not in before.ignored:
                self._outbox.emit(EntryIgnored(fault))
        self._report_rejection(parsed, source)
        if parsed.tree.revision < self._tree.revision:
            return
        previous, self._tree = self._tree, parsed.tree
        self._report_servers(previous, source)
        if previous.revision == parsed.tree.revision:
            return
        self._recent.append(AppliedRevision(parsed.tree.revision, now, source))
        self._outbox.emit(
            ConfigurationAccepted(
                previous.revision,
                parsed.tree.revision,
                self._replica.revision,
                source,
                differences(previous, parsed.tree),
            )
        )

    def _report_rejection(self, parsed: ParsedDocuments, source: str) -> None:
        rejected = parsed.rejected
        if rejected is None or rejected.revision == self._rejected:
            return
        self._rejected = rejected.revision
        self._outbox.emit(
            ConfigurationRejected(
                self._tree.revision, rejected.revision, source, rejected.faults
            )
        )

    def _report_servers(self, previous: SettingsTree, source: str) -> None:
        before, after = _servers(previous), _servers(self._tree)
        leaving = [
            name
            for name, server in after.items()
            if server.leaving and not (name in before and before[name].leaving)
        ]
        added, removed = after.keys() - before.keys(), before.keys() - after.keys()
        if not (added or leaving or removed):
            return
        self._outbox.emit(
            ServersChanged(
                self._replica.revision,
                source,
                tuple(sorted(added)),
                tuple(sorted(leaving)),
                tuple(sorted(removed)),
            )
        )


def _servers(tree: SettingsTree) -> dict[ServerId, Upstream]:
    return {u.id: u for s in tree.services.values() for u in s.upstreams}


def _parts(documents: Iterable[Document]) -> list[tuple[Document, ...]]:
    """Split documents so that no message carries much over `PART_CHARS`."""
    parts: list[list[Document]] = [[]]
    size = 0
    for document in documents:
        length = len(document.text or "")
        if parts[-1] and size + length > PART_CHARS:
            parts.append([])
            size = 0
        parts[-1].append(document)
        size += length
    return [tuple(part) for part in parts]
