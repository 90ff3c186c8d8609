"""The command line: one module for each command."""

import argparse
import gc
import sys
from collections.abc import Sequence
from importlib import import_module
from typing import NoReturn

from catkinspan.daemon.cli.const import EXIT_BAD_ARGUMENTS

_COMMANDS_BY_MODULE = {
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
"""Only the module of the requested command is loaded, so that a host does not hold the
others in memory."""


class CommandParser(argparse.ArgumentParser):
    """Exits with status 64 on wrong arguments, since 2 means down."""

    def error(self, message: str) -> NoReturn:
        """Print the usage and the message, and exit."""
        self.print_usage(sys.stderr)
        self.exit(EXIT_BAD_ARGUMENTS, f"{self.prog}: {message}\n")


def build_parser(command: str | None = None) -> argparse.ArgumentParser:
    """Return the parser of one command, or of all commands."""
    parser = CommandParser(
        prog="catkinspan",
        description="A proxy fleet for upstreams with gray failures.",
    )
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    requested = [
        name for name, commands in _COMMANDS_BY_MODULE.items() if command in commands
    ]
    for name in requested or _COMMANDS_BY_MODULE:
        import_module(f"catkinspan.daemon.cli.{name}").add_parser(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit status."""
    argv = sys.argv[1:] if arguments is None else arguments
    # Imported objects stay alive, so that collections would only take time.
    gc.disable()
    try:
        parser = build_parser(argv[0] if argv else None)
    finally:
        gc.freeze()
        gc.enable()
    args = parser.parse_args(argv)
    if args.command is None:
        parser.print_help(sys.stderr)
        return EXIT_BAD_ARGUMENTS
    try:
        return int(args.run(args))
    except BrokenPipeError:
        sys.stderr.close()
        return 1
