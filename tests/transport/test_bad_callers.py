"""Guards against callers that use more resources than one connection may.

They send or read slowly, send too much, or send malformed requests.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

import pytest
import pytest_asyncio
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from catkinspan.daemon.node import HostNode
from catkinspan.standin.upstream import UpstreamOptions
from catkinspan.state.node import NodeSettings
from tests.fleet import KEY, TEST_TIMEOUT_SECONDS, Fleet, request, running_fleet

pytestmark = pytest.mark.asyncio(loop_scope="module")

MAX_CONNECTIONS = 200
HEAD = b"Host: a\r\nX-Api-Key: " + KEY.encode() + b"\r\n"


def short_limits(node: NodeSettings) -> NodeSettings:
    """Shorten the limits, so that the tests reach them."""
    half_second = timedelta(seconds=0.5)
    limits = evolve(
        node.http,
        header_timeout=half_second,
        body_timeout=half_second,
        idle_timeout=timedelta(seconds=3),
        max_connections=MAX_CONNECTIONS,
    )
    return evolve(node, http=limits)


def short_deadline(tree: dict[str, Any]) -> None:
    tree["defaults"]["deadline_ms"] = 2000


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def short_limits_fleet() -> AsyncIterator[Fleet]:
    options = UpstreamOptions("", "catalogue", 50, body_bytes=3_000_000)
    async with running_fleet(
        options=options, edit_settings=short_limits, edit_tree=short_deadline
    ) as fleet:
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def host(short_limits_fleet: Fleet) -> AsyncIterator[HostNode]:
    """Yield the host; check afterwards that it serves and logged no errors."""
    node = short_limits_fleet.hosts[0]
    faults: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, c: faults.append(c))
    errors: list[str] = []
    sink = logger.add(errors.append, level="ERROR")
    yield node
    logger.remove(sink)
    await wait_connections(node, 0)
    assert (await request(node.callers_address, "/suites/1")).status == 200
    assert not node.failed.is_set()
    assert faults == []
    assert errors == []


async def wait_connections(node: HostNode, count: int) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while node.open_connections != count:
            await asyncio.sleep(0.02)


async def connect(
    node: HostNode,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    address = node.callers_address
    return await asyncio.open_connection(address.ip, address.port)


async def read_end(reader: asyncio.StreamReader) -> bytes:
    """Return all that the host sends until it closes the connection."""
    data = b""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        try:
            while piece := await reader.read(65536):
                data += piece
        except ConnectionError:
            pass
    return data


async def trickle(writer: asyncio.StreamWriter, data: bytes, gap: float) -> None:
    """Send a byte at a time until the host closes the connection."""
    try:
        for number in range(len(data)):
            writer.write(data[number : number + 1])
            await writer.drain()
            await asyncio.sleep(gap)
    except ConnectionError:
        pass


async def test_slow_head_is_refused(host: HostNode) -> None:
    """Guards against a head timeout that restarts with each received byte."""
    reader, writer = await connect(host)
    sending = asyncio.create_task(
        trickle(writer, b"GET /suites/1 HTTP/1.1\r\nX: " + b"x" * 400, 0.05)
    )
    assert (await read_end(reader)).startswith(b"HTTP/1.1 408")
    sending.cancel()
    writer.close()


@pytest.mark.parametrize("length", [b"Content-Length: 400", b"Content-Length: 200000"])
async def test_slow_body_ends_with_the_deadline(host: HostNode, length: bytes) -> None:
    """Guards against endless slow bodies.

    Each byte restarts the body timeout, so only the deadline ends the request.
    """
    reader, writer = await connect(host)
    writer.write(b"POST /suites/1 HTTP/1.1\r\n" + HEAD + length + b"\r\n\r\n")
    if length.endswith(b"200000"):
        writer.write(b"x" * 100_000)
    sending = asyncio.create_task(trickle(writer, b"x" * 300, 0.1))
    async with asyncio.timeout(10):
        answer = await read_end(reader)
    # Once the upstream has part of the body, the host cannot respond "not run".
    assert length.endswith(b"200000") or answer.startswith(b"HTTP/1.1 408")
    sending.cancel()
    writer.close()


async def test_body_that_stops_is_refused(host: HostNode) -> None:
    reader, writer = await connect(host)
    writer.write(b"POST /suites/1 HTTP/1.1\r\n" + HEAD + b"Content-Length: 9\r\n\r\nx")
    answer = await read_end(reader)
    assert answer.startswith(b"HTTP/1.1 408")
    assert b"X-Request-Ran: no" in answer or b"x-request-ran: no" in answer
    writer.close()


@pytest.mark.parametrize(
    "head",
    [
        b"GET /" + b"x" * 70_000,
        b"GET /suites/1 HTTP/1.1\r\n" + b"X: y\r\n" * 20_000,
        b"\r\n" * 50_000,
    ],
)
async def test_huge_head_is_refused(host: HostNode, head: bytes) -> None:
    reader, writer = await connect(host)
    writer.write(head)
    answer = await read_end(reader)
    assert answer == b"" or answer[9:12] in (b"400", b"408", b"431")
    writer.close()


async def test_caller_that_does_not_read_is_disconnected(host: HostNode) -> None:
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setblocking(False)
    address = host.callers_address
    loop = asyncio.get_running_loop()
    await loop.sock_connect(raw, (address.ip, address.port))
    request_head = b"GET /suites/1 HTTP/1.1\r\n" + HEAD + b"\r\n"
    await loop.sock_sendall(raw, request_head)
    await wait_connections(host, 1)
    await wait_connections(host, 0)
    raw.close()


async def test_pipelined_requests_stay_unread(host: HostNode) -> None:
    """Guards against unbounded memory for pipelined requests.

    The caller does not read the responses, so the host must stop reading.
    """
    _, writer = await connect(host)
    request_head = b"GET /suites/1 HTTP/1.1\r\n" + HEAD + b"\r\n"
    with pytest.raises((TimeoutError, ConnectionError)):
        async with asyncio.timeout(1.5):
            for _ in range(1000):
                writer.write(request_head * 1000)
                await writer.drain()
    writer.transport.abort()


async def test_idle_connections_are_bounded(host: HostNode) -> None:
    """Guards against unbounded idle connections.

    Connections over the limit are closed at once, the others by the idle timeout.
    """
    opened = [await connect(host) for _ in range(MAX_CONNECTIONS + 100)]
    await wait_connections(host, MAX_CONNECTIONS)
    ends = [asyncio.create_task(read_end(reader)) for reader, _ in opened]
    assert set(await asyncio.gather(*ends)) == {b""}
    for _, writer in opened:
        writer.close()


fragments = st.sampled_from(
    [
        *(b"GET ", b"POST ", b"/suites/1", b"*", b"//", b" HTTP/1.1", b" HTTP/1.0"),
        *(b"\r\n", b"\n", b"\r\n\r\n", b"Host: a", b"Host:", b": ", b"\x00", b"\xff"),
        *(b"Content-Length: 5", b"Content-Length: -1", b"Content-Length: 1e9"),
        *(b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip", b"ffffffffff"),
        *(b"Expect: 100-continue", b"Connection: upgrade", b"http://a/%zz?%"),
        *(b"X-Deadline-Ms: -5", b"X-Deadline-Ms: 9" + b"9" * 400, HEAD),
    ]
)


async def test_malformed_input_gets_an_error_or_a_close(host: HostNode) -> None:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(fragments | st.binary(max_size=8), max_size=10))
    def collect(parts: list[bytes]) -> None:
        samples.append(b"".join(parts))

    samples: list[bytes] = []
    await asyncio.to_thread(collect)

    async def send(sample: bytes) -> bytes:
        reader, writer = await connect(host)
        writer.write(sample + b"\r\n\r\n")
        writer.write_eof()
        answer = await read_end(reader)
        writer.close()
        return answer

    for answer in await asyncio.gather(*map(send, samples)):
        assert answer == b"" or answer[9:10] in b"1234", answer[:200]


@pytest.mark.parametrize(
    "name_and_value",
    [
        ("X-Deadline-Ms", "9" * 400),
        # The first 12 digits are in range, but int() raised on the whole number.
        ("X-Deadline-Ms", "000000000001" + "9" * 5000),
        ("X-Deadline-Ms", "-1"),
        ("X-Deadline-Ms", "nan"),
        ("X-Deadline-Ms", "1e400"),
        ("X-Deadline-Ms", "\u0664"),
        ("Idempotency-Key", "k" * 20_000),
        ("Content-Length", "9" * 30),
        ("Expect", "200-ok"),
        ("X-Request-Id", "\x01"),
    ],
)
async def test_invalid_header_value_causes_no_internal_error(
    host: HostNode, name_and_value: tuple[str, str]
) -> None:
    name, value = name_and_value
    reader, writer = await connect(host)
    header = f"{name}: {value}\r\n".encode()
    writer.write(b"POST /suites/1 HTTP/1.1\r\n" + HEAD + header + b"\r\n")
    writer.write_eof()
    answer = await read_end(reader)
    assert answer == b"" or answer[9:10] in b"24", answer[:200]
    writer.close()
