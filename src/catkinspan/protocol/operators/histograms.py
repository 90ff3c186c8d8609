"""Latency histograms that can be merged across hosts."""

from collections.abc import Iterable, Iterator
from typing import Any

from attrs import frozen
from hdrh.histogram import HdrHistogram
from result import Err, Ok, Result

from catkinspan.coordination.metrics.latencies import new_histogram
from catkinspan.coordination.metrics.models import LatencySeries
from catkinspan.protocol.operators.codec import MalformedReport
from catkinspan.state.ids import HostId

PERCENTILES = (50.0, 90.0, 99.0)


@frozen
class HistogramLine:
    """One encoded histogram of microseconds, with its labels."""

    service: str
    workspace: str
    histogram: str
    """HdrHistogram's own encoding, compressed and base64-encoded."""


@frozen
class HistogramsReport:
    """Response to ``histograms``."""

    host: HostId
    series: tuple[HistogramLine, ...]


@frozen
class LatencySummary:
    """Percentiles of one histogram, in milliseconds."""

    name: str
    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


def histograms_report(
    host: HostId, latencies: Iterable[LatencySeries]
) -> HistogramsReport:
    """Return the report of a host's histograms."""
    lines = tuple(
        HistogramLine(s.key.service, s.key.workspace, s.histogram.decode("ascii"))
        for s in latencies
    )
    return HistogramsReport(host, lines)


def merge_by_service(
    reports: Iterable[HistogramsReport],
) -> Result[dict[str, Any], MalformedReport]:
    """Merge the histograms of several hosts into one per service."""
    merged: dict[str, Any] = {}
    for report in reports:
        for line in report.series:
            service_histogram = merged.setdefault(line.service, new_histogram())
            try:
                service_histogram.add(HdrHistogram.decode(line.histogram))
            except Exception as error:  # noqa: BLE001 - the decoder raises many types
                name = f"{report.host}: {line.service}/{line.workspace}"
                return Err(MalformedReport(f"histogram {name}: {error!r:.100}"))
    return Ok(merged)


def summarize_histograms(histograms: dict[str, Any]) -> Iterator[LatencySummary]:
    """Yield the percentiles of each histogram, sorted by name."""
    for name, histogram in sorted(histograms.items()):
        yield summarize_histogram(name, histogram)


def summarize_histogram(name: str, histogram: Any) -> LatencySummary:
    """Return the percentiles of a histogram."""
    values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
    p50, p90, p99 = (values[p] / 1000 for p in PERCENTILES)
    highest = histogram.get_max_value() / 1000
    return LatencySummary(name, histogram.get_total_count(), p50, p90, p99, highest)
