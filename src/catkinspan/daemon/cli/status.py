"""``catkinspan status``: answer whether something is down."""

import argparse
import time
from collections.abc import Callable

from result import Err, Result

from catkinspan.coordination.reports.models import (
    HealthState,
    ServiceStatusReport,
    StatusReport,
)
from catkinspan.coordination.reports.status import worst_state
from catkinspan.daemon.cli.ask import (
    AskFault,
    add_ask_options,
    ask,
    path_with,
    print_fault,
    read,
)
from catkinspan.daemon.cli.common import Subparsers
from catkinspan.daemon.cli.const import (
    EXIT_DEGRADED,
    EXIT_DOWN,
    EXIT_UP,
    WATCH_SECONDS,
)
from catkinspan.daemon.cli.text.status import service_text, status_text

EXIT_OF_STATE = {
    HealthState.UP: EXIT_UP,
    HealthState.DEGRADED: EXIT_DEGRADED,
    HealthState.DOWN: EXIT_DOWN,
}
_CLEAR_SCREEN = "\x1b[H\x1b[2J"


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "status",
        help="say whether services are up, degraded or down",
        description="Ask any host whether services are up, degraded or down, since "
        "when and on whose evidence, which servers are ejected and why, and which "
        "workspaces are held back by what. Exit status: 0 up, 1 degraded, 2 down, 3 "
        "the host cannot be asked, 64 wrong arguments.",
    )
    parser.add_argument("service", nargs="?", help="one service, with all its servers")
    add_ask_options(parser)
    parser.add_argument(
        "--watch",
        type=_seconds,
        nargs="?",
        const=WATCH_SECONDS,
        metavar="SECONDS",
        help="refresh until interrupted (default: every %(const)s s)",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print the status once, or again and again."""
    if args.watch is None:
        return show(args)
    return watch(lambda: show(args), args.watch, time.sleep)


def watch(
    show_once: Callable[[], int], seconds: float, sleep: Callable[[float], None]
) -> int:
    """Show until interrupted; return the exit status of the last answer."""
    status = EXIT_UP
    try:
        while True:
            print(_CLEAR_SCREEN, end="")
            status = show_once()
            sleep(seconds)
    except KeyboardInterrupt:
        return status


def show(args: argparse.Namespace) -> int:
    """Print the status once and return the exit status for it."""
    path = "/v1/status"
    if args.service is not None:
        path = path_with("/v1/status/", args.service)
    told = ask(args.operators, path)
    if isinstance(told, Err):
        return print_fault(told.err_value)
    report = told.ok_value
    if args.service is None:
        answer = _whole(read(report, StatusReport))
    else:
        answer = _one(read(report, ServiceStatusReport))
    if isinstance(answer, Err):
        return print_fault(answer.err_value)
    state, text = answer.ok_value
    print(report.pretty() if args.json else text, flush=True)
    return EXIT_OF_STATE[state]


def _whole(
    report: Result[StatusReport, AskFault],
) -> Result[tuple[HealthState, str], AskFault]:
    return report.map(lambda r: (r.state, status_text(r)))


def _one(
    report: Result[ServiceStatusReport, AskFault],
) -> Result[tuple[HealthState, str], AskFault]:
    return report.map(
        lambda r: (worst_state([r.host_state, r.service.state]), service_text(r))
    )


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0.1 <= seconds <= 3600:
        raise argparse.ArgumentTypeError("write seconds from 0.1 to 3600")
    return seconds
