"""Replica of the store's documents with a history of the latest changes."""

from collections import deque
from collections.abc import Iterable, Mapping

from catkinspan.coordination.configuration.const import (
    MAX_DOCUMENT_CHARS,
    MAX_DOCUMENTS,
    MAX_HISTORY_CHANGES,
)
from catkinspan.coordination.configuration.gaps import (
    NO_GAP,
    RevisionGap,
    RevisionGaps,
)
from catkinspan.coordination.configuration.models import Document
from catkinspan.state.ids import NO_REVISION, Revision


class Replica:
    """Holds the documents up to a revision of the store, which never decreases."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._revision = NO_REVISION
        self._history: deque[Document] = deque()
        self._history_starts_after = NO_REVISION
        """Revision after which the history contains every change."""

        self._gaps = RevisionGaps()

    @property
    def revision(self) -> Revision:
        """Return the revision up to which all changes are known."""
        return self._revision

    @property
    def documents(self) -> Mapping[str, Document]:
        """Return the existing documents by name."""
        return self._documents

    def merge(
        self,
        documents: Iterable[Document],
        revision: Revision,
        gap: RevisionGap = NO_GAP,
    ) -> tuple[Document, ...]:
        """Apply changes and return those that were new.

        The caller ensures that no change between the replica's revision and the first
        one given is missing, and that the replica's revision is not within `gap`.
        Changes up to the replica's revision are ignored.
        """
        unseen = [d for d in documents if d.revision > self._revision]
        if gap.until > self._revision:
            self._gaps.add(gap)
        return self._apply_newer(unseen, revision)

    def replace(
        self, documents: Iterable[Document], revision: Revision
    ) -> tuple[Document, ...]:
        """Apply a full copy and return the changes, including removals."""
        if revision <= self._revision:
            return ()
        by_name = {document.name: document for document in documents}
        removed = [
            Document(name, revision, None)
            for name, known in self._documents.items()
            if name not in by_name and known.revision <= revision
        ]
        is_first_copy = not self._documents
        self._gaps.add(RevisionGap(self._revision, revision))
        changed = self._apply_newer([*by_name.values(), *removed], revision)
        if is_first_copy:
            # The first copy does not contain the changes that led to it.
            self._history.clear()
            self._history_starts_after = revision
        return changed

    def changes_after(self, revision: Revision) -> tuple[Document, ...] | None:
        """Return the changes after a revision, or None if some are not known."""
        if revision < self._history_starts_after or self._gaps.contain(revision):
            return None
        return tuple(d for d in self._history if d.revision > revision)

    def gap_after(self, revision: Revision) -> RevisionGap:
        """Return the gap that the changes after a revision bridge, if any."""
        return self._gaps.after(revision)

    def revision_after(self, change: Document) -> Revision:
        """Return the revision up to which all changes are known with this one."""
        return self._gaps.revision_after(change.revision)

    def _apply_newer(
        self, documents: Iterable[Document], revision: Revision
    ) -> tuple[Document, ...]:
        """Apply changes one by one, since one batch may add and remove a document."""
        changed = []
        for document in sorted(documents, key=_revision):
            if self._is_newer(document, revision):
                self._apply(document)
                changed.append(document)
        self._revision = max(self._revision, revision)
        return tuple(changed)

    def _is_newer(self, document: Document, revision: Revision) -> bool:
        known = self._documents.get(document.name)
        if len(document.text or "") > MAX_DOCUMENT_CHARS:
            return False
        if known is not None:
            return document.revision > known.revision
        if document.text is None:
            # Hosts that follow may have the document.
            return document.revision <= revision
        return len(self._documents) < MAX_DOCUMENTS

    def _apply(self, document: Document) -> None:
        if document.text is None:
            self._documents.pop(document.name, None)
        else:
            self._documents[document.name] = document
        self._history.append(document)
        while len(self._history) > MAX_HISTORY_CHANGES:
            oldest = self._history.popleft()
            self._history_starts_after = max(
                self._history_starts_after, oldest.revision
            )
            self._gaps.drop_until(self._history_starts_after)


def _revision(document: Document) -> Revision:
    return document.revision
