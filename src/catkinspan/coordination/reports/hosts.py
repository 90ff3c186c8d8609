"""The report on the hosts of the fleet."""

from catkinspan.coordination.reports.gather import HostFacts
from catkinspan.coordination.reports.heads import report_head
from catkinspan.coordination.reports.instants import Instants
from catkinspan.coordination.reports.models import HostLine, HostsReport
from catkinspan.coordination.reports.unknown import unknown_to_host
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import NO_REVISION


def hosts_report(facts: HostFacts, instants: Instants) -> HostsReport:
    """Return the hosts with the revision of each, as known from probes."""
    membership = facts.membership
    view = membership.view
    lines = [
        _host_line(record, facts, instants)
        for record in sorted(view.hosts.values(), key=lambda record: record.id)
    ]
    return HostsReport(
        report_head(facts, instants),
        round(membership.connectivity, 3),
        facts.isolated,
        membership.superseded,
        len(view.usable),
        view.max_hosts,
        tuple(lines),
        unknown_to_host(facts),
    )


def _host_line(record: HostRecord, facts: HostFacts, instants: Instants) -> HostLine:
    view = facts.membership.view
    sighting = facts.membership.sightings.get(record.id)
    revision = sighting.revision if sighting else NO_REVISION
    since = sighting.revision_at if sighting else None
    if record.id == view.self_id:
        revision = facts.configuration.revision
        recent = facts.configuration.recent
        since = recent[-1].at if recent else None
    return HostLine(
        record.id,
        record.data_centre,
        record.status,
        record.id in view.usable,
        record.listed,
        record.incarnation,
        instants.age(sighting.heard_at) if sighting else None,
        revision,
        instants.instant(since),
        any(path.target == record.id for path in facts.membership.one_way_paths),
    )
