"""The command line: one module for each command."""

import argparse
import sys
from collections.abc import Sequence
from typing import NoReturn

from catkinspan.daemon.cli import (
    check,
    demo,
    explain,
    key,
    metrics,
    reports,
    serve,
    standin,
    status,
)
from catkinspan.daemon.cli.const import EXIT_BAD_ARGUMENTS

_COMMANDS = (
    serve,
    demo,
    check,
    status,
    reports,
    explain,
    metrics,
    key,
    standin,
)


class CommandParser(argparse.ArgumentParser):
    """Ends with a status of its own on wrong arguments, since 2 reads as down."""

    def error(self, message: str) -> NoReturn:
        """Print usage and message, and end the process."""
        self.print_usage(sys.stderr)
        self.exit(EXIT_BAD_ARGUMENTS, f"{self.prog}: {message}\n")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = CommandParser(
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
        return EXIT_BAD_ARGUMENTS
    try:
        return int(args.run(args))
    except BrokenPipeError:
        sys.stderr.close()
        return 1
