"""``catkinspan check``: check settings files."""

import argparse
from pathlib import Path

import orjson
from result import Err, Result

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.daemon.cli.common import Subparsers, print_faults, read_file
from catkinspan.daemon.cli.const import EXIT_BAD_SETTINGS, EXIT_OK
from catkinspan.protocol.settings.node import parse_node_settings
from catkinspan.protocol.settings.tree import check_tree


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "check",
        help="check settings files",
        description="Check a settings tree or a host's settings, which are "
        "distinguished by the member `host_id`. Each fault is printed with its path "
        "in the document and the remedy. Exit status 2 if there is a fault.",
    )
    parser.add_argument("file", type=Path, nargs="+", help="JSON file to check")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Check each file and print its result."""
    status = EXIT_OK
    for path in args.file:
        text = read_file(path)
        if isinstance(text, Err):
            print_faults([text.err_value])
            status = EXIT_BAD_SETTINGS
            continue
        checked = _check(text.ok_value)
        if isinstance(checked, Err):
            print_faults(checked.err_value)
            status = EXIT_BAD_SETTINGS
            continue
        print(f"{path}: {checked.ok_value}")
    return status


def _check(text: str) -> Result[str, tuple[SettingsFault, ...]]:
    if _is_node_settings(text):
        node = parse_node_settings(text)
        return node.map(lambda s: f"accepted, settings of host {s.host_id}")
    return check_tree(text).map(
        lambda tree: (
            f"accepted, {len(tree.services)} services, {len(tree.routes)} routes, "
            f"{len(tree.workspaces)} workspaces"
        )
    )


def _is_node_settings(text: str) -> bool:
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return False
    return isinstance(value, dict) and "host_id" in value
