"""``catkinspan explain``: show the effective settings of a route."""

import argparse
import sys
from pathlib import Path

import orjson
from result import Err

from catkinspan.daemon.cli.ask import (
    ReportResponse,
    add_host_options,
    decode_response,
    fetch_report,
    path_with_name,
    print_fault,
)
from catkinspan.daemon.cli.common import Subparsers, print_faults, read_file
from catkinspan.daemon.cli.const import EXIT_BAD_SETTINGS, EXIT_FAILED, EXIT_OK
from catkinspan.protocol.operators.codec import encode_report
from catkinspan.protocol.operators.explain import RouteExplanation, explain_route
from catkinspan.protocol.settings.tree import check_tree
from catkinspan.state.ids import RouteId


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "explain",
        help="show the effective settings of a route and where each comes from",
        description="Show each effective setting of a route, its unit, and the level "
        "of the tree that sets it, as in force at a running host or given in a file.",
    )
    parser.add_argument("route", help="route as SERVICE/ROUTE")
    parser.add_argument(
        "--tree",
        type=Path,
        help="JSON file with the settings tree, instead of a running host",
    )
    add_host_options(parser)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print the effective settings of the route."""
    if args.tree is not None:
        return _explain_file(args.tree, args.route, args.json)
    response = fetch_report(args.operators, path_with_name("/v1/explain/", args.route))
    if isinstance(response, Err):
        return print_fault(response.err_value)
    report = decode_response(response.ok_value, RouteExplanation)
    if isinstance(report, Err):
        return print_fault(report.err_value)
    print(
        response.ok_value.pretty() if args.json else explanation_text(report.ok_value)
    )
    return EXIT_OK


def _explain_file(path: Path, name: str, as_json: bool) -> int:
    text = read_file(path)
    if isinstance(text, Err):
        print_faults([text.err_value])
        return EXIT_BAD_SETTINGS
    checked = check_tree(text.ok_value)
    if isinstance(checked, Err):
        print_faults(checked.err_value)
        return EXIT_BAD_SETTINGS
    route = checked.ok_value.routes.get(RouteId(name))
    if route is None:
        known = ", ".join(sorted(checked.ok_value.routes))
        print(f"no route {name!r}; name one of: {known}", file=sys.stderr)
        return EXIT_FAILED
    explanation = explain_route(route)
    response = ReportResponse(encode_report(explanation))
    print(response.pretty() if as_json else explanation_text(explanation))
    return EXIT_OK


def explanation_text(explanation: RouteExplanation) -> str:
    """Return the settings of a route as a table."""
    methods = ", ".join(explanation.methods) or "all methods"
    where = f"{explanation.host or ''}{explanation.path_prefix}"
    lines = [
        f"route {explanation.route} of service {explanation.service}: "
        f"{methods} under {where}"
    ]
    for name, setting in explanation.settings.items():
        value = orjson.dumps(setting.value).decode()
        lines.append(f"  {name:<22} {value:<28} {setting.unit:<9} {setting.origin}")
    return "\n".join(lines)
