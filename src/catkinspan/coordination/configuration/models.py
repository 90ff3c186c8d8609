"""Documents of the store, their messages and events, and their parser."""

from collections.abc import Mapping
from typing import Protocol

from attrs import frozen

from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
)
from catkinspan.coordination.models import Event, Millis, PeerMessage
from catkinspan.state.ids import Revision, ServerId
from catkinspan.state.tree import SettingsTree


@frozen
class Document:
    """An item of the store; coordination does not read its text."""

    name: str
    revision: Revision
    """Revision of the store at the last change of the item."""

    text: str | None
    """None if the item was removed."""


@frozen
class ParsedDocuments:
    """What the documents say."""

    tree: SettingsTree
    """The last accepted settings with the servers of now."""

    rejected: RejectedConfiguration | None = None
    """Why the newest settings are not in force."""

    ignored: tuple[SettingsFault, ...] = ()
    """Faults of single entries, which name no server and harm no other entry."""


class DocumentParser(Protocol):
    """Checks documents and builds the settings tree from them."""

    def parse(self, documents: Mapping[str, Document]) -> ParsedDocuments:
        """Return the accepted configuration.

        Unchanged documents (the same name and revision as in the last call) are not
        parsed again.
        """

    def is_server(self, name: str) -> bool:
        """Return whether a document is the entry of a server."""


@frozen
class StoreChanges:
    """All changes of the store after one revision, up to another."""

    after_revision: Revision
    revision: Revision
    documents: tuple[Document, ...]


@frozen
class StoreSnapshot:
    """All documents of the store; what is missing is gone."""

    revision: Revision
    documents: tuple[Document, ...]


@frozen
class Changes(PeerMessage):
    """Passes changes of the store on."""

    after_revision: Revision
    revision: Revision
    documents: tuple[Document, ...]
    store_contact_age_ms: Millis = 0
    """Time since somebody reached the store, as in `Freshness`."""


@frozen
class CopyPart(PeerMessage):
    """A part of a whole copy; the parts arrive in their order."""

    revision: Revision
    index: int
    documents: tuple[Document, ...]
    is_last: bool


@frozen
class Pull(PeerMessage):
    """Asks for all that changed after a revision."""

    after_revision: Revision


@frozen
class Freshness(PeerMessage):
    """Tells how new the sender's copy is."""

    revision: Revision
    store_contact_age_ms: Millis
    """Time since somebody reached the store."""


@frozen
class AppliedRevision:
    """When a settings revision came into force on the own host."""

    revision: Revision
    at: float
    """Monotonic seconds of the own host."""

    source: str


@frozen
class ConfigurationSnapshot:
    """State of the configuration on one host, for operators."""

    revision: Revision
    """Revision of the settings in force."""

    store_revision: Revision
    """Revision of the store up to which the copy is known."""

    recent: tuple[AppliedRevision, ...]
    """The latest revisions that came into force, oldest first."""

    rejected: RejectedConfiguration | None
    is_reader: bool
    store_contact_age: float | None
    """Seconds since somebody reached the store; None if nobody did."""

    ready: bool
    documents: int


@frozen
class ConfigurationAccepted(Event):
    """A settings revision is in force on this host."""

    previous: Revision
    revision: Revision
    store_revision: Revision
    source: str
    differences: tuple[str, ...]
    """Readable differences without secrets, up to a bound."""


@frozen
class ConfigurationRejected(Event):
    """A settings revision was not accepted; the last accepted one stays in force."""

    in_force: Revision
    revision: Revision
    source: str
    faults: tuple[SettingsFault, ...]


@frozen
class EntryIgnored(Event):
    """An entry of the store could not be used."""

    fault: SettingsFault


@frozen
class ServersChanged(Event):
    """Servers were listed, changed or removed."""

    store_revision: Revision
    source: str
    added: tuple[ServerId, ...]
    leaving: tuple[ServerId, ...]
    removed: tuple[ServerId, ...]


@frozen
class ServersLapsed(Event):
    """Entries vanished around an outage of the store; they stay for a while."""

    names: tuple[str, ...]
    grace_seconds: float


@frozen
class StoreContactLost(Event):
    """Nobody whom this host hears of has reached the store for a while."""

    age_seconds: float


@frozen
class StoreContactRegained(Event):
    """Somebody reaches the store again."""

    outage_seconds: float
    source: str


@frozen
class ReadingChanged(Event):
    """The host began or ended to read the store."""

    active: bool
    rank: int
    contact_age_ms: int
