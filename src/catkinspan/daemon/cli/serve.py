"""``catkinspan serve``: run one entry host."""

import argparse
import asyncio
import gc
import signal
import sys
from pathlib import Path

import uvloop
from loguru import logger
from result import Err

from catkinspan.daemon.cli.common import (
    Subparsers,
    add_log_options,
    async_wait_for_signal,
    print_faults,
    read_file,
    start_logging,
)
from catkinspan.daemon.cli.const import EXIT_BAD_SETTINGS, EXIT_FAILED, EXIT_OK
from catkinspan.daemon.clock import SystemClock
from catkinspan.daemon.node import HostNode
from catkinspan.daemon.settings_watcher import SettingsWatcher
from catkinspan.protocol.settings.node import parse_node_settings
from catkinspan.state.node import NodeSettings
from catkinspan.transport.tls import SettingsError


def add_parser(subparsers: Subparsers) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "serve",
        help="run one entry host",
        description="Run one entry host. SIGTERM drains it: the load balancer's "
        "health check fails, running requests finish, then the process exits. SIGHUP "
        "reloads the TLS files and the settings; changed settings are applied without "
        "it too.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        required=True,
        help="JSON file with the host's settings",
    )
    add_log_options(parser, "INFO", as_json=True)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Serve until a signal arrives."""
    writer = start_logging(args)
    try:
        return _serve(args)
    finally:
        if writer is not None:
            writer.close()


def _serve(args: argparse.Namespace) -> int:
    text = read_file(args.settings)
    if isinstance(text, Err):
        print_faults([text.err_value])
        return EXIT_BAD_SETTINGS
    settings = parse_node_settings(text.ok_value)
    if isinstance(settings, Err):
        print_faults(settings.err_value)
        return EXIT_BAD_SETTINGS
    logger.configure(extra={"host": settings.ok_value.host_id, "request_id": "-"})
    # uvloop needs half the CPU time of asyncio, but resets one in ten TLS connections
    # whose reading was paused before the handshake.
    run_loop = asyncio.run if settings.ok_value.uses_tls else uvloop.run
    return run_loop(_async_serve(settings.ok_value, args.settings))


async def _async_serve(settings: NodeSettings, path: Path) -> int:
    try:
        node = HostNode(settings, SystemClock())
    except SettingsError as error:
        print_faults(error.faults)
        return EXIT_BAD_SETTINGS
    loop = asyncio.get_running_loop()
    watcher = SettingsWatcher(path, node)
    loop.add_signal_handler(signal.SIGHUP, watcher.reload)
    try:
        await node.async_start()
    except OSError as error:
        remedy = "free the address or change it in the settings"
        print(f"cannot listen: {error}; {remedy}", file=sys.stderr)
        await node.async_stop()
        return EXIT_FAILED
    watch_task = asyncio.create_task(watcher.async_run())
    # Objects created at startup stay alive; a full collection of them would take tens
    # of milliseconds.
    gc.collect()
    gc.freeze()
    stopped = await async_wait_for_signal(node.failed)
    watch_task.cancel()
    if not stopped:
        await node.async_stop()
        return EXIT_FAILED
    is_drained = await node.async_drain()
    await node.async_stop()
    return EXIT_OK if is_drained else EXIT_FAILED
