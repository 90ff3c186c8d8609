"""``catkinspan metrics``: show latencies merged over hosts."""

import argparse

import orjson
from attrs import asdict
from result import Err

from catkinspan.daemon.cli.ask import decode_response, fetch_report, print_fault
from catkinspan.daemon.cli.common import Subparsers, address_argument
from catkinspan.daemon.cli.const import EXIT_NO_RESPONSE, EXIT_OK
from catkinspan.daemon.cli.text.common import format_table
from catkinspan.protocol.operators.histograms import (
    HistogramsReport,
    LatencySummary,
    merge_by_service,
    summarize_histograms,
)
from catkinspan.protocol.settings.node import DEFAULT_OPERATORS

_HEADER = ("service", "requests", "p50 ms", "p90 ms", "p99 ms", "max ms")


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "metrics",
        help="show latencies by service, merged over hosts",
        description="Merge the latency histograms of several hosts and show "
        "percentiles by service. Hosts that do not respond are named, and the exit "
        "status is then 3; the others are still shown.",
    )
    parser.add_argument(
        "--operators",
        type=address_argument,
        action="append",
        metavar="IP:PORT",
        help=f"operators' listener; repeat for several (default: {DEFAULT_OPERATORS})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print the merged percentiles."""
    status = EXIT_OK
    reports: list[HistogramsReport] = []
    for operators in args.operators or [DEFAULT_OPERATORS]:
        response = fetch_report(operators, "/v1/histograms")
        report = (
            response
            if isinstance(response, Err)
            else decode_response(response.ok_value, HistogramsReport)
        )
        if isinstance(report, Err):
            print_fault(report.err_value)
            status = EXIT_NO_RESPONSE
            continue
        reports.append(report.ok_value)
    merged = merge_by_service(reports)
    if isinstance(merged, Err):
        print(merged.err_value)
        return EXIT_NO_RESPONSE
    _print_summaries(reports, list(summarize_histograms(merged.ok_value)), args.json)
    return status


def _print_summaries(
    reports: list[HistogramsReport], lines: list[LatencySummary], as_json: bool
) -> None:
    hosts = [report.host for report in reports]
    if as_json:
        output = {"hosts": hosts, "services": [asdict(line) for line in lines]}
        print(orjson.dumps(output, option=orjson.OPT_INDENT_2).decode())
        return
    print(f"latency of served requests since the start, hosts: {', '.join(hosts)}")
    rows = [(s.name, s.count, s.p50_ms, s.p90_ms, s.p99_ms, s.max_ms) for s in lines]
    print("\n".join(format_table(_HEADER, rows)))
