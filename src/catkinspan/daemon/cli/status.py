"""``catkinspan status``: show whether services are up, degraded or down."""

import argparse
import time
from collections.abc import Callable

from result import Err, Result

from catkinspan.coordination.reports.health_state import HealthState
from catkinspan.coordination.reports.models import (
    ServiceStatusReport,
    StatusReport,
)
from catkinspan.coordination.reports.status import worst_state
from catkinspan.daemon.cli.ask import (
    FetchFault,
    add_host_options,
    decode_response,
    fetch_report,
    path_with_name,
    print_fault,
)
from catkinspan.daemon.cli.common import Subparsers
from catkinspan.daemon.cli.const import (
    EXIT_DEGRADED,
    EXIT_DOWN,
    EXIT_UP,
    WATCH_INTERVAL_SECONDS,
)
from catkinspan.daemon.cli.text.status import service_text, status_text

EXIT_STATUS_BY_STATE = {
    HealthState.UP: EXIT_UP,
    HealthState.DEGRADED: EXIT_DEGRADED,
    HealthState.DOWN: EXIT_DOWN,
}
_CLEAR_SCREEN = "\x1b[H\x1b[2J"


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "status",
        help="show whether services are up, degraded or down",
        description="Ask any host whether services are up, degraded or down, since "
        "when and by which evidence, which servers are ejected and why, and which "
        "workspaces are held back by what. Exit status: 0 up, 1 degraded, 2 down, 3 "
        "the host does not respond, 64 wrong arguments.",
    )
    parser.add_argument("service", nargs="?", help="one service, with all its servers")
    add_host_options(parser)
    parser.add_argument(
        "--watch",
        type=_parse_interval,
        nargs="?",
        const=WATCH_INTERVAL_SECONDS,
        metavar="SECONDS",
        help="refresh until interrupted (default: every %(const)s s)",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print the status once or repeatedly."""
    if args.watch is None:
        return show(args)
    return watch(lambda: show(args), args.watch, time.sleep)


def watch(
    show_once: Callable[[], int], seconds: float, sleep: Callable[[float], None]
) -> int:
    """Refresh until interrupted; return the exit status of the last report."""
    status = EXIT_UP
    try:
        while True:
            print(_CLEAR_SCREEN, end="")
            status = show_once()
            sleep(seconds)
    except KeyboardInterrupt:
        return status


def show(args: argparse.Namespace) -> int:
    """Print the status once and return its exit status."""
    path = "/v1/status"
    if args.service is not None:
        path = path_with_name("/v1/status/", args.service)
    response = fetch_report(args.operators, path)
    if isinstance(response, Err):
        return print_fault(response.err_value)
    report = response.ok_value
    if args.service is None:
        rendered = _fleet_status(decode_response(report, StatusReport))
    else:
        rendered = _service_status(decode_response(report, ServiceStatusReport))
    if isinstance(rendered, Err):
        return print_fault(rendered.err_value)
    state, text = rendered.ok_value
    print(report.pretty() if args.json else text, flush=True)
    return EXIT_STATUS_BY_STATE[state]


def _fleet_status(
    report: Result[StatusReport, FetchFault],
) -> Result[tuple[HealthState, str], FetchFault]:
    return report.map(lambda r: (r.state, status_text(r)))


def _service_status(
    report: Result[ServiceStatusReport, FetchFault],
) -> Result[tuple[HealthState, str], FetchFault]:
    return report.map(
        lambda r: (worst_state([r.host_state, r.service.state]), service_text(r))
    )


def _parse_interval(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0.1 <= seconds <= 3600:
        raise argparse.ArgumentTypeError("write seconds from 0.1 to 3600")
    return seconds
