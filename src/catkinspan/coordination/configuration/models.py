"""Documents of the store, their parser interface, messages and events."""

from collections.abc import Mapping
from typing import ClassVar, Protocol

from attrs import frozen

from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
)
from catkinspan.coordination.configuration.gaps import NO_GAP, RevisionGap
from catkinspan.coordination.models import Event, Millis, PeerMessage
from catkinspan.state.ids import NO_HOST, NO_REVISION, HostId, Revision, ServerId
from catkinspan.state.tree import SettingsTree


@frozen
class Document:
    """An item of the store; only the parser interprets its text."""

    name: str
    revision: Revision
    """Store revision of the item's last change."""

    text: str | None
    """None if the item was removed."""


@frozen
class ParsedDocuments:
    """Result of parsing the documents."""

    tree: SettingsTree
    """The last accepted settings, with the current servers."""

    rejected: RejectedConfiguration | None = None
    """Why the newest settings were rejected; None if they are in force."""

    ignored: tuple[SettingsFault, ...] = ()
    """Faults of single entries; these add no server and leave other entries intact."""

    tolerated: tuple[SettingsFault, ...] = ()
    """Faults of single values of the accepted settings; each tells what follows."""


class DocumentParser(Protocol):
    """Validates documents and builds the settings tree from them."""

    def parse(self, documents: Mapping[str, Document]) -> ParsedDocuments:
        """Return the accepted configuration.

        Documents with the same name and revision as in the last call are not parsed
        again.
        """

    def is_server(self, name: str) -> bool:
        """Return whether a document describes a server."""


@frozen
class StoreChanges:
    """All changes of the store after `after_revision`, up to `revision`."""

    after_revision: Revision
    revision: Revision
    documents: tuple[Document, ...]


@frozen
class StoreSnapshot:
    """All documents of the store; a missing document has been deleted."""

    revision: Revision
    documents: tuple[Document, ...]
    last_page_revision: Revision = NO_REVISION
    """Revision of the last page, if the documents were read in several pages."""

    @property
    def is_consistent(self) -> bool:
        """Return whether all pages show the same state of the store."""
        return self.last_page_revision <= self.revision

    def with_changes(self, changes: StoreChanges) -> "StoreSnapshot":
        """Return the snapshot after changes that begin at its revision or before."""
        by_name = {document.name: document for document in self.documents}
        for change in changes.documents:
            known = by_name.get(change.name)
            if known is None or known.revision < change.revision:
                by_name[change.name] = change
        existing = tuple(d for d in by_name.values() if d.text is not None)
        return StoreSnapshot(changes.revision, existing)


@frozen
class Changes(PeerMessage):
    """Forwards changes of the store."""

    after_revision: Revision
    revision: Revision
    documents: tuple[Document, ...]
    store_contact_age_ms: Millis = 0
    """Time since any host last reached the store, as in `Freshness`."""

    reader: HostId = NO_HOST
    """Host that reached the store, as in `Freshness`."""

    gap: RevisionGap = NO_GAP
    """Revisions of which the changes are only the difference between two copies. A host
    whose revision is among them needs a full copy."""


@frozen
class ChangesReceived(PeerMessage):
    """Acknowledges large changes; the sender then sends what follows them."""

    revision: Revision


@frozen
class CopyPart(PeerMessage):
    """One part of a full copy of the store; parts arrive in order."""

    # A copy with a missing part is of no use and is requested again.
    expires_in_queue: ClassVar[bool] = False

    revision: Revision
    index: int
    documents: tuple[Document, ...]
    is_last: bool


@frozen
class Pull(PeerMessage):
    """Requests all changes after a revision."""

    after_revision: Revision
    in_parts: bool = False
    """Whether the sender requests further parts of a copy by `CopyRequest`. Hosts of
    older versions do not, and get all parts at once."""


@frozen
class CopyRequest(PeerMessage):
    """Acknowledges parts of a copy and requests the next ones."""

    revision: Revision
    received_parts: int
    is_cancelled: bool = False
    """Whether the sender gets the copy, or changes, from another host instead."""


@frozen
class Freshness(PeerMessage):
    """Reports the newest revision of the store that the sender has heard of."""

    revision: Revision
    store_contact_age_ms: Millis | None
    """Time since any host last reached the store; None if no contact is known."""

    reader: HostId = NO_HOST
    """Host that reached the store. A reader ignores its own contact when it decides
    whether another host reads the store."""

    echo_ms: Millis | None = None
    """Value of the receiver's last `ClockStamp`; None if the sender has none."""

    echo_age_ms: Millis = 0
    """Time since that stamp arrived at the sender."""

    copy_lag_ms: Millis = 0
    """Time before the contact up to which the sender's copy had all changes."""

    lacking: int = 0
    """Number by which the revision of the sender's copy is lower. A host lacks changes
    of which it has only heard, and cannot send them."""

    reader_fails: bool = False
    """Whether the sender reads the store and its latest call failed. The next candidate
    of the data centre then reads it too, without waiting for the contact to age."""

    copy_pending: bool = False
    """Whether the sender is about to send a copy that the receiver requested."""


@frozen
class ClockStamp(PeerMessage):
    """Clock of the sender, which the receiver returns in `Freshness`.

    Messages may wait for seconds before a congested link. The echo tells the receiver
    of `Freshness` how old it is at most.
    """

    stamp_ms: Millis


@frozen
class AppliedRevision:
    """When a settings revision came into force on this host."""

    revision: Revision
    at: float
    """Monotonic seconds of this host."""

    source: str


@frozen
class ConfigurationSnapshot:
    """State of the configuration on one host, for operators."""

    revision: Revision
    """Revision of the settings in force."""

    store_revision: Revision
    """Store revision up to which the local copy is complete."""

    recent: tuple[AppliedRevision, ...]
    """The most recent revisions that came into force, oldest first."""

    rejected: RejectedConfiguration | None
    is_reader: bool
    store_contact_age: float | None
    """Seconds since any host last reached the store; None if none did."""

    ready: bool
    documents: int
    faults: tuple[SettingsFault, ...] = ()
    """Faults of single values and entries that leave the rest in force."""


@frozen
class ConfigurationAccepted(Event):
    """A settings revision came into force on this host."""

    previous: Revision
    revision: Revision
    store_revision: Revision
    source: str
    differences: tuple[str, ...]
    """Human-readable differences without secrets, limited in number."""


@frozen
class ConfigurationRejected(Event):
    """A settings revision was rejected; the last accepted one stays in force."""

    in_force: Revision
    revision: Revision
    source: str
    faults: tuple[SettingsFault, ...]


@frozen
class EntryIgnored(Event):
    """An unusable entry of the store was ignored."""

    fault: SettingsFault


@frozen
class SettingsFaultTolerated(Event):
    """A value of the accepted settings is unusable; the others are in force."""

    revision: Revision
    fault: SettingsFault


@frozen
class ServersChanged(Event):
    """Servers were added, started to leave or were removed."""

    store_revision: Revision
    source: str
    added: tuple[ServerId, ...]
    leaving: tuple[ServerId, ...]
    removed: tuple[ServerId, ...]


@frozen
class ServersLapsed(Event):
    """Entries disappeared around a store outage; they are kept for a grace period."""

    names: tuple[str, ...]
    grace_seconds: float


@frozen
class StoreContactLost(Event):
    """No host known to this one has reached the store for a while."""

    age_seconds: float


@frozen
class StoreContactRegained(Event):
    """The store is reachable again from some host."""

    outage_seconds: float
    source: str
    calls_failed: bool = False
    """Whether a call to the store is known to have failed meanwhile; otherwise the
    hosts that read it were silent."""


@frozen
class ReadingChanged(Event):
    """The host started or stopped reading the store."""

    active: bool
    rank: int
    contact_age_ms: int
