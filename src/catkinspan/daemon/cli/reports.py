"""``catkinspan hosts``, ``workspaces``, ``config`` and ``audit``."""

import argparse
from collections.abc import Callable
from typing import Any

from result import Err

from catkinspan.coordination.audit.coordinator import AUDIT_ENTRIES
from catkinspan.coordination.reports.models import (
    AuditReport,
    ConfigReport,
    HostsReport,
    WorkspacesReport,
)
from catkinspan.daemon.cli.ask import add_ask_options, ask, print_fault, read
from catkinspan.daemon.cli.common import Subparsers
from catkinspan.daemon.cli.const import EXIT_OK
from catkinspan.daemon.cli.text.fleet import (
    audit_text,
    config_text,
    hosts_text,
    workspaces_text,
)

_STATUSES = "Exit status: 0, 3 if the host cannot be asked, 64 for wrong arguments."


def add_parser(subparsers: Subparsers) -> None:
    """Add the commands."""
    _add(
        subparsers,
        "hosts",
        "show the hosts of the fleet and the revision in force at each",
        HostsReport,
        hosts_text,
    )
    _add(
        subparsers,
        "workspaces",
        "show limits of workspaces and what holds each back",
        WorkspacesReport,
        workspaces_text,
    )
    _add(
        subparsers,
        "config",
        "show the revision in force at a host and how current it can be",
        ConfigReport,
        config_text,
    )
    audit = _add(
        subparsers,
        "audit",
        "show the latest changes, ejections, returns and withdrawals",
        AuditReport,
        audit_text,
    )
    audit.add_argument(
        "--limit",
        type=_entries,
        default=30,
        help="entries to show (default: %(default)s)",
    )


def _add(
    subparsers: Subparsers,
    name: str,
    text: str,
    kind: type[Any],
    render: Callable[[Any], str],
) -> argparse.ArgumentParser:
    sentence = text[0].upper() + text[1:]
    parser = subparsers.add_parser(
        name, help=text, description=f"{sentence}. {_STATUSES}"
    )
    add_ask_options(parser)
    parser.set_defaults(
        run=lambda args: _run(args, f"/v1/{name}", kind, render), limit=None
    )
    return parser


def _run(
    args: argparse.Namespace, path: str, kind: type[Any], render: Callable[[Any], str]
) -> int:
    if args.limit is not None:
        path += f"?limit={args.limit}"
    told = ask(args.operators, path)
    if isinstance(told, Err):
        return print_fault(told.err_value)
    report = read(told.ok_value, kind)
    if isinstance(report, Err):
        return print_fault(report.err_value)
    print(told.ok_value.pretty() if args.json else render(report.ok_value))
    return EXIT_OK


def _entries(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= AUDIT_ENTRIES:
        raise argparse.ArgumentTypeError(f"write a number from 1 to {AUDIT_ENTRIES}")
    return int(text)
