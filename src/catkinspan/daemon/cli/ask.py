"""Client of the operators' listener of a host."""

import argparse
import asyncio
import sys
from typing import TypeVar
from urllib.parse import quote

import orjson
from attrs import frozen
from result import Err, Ok, Result

from catkinspan.daemon.cli.common import address_argument
from catkinspan.daemon.cli.const import (
    EXIT_BAD_ARGUMENTS,
    EXIT_NO_RESPONSE,
    FETCH_TIMEOUT_SECONDS,
)
from catkinspan.protocol.operators.codec import decode_report
from catkinspan.protocol.settings.node import DEFAULT_OPERATORS
from catkinspan.state.tree import Address
from catkinspan.transport.http_client import FetchError, async_fetch

T = TypeVar("T")

_NOT_FOUND = 404


@frozen
class FetchFault:
    """Message and exit status if a report could not be fetched or decoded."""

    message: str
    exit_status: int


@frozen
class ReportResponse:
    """An encoded report as received from a host."""

    body: bytes

    def pretty(self) -> str:
        """Return the report as indented JSON."""
        value = orjson.loads(self.body)
        return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()


def add_host_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands that fetch a report from a host."""
    parser.add_argument(
        "--operators",
        type=address_argument,
        default=DEFAULT_OPERATORS,
        metavar="IP:PORT",
        help="operators' listener of any host (default: %(default)s)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def path_with_name(prefix: str, name: str) -> str:
    """Return the prefix followed by the percent-encoded name."""
    return prefix + quote(name, safe="")


def fetch_report(operators: Address, path: str) -> Result[ReportResponse, FetchFault]:
    """Fetch the report at a path of an operators' listener."""
    try:
        response = asyncio.run(async_fetch(operators, path, FETCH_TIMEOUT_SECONDS))
    except FetchError as error:
        return Err(FetchFault(str(error), EXIT_NO_RESPONSE))
    if response.status == 200:
        return Ok(ReportResponse(response.body))
    status = EXIT_BAD_ARGUMENTS if response.status == _NOT_FOUND else EXIT_NO_RESPONSE
    return Err(
        FetchFault(_error_message(operators, response.status, response.body), status)
    )


def decode_response(
    response: ReportResponse, report_type: type[T]
) -> Result[T, FetchFault]:
    """Return the decoded report."""
    decoded = decode_report(response.body, report_type)
    return decoded.map_err(lambda e: FetchFault(str(e), EXIT_NO_RESPONSE))


def print_fault(fault: FetchFault) -> int:
    """Print a fault and return its exit status."""
    print(fault.message, file=sys.stderr)
    return fault.exit_status


def _error_message(operators: Address, status: int, body: bytes) -> str:
    try:
        value = orjson.loads(body)
        return f"{value['message']}; {value['remedy']}"
    except (ValueError, KeyError, TypeError):
        remedy = "check that the address is an operators' listener"
        return f"{operators} responded with status {status}; {remedy}"
