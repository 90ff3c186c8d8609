"""Reports that operators read; all are frozen and hold no secret.

Instants are datetimes, durations are seconds. What a host does not know is None.
"""

from collections.abc import Mapping
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


class State(StrEnum):
    """Answer to the question whether something is down."""

    UP = "up"
    DEGRADED = "degraded"
    DOWN = "down"


class HeldBy(StrEnum):
    """What holds a workspace back."""

    RATE = "rate"
    CAPACITY = "capacity"
    KEY = "key"


@frozen
class ReportHead:
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
    reason: str
    evidence: Mapping[str, float]
    """Counts of the last ten seconds by signal, where this host pools them."""

    hosts: tuple[HostId, ...]
    """Hosts whose evidence the verdict rests on."""

    data_centres: tuple[DataCentre, ...]
    hold_until: datetime | None
    share: float
    """Share of its slots in use."""


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
    state: State
    since: datetime | None
    """When the answering host saw the state begin; None if it began before it could
    tell."""

    reasons: tuple[str, ...]
    evidence: tuple[str, ...]
    """On whose evidence the state rests."""

    published: int
    in_use: int
    unavailable: int
    floor: int
    above_floor: int
    """Servers that may still become unavailable above the floor."""

    servers: tuple[ServerLine, ...]
    """Servers that are not simply in use; all of them in the report of one service."""

    requests: RequestLine
    waiting: int
    """Requests that wait for a slot on the answering host."""

    retries: int
    """Retries and hedges of the answering host since its start."""

    retries_refused: int
    """Retries and hedges that the budget did not allow."""

    dispatcher: HostId | None
    fallback: bool
    """Whether the answering host works without the dispatcher."""

    assessor: HostId | None
    assessor_heard_seconds: float | None
    """Age of the assessor's last answer; None if it never answered."""


@frozen
class Hold:
    """One cause that holds a workspace back."""

    by: HeldBy
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
    held_by: tuple[Hold, ...]
    rate: float
    burst: float
    weight: float
    max_in_flight: int
    in_flight: int
    """Requests running or queued on the answering host."""

    waiting: int
    """Requests that wait for a slot on the answering host or at its dispatchers."""

    requests: RequestLine
    served_share: float | None
    grantor: HostId | None
    tokens_held: int
    """Granted tokens that the answering host may spend."""

    tokens_waiting: int
    """Requests that wait for a token on the answering host."""

    stock: float | None
    """Tokens in the bucket of the answering host; None if it grants none."""

    keys: tuple[KeyLine, ...]


@frozen
class StatusReport:
    """Answer of ``status``."""

    head: ReportHead
    state: State
    """The worst of the host's own state and of its services."""

    host_state: State
    host_reasons: tuple[str, ...]
    hosts_usable: int
    hosts_known: int
    max_hosts: int
    services: tuple[ServiceLine, ...]
    held_back: tuple[WorkspaceLine, ...]
    held_back_more: int
    """Held workspaces left out."""

    unknown: tuple[str, ...]
    """What the answering host cannot know now."""


@frozen
class ServiceReportLine:
    """Answer of ``status SERVICE``."""

    head: ReportHead
    host_state: State
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
    """Whether it may hold roles: listed, not leaving, not dead."""

    listed: bool
    incarnation: int
    heard_seconds: float | None
    """Age of its last direct message; None for the answering host or without one."""

    revision: Revision
    """Revision in force there, 0 if unknown."""

    revision_since: datetime | None
    """For the answering host when it came into force, else when it was first seen."""

    one_way: bool
    """Whether it hears the answering host not, though it is heard."""


@frozen
class HostsReport:
    """Answer of ``hosts``."""

    head: ReportHead
    connectivity: float
    isolated: bool
    superseded: bool
    usable: int
    max_hosts: int
    hosts: tuple[HostLine, ...]
    unknown: tuple[str, ...]


@frozen
class WorkspacesReport:
    """Answer of ``workspaces``."""

    head: ReportHead
    minting: bool
    """Whether the answering host adds its share to the fleet's tokens."""

    not_minting_because: str | None
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

    head: ReportHead
    ready: bool
    since: datetime | None
    """When the revision in force came into force here."""

    recent: tuple[RevisionLine, ...]
    """Latest revisions, newest first."""

    seen: Revision
    rejected: RejectedLine | None
    is_reader: bool
    platform_seconds: float | None
    """Time since the configuration service was last reached from here."""

    services: int
    routes: int
    workspaces: int
    servers: int
    listed_hosts: int
    max_hosts: int
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

    head: ReportHead
    recorded: int
    """Events since the start of the host, also those no longer kept."""

    entries: tuple[AuditLine, ...]
    """Newest first."""


@frozen
class HealthAnswer:
    """Answer of ``healthz``."""

    serving: bool
    reason: str
