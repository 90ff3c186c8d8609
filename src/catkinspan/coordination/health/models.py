"""Messages, states, events and reports of the health concern."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import Factory, frozen

from catkinspan.coordination.models import Event, PeerMessage
from catkinspan.state.ids import DataCentre, HostId, ServerId, ServiceId


class Signal(StrEnum):
    """Kinds of evidence against a server, each compared with its peers apart."""

    FAILURE = "failure"
    STALL = "stall"
    """An attempt without a response for many times the usual latency."""

    ERROR = "error"
    """An answer that shows a fault and that only the server itself can have given, so
    that no path explains it."""

    SLOW = "slow"
    SHED = "shed"
    PROBE = "probe"


class Phase(StrEnum):
    """Where a server is on its way out of and back into service."""

    EJECTED = "ejected"
    TRIAL = "trial"
    SLOW_START = "slow_start"
    AVOIDED = "avoided"
    RETURNED = "returned"
    WATCHED = "watched"
    """In service; hosts report successful attempts too."""


class ServerState(StrEnum):
    """State of a server as operators read it."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    KEPT_BY_FLOOR = "kept_by_floor"
    """Judged unhealthy but in service, since the floor allows no ejection."""

    EJECTED = "ejected"
    TRIAL = "trial"
    SLOW_START = "slow_start"
    COLD = "cold"
    AVOIDED = "avoided"
    DRAINING = "draining"
    LEAVING = "leaving"


@frozen
class ServerEvidence:
    """Counts of one signal about one server."""

    server: ServerId
    signal: Signal
    count: float


@frozen
class HealthDigest(PeerMessage):
    """What a host saw of the servers of a service that it has something to say of."""

    service: ServiceId
    rate: float
    """Attempts per second of the host at an average server of the service."""

    entries: tuple[ServerEvidence, ...]
    trials: Mapping[ServerId, int] = Factory(dict)
    """Successful attempts since the last digest at servers that are returning."""


@frozen
class HostEvidence:
    """Counts of one signal about one server from one host."""

    server: ServerId
    signal: Signal
    host: HostId
    count: float


@frozen
class PooledEvidence(PeerMessage):
    """Evidence of one data centre, from its assessor to the arbiters."""

    service: ServiceId
    data_centre: DataCentre
    rate: float
    """Attempts per second of the data centre at an average server."""

    entries: tuple[HostEvidence, ...]
    trials: Mapping[ServerId, int] = Factory(dict)


@frozen
class BadPath(PeerMessage):
    """Tells the arbiters that one data centre alone reaches a server badly."""

    service: ServiceId
    server: ServerId
    data_centre: DataCentre


@frozen
class HostReport(PeerMessage):
    """The sender's clock, and its rates at an average server of each service."""

    sent_at: float
    rates: Mapping[ServiceId, float]
    data_centre: bool = False
    """Whether the rates are those of the sender's data centre."""


@frozen
class ReportAck(PeerMessage):
    """Shows a host that its assessor hears it, and echoes its clock."""

    sent_at: float


@frozen
class Verdict(PeerMessage):
    """Decision on one server; soft state that expires."""

    service: ServiceId
    server: ServerId
    phase: Phase
    valid_until: float
    """On the recipient's clock."""

    echo: float = 0.0
    """The `sent_at` of the recipient's report that its clock was read from."""

    slot: int = 0
    level: int = 0
    """Number of recent ejections of the server, this one included."""

    age: float = 0.0
    """Seconds since the phase began."""

    hold_left: float = 0.0
    """Seconds until the first trial request."""

    reason: str = ""
    hosts: tuple[HostId, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()


@frozen
class PermitRequest(PeerMessage):
    """Asks a voter to promise an ejection slot of a service to one server."""

    service: ServiceId
    server: ServerId
    slot: int
    sent_at: float


@frozen
class PermitReply(PeerMessage):
    """A voter's answer; a promise lasts `PERMIT_SECONDS` from `sent_at`."""

    service: ServiceId
    server: ServerId
    slot: int
    sent_at: float
    granted: bool


@frozen
class PermitRelease(PeerMessage):
    """Gives a promised slot back that no verdict was based on."""

    service: ServiceId
    server: ServerId
    slot: int
    sent_at: float


@frozen
class DrainNotice(PeerMessage):
    """Tells peers that a server sent a drain signal."""

    service: ServiceId
    server: ServerId
    forward: bool = False
    """Whether the recipient passes the notice on to the hosts of its data centre."""


MESSAGES: tuple[type[PeerMessage], ...] = (
    HealthDigest,
    PooledEvidence,
    BadPath,
    HostReport,
    ReportAck,
    Verdict,
    PermitRequest,
    PermitReply,
    PermitRelease,
    DrainNotice,
)


@frozen
class ServerEjected(Event):
    """A server was ejected, with the evidence for it."""

    service: ServiceId
    server: ServerId
    reason: str
    hosts: tuple[HostId, ...]
    data_centres: tuple[DataCentre, ...]
    hold: float


@frozen
class ServerReturned(Event):
    """A server is back in service."""

    service: ServiceId
    server: ServerId


@frozen
class EjectionHeld(Event):
    """An unhealthy server stays in service, since the floor allows no ejection."""

    service: ServiceId
    server: ServerId
    reason: str


@frozen
class PathAvoided(Event):
    """This host avoids a server that others reach."""

    service: ServiceId
    server: ServerId
    reason: str


@frozen
class ServerDraining(Event):
    """A server sent a drain signal."""

    service: ServiceId
    server: ServerId


@frozen
class ServerReport:
    """State of one server as far as the reporting host knows it."""

    server: ServerId
    state: ServerState
    since: float | None
    """Monotonic seconds of the reporting host."""

    reason: str = ""
    evidence: Mapping[Signal, float] = Factory(dict)
    """Counts of the last ten seconds."""

    hosts: tuple[HostId, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    hold_until: float | None = None
    share: float = 1.0


@frozen
class ServiceReport:
    """Health of a service as far as the reporting host knows it."""

    service: ServiceId
    servers: tuple[ServerReport, ...]
    published: int
    """Published servers that are not leaving."""

    floor: int
    """Servers that ejections must leave in service."""

    unavailable: int
    """Ejected, returning, cold, draining and avoided servers."""

    assessor: HostId | None
    assessor_heard: float | None
    """When the assessor last answered this host; None if it never did."""

    as_of: float = 0.0

    @property
    def distance_to_floor(self) -> int:
        """Return how many more servers may become unavailable above the floor."""
        return self.published - self.unavailable - self.floor
