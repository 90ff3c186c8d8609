"""Whether a service is up, degraded or down, and why."""

from attrs import frozen

from catkinspan.coordination.health.models import (
    ServerReport,
    ServerStatus,
    ServiceReport,
)
from catkinspan.coordination.metrics.const import LEAST_REQUESTS
from catkinspan.coordination.metrics.models import ResultCounts
from catkinspan.coordination.reports.const import (
    FAILED_SHARE_DEGRADED,
    FAILED_SHARE_DOWN,
    MAX_SERVERS_NAMED,
)
from catkinspan.coordination.reports.models import HealthState

IN_USE = frozenset({ServerStatus.HEALTHY, ServerStatus.COLD})
"""Standings of servers that get requests and of which nothing worse is known."""

BAD = (ServerStatus.AVOIDED, ServerStatus.MISDIRECTED)
"""Standings that make a service degraded. Draining, leaving and cold servers do not,
since these are planned."""

_WORDS = {
    ServerStatus.AVOIDED: "avoided",
    ServerStatus.MISDIRECTED: "whose address is another's",
}


@frozen
class Assessment:
    """State of a service with the reasons for it."""

    state: HealthState
    reasons: tuple[str, ...] = ()


def assess(health: ServiceReport, recent: ResultCounts) -> Assessment:
    """Judge a service by its servers and by the recent requests of this host.

    It is down without a server that is in use and not known to be bad, or if half of
    the recent requests failed. It is degraded if a server is avoided, or if a share of
    the requests failed or found no capacity.
    """
    down = _down_reasons(health, recent)
    degraded = _degraded_reasons(health, recent)
    if down:
        return Assessment(HealthState.DOWN, (*down, *degraded))
    if degraded:
        return Assessment(HealthState.DEGRADED, degraded)
    return Assessment(HealthState.UP)


def _down_reasons(health: ServiceReport, recent: ResultCounts) -> tuple[str, ...]:
    reasons = []
    if not health.servers:
        reasons.append("no server is published")
    elif not any(server.status in IN_USE for server in health.servers):
        reasons.append("no server in use that is not known to be bad")
    if _share(recent.failed, recent) >= FAILED_SHARE_DOWN:
        reasons.append(_failures(recent))
    return tuple(reasons)


def _degraded_reasons(health: ServiceReport, recent: ResultCounts) -> tuple[str, ...]:
    reasons = [
        _named(standing, servers)
        for standing in BAD
        if (servers := [s for s in health.servers if s.status is standing])
    ]
    failed = _share(recent.failed, recent)
    if FAILED_SHARE_DEGRADED <= failed < FAILED_SHARE_DOWN:
        reasons.append(_failures(recent))
    if _share(recent.refused_within_rate, recent) >= FAILED_SHARE_DEGRADED:
        count = recent.refused_within_rate
        reasons.append(f"{count} of {_asked(recent)} found no capacity")
    return tuple(reasons)


def _share(count: int, recent: ResultCounts) -> float:
    if recent.eligible < LEAST_REQUESTS:
        return 0.0
    return count / recent.eligible


def _failures(recent: ResultCounts) -> str:
    return f"{recent.failed} of {_asked(recent)} failed"


def _asked(recent: ResultCounts) -> str:
    return f"{recent.eligible} requests of the last {recent.seconds} s"


def _named(standing: ServerStatus, servers: list[ServerReport]) -> str:
    shown = ", ".join(server.server for server in servers[:MAX_SERVERS_NAMED])
    more = len(servers) - MAX_SERVERS_NAMED
    rest = f" and {more} more" if more > 0 else ""
    return f"{len(servers)} {_WORDS[standing]}: {shown}{rest}"
