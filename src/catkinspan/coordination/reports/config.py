"""Report on the configuration of one host."""

from catkinspan.coordination.configuration.errors import RejectedConfiguration
from catkinspan.coordination.reports.clock_reading import ClockReading
from catkinspan.coordination.reports.gather import HostFacts
from catkinspan.coordination.reports.heads import fault_lines, report_header
from catkinspan.coordination.reports.models import (
    ConfigReport,
    RejectedLine,
    RevisionLine,
)
from catkinspan.coordination.reports.unknown import unknown_to_host


def config_report(facts: HostFacts, clock_reading: ClockReading) -> ConfigReport:
    """Return the revision in force, its start and the age of the last store contact."""
    configuration, tree = facts.configuration, facts.tree
    recent = tuple(
        RevisionLine(entry.revision, at, entry.source)
        for entry in reversed(configuration.recent)
        if (at := clock_reading.to_datetime(entry.at)) is not None
    )
    isolation = tree.fleet.isolation
    return ConfigReport(
        head=report_header(facts, clock_reading),
        ready=configuration.ready,
        since=recent[0].at if recent else None,
        recent=recent,
        store_revision=configuration.store_revision,
        rejected=_rejected(configuration.rejected),
        is_reader=configuration.is_reader,
        platform_seconds=configuration.store_contact_age,
        services=len(tree.services),
        routes=len(tree.routes),
        workspaces=len(tree.workspaces),
        servers=sum(len(s.upstreams) for s in tree.services.values()),
        isolation_seconds=None if isolation is None else isolation.total_seconds(),
        unknown=unknown_to_host(facts),
        settings_faults=fault_lines(facts),
    )


def _rejected(rejected: RejectedConfiguration | None) -> RejectedLine | None:
    if rejected is None:
        return None
    return RejectedLine(rejected.revision, tuple(map(str, rejected.faults)))
