"""The settings tree that operators publish, checked and resolved."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import Factory, frozen

from catkinspan.state.ids import (
    NO_REVISION,
    DataCentre,
    KeyId,
    Revision,
    RouteId,
    ServerId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.state.policy import Policy


@frozen
class Address:
    """IP address and port of a socket."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``IP:PORT``."""
        return f"{self.ip}:{self.port}"


@frozen
class FleetSettings:
    """Limits that all hosts share."""

    max_hosts: int = 40
    """Largest number of hosts that may run at once; each mints 1/max_hosts."""

    isolation: timedelta | None = timedelta(seconds=5)
    """Time without the platform and a majority of peers before keyed requests are
    refused; None lets an isolated host go on."""

    rate_shards: int = 64
    """Shards of workspaces, each with one grantor."""


@frozen
class Upstream:
    """A server of a service, as published."""

    id: ServerId
    address: Address
    data_centre: DataCentre
    slots: int
    max_connections: int
    leaving: bool = False


@frozen
class RouteMatch:
    """Condition for a request to take a route."""

    path_prefix: str
    methods: frozenset[str] = frozenset()
    """Methods that match; empty for all."""

    host: str | None = None
    """Lower-case host name without a port; None for all."""


@frozen
class Route:
    """A route to a service, with the settings in force for it."""

    id: RouteId
    service: ServiceId
    match: RouteMatch
    policy: Policy
    origins: Mapping[str, str]
    """Level of the tree that set each value, by the setting's JSON name."""


@frozen
class Service:
    """A service with its servers and its settings."""

    id: ServiceId
    upstreams: tuple[Upstream, ...]
    policy: Policy


@frozen
class KeyEntry:
    """The published hash of a caller's key."""

    id: KeyId
    digest: bytes
    """SHA-256 of the key."""


@frozen
class Workspace:
    """A tenant with its keys and limits."""

    id: WorkspaceId
    keys: tuple[KeyEntry, ...]
    rate: float
    """Requests per second over the whole fleet."""

    burst: float
    """Requests above the rate over the whole fleet."""

    weight: float = 1.0
    """Share of slots relative to other workspaces when capacity is short."""

    max_in_flight: int = 1000
    """Requests that one host runs or queues at once for the workspace."""


@frozen
class SettingsTree:
    """All settings in force at one revision."""

    revision: Revision = NO_REVISION
    fleet: FleetSettings = FleetSettings()
    services: Mapping[ServiceId, Service] = Factory(dict)
    routes: Mapping[RouteId, Route] = Factory(dict)
    workspaces: Mapping[WorkspaceId, Workspace] = Factory(dict)
