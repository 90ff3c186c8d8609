"""Formats the reports on hosts, workspaces, configuration and audit."""

from catkinspan.coordination.reports.models import (
    AuditReport,
    ConfigReport,
    HostLine,
    HostsReport,
    WorkspaceLine,
    WorkspacesReport,
)
from catkinspan.coordination.reports.unknown import format_duration
from catkinspan.daemon.cli.text.common import (
    format_since,
    format_table,
    format_time,
    header_line,
    settings_fault_lines,
    unknown_lines,
)

_HOST_HEADER = ("host", "data centre", "status", "heard")
_WORKSPACE_HEADER = (
    "workspace",
    "rate",
    "burst",
    "tokens left",
    "served",
    "over rate",
    "no capacity",
    "in flight",
    "held back by",
)


def hosts_text(report: HostsReport) -> str:
    """Return the hosts of the fleet with their statuses."""
    lines = [
        header_line(report.head),
        f"{report.usable} usable; {report.heard_share:.0%} of the known hosts are "
        "heard of" + (", this host is ISOLATED" if report.isolated else ""),
        f"this host is hub candidate {report.rank} of its data centre and a hub for "
        f"{report.followers} hosts",
        *format_table(_HOST_HEADER, [_host_row(h, report) for h in report.hosts]),
    ]
    return "\n".join([*lines, *unknown_lines(report.unknown)])


def _host_row(host: HostLine, report: HostsReport) -> tuple[object, ...]:
    status = f"{host.status}, hub of this host" if host.hub else host.status
    heard = (
        "-"
        if host.heard_seconds is None
        else f"{format_duration(host.heard_seconds)} ago"
    )
    if host.host == report.head.host:
        heard = "this host"
    return host.host, host.data_centre, status, heard


def workspaces_text(report: WorkspacesReport) -> str:
    """Return the workspaces, with those that are held back first."""
    lines = [header_line(report.head)]
    if report.hub is None:
        lines.append("without a hub, this host admits only its own share of each rate")
    lines += format_table(
        _WORKSPACE_HEADER, [_workspace_row(w) for w in report.workspaces]
    )
    if report.left_out:
        lines.append(f"  and {report.left_out} more workspaces that are not held back")
    lines.append("request counts cover the last seconds on this host")
    return "\n".join([*lines, *unknown_lines(report.unknown)])


def _workspace_row(line: WorkspaceLine) -> tuple[object, ...]:
    causes = "; ".join(f"{hold.by}: {hold.detail}" for hold in line.held_by)
    requests = line.requests
    return (
        line.workspace,
        f"{line.rate:g}/s" if line.is_limited else "no limit",
        f"{line.burst:g}",
        "-" if line.level is None else f"{line.level:.0f}",
        f"{requests.served}/{requests.asked}",
        requests.over_rate,
        requests.no_capacity,
        f"{line.in_flight}/{line.max_in_flight}",
        causes or "-",
    )


def config_text(report: ConfigReport) -> str:
    """Return the revision in force and how outdated it may be."""
    head = report.head
    isolation = report.isolation_seconds
    lines = [
        header_line(head),
        f"in force {format_since(report.since, head.at)}"
        + ("" if report.ready else "; the host is NOT READY"),
        _store_line(report),
        f"{report.services} services, {report.servers} servers, {report.routes} "
        f"routes, {report.workspaces} workspaces; store revision "
        f"{report.store_revision}",
        "keyed requests are refused after "
        + ("never" if isolation is None else f"{isolation:g} s")
        + " of isolation",
    ]
    if report.rejected is not None:
        lines.append(f"REJECTED revision {report.rejected.revision}:")
        lines += [f"  {fault}" for fault in report.rejected.faults]
    lines += settings_fault_lines(report.settings_faults)
    lines.append("latest revisions in force at this host:")
    rows = [(r.revision, format_time(r.at), r.source) for r in report.recent]
    lines += format_table(("revision", "since", "from"), rows)
    return "\n".join([*lines, *unknown_lines(report.unknown)])


def _store_line(report: ConfigReport) -> str:
    role = "reads" if report.is_reader else "does not read"
    seconds = report.platform_seconds
    contact = "never" if seconds is None else f"{format_duration(seconds)} ago"
    return f"this host {role} the store; last reached by any host: {contact}"


def audit_text(report: AuditReport) -> str:
    """Return the latest events, newest first."""
    lines = [
        f"{header_line(report.head)}; {report.recorded} events since the start, "
        "newest first"
    ]
    for entry in report.entries:
        lines.append(f"{format_time(entry.at)} {entry.host} {entry.kind}: {entry.text}")
        lines += [f"    {detail}" for detail in entry.details]
    return "\n".join(lines)
