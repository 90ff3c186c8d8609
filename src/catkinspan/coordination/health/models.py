"""Messages, events and snapshots of server health."""

from collections.abc import Iterable
from enum import StrEnum

import xxhash
from attrs import frozen

from catkinspan.coordination.models import Event, PeerMessage
from catkinspan.state.ids import ServerId, ServiceId


@frozen
class ServerCounts:
    """Request counts of a server, seen by one host or by the hosts of a data centre."""

    server: ServerId
    in_flight: int
    """A pause that the server asked a host for counts as a request of that host."""

    overdue: int
    """In-flight requests that take longer than expected."""

    succeeded: int
    """Requests that succeeded in time since the sender started."""

    failed: int
    """Requests that failed or became overdue since the sender started."""

    earlier_succeeded: int = 0
    """Part of `succeeded` that is not recent. A receiver that did not follow the sender
    does not take it for evidence of now."""

    earlier_failed: int = 0
    """Part of `failed` that is not recent."""


@frozen
class HostCounts(PeerMessage):
    """Counts of one host, for the servers whose counts changed."""

    counts: tuple[ServerCounts, ...]


@frozen
class ZoneCounts(PeerMessage):
    """Sums over the hosts whose primary hub is the sender."""

    counts: tuple[ServerCounts, ...]


def server_digest(server: ServerId) -> int:
    """Return a 32-bit number for a server, which is shorter than its id."""
    return xxhash.xxh32_intdigest(server.encode())


def index_digests(servers: Iterable[ServerId]) -> dict[int, ServerId]:
    """Return the servers by digest, without those that share one."""
    found: dict[int, ServerId] = {}
    shared = set()
    for server in servers:
        digest = server_digest(server)
        if found.setdefault(digest, server) != server:
            shared.add(digest)
    return {digest: server for digest, server in found.items() if digest not in shared}


@frozen
class ServerState:
    """Fleet-wide state of a server, as computed by a hub."""

    server: int
    """Digest of the server id. Hosts ignore one that several of their servers have."""

    in_flight: int
    risk: float


@frozen
class ServerStates(PeerMessage):
    """States of servers that changed, for followers that have all up to `first`."""

    first: int
    last: int
    """Sequence number up to which a follower then has all states."""

    sent_ms: int
    """Time of sending on the hub's monotonic clock, in milliseconds."""

    states: tuple[ServerState, ...] = ()


@frozen
class MissedStatesRequest(PeerMessage):
    """Asks a hub for the states that changed after a sequence number."""

    since: int


@frozen
class ServerView:
    """Current estimate of a server's state on this host."""

    in_flight: int
    """Requests of the whole fleet in flight at the server."""

    risk: float
    """Probability that the next request fails."""

    is_draining: bool = False
    """Whether it announced to this host that it leaves."""

    is_cold: bool = False
    is_misdirected: bool = False
    """Whether a different server answers at its address."""

    state_age: float | None = None
    """Age in seconds of the hub's latest message, which may leave out the server; None
    for own counts only."""

    load_age: float = 0.0
    """Seconds since `in_flight` has changed, as far as this host knows."""

    pause_seconds: float = 0.0
    """Seconds for which the server wants no requests of this host."""


class ServerStatus(StrEnum):
    """Status of a server, as shown to operators."""

    HEALTHY = "healthy"
    AVOIDED = "avoided"
    DRAINING = "draining"
    LEAVING = "leaving"
    COLD = "cold"
    MISDIRECTED = "misdirected"


@frozen
class ServerCondition:
    """Status of a server, without the estimates of a `ServerReport`."""

    server: ServerId
    status: ServerStatus
    since: float | None
    """Monotonic seconds at which it became avoided; None if it is not."""


@frozen
class ServiceConditions:
    """Statuses of the servers of a service."""

    service: ServiceId
    servers: tuple[ServerCondition, ...]


@frozen
class ServerReport:
    """Health of a server, as shown to operators."""

    server: ServerId
    status: ServerStatus
    since: float | None
    """Monotonic seconds at which it became avoided; None if it is not."""

    risk: float
    own_risk: float
    in_flight: int
    overdue: int
    """In-flight requests of this host at the server that take longer than expected."""

    hub_report_age: float | None
    """Age in seconds of the latest news of a hub; None if no hub is current."""


@frozen
class ServiceReport:
    """Health of a service, as shown to operators."""

    service: ServiceId
    servers: tuple[ServerReport, ...]

    @property
    def published(self) -> int:
        """Return the number of servers that are not leaving."""
        return sum(s.status is not ServerStatus.LEAVING for s in self.servers)


@frozen
class ServerAvoided(Event):
    """This host avoids a server for non-idempotent requests while others are free."""

    service: ServiceId
    server: ServerId
    risk: float
    own_risk: float
    overdue: int
    evidence: str
    """``fleet`` or ``own``: whose observations raised the risk."""


@frozen
class ServerBack(Event):
    """An avoided server is back in normal use."""

    service: ServiceId
    server: ServerId
    avoided_seconds: float


@frozen
class ServerDraining(Event):
    """A server signalled in a response that it is draining."""

    service: ServiceId
    server: ServerId


@frozen
class ServerPaused(Event):
    """A server asked this host to send it no requests for a while."""

    service: ServiceId
    server: ServerId
    seconds: float


@frozen
class ServerMisdirected(Event):
    """A different server answers at a server's address."""

    service: ServiceId
    server: ServerId
