"""Reports that operators read; all are frozen and hold no secret.

Instants are datetimes, durations are seconds. What a host does not know is None.
"""

from datetime import datetime
from enum import StrEnum

from attrs import frozen

from catkinspan.state.ids import (
    DataCentre,
    HostId,
    KeyId,
    Revision,
    ServerId,
    ServiceId,
    WorkspaceId,
)


class HealthState(StrEnum):
    """Answer to the question whether something is down."""

    UP = "up"
    DEGRADED = "degraded"
    DOWN = "down"


class LimitedBy(StrEnum):
    """What holds a workspace back."""

    RATE = "rate"
    CAPACITY = "capacity"
    KEY = "key"


@frozen
class ReportHeader:
    """Who answers, and as of when."""

    host: HostId
    data_centre: DataCentre
    at: datetime
    revision: Revision


@frozen
class ServerLine:
    """State of one server."""

    server: ServerId
    state: str
    since: datetime | None
    """When this host began to avoid it."""

    risk: float
    """Probability that the next request fails, as the fleet judges."""

    own_risk: float
    """The same by the requests of the answering host alone."""

    in_flight: int
    overdue: int
    """Requests of the answering host there that take longer than usual."""

    heard_seconds: float | None
    """Age of the hub's last news of the server; None without."""


@frozen
class RequestLine:
    """Requests of the last seconds at the answering host."""

    seconds: int
    """Span of the counts."""

    asked: int
    """Requests that the rate, the key and the request itself did not rule out."""

    served: int
    failed: int
    no_capacity: int
    over_rate: int


@frozen
class ServiceLine:
    """Whether a service is up, and how the answering host knows."""

    service: ServiceId
    state: HealthState
    since: datetime | None
    """When the answering host saw the state begin; None if it began before it could
    tell."""

    reasons: tuple[str, ...]
    evidence: tuple[str, ...]
    """On whose evidence the state rests."""

    published: int
    in_use: int
    servers: tuple[ServerLine, ...]
    """Servers that are not simply in use; all of them in the report of one service."""

    requests: RequestLine
    retries: int
    """Retries and hedges of the answering host since its start."""

    retries_refused: int
    """Retries and hedges that the budget did not allow."""

    retries_left: float
    """Retries and hedges that the budget allows now."""


@frozen
class Limitation:
    """One cause that holds a workspace back."""

    by: LimitedBy
    detail: str


@frozen
class KeyLine:
    """A published key by its id and the first digits of its digest."""

    id: KeyId
    digest: str


@frozen
class WorkspaceLine:
    """Limits of a workspace and what holds it back at the answering host."""

    workspace: WorkspaceId
    held_by: tuple[Limitation, ...]
    rate: float
    burst: float
    is_limited: bool
    max_in_flight: int
    in_flight: int
    """Requests running on the answering host."""

    requests: RequestLine
    served_share: float | None
    admitted: int
    """Requests admitted by the answering host since its start."""

    level: float | None
    """Tokens left over the fleet, as the hub told; None without fresh news."""

    level_age_seconds: float | None
    keys: tuple[KeyLine, ...]


@frozen
class StatusReport:
    """Answer of ``status``."""

    head: ReportHeader
    state: HealthState
    """The worst of the host's own state and of its services."""

    host_state: HealthState
    host_reasons: tuple[str, ...]
    hosts_usable: int
    hosts_known: int
    hubs: tuple[HostId, ...]
    hub_heard_seconds: float | None
    """Age of the last message from a hub; None without one."""

    services: tuple[ServiceLine, ...]
    held_back: tuple[WorkspaceLine, ...]
    held_back_more: int
    """Held workspaces left out."""

    unknown: tuple[str, ...]
    """What the answering host cannot know now."""


@frozen
class ServiceStatusReport:
    """Answer of ``status SERVICE``."""

    head: ReportHeader
    host_state: HealthState
    host_reasons: tuple[str, ...]
    service: ServiceLine
    unknown: tuple[str, ...]


@frozen
class HostLine:
    """A host of the fleet as the answering host sees it."""

    host: HostId
    data_centre: DataCentre
    status: str
    usable: bool
    """Whether it is heard of and not leaving."""

    hub: bool
    """Whether the answering host uses it as a hub."""

    incarnation: int
    heard_seconds: float | None
    """Age of the last news of it; None for the answering host."""


@frozen
class HostsReport:
    """Answer of ``hosts``."""

    head: ReportHeader
    heard_share: float
    isolated: bool
    usable: int
    rank: int
    """Place of the answering host among the hub candidates of its data centre."""

    followers: int
    """Hosts that use the answering host as a hub."""

    hosts: tuple[HostLine, ...]
    unknown: tuple[str, ...]


@frozen
class WorkspacesReport:
    """Answer of ``workspaces``."""

    head: ReportHeader
    hub: HostId | None
    """Hub whose levels are in use; None while the host admits its own share."""

    workspaces: tuple[WorkspaceLine, ...]
    left_out: int
    unknown: tuple[str, ...]


@frozen
class RevisionLine:
    """When a revision came into force on the answering host."""

    revision: Revision
    at: datetime
    source: str


@frozen
class RejectedLine:
    """A published revision that was not accepted, with all its faults."""

    revision: Revision
    faults: tuple[str, ...]


@frozen
class ConfigReport:
    """Answer of ``config``."""

    head: ReportHeader
    ready: bool
    since: datetime | None
    """When the revision in force came into force here."""

    recent: tuple[RevisionLine, ...]
    """Latest revisions, newest first."""

    store_revision: Revision
    """Revision of the store up to which all changes are known here."""

    rejected: RejectedLine | None
    is_reader: bool
    platform_seconds: float | None
    """Time since anyone known reached the store."""

    services: int
    routes: int
    workspaces: int
    servers: int
    isolation_seconds: float | None
    unknown: tuple[str, ...]


@frozen
class AuditLine:
    """One entry of the audit trail."""

    at: datetime
    host: HostId
    kind: str
    text: str
    details: tuple[str, ...] = ()
    """Further lines, such as the differences of a configuration."""


@frozen
class AuditReport:
    """Answer of ``audit``."""

    head: ReportHeader
    recorded: int
    """Events since the start of the host, also those no longer kept."""

    entries: tuple[AuditLine, ...]
    """Newest first."""


@frozen
class HealthReport:
    """Answer of ``healthz``."""

    serving: bool
    reason: str
