"""Reports for operators; they are immutable and contain no secrets.

Times are datetimes and durations are seconds. Unknown values are None.
"""

from datetime import datetime
from enum import StrEnum

from attrs import frozen

from catkinspan.coordination.reports.health_state import HealthState
from catkinspan.state.ids import (
    DataCentre,
    HostId,
    KeyId,
    Revision,
    ServerId,
    ServiceId,
    WorkspaceId,
)


class LimitedBy(StrEnum):
    """What limits a workspace."""

    RATE = "rate"
    CAPACITY = "capacity"
    KEY = "key"


@frozen
class ReportHeader:
    """Answering host, time and settings revision of a report."""

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
    """When the answering host began to avoid the server."""

    risk: float
    """Probability that the next request fails, estimated by the fleet."""

    own_risk: float
    """The same, estimated from the requests of the answering host alone."""

    in_flight: int
    overdue: int
    """In-flight requests of the answering host that take longer than expected."""

    heard_seconds: float | None
    """Age of the hub's last report on the server; None without one."""


@frozen
class RequestLine:
    """Recent requests at the answering host."""

    seconds: int
    """Length of the counted interval, in seconds."""

    asked: int
    """Requests not refused for the rate, the key or the request itself."""

    served: int
    failed: int
    no_capacity: int
    over_rate: int


@frozen
class ServiceLine:
    """Health of a service, with the evidence for it."""

    service: ServiceId
    state: HealthState
    since: datetime | None
    """When the answering host saw the state begin; None if it began earlier than the
    host could observe."""

    reasons: tuple[str, ...]
    evidence: tuple[str, ...]
    """Sources of the evidence for the state."""

    published: int
    in_use: int
    servers: tuple[ServerLine, ...]
    """Servers not in normal use; all servers in the report of a single service."""

    requests: RequestLine
    retries: int
    """Retries and hedges of the answering host since its start."""

    retries_refused: int
    """Retries and hedges refused by the retry budget."""

    retries_left: float
    """Retries and hedges currently available in the retry budget."""


@frozen
class Limitation:
    """A cause that limits a workspace."""

    by: LimitedBy
    detail: str


@frozen
class KeyLine:
    """A published key, with its id and the leading digits of its digest."""

    id: KeyId
    digest: str


@frozen
class WorkspaceLine:
    """Limits of a workspace and what limits it at the answering host."""

    workspace: WorkspaceId
    held_by: tuple[Limitation, ...]
    rate: float
    burst: float
    is_limited: bool
    max_in_flight: int
    in_flight: int
    """Requests in flight on the answering host."""

    requests: RequestLine
    served_share: float | None
    admitted: int
    """Requests admitted by the answering host since its start."""

    level: float | None
    """Tokens left in the fleet-wide bucket; None without a recent report of the hub."""

    level_age_seconds: float | None
    keys: tuple[KeyLine, ...]


@frozen
class FaultLines:
    """Values and entries of the store that are unusable, while the rest is in force."""

    shown: tuple[str, ...] = ()
    left_out: int = 0
    """Number of faults that are not listed."""

    @property
    def count(self) -> int:
        """Return the number of all faults."""
        return len(self.shown) + self.left_out


@frozen
class StatusReport:
    """Response of the ``status`` command."""

    head: ReportHeader
    state: HealthState
    """The worst state among the host and its services."""

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
    """Number of held back workspaces that are not listed."""

    unknown: tuple[str, ...]
    """What the answering host cannot determine at the moment."""

    settings_faults: FaultLines = FaultLines()


@frozen
class ServiceStatusReport:
    """Response of the ``status SERVICE`` command."""

    head: ReportHeader
    host_state: HealthState
    host_reasons: tuple[str, ...]
    service: ServiceLine
    unknown: tuple[str, ...]


@frozen
class HostLine:
    """A host of the fleet as seen by the answering host."""

    host: HostId
    data_centre: DataCentre
    status: str
    usable: bool
    """Whether the host is alive and not leaving."""

    hub: bool
    """Whether the answering host uses it as a hub."""

    incarnation: int
    heard_seconds: float | None
    """Time since it was last heard from; None for the answering host."""


@frozen
class HostsReport:
    """Response of the ``hosts`` command."""

    head: ReportHeader
    heard_share: float
    isolated: bool
    usable: int
    rank: int
    """Rank of the answering host among the hub candidates of its data centre."""

    followers: int
    """Number of hosts that use the answering host as a hub."""

    hosts: tuple[HostLine, ...]
    unknown: tuple[str, ...]


@frozen
class WorkspacesReport:
    """Response of the ``workspaces`` command."""

    head: ReportHeader
    hub: HostId | None
    """Hub whose levels are in use; None while the host admits only its share."""

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
    """A rejected published revision with all its faults."""

    revision: Revision
    faults: tuple[str, ...]


@frozen
class ConfigReport:
    """Response of the ``config`` command."""

    head: ReportHeader
    ready: bool
    since: datetime | None
    """When the current revision came into force on the answering host."""

    recent: tuple[RevisionLine, ...]
    """Most recent revisions, newest first."""

    store_revision: Revision
    """Store revision up to which the answering host knows all changes."""

    rejected: RejectedLine | None
    is_reader: bool
    platform_seconds: float | None
    """Time since any known host reached the store."""

    services: int
    routes: int
    workspaces: int
    servers: int
    isolation_seconds: float | None
    unknown: tuple[str, ...]
    settings_faults: FaultLines = FaultLines()


@frozen
class AuditLine:
    """An entry of the audit trail."""

    at: datetime
    host: HostId
    kind: str
    text: str
    details: tuple[str, ...] = ()
    """Additional lines, such as the differences between configurations."""


@frozen
class AuditReport:
    """Response of the ``audit`` command."""

    head: ReportHeader
    recorded: int
    """Events since the host started, including those no longer kept."""

    entries: tuple[AuditLine, ...]
    """Newest first."""


@frozen
class HealthReport:
    """Response of the ``healthz`` check."""

    serving: bool
    reason: str
