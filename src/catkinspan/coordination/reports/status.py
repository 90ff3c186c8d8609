"""Report on the state of the host and of its services."""

from collections.abc import Sequence

from catkinspan.coordination.health.models import ServerReport, ServerStatus
from catkinspan.coordination.reports.assess import IN_USE, assess
from catkinspan.coordination.reports.clock_reading import ClockReading
from catkinspan.coordination.reports.const import MAX_WORKSPACES_SHOWN
from catkinspan.coordination.reports.gather import (
    HostFacts,
    ServiceFacts,
    WorkspaceFacts,
)
from catkinspan.coordination.reports.heads import (
    fault_lines,
    report_header,
    request_line,
)
from catkinspan.coordination.reports.health_state import HealthState
from catkinspan.coordination.reports.models import (
    ServerLine,
    ServiceLine,
    ServiceStatusReport,
    StatusReport,
)
from catkinspan.coordination.reports.unknown import unknown_to_host
from catkinspan.coordination.reports.workspaces import held_back_lines

_SEVERITY = (HealthState.UP, HealthState.DEGRADED, HealthState.DOWN)


def status_report(
    facts: HostFacts,
    services: Sequence[ServiceFacts],
    workspaces: WorkspaceFacts,
    draining: bool,
    clock_reading: ClockReading,
) -> StatusReport:
    """Return the state of the host and of all services."""
    host_state, reasons = host_condition(facts, draining)
    lines = tuple(
        _service_line(service, clock_reading, show_all=False) for service in services
    )
    held_back = held_back_lines(facts, workspaces)
    view = facts.membership.view
    return StatusReport(
        report_header(facts, clock_reading),
        worst_state([host_state, *(line.state for line in lines)]),
        host_state,
        reasons,
        view.alive_count,
        view.known_count,
        view.hubs,
        clock_reading.age(facts.membership.last_hub_message_at),
        tuple(sorted(lines, key=_severity_order)),
        held_back[:MAX_WORKSPACES_SHOWN],
        max(0, len(held_back) - MAX_WORKSPACES_SHOWN),
        unknown_to_host(facts),
        fault_lines(facts),
    )


def service_report(
    facts: HostFacts, service: ServiceFacts, draining: bool, clock_reading: ClockReading
) -> ServiceStatusReport:
    """Return the state of one service with all its servers."""
    host_state, reasons = host_condition(facts, draining)
    return ServiceStatusReport(
        report_header(facts, clock_reading),
        host_state,
        reasons,
        _service_line(service, clock_reading, show_all=True),
        unknown_to_host(facts),
    )


def host_condition(
    facts: HostFacts, draining: bool
) -> tuple[HealthState, tuple[str, ...]]:
    """Return the state of the answering host, with the reasons if it is not up."""
    if not facts.ready:
        return HealthState.DOWN, ("not ready: no settings in force yet",)
    if facts.isolated:
        return HealthState.DOWN, ("isolated: refuses requests with a key",)
    if draining:
        return HealthState.DEGRADED, ("draining: takes no new connections",)
    return HealthState.UP, ()


def worst_state(states: Sequence[HealthState]) -> HealthState:
    """Return the worst of several states."""
    return max(states, key=_SEVERITY.index)


def _severity_order(line: ServiceLine) -> tuple[int, str]:
    return -_SEVERITY.index(line.state), line.service


def _service_line(
    facts: ServiceFacts, clock_reading: ClockReading, show_all: bool
) -> ServiceLine:
    health, retries = facts.health, facts.retries
    assessment = assess(health, facts.assessed)
    shown = [
        _server_line(server, clock_reading)
        for server in health.servers
        if show_all or server.status is not ServerStatus.HEALTHY
    ]
    return ServiceLine(
        service=health.service,
        state=assessment.state,
        since=clock_reading.to_datetime(_since(facts, assessment.state)),
        reasons=assessment.reasons,
        evidence=_evidence(facts),
        published=health.published,
        in_use=sum(1 for server in health.servers if server.status in IN_USE),
        servers=tuple(shown),
        requests=request_line(facts.recent),
        retries=retries.spent if retries else 0,
        retries_refused=retries.refused if retries else 0,
        retries_left=retries.available if retries else 0.0,
    )


def _since(facts: ServiceFacts, state: HealthState) -> float | None:
    """Return when the state began, None if this host does not know."""
    if facts.tracked.since is not None and facts.tracked.state is state:
        return facts.tracked.since
    if state is HealthState.UP:
        return None
    starts = [s.since for s in facts.health.servers if s.since is not None]
    return min(starts, default=None)


def _evidence(facts: ServiceFacts) -> tuple[str, ...]:
    lines = []
    ages = [
        s.hub_report_age for s in facts.health.servers if s.hub_report_age is not None
    ]
    if ages:
        lines.append(f"the fleet's requests, news {min(ages):.1f} s old")
    if facts.recent.eligible:
        lines.append(f"{facts.recent.eligible} recent requests of this host")
    return tuple(lines) or ("no recent requests of this host, no reports of others",)


def _server_line(server: ServerReport, clock_reading: ClockReading) -> ServerLine:
    return ServerLine(
        server.server,
        server.status,
        clock_reading.to_datetime(server.since),
        server.risk,
        server.own_risk,
        server.in_flight,
        server.overdue,
        None if server.hub_report_age is None else round(server.hub_report_age, 3),
    )
