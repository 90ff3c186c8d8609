"""Asking a host's operators' listener."""

import argparse
import asyncio
import sys
from typing import TypeVar
from urllib.parse import quote

import orjson
from attrs import frozen
from result import Err, Ok, Result

from catkinspan.daemon.cli.common import address
from catkinspan.daemon.cli.const import (
    ASK_SECONDS,
    EXIT_BAD_ARGUMENTS,
    EXIT_NO_ANSWER,
)
from catkinspan.protocol.operators.codec import decode_report
from catkinspan.protocol.settings.node import DEFAULT_OPERATORS
from catkinspan.state.tree import Address
from catkinspan.transport.http_client import FetchError, async_fetch

T = TypeVar("T")

_NOT_FOUND = 404


@frozen
class AskFault:
    """Why there is no report."""

    message: str
    exit_status: int


@frozen
class Told:
    """A report with the bytes that it came as."""

    body: bytes

    def pretty(self) -> str:
        """Return the JSON with indentation."""
        value = orjson.loads(self.body)
        return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()


def add_ask_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands that ask a running host."""
    parser.add_argument(
        "--operators",
        type=address,
        default=DEFAULT_OPERATORS,
        metavar="IP:PORT",
        help="operators' listener of any host (default: %(default)s)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def path_with(prefix: str, name: str) -> str:
    """Return a path that ends with a name."""
    return prefix + quote(name, safe="")


def ask(operators: Address, path: str) -> Result[Told, AskFault]:
    """Return the report at a path of a host's listener."""
    try:
        answer = asyncio.run(async_fetch(operators, path, ASK_SECONDS))
    except FetchError as error:
        return Err(AskFault(str(error), EXIT_NO_ANSWER))
    if answer.status == 200:
        return Ok(Told(answer.body))
    status = EXIT_BAD_ARGUMENTS if answer.status == _NOT_FOUND else EXIT_NO_ANSWER
    return Err(AskFault(_refusal(operators, answer.status, answer.body), status))


def read(told: Told, kind: type[T]) -> Result[T, AskFault]:
    """Return the decoded report."""
    decoded = decode_report(told.body, kind)
    return decoded.map_err(lambda e: AskFault(str(e), EXIT_NO_ANSWER))


def print_fault(fault: AskFault) -> int:
    """Print a fault and return the exit status for it."""
    print(fault.message, file=sys.stderr)
    return fault.exit_status


def _refusal(operators: Address, status: int, body: bytes) -> str:
    try:
        value = orjson.loads(body)
        return f"{value['message']}; {value['remedy']}"
    except (ValueError, KeyError, TypeError):
        remedy = "check that the address is an operators' listener"
        return f"{operators} answered with status {status}; {remedy}"
