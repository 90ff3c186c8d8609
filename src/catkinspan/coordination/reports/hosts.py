"""Report on the hosts of the fleet."""

from catkinspan.coordination.reports.clock_reading import ClockReading
from catkinspan.coordination.reports.gather import HostFacts
from catkinspan.coordination.reports.heads import report_header
from catkinspan.coordination.reports.models import HostLine, HostsReport
from catkinspan.coordination.reports.unknown import unknown_to_host
from catkinspan.state.hosts import HostRecord, HostStatus


def hosts_report(facts: HostFacts, clock_reading: ClockReading) -> HostsReport:
    """Return the hosts known to the answering host.

    A hub knows its followers and the hubs of other data centres, another host only some
    hub candidates. The counts are those of the fleet.
    """
    view = facts.membership.view
    lines = [
        _host_line(record, facts, clock_reading)
        for record in sorted(view.hosts.values(), key=lambda record: record.id)
    ]
    return HostsReport(
        report_header(facts, clock_reading),
        round(view.alive_share, 3),
        facts.isolated,
        view.alive_count,
        view.rank,
        len(view.followers),
        tuple(lines),
        unknown_to_host(facts),
    )


def _host_line(
    record: HostRecord, facts: HostFacts, clock_reading: ClockReading
) -> HostLine:
    view = facts.membership.view
    status = HostStatus.ALIVE if record.id in view.usable else HostStatus.SILENT
    if record.leaving:
        status = HostStatus.LEAVING
    last_seen_at = facts.membership.last_seen_at.get(record.id)
    return HostLine(
        record.id,
        record.data_centre,
        status,
        record.id in view.usable,
        record.id in view.hubs,
        record.incarnation,
        clock_reading.age(last_seen_at),
    )
