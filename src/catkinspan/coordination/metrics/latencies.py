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
    OTHER_LABEL,
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


LatencySeriesPage = tuple[LatencySeries, ...]


class LatencyHistograms:
    """Holds one histogram for each pair of service and workspace, up to a limit."""

    def __init__(self) -> None:
        self._series: dict[SeriesKey, _Series] = {}

    def record(self, service: str, workspace: str, seconds: float) -> None:
        """Record the latency of one served request."""
        self._series_for(SeriesKey(service, workspace)).record(seconds)

    def snapshot(self, start: int = 0, count: int | None = None) -> LatencySeriesPage:
        """Return a page of immutable series, in the order of their first request.

        Series are never removed, so consecutive pages miss none.
        """
        end = None if count is None else start + count
        return tuple(
            LatencySeries(key, s.count, s.seconds_sum, bytes(s.histogram.encode()))
            for key, s in islice(self._series.items(), start, end)
        )

    def _series_for(self, key: SeriesKey) -> _Series:
        series = self._series.get(key)
        if series is not None:
            return series
        if len(self._series) >= MAX_SERIES:
            key = SeriesKey(key.service, OTHER_LABEL)
            is_full = len(self._series) >= MAX_SERIES + MAX_OVERFLOW_SERIES
            if is_full and key not in self._series:
                key = SeriesKey(OTHER_LABEL, OTHER_LABEL)
            series = self._series.get(key)
        if series is None:
            # `setdefault` would build a histogram on each call.
            series = self._series[key] = _Series()
        return series
