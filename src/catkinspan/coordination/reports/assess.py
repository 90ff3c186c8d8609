"""Assessment of a service as up, degraded or down, with the reasons."""

from attrs import frozen

from catkinspan.coordination.health.models import (
    ServerCondition,
    ServerReport,
    ServerStatus,
    ServiceConditions,
    ServiceReport,
)
from catkinspan.coordination.metrics.const import MIN_ASSESSED_REQUESTS
from catkinspan.coordination.metrics.models import ResultCounts
from catkinspan.coordination.reports.const import (
    FAILED_SHARE_DEGRADED,
    FAILED_SHARE_DOWN,
    MAX_SERVERS_NAMED,
)
from catkinspan.coordination.reports.health_state import HealthState

IN_USE = frozenset({ServerStatus.HEALTHY, ServerStatus.COLD})
"""Statuses of servers that get requests and show no fault."""

BAD_STATUSES = (ServerStatus.AVOIDED, ServerStatus.MISDIRECTED)
"""Statuses that make a service degraded. Draining, leaving and cold servers do not,
since these states are planned."""

_STATUS_TEXTS = {
    ServerStatus.AVOIDED: "avoided",
    ServerStatus.MISDIRECTED: "misdirected (address answers for another server)",
}


ServiceHealth = ServiceConditions | ServiceReport
"""What an assessment needs; the first one takes less processor time."""


@frozen
class Assessment:
    """State of a service with the reasons for it."""

    state: HealthState
    reasons: tuple[str, ...] = ()


def assess(health: ServiceHealth, recent: ResultCounts) -> Assessment:
    """Assess a service by its servers and by the recent requests of this host.

    It is down without a server in use, or if `FAILED_SHARE_DOWN` of the recent requests
    failed. It is degraded if a server is avoided or misdirected, or if
    `FAILED_SHARE_DEGRADED` of the requests failed or found no capacity.
    """
    down = _down_reasons(health, recent)
    degraded = _degraded_reasons(health, recent)
    if down:
        return Assessment(HealthState.DOWN, (*down, *degraded))
    if degraded:
        return Assessment(HealthState.DEGRADED, degraded)
    return Assessment(HealthState.UP)


def _down_reasons(health: ServiceHealth, recent: ResultCounts) -> tuple[str, ...]:
    reasons = []
    if not health.servers:
        reasons.append("no server is published")
    elif not any(server.status in IN_USE for server in health.servers):
        reasons.append("all servers are avoided, misdirected, draining or leaving")
    if _share(recent.failed, recent) >= FAILED_SHARE_DOWN:
        reasons.append(_failed_text(recent))
    return tuple(reasons)


def _degraded_reasons(health: ServiceHealth, recent: ResultCounts) -> tuple[str, ...]:
    reasons = [
        _servers_text(status, servers)
        for status in BAD_STATUSES
        if (servers := [s for s in health.servers if s.status is status])
    ]
    failed = _share(recent.failed, recent)
    if FAILED_SHARE_DEGRADED <= failed < FAILED_SHARE_DOWN:
        reasons.append(_failed_text(recent))
    if _share(recent.refused_within_rate, recent) >= FAILED_SHARE_DEGRADED:
        count = recent.refused_within_rate
        reasons.append(f"{count} of {_requests_text(recent)} found no capacity")
    return tuple(reasons)


def _share(count: int, recent: ResultCounts) -> float:
    if recent.eligible < MIN_ASSESSED_REQUESTS:
        return 0.0
    return count / recent.eligible


def _failed_text(recent: ResultCounts) -> str:
    return f"{recent.failed} of {_requests_text(recent)} failed"


def _requests_text(recent: ResultCounts) -> str:
    return f"{recent.eligible} requests of the last {recent.seconds} s"


def _servers_text(
    status: ServerStatus, servers: list[ServerCondition | ServerReport]
) -> str:
    shown = ", ".join(server.server for server in servers[:MAX_SERVERS_NAMED])
    more = len(servers) - MAX_SERVERS_NAMED
    rest = f" and {more} more" if more > 0 else ""
    return f"{len(servers)} {_STATUS_TEXTS[status]}: {shown}{rest}"
