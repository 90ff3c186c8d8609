"""Replica of the store's documents with a history of the latest changes."""

from collections import deque
from collections.abc import Iterable, Mapping

from catkinspan.coordination.configuration.const import (
    MAX_DOCUMENT_CHARS,
    MAX_DOCUMENTS,
    MAX_HISTORY_CHANGES,
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

    @property
    def revision(self) -> Revision:
        """Return the revision up to which all changes are known."""
        return self._revision

    @property
    def documents(self) -> Mapping[str, Document]:
        """Return the existing documents by name."""
        return self._documents

    def merge(
        self, documents: Iterable[Document], revision: Revision
    ) -> tuple[Document, ...]:
        """Apply changes and return those that were new.

        The caller ensures that no change between the replica's revision and the first
        one given is missing. Changes up to the replica's revision are ignored.
        """
        unseen = [d for d in documents if d.revision > self._revision]
        return self._apply_newer(unseen, revision)

    def replace(
        self, documents: Iterable[Document], revision: Revision
    ) -> tuple[Document, ...]:
        """Apply a full copy and return the changes, including removals.

        A document may be newer than the copy's revision, because the store's pages are
        not read from one snapshot.
        """
        if revision < self._revision:
            return ()
        by_name = {document.name: document for document in documents}
        removed = [
            Document(name, revision, None)
            for name, known in self._documents.items()
            if name not in by_name and known.revision <= revision
        ]
        is_first_copy = not self._documents
        changed = self._apply_newer([*by_name.values(), *removed], revision)
        if is_first_copy:
            # The first copy does not contain the changes that led to it.
            self._history.clear()
            self._history_starts_after = revision
        return changed

    def _apply_newer(
        self, documents: Iterable[Document], revision: Revision
    ) -> tuple[Document, ...]:
        """Apply changes one by one, since one batch may add and remove a document."""
        changed = []
        for document in sorted(documents, key=_revision):
            if self._is_newer(document):
                self._apply(document)
                changed.append(document)
        self._revision = max(self._revision, revision)
        return tuple(changed)

    def changes_after(self, revision: Revision) -> tuple[Document, ...] | None:
        """Return the changes after a revision, or None if some are not kept."""
        if revision < self._history_starts_after:
            return None
        return tuple(d for d in self._history if d.revision > revision)

    def _is_newer(self, document: Document) -> bool:
        known = self._documents.get(document.name)
        if document.text is None:
            return known is not None and document.revision > known.revision
        if len(document.text) > MAX_DOCUMENT_CHARS:
            return False
        if known is not None:
            return document.revision > known.revision
        return len(self._documents) < MAX_DOCUMENTS

    def _apply(self, document: Document) -> None:
        if document.text is None:
            del self._documents[document.name]
        else:
            self._documents[document.name] = document
        self._history.append(document)
        while len(self._history) > MAX_HISTORY_CHANGES:
            oldest = self._history.popleft()
            self._history_starts_after = max(
                self._history_starts_after, oldest.revision
            )


def _revision(document: Document) -> Revision:
    return document.revision
