"""Documents of the configuration and the interface to their parser."""

from collections.abc import Mapping
from typing import Protocol

from attrs import frozen
from result import Result

from catkinspan.coordination.configuration.errors import RejectedConfiguration
from catkinspan.state.hosts import HostList
from catkinspan.state.ids import Revision
from catkinspan.state.tree import SettingsTree


@frozen
class Document:
    """A published document; the text is JSON, which coordination does not read."""

    name: str
    revision: Revision
    text: str


@frozen
class ParsedDocuments:
    """The checked content of all documents at one revision."""

    tree: SettingsTree
    hosts: HostList


class DocumentParser(Protocol):
    """Checks documents and builds the settings tree from them."""

    def parse(
        self, documents: Mapping[str, Document], revision: Revision
    ) -> Result[ParsedDocuments, RejectedConfiguration]:
        """Return the whole checked configuration, or every fault found.

        Unchanged documents (the same name and revision as in an earlier call) are
        not parsed again.
        """
