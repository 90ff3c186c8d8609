"""Converts the platform's configuration and server entries to a settings tree."""

import re
from collections.abc import Mapping

from attrs import evolve, frozen

from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
)
from catkinspan.coordination.configuration.models import Document, ParsedDocuments
from catkinspan.platform import names
from catkinspan.platform.routes import PublishedRoutes, read_routes
from catkinspan.platform.servers import ServerEntry, parse_server_entry
from catkinspan.platform.tenants import read_tenants
from catkinspan.protocol.settings.reader import FaultList, ObjectReader, decode_json
from catkinspan.state.ids import NO_REVISION, Revision, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import FleetSettings, Service, SettingsTree, Upstream

RETRY_RATIO = 0.2
"""Largest ratio of retries to requests that the platform allows."""

DEFAULT_MAX_CONNECTIONS = 300
MAX_CONNECTIONS = 1_000_000
MAX_BODY_BYTES = 1 << 40
STORE_KEY_PREFIXES = (names.CONFIGURATION_PREFIX, names.SERVERS_PREFIX)
"""Prefixes of the store keys that the fleet reads."""

_VERSION_PATTERN = re.compile(r"[0-9a-fA-F]{1,15}")
"""The digits of a version; one of 16 digits may exceed 63 bits."""

_DEFAULT_CONSEQUENCE = "the default is used"


@frozen
class _AcceptedConfiguration:
    """The last accepted configuration, without servers."""

    store_revision: Revision
    """Store revision at which the configuration was written."""

    tree: SettingsTree
    max_connections: Mapping[ServiceId, int]
    """Value of `Upstream.max_connections` for the servers of each service."""

    tolerated: tuple[SettingsFault, ...] = ()
    """Faults of single values that leave the rest usable."""


class PlatformDocuments:
    """Builds the settings tree from ``op/config`` and the server entries."""

    def __init__(self) -> None:
        self._accepted = _AcceptedConfiguration(NO_REVISION, SettingsTree(), {})
        self._rejected: RejectedConfiguration | None = None
        self._parsed_revision = NO_REVISION
        self._entries: dict[str, tuple[Revision, ServerEntry | SettingsFault]] = {}
        """Parsed server entries by name, with the limits of their services."""

    def is_server(self, name: str) -> bool:
        """Return whether a document is a server entry."""
        return name.startswith(names.SERVERS_PREFIX)

    def parse(self, documents: Mapping[str, Document]) -> ParsedDocuments:
        """Return the last accepted configuration with the current servers."""
        document = documents.get(names.CONFIGURATION_KEY)
        if document is not None and document.revision != self._parsed_revision:
            self._parsed_revision = document.revision
            self._read_configuration(document)
        ignored = self._read_entries(documents)
        tree, max_connections = self._accepted.tree, self._accepted.max_connections
        upstreams: dict[ServiceId, list[Upstream]] = {
            name: [] for name in max_connections
        }
        for name, (revision, entry) in self._entries.items():
            if not isinstance(entry, ServerEntry) or entry.service not in upstreams:
                continue
            limit = max_connections[entry.service]
            if entry.upstream.max_connections != limit:
                upstream = evolve(entry.upstream, max_connections=limit)
                entry = evolve(entry, upstream=upstream)
                self._entries[name] = revision, entry
            upstreams[entry.service].append(entry.upstream)
        services = {
            name: evolve(service, upstreams=tuple(upstreams[name]))
            for name, service in tree.services.items()
        }
        return ParsedDocuments(
            evolve(tree, services=services),
            self._rejected,
            ignored,
            self._accepted.tolerated,
        )

    def _read_entries(
        self, documents: Mapping[str, Document]
    ) -> tuple[SettingsFault, ...]:
        """Parse new and changed entries; return the faults of invalid ones."""
        entries: dict[str, tuple[Revision, ServerEntry | SettingsFault]] = {}
        for name, document in documents.items():
            if not self.is_server(name):
                continue
            cached = self._entries.get(name)
            if cached is None or cached[0] != document.revision:
                cached = (
                    document.revision,
                    parse_server_entry(name, document.text or ""),
                )
            entries[name] = cached
        self._entries = entries
        return tuple(e for _, e in entries.values() if isinstance(e, SettingsFault))

    def _read_configuration(self, document: Document) -> None:
        faults = FaultList()
        revision, accepted = _parse_configuration(document, faults)
        if accepted is None:
            self._rejected = RejectedConfiguration(revision, tuple(faults.faults))
            return
        self._rejected = None
        if revision > self._accepted.tree.revision:
            self._accepted = accepted


def _parse_configuration(
    document: Document, faults: FaultList
) -> tuple[Revision, _AcceptedConfiguration | None]:
    """Parse a configuration; without a version or a usable route it is rejected.

    A fault of a single value leaves the others usable, so that one unknown word does
    not take the whole fleet out of service.
    """
    decoded = decode_json(document.text or "", document.name)
    if decoded.is_err():
        faults.faults.append(decoded.unwrap_err())
        return NO_REVISION, None
    required = ObjectReader(decoded.unwrap(), document.name, faults)
    revision = _read_version(required)
    _check_arrays(required)
    if faults.faults:
        return revision, None
    tolerated = FaultList()
    reader = required.reporting_to(tolerated)
    max_connections = _read_clusters(reader)
    tenants = read_tenants(reader, tolerated)
    base = Policy(
        max_body_bytes=_read_max_body_bytes(reader),
        retry_ratio=RETRY_RATIO,
        open=not reader.has(names.TENANTS),
    )
    published = read_routes(reader, base, frozenset(max_connections), tolerated)
    if not _has_usable_routes(published):
        faults.faults += tolerated.faults
        return revision, None
    tree = SettingsTree(
        revision=revision,
        # The platform allows a host without any contact to keep accepting known keys.
        fleet=FleetSettings(isolation=None),
        services={name: Service(name, (), base) for name in max_connections},
        routes=published.routes,
        workspaces=tenants.workspaces,
        unusable_workspaces=tenants.unusable,
        has_all_routes=published.are_complete,
        has_all_keys=tenants.are_complete,
    )
    return revision, _AcceptedConfiguration(
        document.revision, tree, max_connections, tuple(tolerated.faults)
    )


def _read_version(reader: ObjectReader) -> Revision:
    remedy = "write up to 15 hexadecimal digits"
    revision = reader.convert(names.VERSION, NO_REVISION, _parse_version, remedy)
    if revision == NO_REVISION:
        reader.add_fault(names.VERSION, "missing version", "write one above 0")
    return revision


def _parse_version(value: object) -> Revision:
    if not isinstance(value, str) or not _VERSION_PATTERN.fullmatch(value):
        raise ValueError("not a version")
    return Revision(int(value, 16))


def _check_arrays(reader: ObjectReader) -> None:
    """Check that the tables without which no route is usable can be read."""
    for name in (names.LISTENERS, names.CLUSTERS):
        if not isinstance(reader.raw_value(name), list):
            reader.add_fault(name, "missing or not an array", "write [...] here")


def _has_usable_routes(published: PublishedRoutes) -> bool:
    """Return whether at least one route is usable, or none is published."""
    if any(not route.fault for route in published.routes.values()):
        return True
    return not published.routes and published.are_complete


def _read_clusters(reader: ObjectReader) -> Mapping[ServiceId, int]:
    """Return the services with their limits of connections to a server."""
    defaults = FaultList(_DEFAULT_CONSEQUENCE)
    services = {
        ServiceId(cluster.string(names.NAME)): cluster.reporting_to(defaults).integer(
            names.MAX_CONNS, DEFAULT_MAX_CONNECTIONS, 1, MAX_CONNECTIONS
        )
        for cluster in reader.items(names.CLUSTERS)
    }
    reader.extend_faults(defaults)
    return {name: limit for name, limit in services.items() if name}


def _read_max_body_bytes(reader: ObjectReader) -> int:
    defaults = FaultList(_DEFAULT_CONSEQUENCE)
    limits = reader.reporting_to(defaults).child(names.LIMITS)
    value = limits.integer(
        names.MAX_BODY_BYTES, Policy().max_body_bytes, 0, MAX_BODY_BYTES
    )
    reader.extend_faults(defaults)
    return value
