"""Report on the audit trail."""

from collections.abc import Iterable

from catkinspan.coordination.audit.texts import describe
from catkinspan.coordination.models import AuditEntry
from catkinspan.coordination.naming import event_kind
from catkinspan.coordination.reports.clock_reading import ClockReading
from catkinspan.coordination.reports.gather import HostFacts
from catkinspan.coordination.reports.heads import report_header
from catkinspan.coordination.reports.models import AuditLine, AuditReport


def audit_report(
    facts: HostFacts,
    entries: Iterable[AuditEntry],
    recorded: int,
    clock_reading: ClockReading,
) -> AuditReport:
    """Return the report on the given entries."""
    lines = tuple(audit_line(entry) for entry in entries)
    return AuditReport(report_header(facts, clock_reading), recorded, lines)


def audit_line(entry: AuditEntry) -> AuditLine:
    """Return one entry with the description of its event."""
    description = describe(entry.event)
    kind = event_kind(entry.event)
    return AuditLine(entry.at, entry.host, kind, description.text, description.details)
