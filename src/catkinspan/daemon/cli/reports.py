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
from catkinspan.daemon.cli.ask import (
    add_host_options,
    decode_response,
    fetch_report,
    print_fault,
)
from catkinspan.daemon.cli.common import Subparsers
from catkinspan.daemon.cli.const import EXIT_OK
from catkinspan.daemon.cli.text.fleet import (
    audit_text,
    config_text,
    hosts_text,
    workspaces_text,
)

_EXIT_STATUS_TEXT = (
    "Exit status: 0, 3 if the host does not respond, 64 for wrong arguments."
)


def add_parser(subparsers: Subparsers) -> None:
    """Add the commands."""
    _add_report(
        subparsers,
        "hosts",
        "show the hosts of the fleet and the revision in force at each",
        HostsReport,
        hosts_text,
    )
    _add_report(
        subparsers,
        "workspaces",
        "show the limits of workspaces and what holds each back",
        WorkspacesReport,
        workspaces_text,
    )
    _add_report(
        subparsers,
        "config",
        "show the revision in force at a host and how outdated it may be",
        ConfigReport,
        config_text,
    )
    audit = _add_report(
        subparsers,
        "audit",
        "show the latest changes, ejections, returns and withdrawals",
        AuditReport,
        audit_text,
    )
    audit.add_argument(
        "--limit",
        type=_parse_entry_count,
        default=30,
        help="entries to show (default: %(default)s)",
    )


def _add_report(
    subparsers: Subparsers,
    name: str,
    text: str,
    report_type: type[Any],
    render: Callable[[Any], str],
) -> argparse.ArgumentParser:
    sentence = text[0].upper() + text[1:]
    parser = subparsers.add_parser(
        name, help=text, description=f"{sentence}. {_EXIT_STATUS_TEXT}"
    )
    add_host_options(parser)
    parser.set_defaults(
        run=lambda args: _run_report(args, f"/v1/{name}", report_type, render),
        limit=None,
    )
    return parser


def _run_report(
    args: argparse.Namespace,
    path: str,
    report_type: type[Any],
    render: Callable[[Any], str],
) -> int:
    if args.limit is not None:
        path += f"?limit={args.limit}"
    response = fetch_report(args.operators, path)
    if isinstance(response, Err):
        return print_fault(response.err_value)
    report = decode_response(response.ok_value, report_type)
    if isinstance(report, Err):
        return print_fault(report.err_value)
    print(response.ok_value.pretty() if args.json else render(report.ok_value))
    return EXIT_OK


def _parse_entry_count(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= AUDIT_ENTRIES:
        raise argparse.ArgumentTypeError(f"write a number from 1 to {AUDIT_ENTRIES}")
    return int(text)
