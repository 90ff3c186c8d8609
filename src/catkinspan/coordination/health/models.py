"""Messages, events and snapshots of the health."""

from enum import StrEnum

from attrs import frozen

from catkinspan.coordination.models import Event, PeerMessage
from catkinspan.state.ids import ServerId, ServiceId


@frozen
class ServerCounts:
    """What a host, or the hosts of a data centre, saw of a server."""

    server: ServerId
    in_flight: int
    overdue: int
    """Requests in flight that take longer than usual."""

    succeeded: int
    """Requests answered in time since the start of the sender."""

    failed: int
    """Requests that failed or became overdue since the start of the sender."""


@frozen
class HostCounts(PeerMessage):
    """Counts of one host, of the servers with news."""

    counts: tuple[ServerCounts, ...]


@frozen
class ZoneCounts(PeerMessage):
    """Sums of the hosts of which the sender is the first hub."""

    counts: tuple[ServerCounts, ...]


@frozen
class ServerState:
    """What the fleet knows of a server, as a hub tells it."""

    server: ServerId
    in_flight: int
    risk: float


@frozen
class ServerStates(PeerMessage):
    """States of the servers with news."""

    states: tuple[ServerState, ...]


@frozen
class ServerView:
    """What this host believes of a server now."""

    in_flight: int
    """Requests of the whole fleet in flight there."""

    risk: float
    """Probability that the next request fails."""

    is_draining: bool = False
    is_cold: bool = False
    is_misdirected: bool = False
    """Whether its address answers for another server."""


class ServerStatus(StrEnum):
    """State of a server for operators."""

    HEALTHY = "healthy"
    AVOIDED = "avoided"
    DRAINING = "draining"
    LEAVING = "leaving"
    COLD = "cold"
    MISDIRECTED = "misdirected"


@frozen
class ServerReport:
    """A server for operators."""

    server: ServerId
    status: ServerStatus
    since: float | None
    """Monotonic seconds at which it became avoided; None otherwise."""

    risk: float
    own_risk: float
    in_flight: int
    overdue: int
    """Requests of this host in flight there that take longer than usual."""

    hub_report_age: float | None
    """Seconds since the hub's last news of it; None without."""


@frozen
class ServiceReport:
    """A service for operators."""

    service: ServiceId
    servers: tuple[ServerReport, ...]

    @property
    def published(self) -> int:
        """Return the number of servers that are not leaving."""
        return sum(s.status is not ServerStatus.LEAVING for s in self.servers)


@frozen
class ServerAvoided(Event):
    """This host sends no non-idempotent request to a server while others are free."""

    service: ServiceId
    server: ServerId
    risk: float
    own_risk: float
    overdue: int
    evidence: str
    """``fleet`` or ``own``."""


@frozen
class ServerBack(Event):
    """A server is in normal use again."""

    service: ServiceId
    server: ServerId
    avoided_seconds: float


@frozen
class ServerDraining(Event):
    """A server told by an answer that it leaves."""

    service: ServiceId
    server: ServerId


@frozen
class ServerMisdirected(Event):
    """A server's address answers for another server."""

    service: ServiceId
    server: ServerId
