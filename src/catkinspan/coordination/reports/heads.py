"""Parts that several reports share."""

from catkinspan.coordination.metrics.const import RECENT_SECONDS
from catkinspan.coordination.metrics.models import ResultCategory, ResultCounts
from catkinspan.coordination.reports.clock_reading import ClockReading
from catkinspan.coordination.reports.const import MAX_FAULTS_SHOWN
from catkinspan.coordination.reports.gather import HostFacts
from catkinspan.coordination.reports.models import (
    FaultLines,
    ReportHeader,
    RequestLine,
)


def report_header(facts: HostFacts, clock_reading: ClockReading) -> ReportHeader:
    """Return the answering host with the time and the revision of the report."""
    view = facts.membership.view
    at = clock_reading.to_datetime(clock_reading.now)
    assert at is not None
    revision = facts.configuration.revision
    return ReportHeader(view.self_id, view.self_data_centre, at, revision)


def fault_lines(facts: HostFacts) -> FaultLines:
    """Return the first faults of the settings and of single entries."""
    faults = facts.configuration.faults
    return FaultLines(
        tuple(map(str, faults[:MAX_FAULTS_SHOWN])),
        max(0, len(faults) - MAX_FAULTS_SHOWN),
    )


def request_line(recent: ResultCounts) -> RequestLine:
    """Return the recent requests of a service or workspace."""
    return RequestLine(
        RECENT_SECONDS,
        recent.eligible,
        recent.served,
        recent.failed,
        recent.refused_within_rate,
        recent.counts.get(ResultCategory.RATE, 0),
    )
