"""``catkinspan explain``: show the effective settings of a route."""

import argparse
import sys
from pathlib import Path

import orjson
from result import Err

from catkinspan.daemon.cli.common import Subparsers, print_faults, read_file
from catkinspan.daemon.cli.const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from catkinspan.protocol.settings.policy import format_setting
from catkinspan.protocol.settings.tree import check_tree
from catkinspan.state.ids import RouteId
from catkinspan.state.policy import POLICY_FIELDS
from catkinspan.state.tree import Route


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "explain",
        help="show the effective settings of a route and where each comes from",
        description="Show each effective setting of a route, its unit, and the level "
        "of the tree that set it.",
    )
    parser.add_argument("route", help="route as SERVICE/ROUTE")
    parser.add_argument(
        "--tree", type=Path, required=True, help="JSON file with the settings tree"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print the settings of the route."""
    text = read_file(args.tree)
    if isinstance(text, Err):
        print_faults([text.err_value])
        return EXIT_USAGE
    checked = check_tree(text.ok_value)
    if isinstance(checked, Err):
        print_faults(checked.err_value)
        return EXIT_USAGE
    route = checked.ok_value.tree.routes.get(RouteId(args.route))
    if route is None:
        known = ", ".join(sorted(checked.ok_value.tree.routes))
        print(f"no route {args.route!r}; name one of: {known}", file=sys.stderr)
        return EXIT_FAILED
    print_route(route, args.json)
    return EXIT_OK


def explain_route(route: Route) -> dict[str, dict[str, object]]:
    """Return value, unit and origin of each setting of a route."""
    return {
        name: {
            "value": format_setting(getattr(route.policy, attribute.name)),
            "unit": attribute.metadata["unit"],
            "origin": route.origins[name],
        }
        for name, attribute in POLICY_FIELDS.items()
    }


def print_route(route: Route, as_json: bool) -> None:
    """Print the settings of a route as a table or as JSON."""
    settings = explain_route(route)
    if as_json:
        answer = {"route": route.id, "service": route.service, "settings": settings}
        print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
        return
    print(f"route {route.id} of service {route.service}")
    for name, setting in settings.items():
        value = orjson.dumps(setting["value"]).decode()
        print(f"  {name:<22} {value:<28} {setting['unit']:<9} {setting['origin']}")
