"""Coordinator of the replica of the store and of the settings in force."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import ClassVar

from attrs import define, field

from catkinspan.coordination.configuration.confirmation import CopyConfirmation
from catkinspan.coordination.configuration.const import (
    FRESHNESS_INTERVAL_SECONDS,
    INITIAL_READ_DELAY_SECONDS,
    LAPSE_GRACE_SECONDS,
    MAX_PART_CHARS,
    MAX_READING_CANDIDATES,
    MAX_RECENT_REVISIONS,
    OUTAGE_THRESHOLD_SECONDS,
    PULL_RETRY_SECONDS,
    READ_TAKEOVER_SECONDS,
    READ_TAKEOVER_STEP_SECONDS,
    READ_WITHOUT_HUB_SECONDS,
)
from catkinspan.coordination.configuration.difference import describe_differences
from catkinspan.coordination.configuration.models import (
    AppliedRevision,
    Changes,
    ClockStamp,
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
from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import NO_REVISION, HostId, Revision, ServerId
from catkinspan.state.tree import SettingsTree, Upstream

STORE_SOURCE = "store"
"""Source named in events when this host reached the store itself."""


@define
class _PartialCopy:
    """A full copy that is being received in parts."""

    revision: Revision
    documents: list[Document] = field(factory=list)
    received_parts: int = 0


class ConfigurationCoordinator(BaseCoordinator):
    """Replicates the store, forwards changes and decides whether this host reads it.

    The first hub candidate of each data centre reads and watches the store. A hub
    forwards each change that is new to it to its followers and to the hubs of all data
    centres. Another host forwards to its hubs the changes that it read from the store.
    Hubs announce the age of the last known contact with the store; if it becomes too
    old, the next candidates read the store as well, and finally a host without a hub.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (
        Changes,
        CopyPart,
        Pull,
        Freshness,
        ClockStamp,
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
        self._own_contact_at = float("-inf")
        self._peer_contact_at = float("-inf")
        """Time of the latest contact with the store that a peer reported."""

        self._confirmation = CopyConfirmation(now)
        self._outage_started_at: float | None = None
        """Time of the last contact before an outage; None while the store answers."""

        self._is_reader = False
        self._has_waiting_requests = False
        """Whether requests wait for the first configuration."""

        self._last_freshness_at = float("-inf")
        self._last_pull_at = float("-inf")
        self._partial_copies: dict[HostId, _PartialCopy] = {}
        self._lapsed_servers: dict[str, Document] = {}
        """Server entries removed around an outage that stay in use, by name."""

        self._lapse_grace_until = float("-inf")
        self._parsed_documents: Mapping[str, Document] = {}
        """Documents at the last parsing, including lapsed ones."""

        self._reported_rejection = NO_REVISION
        self._parsed = ParsedDocuments(self._tree)
        self._recent_revisions: deque[AppliedRevision] = deque(
            maxlen=MAX_RECENT_REVISIONS
        )

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
        """Return whether settings are in force and list at least one server."""
        services = self._tree.services.values()
        return self._tree.revision > NO_REVISION and any(s.upstreams for s in services)

    def read_store_now(self, now: float) -> None:
        """Read the store at once because requests wait for a configuration."""
        if self.is_ready() or self._has_waiting_requests:
            return
        self._has_waiting_requests = True
        self._update_reader_role(now)

    def contact_age(self, now: float) -> float:
        """Return the seconds since this host or a peer last reached the store.

        Before the first contact, return the seconds since the start of the host.
        """
        latest = max(self._own_contact_at, self._peer_contact_at, self._started_at)
        return now - latest

    def copy_age(self, now: float) -> float:
        """Return the seconds since the replica was last known to have all changes.

        It is infinite before the first contact with the store.
        """
        return self._confirmation.copy_age(now)

    def is_up_to_date(self, now: float) -> bool:
        """Return whether no newer change is known and the last contact is recent."""
        return not self.is_catching_up() and (
            self.copy_age(now) <= OUTAGE_THRESHOLD_SECONDS
        )

    def is_catching_up(self) -> bool:
        """Return whether the store has changes that the replica lacks."""
        return self._replica.revision < self._confirmation.announced_revision

    @property
    def _was_store_reached(self) -> bool:
        """Return whether this host or a peer ever reached the store."""
        return max(self._own_contact_at, self._peer_contact_at) > float("-inf")

    def snapshot(self, now: float) -> ConfigurationSnapshot:
        """Return the state for operators' reports."""
        age = self.contact_age(now)
        return ConfigurationSnapshot(
            self._tree.revision,
            self._replica.revision,
            tuple(self._recent_revisions),
            self._parsed.rejected,
            self._is_reader,
            age if self._was_store_reached else None,
            self.is_ready(),
            len(self._replica.documents),
        )

    def apply_view(self, view: FleetView, now: float) -> None:
        """Use a changed view of the fleet for forwarding and reader selection."""
        self._view = view

    # The store

    def apply_store_changes(self, changes: StoreChanges, now: float) -> None:
        """Apply changes received by this host's watch of the store."""
        self.record_store_contact(now)
        if changes.after_revision > self._replica.revision:
            return
        changed = self._replica.merge(changes.documents, changes.revision)
        self._apply_and_forward(changed, None, now)

    def apply_store_snapshot(self, snapshot: StoreSnapshot, now: float) -> None:
        """Apply a complete read of the store."""
        self.record_store_contact(now)
        self._apply_and_forward(
            self._replica.replace(snapshot.documents, snapshot.revision), None, now
        )

    def record_store_contact(self, now: float) -> None:
        """Record that the store answered this host."""
        self._check_outage_end(now, STORE_SOURCE, now)
        self._own_contact_at = now
        self._confirmation.record_own_contact(self._replica.revision, now)

    # Peers

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Apply changes from peers and answer pulls."""
        match message:
            case Changes():
                self._on_changes(message, sender.host, now)
            case CopyPart():
                self._on_copy_part(message, sender.host, now)
            case Pull(after):
                self._answer_pull(sender.host, after, now)
            case Freshness():
                self._on_freshness(message, sender.host, now)
            case ClockStamp(stamp_ms):
                self._confirmation.record_stamp(sender.host, stamp_ms, now)

    def _on_changes(self, message: Changes, source: HostId, now: float) -> None:
        self._confirmation.record_announcement(message.revision)
        if message.after_revision > self._replica.revision:
            self._request_changes(source, now)
            return
        self._last_pull_at = float("-inf")
        # A removal may be the first sign that an outage of the store has ended, so the
        # contact is recorded before the removal is applied.
        self._record_peer_contact(
            now - message.store_contact_age_ms / 1000, source, now
        )
        changed = self._replica.merge(message.documents, message.revision)
        self._apply_and_forward(changed, source, now)

    def _on_copy_part(self, part: CopyPart, source: HostId, now: float) -> None:
        partial = self._partial_copies.get(source)
        self._confirmation.record_announcement(part.revision)
        if part.index == 0:
            partial = self._partial_copies[source] = _PartialCopy(part.revision)
        if partial is None or part.revision != partial.revision:
            return
        if part.index != partial.received_parts:
            del self._partial_copies[source]
            return
        partial.documents += part.documents
        partial.received_parts += 1
        self._last_pull_at = now
        if part.is_last:
            del self._partial_copies[source]
            self._last_pull_at = float("-inf")
            changed = self._replica.replace(partial.documents, partial.revision)
            self._apply_and_forward(changed, source, now)

    def _on_freshness(self, message: Freshness, source: HostId, now: float) -> None:
        self._confirmation.record_freshness(message, self._replica.revision, now)
        age = message.store_contact_age_ms / 1000
        self._record_peer_contact(now - age, source, now)
        if message.revision > self._replica.revision:
            self._request_changes(source, now)

    def _record_peer_contact(self, at: float, source: HostId, now: float) -> None:
        if at > self._peer_contact_at:
            self._check_outage_end(at, source, now)
            self._peer_contact_at = at

    def _request_changes(self, source: HostId, now: float) -> None:
        if now - self._last_pull_at < PULL_RETRY_SECONDS:
            return
        self._last_pull_at = now
        self._outbox.send(source, Pull(self._replica.revision))

    def _answer_pull(self, host: HostId, after: Revision, now: float) -> None:
        replica = self._replica
        if after >= replica.revision:
            return
        changes = replica.changes_after(after) if after > NO_REVISION else None
        if changes is not None:
            age_ms = self._age_ms(now)
            message = Changes(after, replica.revision, changes, age_ms)
            self._outbox.send(host, message)
            return
        parts = _split_into_parts(replica.documents.values())
        for index, documents in enumerate(parts):
            is_last = index == len(parts) - 1
            part = CopyPart(replica.revision, index, documents, is_last)
            self._outbox.send(host, part)

    def _apply_and_forward(
        self, changed: tuple[Document, ...], source: HostId | None, now: float
    ) -> None:
        """Apply changes and forward them to hosts that may not have them."""
        self._confirmation.record_replica(self._replica.revision)
        if not changed:
            return
        self._apply_documents(changed, source or STORE_SOURCE, now)
        view = self._view
        if view is None:
            return
        receivers = {*view.followers, *view.remote_hubs, *view.hubs}
        receivers -= {self._self_id, source}
        if source is not None and not view.is_hub:
            receivers = set(view.followers) - {source}
        first_revision = min(document.revision for document in changed)
        after = Revision(first_revision - 1)
        if sum(len(d.text or "") for d in changed) > MAX_PART_CHARS:
            # Receivers see the newer revision and pull the copy in parts.
            message: PeerMessage = Freshness(self._replica.revision, 0)
        else:
            age_ms = self._age_ms(now)
            message = Changes(after, self._replica.revision, changed, age_ms)
        for host in receivers:
            self._outbox.send(host, message)

    # Time

    def tick(self, now: float) -> None:
        """Announce freshness, update the reader role and drop lapsed servers."""
        self._update_reader_role(now)
        if now - self._last_freshness_at >= FRESHNESS_INTERVAL_SECONDS:
            self._last_freshness_at = now
            self._send_freshness(now)
        age = self.contact_age(now)
        is_lost = age > OUTAGE_THRESHOLD_SECONDS and self._was_store_reached
        if is_lost and self._outage_started_at is None:
            self._outage_started_at = now - age
            self._outbox.emit(StoreContactLost(round(age, 3)))
        if self._lapsed_servers and now >= self._lapse_grace_until:
            self._lapsed_servers.clear()
            self._parse(STORE_SOURCE, now)

    def resume(self, gap: float, now: float) -> None:
        """Request missed data again and add the pause to the age of the contact."""
        self._last_pull_at = float("-inf")
        self._partial_copies.clear()
        self._own_contact_at -= gap
        self._peer_contact_at -= gap
        self._confirmation.resume(gap, now)

    def _age_ms(self, now: float) -> int:
        return max(0, round(self.contact_age(now) * 1000))

    def _send_freshness(self, now: float) -> None:
        view = self._view
        if view is None:
            return
        confirmation = self._confirmation
        stamp = ClockStamp(confirmation.clock_ms(now))
        for host in {*view.hubs, *view.remote_hubs} - {self._self_id}:
            self._outbox.send(host, stamp)
        if not self._was_store_reached:
            return
        # A host that lacks a revision it has heard of does not vouch for its copy.
        revision = max(self._replica.revision, confirmation.announced_revision)
        age_ms = confirmation.contact_age_ms(now)
        receivers = {*view.followers, *view.remote_hubs}
        confirmation.keep_stamps(receivers)
        for host in receivers:
            echo = confirmation.echo_for(host, now)
            self._outbox.send(host, Freshness(revision, age_ms, *echo))

    def _update_reader_role(self, now: float) -> None:
        is_reader = self._should_read(now)
        if is_reader == self._is_reader:
            return
        self._is_reader = is_reader
        rank = -1 if self._view is None else self._view.rank
        self._outbox.emit(ReadingChanged(is_reader, rank, self._age_ms(now)))

    def _should_read(self, now: float) -> bool:
        if self._has_waiting_requests and not self.is_ready():
            return True
        if self._view is None or now - self._started_at < INITIAL_READ_DELAY_SECONDS:
            return False
        rank = self._view.rank
        if rank == 0:
            return True
        peer_contact_age = now - max(self._peer_contact_at, self._started_at)
        if rank < MAX_READING_CANDIDATES:
            return (
                peer_contact_age
                > READ_TAKEOVER_SECONDS + READ_TAKEOVER_STEP_SECONDS * (rank - 1)
            )
        return peer_contact_age > READ_WITHOUT_HUB_SECONDS

    def _check_outage_end(self, at: float, source: str, now: float) -> None:
        outage = at - max(self._own_contact_at, self._peer_contact_at)
        if outage > OUTAGE_THRESHOLD_SECONDS and self._was_store_reached:
            self._lapse_grace_until = now + LAPSE_GRACE_SECONDS
        # A contact that is already old does not end an outage.
        if self._outage_started_at is not None and now - at < OUTAGE_THRESHOLD_SECONDS:
            seconds = round(at - self._outage_started_at, 3)
            self._outage_started_at = None
            self._outbox.emit(StoreContactRegained(seconds, source))

    # Settings

    def _apply_documents(
        self, changed: Iterable[Document], source: str, now: float
    ) -> None:
        """Apply changes; keep servers whose entries were removed around an outage."""
        lapsed = []
        for document in changed:
            self._lapsed_servers.pop(document.name, None)
            if document.text is not None or now >= self._lapse_grace_until:
                continue
            before = self._parsed_documents.get(document.name)
            if before is not None and self._parser.is_server(document.name):
                self._lapsed_servers[document.name] = before
                lapsed.append(document.name)
        if lapsed:
            grace = round(self._lapse_grace_until - now, 3)
            self._outbox.emit(ServersLapsed(tuple(lapsed), grace))
        self._parse(source, now)

    def _parse(self, source: str, now: float) -> None:
        documents = {**self._replica.documents, **self._lapsed_servers}
        before = self._parsed
        self._parsed = parsed = self._parser.parse(documents)
        self._parsed_documents = documents
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
        self._recent_revisions.append(
            AppliedRevision(parsed.tree.revision, now, source)
        )
        self._outbox.emit(
            ConfigurationAccepted(
                previous.revision,
                parsed.tree.revision,
                self._replica.revision,
                source,
                describe_differences(previous, parsed.tree),
            )
        )

    def _report_rejection(self, parsed: ParsedDocuments, source: str) -> None:
        rejected = parsed.rejected
        if rejected is None or rejected.revision == self._reported_rejection:
            return
        self._reported_rejection = rejected.revision
        self._outbox.emit(
            ConfigurationRejected(
                self._tree.revision, rejected.revision, source, rejected.faults
            )
        )

    def _report_servers(self, previous: SettingsTree, source: str) -> None:
        before, after = _servers_by_id(previous), _servers_by_id(self._tree)
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


def _servers_by_id(tree: SettingsTree) -> dict[ServerId, Upstream]:
    return {u.id: u for s in tree.services.values() for u in s.upstreams}


def _split_into_parts(documents: Iterable[Document]) -> list[tuple[Document, ...]]:
    """Split documents so that only a single document exceeds `MAX_PART_CHARS`."""
    parts: list[list[Document]] = [[]]
    size = 0
    for document in documents:
        length = len(document.text or "")
        if parts[-1] and size + length > MAX_PART_CHARS:
            parts.append([])
            size = 0
        parts[-1].append(document)
        size += length
    return [tuple(part) for part in parts]
