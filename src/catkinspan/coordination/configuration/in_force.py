"""Settings that are in force on this host, built from the replica of the store."""

from collections import deque
from collections.abc import Iterable, Mapping

from catkinspan.coordination.configuration.const import (
    LAPSE_GRACE_SECONDS,
    MAX_RECENT_REVISIONS,
)
from catkinspan.coordination.configuration.difference import (
    describe_differences,
    describe_server_changes,
)
from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
)
from catkinspan.coordination.configuration.models import (
    AppliedRevision,
    ConfigurationAccepted,
    ConfigurationRejected,
    Document,
    DocumentParser,
    EntryIgnored,
    ParsedDocuments,
    ServersLapsed,
    SettingsFaultTolerated,
)
from catkinspan.coordination.configuration.replica import Replica
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import NO_REVISION
from catkinspan.state.tree import SettingsTree

STORE_SOURCE = "store"
"""Source named in events when this host reached the store itself."""


class SettingsInForce:
    """Parses the replica's documents and keeps the last accepted settings.

    Servers whose entries were removed around an outage of the store stay in use for
    `LAPSE_GRACE_SECONDS`.
    """

    def __init__(
        self, parser: DocumentParser, replica: Replica, outbox: Outbox
    ) -> None:
        self._parser = parser
        self._replica = replica
        self._outbox = outbox
        self._tree = SettingsTree()
        self._parsed = ParsedDocuments(self._tree)
        self._parsed_documents: Mapping[str, Document] = {}
        """Documents at the last parsing, including lapsed ones."""

        self._lapsed_servers: dict[str, Document] = {}
        """Server entries removed around an outage that stay in use, by name."""

        self._lapse_grace_until = float("-inf")
        self._reported_rejection = NO_REVISION
        self._recent_revisions: deque[AppliedRevision] = deque(
            maxlen=MAX_RECENT_REVISIONS
        )

    @property
    def tree(self) -> SettingsTree:
        """Return the settings in force."""
        return self._tree

    @property
    def recent_revisions(self) -> tuple[AppliedRevision, ...]:
        """Return the latest revisions that came into force, oldest first."""
        return tuple(self._recent_revisions)

    @property
    def rejected(self) -> RejectedConfiguration | None:
        """Return why the newest settings were rejected; None if they are in force."""
        return self._parsed.rejected

    @property
    def faults(self) -> tuple[SettingsFault, ...]:
        """Return the faults of single values and entries; the rest is in force."""
        return self._parsed.tolerated + self._parsed.ignored

    def is_ready(self) -> bool:
        """Return whether settings are in force and list at least one server."""
        services = self._tree.services.values()
        return self._tree.revision > NO_REVISION and any(s.upstreams for s in services)

    def keep_lapsed_servers(self, now: float) -> None:
        """Keep the servers that are removed from now on, as an outage has ended."""
        self._lapse_grace_until = now + LAPSE_GRACE_SECONDS

    def tick(self, now: float) -> None:
        """Drop the lapsed servers at the end of the grace period."""
        if self._lapsed_servers and now >= self._lapse_grace_until:
            self._lapsed_servers.clear()
            self._parse(STORE_SOURCE, now)

    def apply(self, changed: Iterable[Document], source: str, now: float) -> None:
        """Apply changes; keep servers whose entries were removed around an outage."""
        lapsed = []
        for document in changed:
            self._lapsed_servers.pop(document.name, None)
            if document.text is not None or now >= self._lapse_grace_until:
                continue
            before = self._parsed_documents.get(document.name)
            if before is not None and self._parser.is_server(document.name):
                self._lapsed_servers[document.name] = before
                lapsed.append(document.name)
        if lapsed:
            grace = round(self._lapse_grace_until - now, 3)
            self._outbox.emit(ServersLapsed(tuple(lapsed), grace))
        self._parse(source, now)

    def _parse(self, source: str, now: float) -> None:
        documents = {**self._replica.documents, **self._lapsed_servers}
        before = self._parsed
        self._parsed = parsed = self._parser.parse(documents)
        self._parsed_documents = documents
        for fault in parsed.ignored:
            if fault not in before.ignored:
                self._outbox.emit(EntryIgnored(fault))
        for fault in parsed.tolerated:
            if fault not in before.tolerated:
                revision = parsed.tree.revision
                self._outbox.emit(SettingsFaultTolerated(revision, fault))
        self._report_rejection(parsed, source)
        if parsed.tree.revision < self._tree.revision:
            return
        previous, self._tree = self._tree, parsed.tree
        changed = describe_server_changes(
            previous, self._tree, self._replica.revision, source
        )
        if changed is not None:
            self._outbox.emit(changed)
        if previous.revision == parsed.tree.revision:
            return
        self._recent_revisions.append(
            AppliedRevision(parsed.tree.revision, now, source)
        )
        self._outbox.emit(
            ConfigurationAccepted(
                previous.revision,
                parsed.tree.revision,
                self._replica.revision,
                source,
                describe_differences(previous, parsed.tree),
            )
        )

    def _report_rejection(self, parsed: ParsedDocuments, source: str) -> None:
        rejected = parsed.rejected
        if rejected is None or rejected.revision == self._reported_rejection:
            return
        self._reported_rejection = rejected.revision
        self._outbox.emit(
            ConfigurationRejected(
                self._tree.revision, rejected.revision, source, rejected.faults
            )
        )
