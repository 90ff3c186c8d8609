"""Documents of the configuration, their messages and events, and their parser."""

from collections.abc import Mapping
from typing import Protocol

from attrs import frozen
from result import Result

from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
)
from catkinspan.coordination.models import Digest64, Event, PeerMessage
from catkinspan.state.hosts import HostList
from catkinspan.state.ids import HostId, Revision
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


@frozen
class Snapshot:
    """All documents at a revision."""

    revision: Revision
    documents: tuple[Document, ...]


@frozen
class Delta:
    """All documents that changed after `base`, up to `revision`."""

    base: Revision
    revision: Revision
    documents: tuple[Document, ...]
    removed: tuple[str, ...] = ()


@frozen
class Source:
    """Where a configuration comes from: a peer, or the platform without a host."""

    host: HostId | None = None

    def __str__(self) -> str:
        """Return the name for events and logs."""
        return self.host or "platform"


PLATFORM = Source()


@frozen
class Patch:
    """One replaced range of a document's text, in characters."""

    name: str
    base: Revision
    """Revision of the document to which the patch applies; 0 for a new document."""

    revision: Revision
    start: int
    end: int
    text: str
    digest: Digest64
    """64-bit xxhash of the whole new text."""

    removed: bool = False


@frozen
class PatchSet(PeerMessage):
    """Patches from one revision to another, in the order of their application."""

    base: Revision
    revision: Revision
    patches: tuple[Patch, ...]


@frozen
class RevisionNotice(PeerMessage):
    """Tells of a revision whose changes are too large for one message."""

    revision: Revision


@frozen
class ChangesRequest(PeerMessage):
    """Asks for all that changed after a revision."""

    have: Revision
    patches: bool = True
    """Whether patches are of use; False after some that did not fit."""


@frozen
class ManifestEntry:
    """A document that the receiver may lack."""

    name: str
    revision: Revision
    length: int
    digest: Digest64


@frozen
class Manifest(PeerMessage):
    """Documents that changed after `base`, to be fetched in chunks.

    With `base` 0 it names all documents, and any other is gone.
    """

    base: Revision
    revision: Revision
    entries: tuple[ManifestEntry, ...]
    removed: tuple[str, ...] = ()


@frozen
class ChunkRequest(PeerMessage):
    """Asks for a part of a document at a revision."""

    name: str
    revision: Revision
    offset: int


@frozen
class Chunk(PeerMessage):
    """A part of a document."""

    name: str
    revision: Revision
    offset: int
    text: str


@frozen
class RevisionQuery(PeerMessage):
    """Asks for the revision in force; sent by a host that starts."""

    nonce: int


@frozen
class RevisionReply(PeerMessage):
    """Answers a revision query."""

    nonce: int
    revision: Revision
    ready: bool
    """Whether the answering host itself has finished its start."""


MESSAGES = (
    PatchSet,
    RevisionNotice,
    ChangesRequest,
    Manifest,
    ChunkRequest,
    Chunk,
    RevisionQuery,
    RevisionReply,
)


@frozen
class RevisionInForce:
    """When a revision came into force on the own host."""

    revision: Revision
    at: float
    """Monotonic seconds of the own host."""

    source: str


@frozen
class ConfigurationSnapshot:
    """State of the configuration on one host, for operators."""

    revision: Revision
    seen: Revision
    """Highest revision seen, also if it was rejected."""

    recent: tuple[RevisionInForce, ...]
    """The latest revisions that came into force, oldest first."""

    rejected: RejectedConfiguration | None
    """A rejected revision above the one in force."""

    is_reader: bool
    platform_contact_at: float | None
    """Monotonic seconds of the last contact; None without one."""

    ready: bool


@frozen
class ConfigurationAccepted(Event):
    """A revision is in force on this host."""

    previous: Revision
    revision: Revision
    source: str
    changed: tuple[str, ...]
    """Names of changed and removed documents."""

    differences: tuple[str, ...]
    """Readable differences without secrets, up to a bound."""


@frozen
class ConfigurationRejected(Event):
    """A revision was not accepted; the last accepted one stays in force."""

    in_force: Revision
    revision: Revision
    source: str
    changed: tuple[str, ...]
    faults: tuple[SettingsFault, ...]


@frozen
class StartupDecided(Event):
    """A new host knows enough to serve."""

    revision: Revision
    peers_answered: int
    peers_asked: int
