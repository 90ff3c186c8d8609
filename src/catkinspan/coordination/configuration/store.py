"""The accepted documents with their digests and the names of removed ones."""

from collections.abc import Mapping

from attrs import frozen

from catkinspan.coordination.configuration.const import MAX_DOCUMENTS
from catkinspan.coordination.configuration.models import (
    Delta,
    Document,
    Manifest,
    ManifestEntry,
    Patch,
    PatchSet,
    Snapshot,
)
from catkinspan.coordination.configuration.patches import (
    apply_patch,
    digest_of,
    patch_between,
)
from catkinspan.state.ids import NO_REVISION, Revision


@frozen
class Proposal:
    """Documents that an offer would put in force."""

    documents: Mapping[str, Document]
    changed: tuple[str, ...]
    """Sorted names of new, changed and removed documents."""


class DocumentStore:
    """Holds the documents in force; replaced whole with each revision."""

    def __init__(self) -> None:
        self._documents: Mapping[str, Document] = {}
        self._digests: dict[str, int] = {}
        self._removed: dict[str, Revision] = {}
        self._complete_since = NO_REVISION

    @property
    def documents(self) -> Mapping[str, Document]:
        """Return the documents in force by name."""
        return self._documents

    def propose(self, offered: Snapshot | Delta) -> Proposal:
        """Return the documents that would be in force after an offer."""
        held = self._documents
        documents = {} if isinstance(offered, Snapshot) else dict(held)
        for document in offered.documents:
            old = documents.get(document.name)
            if old is None or document.revision > old.revision:
                documents[document.name] = document
        if isinstance(offered, Delta):
            for name in offered.removed:
                documents.pop(name, None)
        changed = {name for name in held if name not in documents}
        changed.update(
            name
            for name, document in documents.items()
            if name not in held or held[name].revision != document.revision
        )
        return Proposal(documents, tuple(sorted(changed)))

    def replace(self, proposal: Proposal, revision: Revision) -> tuple[Patch, ...]:
        """Put a proposal in force and return the patches to it."""
        if not self._documents:
            self._complete_since = revision
        patches = tuple(
            self._replace_one(name, proposal, revision) for name in proposal.changed
        )
        self._documents = proposal.documents
        return patches

    def manifest(self, have: Revision, revision: Revision) -> Manifest:
        """Return what a peer at `have` lacks, or all if removals are not known."""
        base = have if have >= self._complete_since else NO_REVISION
        entries = tuple(
            ManifestEntry(name, d.revision, len(d.text), self._digests[name])
            for name, d in sorted(self._documents.items())
            if d.revision > base
        )
        removed = tuple(n for n, at in sorted(self._removed.items()) if at > base > 0)
        return Manifest(base, revision, entries, removed)

    def digest(self, name: str) -> int | None:
        """Return the digest of a document in force."""
        return self._digests.get(name)

    def patched(self, patch_set: PatchSet) -> Delta | None:
        """Return the delta that a patch set makes, or None if one does not fit."""
        changed: dict[str, Document | None] = {}
        for patch in patch_set.patches:
            held = changed.get(patch.name, self._documents.get(patch.name))
            if patch.removed:
                changed[patch.name] = None
                continue
            if held is not None and held.revision >= patch.revision:
                continue
            document = apply_patch(held, patch)
            if document is None:
                return None
            changed[patch.name] = document
        return Delta(
            patch_set.base,
            patch_set.revision,
            tuple(d for d in changed.values() if d is not None),
            tuple(name for name, d in changed.items() if d is None),
        )

    def _replace_one(self, name: str, proposal: Proposal, revision: Revision) -> Patch:
        old = self._documents.get(name)
        new = proposal.documents.get(name)
        if new is None:
            self._digests.pop(name, None)
            self._note_removed(name, revision)
            base = old.revision if old else NO_REVISION
            return Patch(name, base, revision, 0, 0, "", 0, removed=True)
        self._removed.pop(name, None)
        self._digests[name] = digest_of(new.text)
        return patch_between(old, new, self._digests[name])

    def _note_removed(self, name: str, revision: Revision) -> None:
        self._removed.pop(name, None)
        self._removed[name] = revision
        if len(self._removed) > MAX_DOCUMENTS:
            oldest = next(iter(self._removed))
            self._complete_since = self._removed.pop(oldest)
