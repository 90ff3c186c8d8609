"""Latency histograms with a bounded number of series."""

from itertools import islice
from typing import Any

from attrs import define, field
from hdrh.histogram import HdrHistogram

from catkinspan.coordination.metrics.const import (
    HIGHEST_MICROSECONDS,
    HISTOGRAM_WORD_BYTES,
    LOWEST_MICROSECONDS,
    MAX_OVERFLOW_SERIES,
    MAX_SERIES,
    OTHER,
    SIGNIFICANT_DIGITS,
)
from catkinspan.coordination.metrics.models import LatencySeries, SeriesKey


def new_histogram() -> Any:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(
        LOWEST_MICROSECONDS,
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_DIGITS,
        word_size=HISTOGRAM_WORD_BYTES,
    )


@define
class _Series:
    histogram: Any = field(factory=new_histogram)
    count: int = 0
    seconds_sum: float = 0.0

    def record(self, seconds: float) -> None:
        microseconds = int(seconds * 1e6)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self.histogram.record_value(bounded)
        self.count += 1
        self.seconds_sum += seconds


LatencySeriesPart = tuple[LatencySeries, ...]


class Latencies:
    """Holds one histogram for each pair of service and workspace, up to a bound."""

    def __init__(self) -> None:
        self._series: dict[SeriesKey, _Series] = {}

    def record(self, service: str, workspace: str, seconds: float) -> None:
        """Record the latency of one served request."""
        self._at(SeriesKey(service, workspace)).record(seconds)

    def snapshot(self, start: int = 0, count: int | None = None) -> LatencySeriesPart:
        """Return some series, immutable, in the order of their first request.

        Series are never removed, so parts that follow one another miss none.
        """
        end = None if count is None else start + count
        return tuple(
            LatencySeries(key, s.count, s.seconds_sum, bytes(s.histogram.encode()))
            for key, s in islice(self._series.items(), start, end)
        )

    def _at(self, key: SeriesKey) -> _Series:
        series = self._series.get(key)
        if series is not None:
            return series
        if len(self._series) >= MAX_SERIES:
            key = SeriesKey(key.service, OTHER)
            full = len(self._series) >= MAX_SERIES + MAX_OVERFLOW_SERIES
            if full and key not in self._series:
                key = SeriesKey(OTHER, OTHER)
            series = self._series.get(key)
        if series is None:
            # Not `setdefault`, which would build a histogram each time.
            series = self._series[key] = _Series()
        return series
