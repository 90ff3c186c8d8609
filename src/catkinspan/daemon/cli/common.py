"""Helpers shared by several commands."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TypeAlias

from result import Err, Ok, Result

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.daemon.logs import LineWriter, set_up_logging
from catkinspan.protocol.settings.reader import parse_address
from catkinspan.state.tree import Address

Subparsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def add_log_options(
    parser: argparse.ArgumentParser, level: str, as_json: bool = False
) -> None:
    """Add the logging options."""
    parser.add_argument(
        "--log-level",
        choices=LOG_LEVELS,
        default=level,
        help="lowest level to log (default: %(default)s)",
    )
    parser.add_argument(
        "--log-json",
        action=argparse.BooleanOptionalAction,
        default=as_json,
        help="log one JSON object per line to standard output, instead of text to "
        "standard error (default: %(default)s)",
    )


def start_logging(args: argparse.Namespace) -> LineWriter | None:
    """Set up logging by the options; the caller closes the writer."""
    return set_up_logging(args.log_level, args.log_json)


def read_file(path: Path) -> Result[str, SettingsFault]:
    """Return a file's text."""
    try:
        return Ok(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        remedy = "give the path of a readable UTF-8 file"
        return Err(SettingsFault(str(path), f"cannot be read: {error}", remedy))


def print_faults(faults: Iterable[object]) -> None:
    """Print each fault on its own line to standard error."""
    for fault in faults:
        print(f"fault: {fault}", file=sys.stderr)


def address_argument(text: str) -> Address:
    """Parse an IP:PORT argument."""
    parsed = parse_address(text)
    if isinstance(parsed, Err):
        raise argparse.ArgumentTypeError(f"{parsed.err_value}; write IP:PORT")
    return parsed.ok_value


async def async_wait_for_signal(failed: asyncio.Event | None = None) -> bool:
    """Wait for SIGTERM or SIGINT; a second signal ends the process at once.

    Returns False if `failed` was set before a signal arrived.
    """
    loop = asyncio.get_running_loop()
    received = asyncio.Event()
    signals = (signal.SIGTERM, signal.SIGINT)
    for number in signals:
        loop.add_signal_handler(number, received.set)
    waiters = [asyncio.create_task(received.wait())]
    if failed is not None:
        waiters.append(asyncio.create_task(failed.wait()))
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    for waiter in waiters:
        waiter.cancel()
    for number in signals:
        loop.remove_signal_handler(number)
    return received.is_set()
