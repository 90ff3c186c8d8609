"""Clients of the small server, which also responds to operators, over sockets."""

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest
import pytest_asyncio

from catkinspan.state.tree import Address
from catkinspan.transport.simple_server import (
    ServerLimits,
    SimpleRequest,
    SimpleResponse,
    SimpleServer,
)
from tests.fleet import TEST_TIMEOUT_SECONDS

HEAD = b"GET /report HTTP/1.1\r\nHost: a\r\n\r\n"
MAX_SENT_BYTES = 16 * 1024 * 1024
"""What a client may send before it is cut or stopped; mostly the kernel's buffers."""

FLOOD_BYTES = 4 * MAX_SENT_BYTES


@pytest_asyncio.fixture
async def address() -> AsyncIterator[Address]:
    """Run a server whose responses take longer than the test sends."""

    async def respond_slowly(request: SimpleRequest) -> SimpleResponse:
        await asyncio.sleep(TEST_TIMEOUT_SECONDS)
        return SimpleResponse(200, b"report")

    limits = ServerLimits(max_connections=4, max_body_bytes=0, idle_seconds=60.0)
    server = SimpleServer(respond_slowly, limits)
    yield await server.async_start(Address("127.0.0.1", 0))
    await server.async_stop()


async def send_until(
    writer: asyncio.StreamWriter, data: bytes, is_enough: Callable[[int], bool]
) -> int:
    sent = 0
    try:
        while not is_enough(sent):
            writer.write(data)
            async with asyncio.timeout(1.0):
                await writer.drain()
            sent += len(data)
    except (ConnectionError, TimeoutError):
        pass
    return sent


@pytest.mark.asyncio
@pytest.mark.parametrize("repeated", [b"x", HEAD], ids=["bytes", "requests"])
async def test_endless_bytes_during_a_response_are_not_buffered(
    address: Address, repeated: bytes
) -> None:
    _, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(HEAD)
    data = repeated * (64 * 1024 // len(repeated))
    sent = await send_until(writer, data, lambda size: size >= FLOOD_BYTES)
    writer.transport.abort()
    assert sent <= MAX_SENT_BYTES
