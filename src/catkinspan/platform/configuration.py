"""Converts the platform's configuration and server entries to a settings tree."""

from collections.abc import Iterator, Mapping
from datetime import timedelta
from hashlib import sha256
from typing import Any

from attrs import evolve, frozen

from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
)
from catkinspan.coordination.configuration.models import Document, ParsedDocuments
from catkinspan.platform import names
from catkinspan.platform.servers import ServerEntry, parse_server_entry
from catkinspan.protocol.settings.reader import FaultList, ObjectReader, decode_json
from catkinspan.state.ids import (
    NO_REVISION,
    KeyId,
    Revision,
    RouteId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.state.policy import POLICY_FIELDS, Policy
from catkinspan.state.tree import (
    FleetSettings,
    KeyEntry,
    Route,
    RouteMatch,
    Service,
    SettingsTree,
    Upstream,
    WeightedService,
    Workspace,
)

RETRY_RATIO = 0.2
"""Largest ratio of retries to requests that the platform allows."""

DEFAULT_MAX_CONNECTIONS = 300
MAX_NUMBER = 1e9
MAX_BODY_BYTES = 1 << 40
STORE_KEY_PREFIXES = (names.CONFIGURATION_PREFIX, names.SERVERS_PREFIX)
"""Prefixes of the store keys that the fleet reads."""

_ORIGIN = "platform"


@frozen
class _AcceptedConfiguration:
    """The last accepted configuration, without servers."""

    store_revision: Revision
    """Store revision at which the configuration was written."""

    tree: SettingsTree
    max_connections: Mapping[ServiceId, int]
    """Value of `Upstream.max_connections` for the servers of each service."""


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
        return ParsedDocuments(evolve(tree, services=services), self._rejected, ignored)

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
        decoded = decode_json(document.text or "", document.name)
        if decoded.is_err():
            faults.faults.append(decoded.unwrap_err())
            self._rejected = RejectedConfiguration(NO_REVISION, tuple(faults.faults))
            return
        reader = ObjectReader(decoded.unwrap(), document.name, faults)
        revision = reader.convert(
            names.VERSION, NO_REVISION, _parse_version, "write hexadecimal digits"
        )
        if revision == NO_REVISION:
            reader.add_fault(names.VERSION, "missing version", "write one above 0")
        settings = _parse_configuration(reader, document.revision, revision)
        if faults.faults:
            self._rejected = RejectedConfiguration(revision, tuple(faults.faults))
            return
        self._rejected = None
        if revision > self._accepted.tree.revision:
            self._accepted = settings


def _parse_version(value: Any) -> Revision:
    return Revision(int(value, 16))


def _parse_configuration(
    reader: ObjectReader, store_revision: Revision, revision: Revision
) -> _AcceptedConfiguration:
    limits = reader.child(names.LIMITS)
    max_body = limits.integer(
        names.MAX_BODY_BYTES, Policy().max_body_bytes, 0, MAX_BODY_BYTES
    )
    max_connections = {
        ServiceId(cluster.string(names.NAME)): cluster.integer(
            names.MAX_CONNS, DEFAULT_MAX_CONNECTIONS, 1, 1_000_000
        )
        for cluster in reader.items(names.CLUSTERS)
    }
    has_keys = reader.has(names.TENANTS)
    workspaces = {w.id: w for w in map(_read_tenant, reader.items(names.TENANTS))}
    base = Policy(max_body_bytes=max_body, retry_ratio=RETRY_RATIO, open=not has_keys)
    routes = {route.id: route for route in _read_routes(reader, base, max_connections)}
    services = {name: Service(name, (), base) for name in max_connections}
    tree = SettingsTree(
        revision=revision,
        # The platform allows a host without any contact to keep accepting known keys.
        fleet=FleetSettings(isolation=None),
        services=services,
        routes=routes,
        workspaces=workspaces,
    )
    return _AcceptedConfiguration(store_revision, tree, max_connections)


def _read_tenant(reader: ObjectReader) -> Workspace:
    """Read a tenant as a workspace; only digests of its keys are kept."""
    keys = tuple(
        KeyEntry(KeyId(f"key-{index + 1}"), sha256(key.encode()).digest())
        for index, key in enumerate(reader.strings(names.API_KEYS))
    )
    rate = reader.number(names.RATE_PER_S, 0.0, 0.0, MAX_NUMBER)
    burst = reader.number(names.BURST, 0.0, 0.0, MAX_NUMBER)
    priority = reader.integer(names.PRIORITY, -1, -1, 1000)
    return Workspace(
        id=WorkspaceId(reader.string(names.NAME)),
        keys=keys,
        rate=rate,
        burst=max(1.0, burst),
        is_limited=rate > 0 or burst > 0,
        priority=None if priority < 0 else priority,
    )


def _read_routes(
    reader: ObjectReader, base: Policy, services: Mapping[ServiceId, int]
) -> Iterator[Route]:
    for listener in reader.items(names.LISTENERS):
        host = listener.string(names.HOST).lower()
        for rule in listener.items(names.RULES):
            yield _read_rule(host, rule, base, services)


def _read_rule(
    host: str,
    rule: ObjectReader,
    base: Policy,
    services: Mapping[ServiceId, int],
) -> Route:
    action = rule.child(names.ACTION)
    split = _read_split(action)
    service = split[0].service if split else ServiceId(action.string(names.SERVICE))
    for name in {service, *(part.service for part in split)} - services.keys():
        action.add_fault(names.SERVICE, f"unknown cluster {name!r}", "name a cluster")
    kind = rule.string(names.KIND)
    if kind not in (names.SAFE, names.UNSAFE):
        rule.add_fault(names.KIND, f"unknown kind {kind!r:.40}", "write safe or unsafe")
    timeout = action.duration_ms(names.TIMEOUT_MS, base.deadline)
    policy = evolve(
        base,
        open=base.open or rule.boolean(names.PUBLIC, False),
        idempotent=kind == names.SAFE,
        deadline=timeout,
        attempt_timeout=timeout,
        max_attempts=action.integer(names.MAX_ATTEMPTS, 1, 1, 1000),
        target_latency=_read_target_latency(rule),
        priority=rule.integer(names.PRIORITY, base.priority, 0, 1000),
    )
    prefix = rule.child(names.MATCH).string(names.PATH_PREFIX)
    return Route(
        id=RouteId(f"{host}/{rule.string(names.NAME)}"),
        service=service,
        match=RouteMatch(prefix, host=host),
        policy=policy,
        origins=dict.fromkeys(POLICY_FIELDS, _ORIGIN),
        split=split,
    )


def _read_target_latency(rule: ObjectReader) -> timedelta | None:
    if not rule.has(names.TARGET_LATENCY_MS):
        return None
    return rule.duration_ms(names.TARGET_LATENCY_MS, timedelta(seconds=1))


def _read_split(action: ObjectReader) -> tuple[WeightedService, ...]:
    return tuple(
        WeightedService(
            ServiceId(part.string(names.SERVICE)),
            part.number(names.WEIGHT, None, 0.0, MAX_NUMBER),
        )
        for part in action.items(names.TRAFFIC_SPLIT)
    )
