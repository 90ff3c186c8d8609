"""Fetching of changes from a peer that has a higher revision."""

from collections.abc import Iterator
from math import ceil
from random import Random

from attrs import Factory, define

from catkinspan.coordination.configuration.const import (
    CHUNK_CHARS,
    CHUNKS_PER_TICK,
    FETCH_TIMEOUT_SECONDS,
    MAX_DOCUMENT_CHARS,
    MAX_DOCUMENTS,
    MAX_KNOWN_SOURCES,
)
from catkinspan.coordination.configuration.models import (
    ChangesRequest,
    Chunk,
    ChunkRequest,
    Delta,
    Document,
    Manifest,
    ManifestEntry,
    Snapshot,
)
from catkinspan.coordination.configuration.patches import digest_of
from catkinspan.coordination.configuration.store import DocumentStore
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import NO_REVISION, HostId, Revision


@define
class _Partial:
    """A document of which some chunks may have arrived."""

    entry: ManifestEntry
    parts: dict[int, str] = Factory(dict)
    asked_at: dict[int, float] = Factory(dict)

    @property
    def is_complete(self) -> bool:
        return len(self.parts) == max(1, ceil(self.entry.length / CHUNK_CHARS))

    def missing(self) -> Iterator[int]:
        for offset in range(0, max(1, self.entry.length), CHUNK_CHARS):
            if offset not in self.parts:
                yield offset

    def add(self, chunk: Chunk) -> bool:
        """Add a chunk of the expected place and size; return whether it is new."""
        if chunk.offset in self.parts or chunk.offset % CHUNK_CHARS:
            return False
        expected = min(CHUNK_CHARS, self.entry.length - chunk.offset)
        if expected < 0 or len(chunk.text) != expected:
            return False
        self.parts[chunk.offset] = chunk.text
        return True

    def document(self) -> Document | None:
        """Return the whole document, or None if it is not the announced one."""
        text = "".join(self.parts[offset] for offset in sorted(self.parts))
        if digest_of(text) != self.entry.digest:
            return None
        return Document(self.entry.name, self.entry.revision, text)


@define
class _Fetch:
    """The fetch in progress; there is at most one."""

    source: HostId
    progress_at: float
    manifest: Manifest | None = None


class Fetcher:
    """Fetches from one peer at a time and changes to another when it stalls.

    Chunks that arrived are kept when the source changes, so the fetch of a large
    snapshot goes on where it was.
    """

    def __init__(self, outbox: Outbox, rng: Random) -> None:
        self._outbox = outbox
        self._rng = rng
        self._sources: dict[HostId, Revision] = {}
        self._fetch: _Fetch | None = None
        self._failed_at: dict[HostId, float] = {}
        self._partials: dict[str, _Partial] = {}
        self.progress_at = float("-inf")

    def observe(self, host: HostId, revision: Revision) -> None:
        """Remember that a peer has a revision above the own one."""
        if host in self._sources or len(self._sources) < MAX_KNOWN_SOURCES:
            self._sources[host] = revision

    def drop_sources(self, up_to: Revision) -> None:
        """Forget peers whose revision is of no more use, and an idle fetch."""
        self._sources = {h: r for h, r in self._sources.items() if r > up_to}
        fetch = self._fetch
        if fetch and fetch.source not in self._sources:
            self._fetch = None
        if not self._sources:
            self._failed_at.clear()
            self._partials.clear()

    def cancel(self) -> None:
        """Drop the fetch and all that is known of peers."""
        self._sources.clear()
        self._failed_at.clear()
        self._fetch = None

    def restart(self, have: Revision, now: float) -> None:
        """Ask the source again after it took a revision newer than its manifest."""
        if self._fetch is not None and self._fetch.manifest is not None:
            self._ask(self._fetch.source, have, now)

    def ask_without_patches(self, source: HostId, have: Revision, now: float) -> None:
        """Ask for a manifest after patches that did not fit the own documents."""
        self._ask(source, have, now, patches=False)

    @property
    def is_idle(self) -> bool:
        """Return whether no peer with a higher revision is known."""
        return self._fetch is None and not self._sources

    def is_source(self, host: HostId) -> bool:
        """Return whether the fetch in progress is from this peer."""
        return self._fetch is not None and self._fetch.source == host

    def start(self, have: Revision, now: float) -> None:
        """Start a fetch unless one is in progress."""
        if self._fetch is None and self._sources:
            self._ask(self._choose_source(), have, now)

    def step(self, have: Revision, now: float) -> None:
        """Start, continue or move the fetch; called on each tick."""
        fetch = self._fetch
        if fetch is None:
            self.start(have, now)
            return
        if now - fetch.progress_at > FETCH_TIMEOUT_SECONDS:
            self._change_source(have, now)
            return
        self._request_chunks(fetch, now)

    def take_manifest(
        self, manifest: Manifest, origin: HostId, store: DocumentStore, now: float
    ) -> None:
        """Plan the chunks of a manifest from the current source."""
        fetch = self._fetch
        if fetch is None or fetch.source != origin or not _is_sane(manifest):
            return
        if fetch.manifest and fetch.manifest.revision >= manifest.revision:
            return
        fetch.manifest = manifest
        self._note_progress(fetch, now)
        kept = self._partials
        self._partials = {}
        for entry in manifest.entries:
            held = store.documents.get(entry.name)
            if held is not None and store.digest(entry.name) == entry.digest:
                continue
            partial = kept.get(entry.name)
            same = partial is not None and partial.entry == entry
            self._partials[entry.name] = (
                partial if partial and same else _Partial(entry)
            )
        for partial in self._partials.values():
            partial.asked_at.clear()
        self._request_chunks(fetch, now)

    def take_chunk(self, chunk: Chunk, now: float) -> None:
        """Keep a chunk that is wanted."""
        partial = self._partials.get(chunk.name)
        if partial is None or partial.entry.revision != chunk.revision:
            return
        if not partial.add(chunk):
            return
        if self._fetch is not None:
            self._note_progress(self._fetch, now)
        if partial.is_complete and partial.document() is None:
            self._partials[chunk.name] = _Partial(partial.entry)

    def completed(self, store: DocumentStore) -> Snapshot | Delta | None:
        """Return and close the fetch when all documents are there."""
        manifest = self._fetch.manifest if self._fetch else None
        if manifest is None:
            return None
        if not all(partial.is_complete for partial in self._partials.values()):
            return None
        documents = [
            document
            for entry in manifest.entries
            if (document := self._assembled(entry, store)) is not None
        ]
        self._fetch = None
        self._partials = {}
        if len(documents) != len(manifest.entries):
            return None
        if manifest.base == NO_REVISION:
            return Snapshot(manifest.revision, tuple(documents))
        return Delta(
            manifest.base, manifest.revision, tuple(documents), manifest.removed
        )

    def _assembled(self, entry: ManifestEntry, store: DocumentStore) -> Document | None:
        partial = self._partials.get(entry.name)
        if partial is not None:
            return partial.document()
        held = store.documents.get(entry.name)
        return Document(entry.name, entry.revision, held.text) if held else None

    def _ask(
        self, source: HostId, have: Revision, now: float, patches: bool = True
    ) -> None:
        self._fetch = _Fetch(source, now)
        self._outbox.send(source, ChangesRequest(have, patches))

    def _choose_source(self) -> HostId:
        """Return a random peer among those that failed longest ago or never."""
        never = float("-inf")
        oldest = min(self._failed_at.get(host, never) for host in self._sources)
        return self._rng.choice(
            sorted(
                host
                for host in self._sources
                if self._failed_at.get(host, never) == oldest
            )
        )

    def _change_source(self, have: Revision, now: float) -> None:
        assert self._fetch is not None
        self._failed_at[self._fetch.source] = now
        self._fetch = None
        self.start(have, now)

    def _request_chunks(self, fetch: _Fetch, now: float) -> None:
        wanted = CHUNKS_PER_TICK if fetch.manifest else 0
        for partial in self._partials.values():
            for offset in partial.missing():
                asked_at = partial.asked_at.get(offset, float("-inf"))
                if now - asked_at <= FETCH_TIMEOUT_SECONDS:
                    continue
                if not wanted:
                    return
                wanted -= 1
                partial.asked_at[offset] = now
                entry = partial.entry
                request = ChunkRequest(entry.name, entry.revision, offset)
                self._outbox.send(fetch.source, request)

    def _note_progress(self, fetch: _Fetch, now: float) -> None:
        fetch.progress_at = now
        self.progress_at = now


def _is_sane(manifest: Manifest) -> bool:
    if len(manifest.entries) > MAX_DOCUMENTS:
        return False
    return all(entry.length <= MAX_DOCUMENT_CHARS for entry in manifest.entries)
