"""The settings tree that operators publish, checked and resolved."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import NOTHING, Factory, frozen

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
from catkinspan.state.metadata import setting
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

    max_hosts: int = setting(
        40,
        "hosts",
        "Largest number of hosts that may run at once; each mints 1/max_hosts of "
        "every rate and burst.",
    )
    isolation: timedelta | None = setting(
        timedelta(seconds=5),
        "ms",
        "Time without the configuration service and a majority of peers before keyed "
        "requests are refused; null lets an isolated host go on.",
        "isolation_ms",
    )
    rate_shards: int = setting(
        64,
        "shards",
        "Shards of workspaces, each with one granting host; read once at the start of "
        "a host.",
    )


@frozen
class Upstream:
    """A server of a service, as published."""

    id: ServerId = setting(NOTHING, "", "Name of the server, unique in its service.")
    address: Address = setting(NOTHING, "IP:PORT", "Where it serves.")
    data_centre: DataCentre = setting(NOTHING, "", "Data centre of the server.")
    slots: int = setting(NOTHING, "requests", "Requests that it runs at once.")
    max_connections: int = setting(
        350, "connections", "Connections over all hosts together."
    )
    leaving: bool = setting(False, "", "Whether it gets no new work.")


@frozen
class RouteMatch:
    """Condition for a request to take a route."""

    path_prefix: str = setting(NOTHING, "", "Beginning of the path, in whole segments.")
    methods: frozenset[str] = setting(
        frozenset(), "", "Methods that match; empty for all."
    )
    host: str | None = setting(
        None,
        "",
        "Host name without a port, in any case; left out for all.",
        shown_default="left out",
    )


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

    id: KeyId = setting(NOTHING, "", "Name of the key, unique in its workspace.")
    digest: bytes = setting(
        NOTHING, "hex", "SHA-256 of the key, as `catkinspan key` prints it.", "sha256"
    )


@frozen
class Workspace:
    """A tenant with its keys and limits."""

    id: WorkspaceId
    keys: tuple[KeyEntry, ...] = setting(
        NOTHING, "", "Keys that open the workspace, see below.", "", "[]"
    )
    rate: float = setting(NOTHING, "requests/s", "Rate over the whole fleet.")
    burst: float = setting(
        NOTHING, "requests", "Requests above the rate, over the whole fleet."
    )
    weight: float = setting(
        1.0, "", "Share of slots relative to others when capacity is short."
    )
    max_in_flight: int = setting(
        1000, "requests", "Requests that one host runs or queues at once."
    )


@frozen
class SettingsTree:
    """All settings in force at one revision."""

    revision: Revision = NO_REVISION
    fleet: FleetSettings = FleetSettings()
    services: Mapping[ServiceId, Service] = Factory(dict)
    routes: Mapping[RouteId, Route] = Factory(dict)
    workspaces: Mapping[WorkspaceId, Workspace] = Factory(dict)
