"""``catkinspan serve``: run one entry host."""

import argparse
import asyncio
import signal
import sys
from pathlib import Path

from result import Err

from catkinspan.daemon.cli.common import (
    Subparsers,
    add_log_options,
    async_wait_for_signal,
    print_faults,
    read_file,
    start_logs,
)
from catkinspan.daemon.cli.const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from catkinspan.daemon.clock import SystemClock
from catkinspan.daemon.node import HostNode
from catkinspan.protocol.settings.node import parse_node_settings
from catkinspan.state.node import NodeSettings
from catkinspan.transport.tls import TlsSettingsError


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "serve",
        help="run one entry host",
        description="Run one entry host. SIGTERM drains it: the balancer's check "
        "fails, running requests finish, then the process ends. SIGHUP reads the TLS "
        "files again.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        required=True,
        help="JSON file with the host's settings",
    )
    add_log_options(parser, "INFO")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Serve until a signal comes."""
    start_logs(args)
    text = read_file(args.settings)
    if isinstance(text, Err):
        print_faults([text.err_value])
        return EXIT_USAGE
    settings = parse_node_settings(text.ok_value)
    if isinstance(settings, Err):
        print_faults(settings.err_value)
        return EXIT_USAGE
    return asyncio.run(_async_serve(settings.ok_value))


async def _async_serve(settings: NodeSettings) -> int:
    try:
        node = HostNode(settings, SystemClock())
    except TlsSettingsError as error:
        for fault in error.faults:
            print(f"fault: {fault}", file=sys.stderr)
        return EXIT_USAGE
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, node.reload_tls)
    try:
        await node.async_start()
    except OSError as error:
        remedy = "free the address or change it in the settings"
        print(f"cannot listen: {error}; {remedy}", file=sys.stderr)
        await node.async_stop()
        return EXIT_FAILED
    if not await async_wait_for_signal(node.failed):
        await node.async_stop()
        return EXIT_FAILED
    finished = await node.async_drain()
    await node.async_stop()
    return EXIT_OK if finished else EXIT_FAILED
