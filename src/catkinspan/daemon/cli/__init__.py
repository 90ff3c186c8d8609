"""The command line: one module for each command."""

import argparse
import sys
from collections.abc import Sequence

from catkinspan.daemon.cli import check, demo, explain, serve, standin
from catkinspan.daemon.cli.const import EXIT_USAGE

_COMMANDS = (serve, demo, check, explain, standin)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="catkinspan",
        description="A proxy fleet for upstreams with gray failures.",
    )
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    for command in _COMMANDS:
        command.add_parser(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit status."""
    parser = build_parser()
    args = parser.parse_args(arguments)
    if args.command is None:
        parser.print_help(sys.stderr)
        return EXIT_USAGE
    try:
        return int(args.run(args))
    except BrokenPipeError:
        sys.stderr.close()
        return 1
