"""Tests the merging of histograms; averaging percentiles would give wrong results."""

from random import Random

from result import Err, Ok

from catkinspan.coordination.metrics.latencies import LatencyHistograms
from catkinspan.protocol.operators.codec import decode_report, encode_report
from catkinspan.protocol.operators.histograms import (
    HistogramLine,
    HistogramsReport,
    histograms_report,
    merge_by_service,
    summarize_histograms,
)
from catkinspan.state.ids import HostId


def test_merged_histograms_equal_one_of_all_values() -> None:
    rng = Random(7)
    hosts = [LatencyHistograms() for _ in range(3)]
    combined = LatencyHistograms()
    for number in range(3000):
        seconds = rng.expovariate(1 / 0.02) * (20 if number % 3 == 0 else 1)
        service = "catalogue" if number % 2 else "print-desk"
        for latencies in (hosts[number % 3], combined):
            latencies.record(service, f"w-{number % 5}", seconds)
    reports = [
        histograms_report(HostId(f"host-{n}"), latencies.snapshot())
        for n, latencies in enumerate(hosts)
    ]
    encoded = [encode_report(report) for report in reports]
    decoded = [decode_report(data, HistogramsReport).unwrap() for data in encoded]
    merged = merge_by_service(decoded)
    expected = merge_by_service([histograms_report(HostId("a"), combined.snapshot())])
    assert isinstance(merged, Ok)
    assert list(summarize_histograms(merged.ok_value)) == list(
        summarize_histograms(expected.unwrap())
    )
    total = sum(summary.count for summary in summarize_histograms(merged.ok_value))
    assert total == 3000


def test_a_malformed_histogram_is_an_error_with_a_remedy() -> None:
    line = HistogramLine("catalogue", "w", "no histogram")
    merged = merge_by_service([HistogramsReport(HostId("host-1"), (line,))])
    assert isinstance(merged, Err)
    assert "host-1: catalogue/w" in str(merged.err_value)
    assert "check that the address" in str(merged.err_value)


def test_a_malformed_report_is_an_error_with_a_remedy() -> None:
    for data in (b"", b"[]", b'{"host": 1}'):
        decoded = decode_report(data, HistogramsReport)
        assert "check that the address" in str(decoded.unwrap_err())
