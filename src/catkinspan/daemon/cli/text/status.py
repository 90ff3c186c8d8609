"""Formats the status reports."""

from datetime import datetime

from catkinspan.coordination.reports.health_state import HealthState
from catkinspan.coordination.reports.models import (
    ServerLine,
    ServiceLine,
    ServiceStatusReport,
    StatusReport,
    WorkspaceLine,
)
from catkinspan.daemon.cli.text.common import (
    MAX_ROWS,
    format_since,
    header_line,
    settings_fault_lines,
    unknown_lines,
)


def status_text(report: StatusReport) -> str:
    """Return the state of all services on one screen."""
    head = report.head
    lines = [f"{report.state.upper()}, {header_line(head)}"]
    lines += _host_lines(report.host_state, report.host_reasons)
    lines.append(
        f"hosts: {report.hosts_usable} of {report.hosts_known} known are usable; "
        f"hubs: {', '.join(report.hubs)}"
    )
    for service in report.services[:MAX_ROWS]:
        lines += _service_lines(service, head.at, whole=False)
    if len(report.services) > MAX_ROWS:
        lines.append(f"and {len(report.services) - MAX_ROWS} more services; see --json")
    lines += _held_back_lines(report.held_back, report.held_back_more)
    lines += settings_fault_lines(report.settings_faults)
    return "\n".join([*lines, *unknown_lines(report.unknown)])


def service_text(report: ServiceStatusReport) -> str:
    """Return the state of one service with all its servers."""
    head, service = report.head, report.service
    lines = [f"{service.state.upper()}, {header_line(head)}"]
    lines += _host_lines(report.host_state, report.host_reasons)
    lines += _service_lines(service, head.at, whole=True)
    return "\n".join([*lines, *unknown_lines(report.unknown)])


def _host_lines(state: HealthState, reasons: tuple[str, ...]) -> list[str]:
    if state is HealthState.UP:
        return []
    return [f"this host: {state}: {'; '.join(reasons)}"]


def _service_lines(service: ServiceLine, now: datetime, whole: bool) -> list[str]:
    lines = [
        f"{service.service}: {service.state} {format_since(service.since, now)}; "
        f"{service.in_use} of {service.published} servers in use"
    ]
    if service.reasons:
        lines.append(f"  because: {'; '.join(service.reasons)}")
    if whole or service.state is not HealthState.UP:
        lines.append(f"  evidence: {'; '.join(service.evidence)}")
        lines.append(f"  {_requests_text(service)}")
    lines += [f"  {_server_text(server, now)}" for server in service.servers]
    return lines


def _requests_text(service: ServiceLine) -> str:
    counts = service.requests
    return (
        f"requests here in {counts.seconds} s: {counts.served} served, "
        f"{counts.failed} failed, {counts.no_capacity} without capacity, "
        f"{counts.over_rate} over the rate; retries since start: {service.retries}, "
        f"{service.retries_refused} refused, {service.retries_left:.1f} left now"
    )


def _server_text(server: ServerLine, now: datetime) -> str:
    text = f"{server.server}: {server.state}"
    if server.since is not None:
        text += f" {format_since(server.since, now)}"
    text += f": risk {server.risk:.2f} (own {server.own_risk:.2f})"
    text += f", {server.in_flight} in flight"
    if server.overdue:
        text += f", {server.overdue} of this host overdue"
    if server.heard_seconds is None:
        return f"{text}, no report from the fleet"
    return text


def _held_back_lines(held: tuple[WorkspaceLine, ...], more: int) -> list[str]:
    if not held:
        return ["workspaces held back at this host: none"]
    lines = ["workspaces held back at this host:"]
    for workspace in held[:MAX_ROWS]:
        causes = "; ".join(f"{hold.by}: {hold.detail}" for hold in workspace.held_by)
        lines.append(f"  {workspace.workspace}: {causes}")
    left = more + max(0, len(held) - MAX_ROWS)
    return (
        [*lines, f"  and {left} more; see `catkinspan workspaces`"] if left else lines
    )
