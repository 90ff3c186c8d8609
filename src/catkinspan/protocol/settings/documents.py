"""Settings documents of the built-in interface in the store."""

from collections.abc import Mapping

from result import Ok

from catkinspan.coordination.configuration.errors import RejectedConfiguration
from catkinspan.coordination.configuration.models import Document, ParsedDocuments
from catkinspan.protocol.settings.tree import TreeParser
from catkinspan.state.ids import NO_REVISION, Revision
from catkinspan.state.tree import SettingsTree

TREE_KEY_PREFIX = "catkinspan/"
"""Prefix of the store keys of settings documents."""


class TreeDocuments:
    """Builds the settings tree and its servers from documents under `TREE_KEY_PREFIX`.

    The revision of the settings is the highest revision of the documents.
    """

    def __init__(self) -> None:
        self._parser = TreeParser()
        self._tree = SettingsTree()
        self._rejected: RejectedConfiguration | None = None
        self._parsed_revisions: Mapping[str, Revision] = {}

    def is_server(self, name: str) -> bool:
        """Return False: removing a server changes the document of its service."""
        return False

    def parse(self, documents: Mapping[str, Document]) -> ParsedDocuments:
        """Return the last accepted settings."""
        tree_documents = {
            name.removeprefix(TREE_KEY_PREFIX): document
            for name, document in documents.items()
            if name.startswith(TREE_KEY_PREFIX)
        }
        revisions = {
            name: document.revision for name, document in tree_documents.items()
        }
        if revisions and revisions != self._parsed_revisions:
            self._parsed_revisions = revisions
            revision = max(max(revisions.values()), self._tree.revision, NO_REVISION)
            parsed = self._parser.parse(tree_documents, revision)
            if isinstance(parsed, Ok):
                self._tree, self._rejected = parsed.ok_value, None
            else:
                self._rejected = parsed.err_value
        return ParsedDocuments(self._tree, self._rejected)
