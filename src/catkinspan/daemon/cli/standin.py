"""``catkinspan standin``: run a stand-in for the platform or an upstream server."""

import argparse
import asyncio
from pathlib import Path

import orjson
from result import Err

from catkinspan.daemon.cli.common import (
    Subparsers,
    add_log_options,
    address_argument,
    async_wait_for_signal,
    print_faults,
    read_file,
    start_logging,
)
from catkinspan.daemon.cli.const import EXIT_BAD_SETTINGS, EXIT_OK
from catkinspan.standin.platform import StandinPlatform
from catkinspan.standin.upstream import StandinUpstream, UpstreamOptions
from catkinspan.state.tree import Address


def add_parser(subparsers: Subparsers) -> None:
    """Add the command and its two subcommands."""
    parser = subparsers.add_parser(
        "standin",
        help="run a stand-in platform or upstream server",
        description="Run a small stand-in for trials and tests.",
    )
    subcommands = parser.add_subparsers(dest="kind", required=True)
    platform = subcommands.add_parser(
        "platform",
        help="configuration service that can be read and watched",
        description="Serve a settings tree through the platform's read-and-watch "
        "interface. PUT /operators/settings publishes a new tree; POST "
        "/operators/mode?name=ok|down|stale|nonsense switches faults.",
    )
    platform.add_argument(
        "--listen", type=address_argument, required=True, help="IP:PORT"
    )
    platform.add_argument("--tree", type=Path, help="JSON file to publish at start")
    add_log_options(platform, "INFO")
    platform.set_defaults(run=run_platform)
    upstream = subcommands.add_parser(
        "upstream",
        help="upstream server with slots and injected faults",
        description="Serve requests in slots. POST /operators/fault with a JSON "
        'object such as {"slow_factor": 10} switches faults; GET /operators/runs '
        "counts the runs of each request.",
    )
    upstream.add_argument(
        "--listen", type=address_argument, required=True, help="IP:PORT"
    )
    upstream.add_argument("--name", default="server-1", help="name of the server")
    upstream.add_argument("--service", default="service", help="name of the service")
    upstream.add_argument("--slots", type=int, default=3, help="concurrent requests")
    upstream.add_argument(
        "--service-ms",
        type=float,
        default=10.0,
        help="processing time of a request in ms",
    )
    upstream.add_argument(
        "--seed", type=int, default=1, help="seed of the injected faults"
    )
    add_log_options(upstream, "INFO")
    upstream.set_defaults(run=run_upstream)


def run_platform(args: argparse.Namespace) -> int:
    """Serve the platform's interface until a signal arrives."""
    start_logging(args)
    tree: object = None
    if args.tree is not None:
        text = read_file(args.tree)
        if isinstance(text, Err):
            print_faults([text.err_value])
            return EXIT_BAD_SETTINGS
        tree = orjson.loads(text.ok_value)
    return asyncio.run(_async_platform(args.listen, tree))


async def _async_platform(listen: Address, tree: object) -> int:
    platform = StandinPlatform()
    if tree is not None:
        await platform.async_publish(tree)
    print(f"platform on {await platform.async_start(listen)}", flush=True)
    await async_wait_for_signal()
    await platform.async_stop()
    return EXIT_OK


def run_upstream(args: argparse.Namespace) -> int:
    """Serve requests until a signal arrives."""
    start_logging(args)
    options = UpstreamOptions(
        name=args.name,
        service=args.service,
        slots=args.slots,
        service_seconds=args.service_ms / 1000,
        seed=args.seed,
    )
    return asyncio.run(_async_upstream(args.listen, options))


async def _async_upstream(listen: Address, options: UpstreamOptions) -> int:
    upstream = StandinUpstream(options)
    print(f"{options.name} on {await upstream.async_start(listen)}", flush=True)
    await async_wait_for_signal()
    await upstream.async_stop()
    return EXIT_OK
