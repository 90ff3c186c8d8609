"""A host's copy of the store's documents, with its latest changes."""

from collections import deque
from collections.abc import Iterable, Mapping

from catkinspan.coordination.configuration.const import (
    HISTORY_CHANGES,
    MAX_DOCUMENT_CHARS,
    MAX_DOCUMENTS,
)
from catkinspan.coordination.configuration.models import Document
from catkinspan.state.ids import NO_REVISION, Revision


class Replica:
    """Documents up to one revision of the store; it never goes back."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._revision = NO_REVISION
        self._history: deque[Document] = deque()
        self._history_after = NO_REVISION
        """Revision after which the history holds every change."""

    @property
    def revision(self) -> Revision:
        """Return the revision up to which all changes are known."""
        return self._revision

    @property
    def documents(self) -> Mapping[str, Document]:
        """Return the present documents by name."""
        return self._documents

    def merge(
        self, documents: Iterable[Document], revision: Revision
    ) -> tuple[Document, ...]:
        """Apply changes and return those that were news.

        The caller makes sure that no change between the own revision and the first
        of these is missing; a change up to the own revision is old.
        """
        fresh = [d for d in documents if d.revision > self._revision]
        return self._take(fresh, revision)

    def replace(
        self, documents: Iterable[Document], revision: Revision
    ) -> tuple[Document, ...]:
        """Take over a whole copy and return the changes, removals included.

        A document may be newer than the copy's revision, since pages of the store
        are no snapshot.
        """
        if revision < self._revision:
            return ()
        held = {document.name: document for document in documents}
        gone = [
            Document(name, revision, None)
            for name, known in self._documents.items()
            if name not in held and known.revision <= revision
        ]
        first = not self._documents
        news = self._take([*held.values(), *gone], revision)
        if first:
            # A first copy says nothing of the changes that led to it.
            self._history.clear()
            self._history_after = revision
        return news

    def _take(
        self, documents: Iterable[Document], revision: Revision
    ) -> tuple[Document, ...]:
        news = [document for document in documents if self._is_news(document)]
        for document in news:
            self._apply(document)
        self._revision = max(self._revision, revision)
        return tuple(news)

    def changes_after(self, revision: Revision) -> tuple[Document, ...] | None:
        """Return the changes after a revision, or None if not all are held."""
        if revision < self._history_after:
            return None
        return tuple(d for d in self._history if d.revision > revision)

    def _is_news(self, document: Document) -> bool:
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
        while len(self._history) > HISTORY_CHANGES:
            oldest = self._history.popleft()
            self._history_after = max(self._history_after, oldest.revision)
