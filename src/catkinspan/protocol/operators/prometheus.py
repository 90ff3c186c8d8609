"""Metrics in the Prometheus text format.

For each response, the metric families are built from an immutable snapshot in a new
registry; the global registry of the library is not used.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from attrs import frozen
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from catkinspan.coordination.metrics.models import LatencySeries, MetricsSnapshot
from catkinspan.coordination.reports.health_state import HealthState
from catkinspan.coordination.reports.models import (
    ConfigReport,
    ServiceLine,
)
from catkinspan.protocol.operators.histograms import PERCENTILES

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_STATE_VALUES = {HealthState.UP: 0, HealthState.DEGRADED: 1, HealthState.DOWN: 2}


@frozen
class LatencyQuantiles:
    """Quantiles of one latency series, in seconds."""

    service: str
    workspace: str
    count: int
    seconds_sum: float
    quantiles: Mapping[float, float]


@frozen
class MetricsData:
    """Data for one response with metrics."""

    snapshot: MetricsSnapshot
    latencies: tuple[LatencyQuantiles, ...]
    services: tuple[ServiceLine, ...]
    config: ConfigReport
    peer_bytes: int
    control_bytes_by_kind: Mapping[str, int]
    dropped_frames: int


def latency_quantiles(series: LatencySeries) -> LatencyQuantiles:
    """Return the quantiles of a series; takes about 1 ms of CPU time."""
    histogram: Any = HdrHistogram.decode(series.histogram)
    values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
    return LatencyQuantiles(
        series.key.service,
        series.key.workspace,
        series.count,
        series.seconds_sum,
        {percentile / 100: value / 1e6 for percentile, value in values.items()},
    )


def encode_metrics(data: MetricsData) -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_SnapshotCollector(data))
    return generate_latest(registry)


class _SnapshotCollector(Collector):
    def __init__(self, data: MetricsData) -> None:
        self._data = data

    def collect(self) -> Iterable[Metric]:
        """Yield all metric families."""
        data = self._data
        yield _latency_metric(data.latencies)
        yield from _counter_metrics(data.snapshot)
        yield from _detection_metrics(data.snapshot)
        yield _worst_served_metric(data.snapshot)
        yield from _service_metrics(data.services)
        yield from _host_metrics(data)


def _latency_metric(latencies: Iterable[LatencyQuantiles]) -> Metric:
    name = "catkinspan_request_seconds"
    labels = ["service", "workspace"]
    family = SummaryMetricFamily(
        name, "Latency of served requests since the start of the host.", labels=labels
    )
    for line in latencies:
        values = [line.service, line.workspace]
        family.add_metric(values, line.count, line.seconds_sum)
        for quantile, seconds in line.quantiles.items():
            sample = {**dict(zip(labels, values, strict=True)), "quantile": quantile}
            family.add_sample(name, {k: str(v) for k, v in sample.items()}, seconds)
    return family


def _counter_metrics(snapshot: MetricsSnapshot) -> Iterator[Metric]:
    yield _counter_metric(
        "requests", "Requests by the way they ended.", "service kind", snapshot.requests
    )
    yield _counter_metric("refusals", "Refused requests.", "kind", snapshot.refusals)
    yield _counter_metric(
        "in_rate_refusals",
        "Refusals after the rate had admitted the request. Wrongful refusals by rate "
        "cannot be told from right ones on one host.",
        "kind",
        snapshot.in_rate_refusals,
    )
    yield _counter_metric(
        "attempts",
        "Attempts at upstreams; sheds have the kind `shed`.",
        "service kind",
        snapshot.attempts,
    )
    yield _counter_metric(
        "retries", "Attempts beyond the first.", "service", snapshot.retries
    )
    yield _counter_metric(
        "events", "Audit events of this host.", "kind", snapshot.events
    )
    yield _counter_metric(
        "ejections", "Servers that became avoided.", "service", snapshot.ejections
    )
    yield _counter_metric(
        "returns", "Servers back in normal use.", "service", snapshot.returns
    )


def _counter_metric(
    name: str,
    help_text: str,
    labels: str,
    values: Mapping[tuple[str, str], int] | Mapping[str, int],
) -> Metric:
    family = CounterMetricFamily(f"catkinspan_{name}", help_text, labels=labels.split())
    for key, value in sorted(values.items()):
        family.add_metric([key] if isinstance(key, str) else list(key), value)
    return family


def _detection_metrics(snapshot: MetricsSnapshot) -> Iterator[Metric]:
    family = SummaryMetricFamily(
        "catkinspan_detection_seconds",
        "Time from the first failed attempt of this host until the server was "
        "avoided, where it saw one.",
        labels=["service"],
    )
    highest = GaugeMetricFamily(
        "catkinspan_detection_max_seconds",
        "Longest of these times.",
        labels=["service"],
    )
    for service, stats in sorted(snapshot.detection.items()):
        family.add_metric([service], stats.count, stats.seconds_sum)
        highest.add_metric([service], stats.seconds_max)
    yield family
    yield highest


def _worst_served_metric(snapshot: MetricsSnapshot) -> Metric:
    family = GaugeMetricFamily(
        "catkinspan_worst_served_share",
        "Least served share of a workspace's recent requests on this host.",
        labels=["workspace"],
    )
    worst = snapshot.worst_served
    if worst is not None:
        family.add_metric([worst.workspace], worst.share)
    return family


def _service_metrics(services: Iterable[ServiceLine]) -> Iterator[Metric]:
    lines = tuple(services)
    gauges = (
        ("state", "0 up, 1 degraded, 2 down.", lambda s: _STATE_VALUES[s.state]),
        ("servers_published", "Published servers.", lambda s: s.published),
        ("servers_in_use", "Servers in normal use.", lambda s: s.in_use),
        ("retries_left", "Retries that the budget allows.", lambda s: s.retries_left),
    )
    for name, help_text, value in gauges:
        family = GaugeMetricFamily(
            f"catkinspan_service_{name}", help_text, labels=["service"]
        )
        for line in lines:
            family.add_metric([line.service], value(line))
        yield family


def _host_metrics(data: MetricsData) -> Iterator[Metric]:
    config = data.config
    yield GaugeMetricFamily(
        "catkinspan_revision", "Revision in force.", value=config.head.revision
    )
    yield GaugeMetricFamily(
        "catkinspan_store_revision",
        "Revision of the store up to which all changes are known.",
        value=config.store_revision,
    )
    yield GaugeMetricFamily(
        "catkinspan_settings_faults",
        "Unusable values and entries of the store, while the rest is in force.",
        value=config.settings_faults.count,
    )
    if config.platform_seconds is not None:
        yield GaugeMetricFamily(
            "catkinspan_platform_contact_age_seconds",
            "Time since anyone known reached the store.",
            value=config.platform_seconds,
        )
    yield GaugeMetricFamily(
        "catkinspan_peer_sent_bytes",
        "Bytes sent to peers, on links that are open now and as datagrams.",
        value=data.peer_bytes,
    )
    yield _counter_metric(
        "control_sent_bytes",
        "Bytes of the messages sent to peers, by kind of message.",
        "kind",
        data.control_bytes_by_kind,
    )
    yield CounterMetricFamily(
        "catkinspan_dropped_frames", "Peer frames dropped.", data.dropped_frames
    )
