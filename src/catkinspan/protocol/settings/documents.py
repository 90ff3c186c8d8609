"""The product's own documents in the store."""

from collections.abc import Mapping

from result import Ok

from catkinspan.coordination.configuration.errors import RejectedConfiguration
from catkinspan.coordination.configuration.models import Document, ParsedDocuments
from catkinspan.protocol.settings.tree import TreeParser
from catkinspan.state.ids import NO_REVISION, Revision
from catkinspan.state.tree import SettingsTree

PREFIX = "catkinspan/"
"""Beginning of the keys of the settings tree's documents."""


class TreeDocuments:
    """Builds the tree from documents under `PREFIX`; servers stand in the tree.

    The revision of the settings is the highest one of their documents.
    """

    def __init__(self) -> None:
        self._parser = TreeParser()
        self._tree = SettingsTree()
        self._rejected: RejectedConfiguration | None = None
        self._seen: Mapping[str, Revision] = {}

    def is_server(self, name: str) -> bool:
        """Return False: a server leaves with a change of its service's document."""
        return False

    def parse(self, documents: Mapping[str, Document]) -> ParsedDocuments:
        """Return the accepted settings."""
        own = {
            name.removeprefix(PREFIX): document
            for name, document in documents.items()
            if name.startswith(PREFIX)
        }
        revisions = {name: document.revision for name, document in own.items()}
        if revisions and revisions != self._seen:
            self._seen = revisions
            revision = max(max(revisions.values()), self._tree.revision, NO_REVISION)
            parsed = self._parser.parse(own, revision)
            if isinstance(parsed, Ok):
                self._tree, self._rejected = parsed.ok_value, None
            else:
                self._rejected = parsed.err_value
        return ParsedDocuments(self._tree, self._rejected)
