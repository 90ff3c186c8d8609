"""Owner of the accepted configuration and its revision."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, ClassVar

from result import Err, Ok, Result

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.configuration import models
from catkinspan.coordination.configuration.const import (
    CHUNK_CHARS,
    MAX_DOCUMENT_CHARS,
    MAX_DOCUMENTS,
    PUSH_FANOUT,
    REVISIONS_SHOWN,
    STARTUP_READ_AFTER_SECONDS,
    STARTUP_STALL_SECONDS,
)
from catkinspan.coordination.configuration.difference import differences
from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
    base_unknown,
    document_too_large,
    too_many_documents,
)
from catkinspan.coordination.configuration.fetch import Fetcher
from catkinspan.coordination.configuration.history import History
from catkinspan.coordination.configuration.models import (
    ChangesRequest,
    Chunk,
    ChunkRequest,
    ConfigurationAccepted,
    ConfigurationRejected,
    ConfigurationSnapshot,
    Delta,
    DocumentParser,
    Manifest,
    ParsedDocuments,
    PatchSet,
    RevisionInForce,
    RevisionNotice,
    RevisionQuery,
    RevisionReply,
    Snapshot,
    Source,
    StartupDecided,
)
from catkinspan.coordination.configuration.readers import FallbackReads, is_elected
from catkinspan.coordination.configuration.serving import ServingBudget
from catkinspan.coordination.configuration.startup import StartupInquiry
from catkinspan.coordination.configuration.store import DocumentStore, Proposal
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView, HostList
from catkinspan.state.ids import NO_REVISION, HostId, Revision
from catkinspan.state.tree import SettingsTree

Offer = Result[Revision, RejectedConfiguration]


class ConfigurationCoordinator(BaseConcern):
    """Accepts higher revisions, passes them on and repairs missed ones.

    Whoever owns the coordinator calls `take_accepted` after each call of it, and
    hands the tree and the host list to the other concerns.
    """

    handles: ClassVar[tuple[type[PeerMessage], ...]] = models.MESSAGES

    def __init__(
        self,
        self_id: HostId,
        parser: DocumentParser,
        outbox: Outbox,
        rng: Random,
    ) -> None:
        self._id = self_id
        self._parser = parser
        self._outbox = outbox
        self._rng = rng
        self._revision = NO_REVISION
        self._tree = SettingsTree()
        self._hosts = HostList()
        self._accepted: ParsedDocuments | None = None
        self._rejected: RejectedConfiguration | None = None
        self._seen = NO_REVISION
        self._store = DocumentStore()
        self._history = History()
        self._fetcher = Fetcher(outbox, rng)
        self._serving = ServingBudget()
        self._fallback = FallbackReads(rng)
        self._usable: tuple[HostId, ...] | None = None
        self._peers: tuple[HostId, ...] = ()
        self._is_reader = False
        self._cut_off = False
        self._platform_contact_at: float | None = None
        self._in_force: deque[RevisionInForce] = deque(maxlen=REVISIONS_SHOWN)
        self._inquiry: StartupInquiry | None = None
        self._ready = False
        self._started_at: float | None = None
        self._handlers: dict[type[PeerMessage], Callable[[Any, Origin, float], None]]
        self._handlers = {
            PatchSet: self._on_patch_set,
            RevisionNotice: self._on_notice,
            ChangesRequest: self._on_changes_request,
            Manifest: self._on_manifest,
            ChunkRequest: self._on_chunk_request,
            Chunk: self._on_chunk,
            RevisionQuery: self._on_query,
            RevisionReply: self._on_reply,
        }

    @property
    def tree(self) -> SettingsTree:
        """Return the settings in force."""
        return self._tree

    @property
    def host_list(self) -> HostList:
        """Return the platform's host list as of the revision in force."""
        return self._hosts

    @property
    def revision(self) -> Revision:
        """Return the revision in force, 0 before the first."""
        return self._revision

    @property
    def watch_after(self) -> Revision:
        """Return the revision to watch from: the highest seen, also if rejected."""
        return max(self._seen, self._revision)

    @property
    def document_names(self) -> tuple[str, ...]:
        """Return the names of the documents in force, for the reader to compare."""
        return tuple(sorted(self._store.documents))

    @property
    def is_reader(self) -> bool:
        """Return whether this host reads and watches the platform all the time."""
        return self._is_reader

    @property
    def platform_contact_at(self) -> float | None:
        """Return when the platform was last reached, in monotonic seconds."""
        return self._platform_contact_at

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the state for operators."""
        rejected = self._rejected
        if rejected is not None and rejected.revision <= self._revision:
            rejected = None
        return ConfigurationSnapshot(
            self._revision,
            self.watch_after,
            tuple(self._in_force),
            rejected,
            self._is_reader,
            self._platform_contact_at,
            self._ready,
        )

    def is_ready(self, now: float) -> bool:
        """Return whether the host knows enough to serve; once true it stays so."""
        if self._ready or self._revision == NO_REVISION or self._inquiry is None:
            return self._ready
        target = self._inquiry.target(self._peers, now)
        if target is None or self._revision < target:
            return False
        self._ready = True
        inquiry = self._inquiry
        self._outbox.emit(
            StartupDecided(self._revision, inquiry.answered, inquiry.asked)
        )
        return True

    def take_accepted(self) -> ParsedDocuments | None:
        """Return what was accepted since the last call, or None."""
        accepted, self._accepted = self._accepted, None
        return accepted

    def offer(self, offered: Snapshot | Delta, source: Source, now: float) -> Offer:
        """Put a higher revision in force, whole, if it passes all checks.

        An offer that is not higher changes nothing and returns the revision in
        force, so a stale replica never takes it back. A rejected revision changes
        nothing; the error names each fault and its remedy.
        """
        if offered.revision <= self._revision:
            return Ok(self._revision)
        if isinstance(offered, Delta) and offered.base > self._revision:
            return Err(base_unknown(offered.revision, offered.base))
        if self._rejected and self._rejected.revision == offered.revision:
            return Err(self._rejected)
        self._seen = max(self._seen, offered.revision)
        proposal = self._store.propose(offered)
        checked = self._check(proposal, offered.revision)
        if isinstance(checked, Err):
            return self._reject(checked.err_value, proposal, source)
        self._accept(checked.ok_value, proposal, offered.revision, source, now)
        return Ok(self._revision)

    def platform_contact(self, now: float, revision: Revision | None = None) -> None:
        """Record that a read or watch of the platform succeeded.

        With a revision below the one in force the replica is stale, and the contact
        proves nothing about withdrawn keys; it does not count.
        """
        if revision is not None and revision < self._revision:
            return
        self._platform_contact_at = now

    def set_cut_off(self, cut_off: bool) -> None:
        """Learn from the isolation monitor whether fallback reads are needed."""
        self._cut_off = cut_off

    def fallback_read_due(self, now: float) -> bool:
        """Return whether a host that is no reader should read the platform once.

        Each True counts as a read; the rate is bounded however often it is called.
        """
        needed = self._cut_off or self._starts_alone(now)
        return self._fallback.is_due(needed and not self._is_reader, now)

    def observe_revision(self, host: HostId, revision: Revision, now: float) -> None:
        """Learn a peer's revision from a probe or an ack, and fetch a higher one."""
        if revision <= self._useless_up_to:
            return
        self._fetcher.observe(host, revision)
        self._fetcher.start(self._revision, now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the peers and find out whether this host is a reader."""
        if view.usable is self._usable:
            return
        self._usable = view.usable
        self._peers = tuple(host for host in view.usable if host != self._id)
        self._is_reader = is_elected(view)

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Process a message from a peer."""
        self._handlers[type(message)](message, origin, now)

    def tick(self, now: float) -> None:
        """Continue a fetch and, on a new host, the questions to peers."""
        if self._started_at is None:
            self._started_at = now
        self._fetcher.step(self._revision, now)
        if not self.is_ready(now):
            self._continue_startup(now)

    def resume(self, gap: float, now: float) -> None:
        """Forget what was known of peers before the pause."""
        self._fetcher.cancel()

    @property
    def _useless_up_to(self) -> Revision:
        """Return the highest revision that need not be fetched."""
        if self._rejected is None:
            return self._revision
        return max(self._revision, self._rejected.revision)

    def _check(
        self, proposal: Proposal, revision: Revision
    ) -> Result[ParsedDocuments, RejectedConfiguration]:
        faults = _size_faults(proposal)
        if faults:
            return Err(RejectedConfiguration(revision, faults))
        return self._parser.parse(proposal.documents, revision)

    def _reject(
        self, rejected: RejectedConfiguration, proposal: Proposal, source: Source
    ) -> Offer:
        self._rejected = rejected
        self._fetcher.drop_sources(self._useless_up_to)
        self._outbox.emit(
            ConfigurationRejected(
                self._revision,
                rejected.revision,
                str(source),
                proposal.changed,
                rejected.faults,
            )
        )
        return Err(rejected)

    def _accept(
        self,
        parsed: ParsedDocuments,
        proposal: Proposal,
        revision: Revision,
        source: Source,
        now: float,
    ) -> None:
        previous, self._revision = self._revision, revision
        old_tree, self._tree = self._tree, parsed.tree
        self._hosts = parsed.hosts
        self._accepted = parsed
        self._in_force.append(RevisionInForce(revision, now, str(source)))
        patches = self._store.replace(proposal, revision)
        self._history.record(previous, revision, patches)
        self._fetcher.drop_sources(self._useless_up_to)
        first = previous == NO_REVISION
        shown = () if first else differences(old_tree, parsed.tree)
        self._outbox.emit(
            ConfigurationAccepted(
                previous, revision, str(source), proposal.changed, shown
            )
        )
        if first:
            self._begin_inquiry_again(now)
            return
        self._push(previous)

    def _push(self, previous: Revision) -> None:
        """Pass a new revision on once, whole if it is small."""
        changes = self._history.since(previous)
        message = changes or RevisionNotice(self._revision)
        count = min(PUSH_FANOUT, len(self._peers))
        for host in self._rng.sample(self._peers, count):
            self._outbox.send(host, message)

    def _on_patch_set(self, patch_set: PatchSet, origin: Origin, now: float) -> None:
        if patch_set.revision <= self._useless_up_to:
            return
        if patch_set.base <= self._revision:
            delta = self._store.patched(patch_set)
            if delta is not None:
                self.offer(delta, Source(origin.host), now)
                return
            self._fetcher.observe(origin.host, patch_set.revision)
            self._fetcher.ask_without_patches(origin.host, self._revision, now)
            return
        self.observe_revision(origin.host, patch_set.revision, now)

    def _on_notice(self, notice: RevisionNotice, origin: Origin, now: float) -> None:
        if notice.revision <= self._useless_up_to:
            return
        self._fetcher.observe(origin.host, notice.revision)
        if self._fetcher.is_source(origin.host):
            self._fetcher.restart(self._revision, now)
            return
        self._fetcher.start(self._revision, now)

    def _on_changes_request(
        self, request: ChangesRequest, origin: Origin, now: float
    ) -> None:
        if request.have >= self._revision:
            return
        changes = self._history.since(request.have) if request.patches else None
        if changes is None and not self._serving.admit(origin.host, now):
            return
        if not self._serving.take(now):
            return
        answer = changes or self._store.manifest(request.have, self._revision)
        self._outbox.send(origin.host, answer)

    def _on_manifest(self, manifest: Manifest, origin: Origin, now: float) -> None:
        if manifest.revision <= self._useless_up_to or manifest.base > self._revision:
            return
        self._fetcher.take_manifest(manifest, origin.host, self._store, now)
        self._finish_fetch(origin, now)

    def _on_chunk_request(
        self, request: ChunkRequest, origin: Origin, now: float
    ) -> None:
        document = self._store.documents.get(request.name)
        if document is None or document.revision != request.revision:
            self._outbox.send(origin.host, RevisionNotice(self._revision))
            return
        if not self._serving.admit(origin.host, now) or not self._serving.take(now):
            return
        text = document.text[request.offset : request.offset + CHUNK_CHARS]
        self._outbox.send(
            origin.host, Chunk(request.name, request.revision, request.offset, text)
        )

    def _on_chunk(self, chunk: Chunk, origin: Origin, now: float) -> None:
        self._fetcher.take_chunk(chunk, now)
        self._finish_fetch(origin, now)

    def _finish_fetch(self, origin: Origin, now: float) -> None:
        offered = self._fetcher.completed(self._store)
        if offered is not None:
            self.offer(offered, Source(origin.host), now)

    def _on_query(self, query: RevisionQuery, origin: Origin, now: float) -> None:
        reply = RevisionReply(query.nonce, self._revision, self.is_ready(now))
        self._outbox.send(origin.host, reply)

    def _on_reply(self, reply: RevisionReply, origin: Origin, now: float) -> None:
        if self._inquiry is not None:
            self._inquiry.take_reply(origin.host, reply)
        self.observe_revision(origin.host, reply.revision, now)

    def _continue_startup(self, now: float) -> None:
        if self._inquiry is None or self._is_stalled(self._inquiry, now):
            self._begin_inquiry(now)
        assert self._inquiry is not None
        for host in self._inquiry.due(self._peers, now):
            self._outbox.send(host, RevisionQuery(self._inquiry.nonce))

    def _begin_inquiry(self, now: float) -> None:
        if self._ready:
            return
        self._inquiry = StartupInquiry(self._rng, self._rng.getrandbits(32), now)

    def _begin_inquiry_again(self, now: float) -> None:
        """Give peers the whole time if they become known only from this revision."""
        if self._inquiry is None or not self._inquiry.asked:
            self._begin_inquiry(now)

    def _starts_alone(self, now: float) -> bool:
        """Return whether a new host had no news of a revision from peers."""
        if self._ready or self._inquiry is None or not self._fetcher.is_idle:
            return False
        started_at = now if self._started_at is None else self._started_at
        return now - started_at >= STARTUP_READ_AFTER_SECONDS

    def _is_stalled(self, inquiry: StartupInquiry, now: float) -> bool:
        """Return whether a revision that a peer named cannot be fetched."""
        target = inquiry.target(self._peers, now)
        if target is None or self._revision >= target:
            return False
        latest = max(self._fetcher.progress_at, inquiry.started_at)
        return now - latest > STARTUP_STALL_SECONDS


def _size_faults(proposal: Proposal) -> tuple[SettingsFault, ...]:
    documents = proposal.documents
    if len(documents) > MAX_DOCUMENTS:
        return (too_many_documents(len(documents), MAX_DOCUMENTS),)
    return tuple(
        document_too_large(name, len(documents[name].text), MAX_DOCUMENT_CHARS)
        for name in proposal.changed
        if name in documents and len(documents[name].text) > MAX_DOCUMENT_CHARS
    )
