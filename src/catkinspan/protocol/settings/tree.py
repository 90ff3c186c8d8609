"""Decoding of published documents into the settings tree.

Operators write one JSON file. `split_documents` splits it into the documents to
publish, each of which stays below the platform's limit of 1 MB per document:

- ``root``: ``fleet`` limits and ``defaults``,
- ``services/NAME``: settings, upstreams and routes of one service,
- ``workspaces/SHARD``: workspaces with keys and limits.
"""

from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import orjson
import xxhash
from attrs import frozen
from result import Err, Ok, Result

from catkinspan.coordination.configuration.errors import (
    RejectedConfiguration,
    SettingsFault,
)
from catkinspan.coordination.configuration.models import Document
from catkinspan.protocol.settings.policy import InheritedPolicy, read_policy
from catkinspan.protocol.settings.reader import FaultList, ObjectReader, decode_json
from catkinspan.state.ids import (
    DataCentre,
    KeyId,
    Revision,
    RouteId,
    ServerId,
    ServiceId,
    WorkspaceId,
)
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

ROOT = "root"
SERVICES_PREFIX = "services/"
WORKSPACES_PREFIX = "workspaces/"
WORKSPACE_DOCUMENT_COUNT = 16
"""Number of documents with workspaces: 26,000 workspaces of about 200 bytes result in
16 documents of about 325 KB, below the limit of 1 MB."""

DIGEST_BYTES = 32
MAX_RATE = 1e9
MAX_SLOTS = 10_000
MAX_WARMUP_MS = 3_600_000


@frozen
class _RootDocument:
    fleet: FleetSettings
    defaults: InheritedPolicy


@frozen
class _ServiceDocument:
    service: Service
    routes: tuple[Route, ...]


def read_root(value: object, faults: FaultList) -> _RootDocument:
    """Read the ``root`` document."""
    reader = ObjectReader(value, ROOT, faults)
    fleet = _read_fleet(reader.child("fleet"))
    defaults = read_policy(reader.child("defaults"), InheritedPolicy(), "root")
    reader.check_unread()
    return _RootDocument(fleet, defaults)


def _read_fleet(reader: ObjectReader) -> FleetSettings:
    defaults = FleetSettings()
    isolation = defaults.isolation
    if reader.has("isolation_ms") and reader.raw_value("isolation_ms") is None:
        isolation = None
    elif isolation is not None:
        isolation = reader.duration_ms("isolation_ms", isolation)
    fleet = FleetSettings(
        isolation=isolation,
    )
    reader.check_unread()
    return fleet


def read_service(
    name: str, value: object, defaults: InheritedPolicy, faults: FaultList
) -> _ServiceDocument:
    """Read a ``services/NAME`` document."""
    service_id = ServiceId(name)
    reader = ObjectReader(value, SERVICES_PREFIX + name, faults)
    _check_name(name, reader)
    inherited = read_policy(reader.child("settings"), defaults, f"service {name}")
    upstreams = tuple(_read_upstream(item) for item in reader.items("upstreams"))
    _check_unique(reader, "upstreams", [upstream.id for upstream in upstreams])
    routes = tuple(
        _read_route(service_id, key, child, inherited)
        for key, child in reader.children("routes")
    )
    reader.check_unread()
    return _ServiceDocument(Service(service_id, upstreams, inherited.policy), routes)


def _read_upstream(reader: ObjectReader) -> Upstream:
    upstream = Upstream(
        id=ServerId(reader.string("id")),
        address=reader.address("address"),
        data_centre=DataCentre(reader.string("data_centre")),
        slots=reader.integer("slots", None, 1, MAX_SLOTS),
        max_connections=reader.integer("max_connections", 350, 1, 1_000_000),
        leaving=reader.boolean("leaving", False),
        warmup=timedelta(milliseconds=reader.integer("warmup_ms", 0, 0, MAX_WARMUP_MS)),
        process=reader.integer("process", 0, 0, 1 << 53),
    )
    reader.check_unread()
    return upstream


def _read_route(
    service: ServiceId, name: str, reader: ObjectReader, parent: InheritedPolicy
) -> Route:
    _check_name(name, reader)
    route_id = RouteId(f"{service}/{name}")
    match = _read_match(reader.child("match"))
    inherited = read_policy(reader.child("settings"), parent, f"route {route_id}")
    split = _read_split(reader)
    reader.check_unread()
    return Route(route_id, service, match, inherited.policy, inherited.origins, split)


def _read_split(reader: ObjectReader) -> tuple[WeightedService, ...]:
    """Read the weights of the services that a route is split between."""
    weights = reader.child("split")
    split = tuple(
        WeightedService(ServiceId(name), weights.number(name, None, 0.0, MAX_RATE))
        for name in weights.member_names()
    )
    weights.check_unread()
    if split and not any(part.weight for part in split):
        reader.add_fault("split", "no service has a weight", "write a weight above 0")
        return ()
    return split


def _read_match(reader: ObjectReader) -> RouteMatch:
    prefix = reader.string("path_prefix")
    if prefix and not prefix.startswith("/"):
        reader.add_fault("path_prefix", "does not start with /", 'write "/path"')
    host = reader.string("host").lower() if reader.has("host") else None
    methods = frozenset(method.upper() for method in reader.strings("methods"))
    reader.check_unread()
    return RouteMatch(prefix, methods, host)


def read_workspaces(
    name: str, value: object, faults: FaultList
) -> dict[WorkspaceId, Workspace]:
    """Read a ``workspaces/SHARD`` document: an object of workspaces by id."""
    document = ObjectReader({name: value}, "", faults)
    return {
        WorkspaceId(key): _read_workspace(key, child)
        for key, child in document.children(name)
    }


def _read_workspace(name: str, reader: ObjectReader) -> Workspace:
    keys = tuple(_read_key(item) for item in reader.items("keys"))
    _check_unique(reader, "keys", [key.id for key in keys])
    workspace = Workspace(
        id=WorkspaceId(name),
        keys=keys,
        rate=reader.number("rate", None, 0.0, MAX_RATE),
        burst=reader.number("burst", None, 1.0, MAX_RATE),
        max_in_flight=reader.integer("max_in_flight", 1000, 1, 1_000_000),
        is_limited=reader.boolean("limited", True),
        priority=reader.integer("priority", 0, 0, 100)
        if reader.has("priority")
        else None,
    )
    reader.check_unread()
    return workspace


def _read_key(reader: ObjectReader) -> KeyEntry:
    remedy = "write the 64 hexadecimal digits that `catkinspan key hash` prints"
    digest = reader.convert("sha256", b"", _parse_digest, remedy)
    if not digest:
        reader.add_fault("sha256", "missing key hash", remedy)
    entry = KeyEntry(KeyId(reader.string("id")), digest)
    reader.check_unread()
    return entry


def _parse_digest(value: Any) -> bytes:
    digest = bytes.fromhex(value)
    if len(digest) != DIGEST_BYTES:
        raise ValueError(value)
    return digest


def _check_name(name: str, reader: ObjectReader) -> None:
    """Reject names that would make route ids, `SERVICE/ROUTE`, ambiguous."""
    if not name or "/" in name:
        reader.add_fault(
            "(name)", f"{name!r:.60} is not a valid name", "write a name without /"
        )


def _check_unique(reader: ObjectReader, name: str, ids: list[Any]) -> None:
    for repeated in (item for item, times in Counter(ids).items() if times > 1):
        reader.add_fault(name, f"duplicate id {repeated!r}", "give each its own id")


class TreeParser:
    """Builds the settings tree, parsing only new and changed documents."""

    def __init__(self) -> None:
        self._root: tuple[Revision, _RootDocument] | None = None
        self._services: dict[str, tuple[Revision, _ServiceDocument]] = {}
        self._workspaces: dict[str, tuple[Revision, dict[WorkspaceId, Workspace]]] = {}

    def parse(
        self, documents: Mapping[str, Document], revision: Revision
    ) -> Result[SettingsTree, RejectedConfiguration]:
        """Return the validated configuration, or every fault found.

        A rejected configuration does not change the cached documents.
        """
        draft = self._copy()
        faults = FaultList()
        parsed = draft._parse_documents(documents, revision, faults)
        if faults.faults:
            return Err(RejectedConfiguration(revision, tuple(faults.faults)))
        self._root = draft._root
        self._services, self._workspaces = draft._services, draft._workspaces
        return Ok(parsed)

    def _copy(self) -> "TreeParser":
        copy = TreeParser()
        copy._root = self._root
        copy._services = dict(self._services)
        copy._workspaces = dict(self._workspaces)
        return copy

    def _parse_documents(
        self,
        documents: Mapping[str, Document],
        revision: Revision,
        faults: FaultList,
    ) -> SettingsTree:
        self._read_root_document(documents.get(ROOT), faults)
        for name, document in documents.items():
            self._read_document(name, document, faults)
        self._services = {n: c for n, c in self._services.items() if n in documents}
        self._workspaces = {n: c for n, c in self._workspaces.items() if n in documents}
        return self._build_tree(revision, faults)

    def _read_root_document(self, document: Document | None, faults: FaultList) -> None:
        if document is None:
            faults.add(ROOT, "document is missing", "publish the document `root`")
            self._root = (Revision(0), read_root({}, FaultList()))
            return
        if self._root is not None and self._root[0] == document.revision:
            return
        value = _decode(document, faults)
        self._root = (document.revision, read_root(value, faults))
        # Services inherit from the root document and must be resolved again.
        self._services.clear()

    def _read_document(self, name: str, document: Document, faults: FaultList) -> None:
        revision = document.revision
        if name.startswith(SERVICES_PREFIX):
            cached = self._services.get(name)
            if cached is None or cached[0] != revision:
                assert self._root is not None
                content = read_service(
                    name.removeprefix(SERVICES_PREFIX),
                    _decode(document, faults),
                    self._root[1].defaults,
                    faults,
                )
                self._services[name] = (revision, content)
        elif name.startswith(WORKSPACES_PREFIX):
            shard = self._workspaces.get(name)
            if shard is None or shard[0] != revision:
                value = _decode(document, faults)
                self._workspaces[name] = (
                    revision,
                    read_workspaces(name, value, faults),
                )
        elif name != ROOT:
            faults.add(name, "unknown document", "remove it or correct its name")

    def _build_tree(self, revision: Revision, faults: FaultList) -> SettingsTree:
        assert self._root is not None
        contents = [content for _, content in self._services.values()]
        workspaces: dict[WorkspaceId, Workspace] = {}
        for name, (_, shard) in self._workspaces.items():
            for repeated in workspaces.keys() & shard.keys():
                message = f"workspace {repeated!r} is also defined in another document"
                faults.add(name, message, "remove one of the two")
            workspaces.update(shard)
        _check_keys(workspaces, faults)
        _check_splits([r for c in contents for r in c.routes], self._services, faults)
        return SettingsTree(
            revision=revision,
            fleet=self._root[1].fleet,
            services={content.service.id: content.service for content in contents},
            routes={route.id: route for c in contents for route in c.routes},
            workspaces=workspaces,
        )


def _decode(document: Document, faults: FaultList) -> object:
    decoded = decode_json(document.text or "", document.name)
    if isinstance(decoded, Ok):
        return decoded.ok_value
    faults.faults.append(decoded.err_value)
    return {}


def _check_keys(workspaces: Mapping[WorkspaceId, Workspace], faults: FaultList) -> None:
    """Reject a key hash in two workspaces: a key must identify one workspace."""
    owners: dict[bytes, WorkspaceId] = {}
    for workspace in workspaces.values():
        for key in workspace.keys:
            first = owners.setdefault(key.digest, workspace.id)
            if first != workspace.id:
                message = f"key {key.id!r} is also a key of workspace {first!r}"
                remedy = "give each workspace keys of its own"
                faults.add(f"workspaces/{workspace.id}/keys", message, remedy)


def _check_splits(
    routes: list[Route], services: Mapping[str, object], faults: FaultList
) -> None:
    """Reject splits to services that are not published."""
    for route in routes:
        for part in route.split:
            if SERVICES_PREFIX + part.service not in services:
                path = f"{SERVICES_PREFIX}{route.service}/routes/{route.id}/split"
                message = f"service {part.service!r} is not published"
                faults.add(path, message, "use a service of the tree")


def _value_or(value: object, default: object) -> object:
    return default if value is None else value


def split_documents(tree: object) -> Result[dict[str, str], tuple[SettingsFault, ...]]:
    """Split a settings file into the documents to publish."""
    faults = FaultList()
    reader = ObjectReader(tree, "", faults)
    documents: dict[str, object] = {
        ROOT: {
            "fleet": _value_or(reader.raw_value("fleet"), {}),
            "defaults": _value_or(reader.raw_value("defaults"), {}),
        },
    }
    services = reader.child("services")
    for name in services.member_names():
        documents[SERVICES_PREFIX + name] = services.raw_value(name)
    workspaces = reader.child("workspaces")
    shards: dict[str, dict[str, object]] = {}
    for name in workspaces.member_names():
        shard = xxhash.xxh64_intdigest(name.encode()) % WORKSPACE_DOCUMENT_COUNT
        shards.setdefault(f"{WORKSPACES_PREFIX}{shard}", {})[name] = (
            workspaces.raw_value(name)
        )
    documents.update(shards)
    reader.check_unread()
    if faults.faults:
        return Err(tuple(faults.faults))
    return Ok({name: orjson.dumps(value).decode() for name, value in documents.items()})


def check_tree(text: str | bytes) -> Result[SettingsTree, tuple[SettingsFault, ...]]:
    """Validate a settings file, as `catkinspan check` does."""
    decoded = decode_json(text, "(document)")
    if isinstance(decoded, Err):
        return Err((decoded.err_value,))
    split = split_documents(decoded.ok_value)
    if isinstance(split, Err):
        return split
    revision = Revision(1)
    documents = {
        name: Document(name, revision, content)
        for name, content in split.ok_value.items()
    }
    parsed = TreeParser().parse(documents, revision)
    return parsed.map_err(lambda rejected: rejected.faults)
