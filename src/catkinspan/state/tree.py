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

    isolation: timedelta | None = setting(
        timedelta(seconds=5),
        "ms",
        "Time without news of the store and of most peers before keyed requests are "
        "refused; null lets an isolated host go on.",
        "isolation_ms",
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
    warmup: timedelta = setting(
        timedelta(),
        "ms",
        "Time after its publication for which the server is slow.",
        "warmup_ms",
    )
    process: int = setting(
        0, "", "Number of the server's process life; another one is another process."
    )


@frozen
class WeightedService:
    """A service that gets a part of a route's requests."""

    service: ServiceId
    weight: float


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
    """Service of the route; the first one of a split."""

    match: RouteMatch
    policy: Policy
    origins: Mapping[str, str]
    """Level of the tree that set each value, by the setting's JSON name."""

    split: tuple[WeightedService, ...] = ()
    """Services that share the requests; empty if `service` gets them all."""


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
    max_in_flight: int = setting(
        1000, "requests", "Requests that one host runs at once."
    )
    is_limited: bool = setting(True, "", "Whether the rate is enforced.", "limited")
    priority: int | None = setting(
        None,
        "",
        "Rank of its requests instead of the route's; 0 is the most urgent. Left out "
        "for the route's.",
        shown_default="left out",
    )


@frozen
class SettingsTree:
    """All settings in force at one revision."""

    revision: Revision = NO_REVISION
    fleet: FleetSettings = FleetSettings()
    services: Mapping[ServiceId, Service] = Factory(dict)
    routes: Mapping[RouteId, Route] = Factory(dict)
    workspaces: Mapping[WorkspaceId, Workspace] = Factory(dict)
