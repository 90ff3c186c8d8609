"""``catkinspan demo``: run a small fleet in one process."""

import argparse
import asyncio
import sys

from catkinspan.daemon.cli.common import (
    Subparsers,
    add_log_options,
    async_wait_for_signal,
    start_logging,
)
from catkinspan.daemon.cli.const import EXIT_FAILED, EXIT_OK
from catkinspan.daemon.demo import DemoFleet


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "demo",
        help="run a small fleet on loopback",
        description="Run a stand-in platform, two services with several upstream "
        "servers and three entry hosts in one process, until interrupted.",
    )
    parser.add_argument(
        "--first-port",
        type=int,
        default=18000,
        help="first of the 100 ports in use (default: %(default)s)",
    )
    add_log_options(parser, "WARNING")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Run the demo until a signal arrives."""
    start_logging(args)
    return asyncio.run(_async_demo(args.first_port))


async def _async_demo(first_port: int) -> int:
    fleet = DemoFleet(first_port)
    try:
        await fleet.async_start()
    except OSError as error:
        await fleet.async_stop()
        remedy = (
            "stop the process that uses the address, or choose another --first-port"
        )
        print(f"cannot listen: {error}; {remedy}", file=sys.stderr)
        return EXIT_FAILED
    try:
        print(fleet.instructions(), flush=True)
        await async_wait_for_signal()
    finally:
        await fleet.async_stop()
    return EXIT_OK
