"""A store whose answers never end, before a host that serves requests.

Guards against a host that keeps the bytes until it runs out of memory, or that serves
no requests while it parses them. It covers a report of other operators; hosts send no
health checks to servers, so that the store is the only other peer they call.
"""

import asyncio
from contextlib import suppress

import pytest

from catkinspan.transport.http_client import MAX_BODY_BYTES
from tests.endless_server import Flood
from tests.fleet import TEST_TIMEOUT_SECONDS, Fleet, request, running_fleet
from tests.transport.test_http_client import FLOODS

REQUESTS = 20
MAX_SENT_BYTES = MAX_BODY_BYTES + 16 * 1024 * 1024
"""Bytes of one answer that the host may take; the rest is in buffers of the kernel."""


class EndlessStore:
    """Sends a flood on each connection until the host closes it."""

    def __init__(self, flood: Flood) -> None:
        self._flood = flood
        self.sent_bytes: list[int] = []
        """Bytes sent on each connection that the host has closed."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        repeated = self._flood.repeated
        repeated *= max(1, 16 * 1024 // len(repeated))
        sent = 0
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._flood.once)
            while sent < 2 * MAX_SENT_BYTES:
                writer.write(repeated)
                await writer.drain()
                sent += len(repeated)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.sent_bytes.append(sent)
            writer.close()


async def _serve_endless(fleet: Fleet, store: EndlessStore) -> asyncio.Server:
    """Let an endless store take the place of the sound one."""
    await fleet.platform.async_stop()
    address = fleet.platform_address
    return await asyncio.start_server(store.serve, address.ip, address.port)


@pytest.mark.parametrize("mode", FLOODS)
async def test_host_serves_while_its_store_sends_bytes_without_end(mode: str) -> None:
    store = EndlessStore(FLOODS[mode])
    async with running_fleet() as fleet:
        listener = await _serve_endless(fleet, store)
        try:
            for number in range(REQUESTS):
                address = fleet.hosts[0].callers_address
                reply = await request(address, f"/prints/{number}", "POST", b"x")
                assert (reply.status, reply.complete) == (200, True)
                await asyncio.sleep(0.05)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await fleet.wait_until(lambda: len(store.sent_bytes) >= 2)
        finally:
            listener.close()
            with suppress(TimeoutError):
                await asyncio.wait_for(listener.wait_closed(), 0.1)
    assert max(store.sent_bytes) <= MAX_SENT_BYTES
