"""The command line: one module for each command."""

import argparse
import sys
from collections.abc import Sequence
from importlib import import_module
from typing import NoReturn

from catkinspan.daemon.cli.const import EXIT_BAD_ARGUMENTS

_COMMANDS = {
    "serve": ("serve",),
    "demo": ("demo",),
    "check": ("check",),
    "status": ("status",),
    "reports": ("hosts", "workspaces", "config", "audit"),
    "explain": ("explain",),
    "metrics": ("metrics",),
    "key": ("key",),
    "standin": ("standin",),
}
"""Modules with the commands that they add. Only the module of the command that was
asked for is loaded, so that a host does not hold the rest in memory."""


class CommandParser(argparse.ArgumentParser):
    """Ends with a status of its own on wrong arguments, since 2 reads as down."""

    def error(self, message: str) -> NoReturn:
        """Print usage and message, and end the process."""
        self.print_usage(sys.stderr)
        self.exit(EXIT_BAD_ARGUMENTS, f"{self.prog}: {message}\n")


def build_parser(command: str | None = None) -> argparse.ArgumentParser:
    """Return the parser of one command, or of the whole command line."""
    parser = CommandParser(
        prog="catkinspan",
        description="A proxy fleet for upstreams with gray failures.",
    )
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    wanted = [name for name, commands in _COMMANDS.items() if command in commands]
    for name in wanted or _COMMANDS:
        import_module(f"catkinspan.daemon.cli.{name}").add_parser(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit status."""
    given = sys.argv[1:] if arguments is None else arguments
    parser = build_parser(given[0] if given else None)
    args = parser.parse_args(given)
    if args.command is None:
        parser.print_help(sys.stderr)
        return EXIT_BAD_ARGUMENTS
    try:
        return int(args.run(args))
    except BrokenPipeError:
        sys.stderr.close()
        return 1
