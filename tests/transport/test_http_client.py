"""Responses without end to calls of the store, over sockets and without a network.

Guards against unbounded memory, an event loop that runs nothing else, and a reader that
never calls the store again.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import h11
import pytest

from catkinspan.platform.store import PlatformStore
from catkinspan.state.ids import Revision
from catkinspan.state.tree import Address
from catkinspan.transport import http_client
from catkinspan.transport.http_client import FetchError, async_fetch
from catkinspan.transport.store.reader import StoreError
from tests.endless_server import Flood

pytestmark = pytest.mark.asyncio

FETCH_TIMEOUT_SECONDS = 2.0
MAX_FETCH_SECONDS = 10.0
"""Allows for a busy machine."""

MAX_BYTES_PER_TURN = 64 * 1024
MAX_FLOOD_BYTES = 256 * 1024 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
PAGE = (
    b'{"items":[{"key":"servers/a","revision":1,"value":"e30="}],'
    b'"store_revision":1,"has_more":true}'
)

FLOODS = {
    "no-newline": Flood(b"", b"x"),
    "header-lines": Flood(OK, b"X-Line: more\r\n"),
    "informational": Flood(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunked": Flood(CHUNKED, b"1\r\nb\r\n"),
    "no-length": Flood(OK + b"\r\n", b"b"),
    "chunk-extension": Flood(CHUNKED + b"5;", b"e"),
    "trailers": Flood(CHUNKED + b"0\r\n", b"X-Trailer: more\r\n"),
}

Respond = Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]


@asynccontextmanager
async def running_store(respond: Respond) -> AsyncIterator[Address]:
    listener = await asyncio.start_server(respond, "127.0.0.1", 0)
    try:
        yield Address(*listener.sockets[0].getsockname())
    finally:
        listener.close()


@pytest.mark.parametrize("interval", [0.0, 0.05], ids=["fast", "slow"])
@pytest.mark.parametrize("mode", FLOODS)
async def test_endless_response_ends_the_call(mode: str, interval: float) -> None:
    flood = FLOODS[mode]
    closed = asyncio.Event()
    repeated = flood.repeated * (1 if interval else 16 * 1024 // len(flood.repeated))

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(flood.once)
        try:
            for _ in range(MAX_FLOOD_BYTES // len(repeated)):
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(interval)
        except ConnectionError:
            closed.set()
        finally:
            writer.close()

    async with running_store(respond) as address, asyncio.timeout(MAX_FETCH_SECONDS):
        with pytest.raises(FetchError):
            await async_fetch(address, "/kv-range", FETCH_TIMEOUT_SECONDS)
        await closed.wait()


@pytest.mark.parametrize("mode", ["informational", "chunked"])
async def test_other_tasks_run_while_endless_bytes_are_parsed(mode: str) -> None:
    """Guards against a read that returns buffered bytes and never yields."""
    flood = FLOODS[mode]
    reader = asyncio.StreamReader()
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    http.send(h11.EndOfMessage())
    reader.feed_data(flood.once)
    fetch = asyncio.create_task(http_client._async_read_response(http, reader))
    fed_bytes, turns = 0, 0
    while not fetch.done() and fed_bytes < 16 * MAX_BYTES_PER_TURN:
        if not reader._buffer:  # type: ignore[attr-defined]
            data = flood.repeated * (4 * MAX_BYTES_PER_TURN // len(flood.repeated))
            reader.feed_data(data)
            fed_bytes += len(data)
        turns += 1
        await asyncio.sleep(0)
    fetch.cancel()
    results = await asyncio.gather(fetch, return_exceptions=True)
    parsed_bytes = fed_bytes - len(reader._buffer)  # type: ignore[attr-defined]
    assert parsed_bytes / turns <= MAX_BYTES_PER_TURN
    assert isinstance(
        results[0], (h11.RemoteProtocolError, FetchError, asyncio.CancelledError)
    )


async def test_endless_pages_end_the_call() -> None:
    """Guards against a store that returns the same page again and again."""
    calls = 0

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal calls
        calls += 1
        await reader.readuntil(b"\r\n\r\n")
        head = OK + b"Content-Length: %d\r\n\r\n" % len(PAGE)
        writer.write(head + PAGE)
        await writer.drain()
        writer.close()

    async with running_store(respond) as address, asyncio.timeout(MAX_FETCH_SECONDS):
        with pytest.raises(StoreError):
            await PlatformStore(address, ("op/", "servers/")).async_read_all()
        assert calls <= 10
        with pytest.raises(StoreError):
            await PlatformStore(address, ("op/",)).async_watch(Revision(1))
