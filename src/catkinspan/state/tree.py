"""The settings tree that operators publish, validated and with inheritance resolved."""

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
    """Settings that apply to every host of the fleet."""

    isolation: timedelta | None = setting(
        timedelta(seconds=5),
        "ms",
        "Time without news of the store and of most peers before keyed requests are "
        "refused; null lets an isolated host go on.",
        "isolation_ms",
    )


@frozen
class Upstream:
    """A published server of a service."""

    id: ServerId = setting(NOTHING, "", "Name of the server, unique in its service.")
    address: Address = setting(NOTHING, "IP:PORT", "Where it serves.")
    data_centre: DataCentre = setting(NOTHING, "", "Data centre of the server.")
    slots: int = setting(NOTHING, "requests", "Requests that it runs at once.")
    max_connections: int = setting(
        350,
        "connections",
        "Connections over all hosts together; each opens its share, at least `slots` "
        "or 2.",
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
    """A service with its share of the traffic of a split route."""

    service: ServiceId
    weight: float


@frozen
class RouteMatch:
    """Conditions that a request must meet to match a route."""

    path_prefix: str = setting(
        NOTHING,
        "",
        "Beginning of the path, in whole segments; with a slash at its end, only paths "
        "with that slash match.",
    )
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
    """A route to a service, with its effective settings."""

    id: RouteId
    service: ServiceId
    """Target service; the first one if the route is split."""

    match: RouteMatch
    policy: Policy
    origins: Mapping[str, str]
    """Level of the tree that each effective value comes from, by JSON key."""

    split: tuple[WeightedService, ...] = ()
    """Services that share the traffic; empty if `service` receives all of it."""

    fault: str = ""
    """Why requests of the route are refused: its published settings are unusable."""


@frozen
class Service:
    """A service with its servers and effective settings."""

    id: ServiceId
    upstreams: tuple[Upstream, ...]
    policy: Policy


@frozen
class KeyEntry:
    """A published API key, identified by its SHA-256 digest."""

    id: KeyId = setting(NOTHING, "", "Name of the key, unique in its workspace.")
    digest: bytes = setting(
        NOTHING, "hex", "SHA-256 of the key, as `catkinspan key` prints it.", "sha256"
    )


@frozen
class Workspace:
    """A customer with its API keys and limits."""

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
    unusable_workspaces: Mapping[WorkspaceId, str] = Factory(dict)
    """Why the requests of workspaces with unusable settings are refused."""

    has_all_routes: bool = True
    """Whether host and path of each published route are known; if not, a request
    without a route may belong to one."""

    has_all_keys: bool = True
    """Whether each published key is known; if not, an unknown key may be valid."""
