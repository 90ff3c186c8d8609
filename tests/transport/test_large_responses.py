"""A large response to a caller that reads slowly.

Guards against a host whose memory grows with the responses that it forwards.
"""

import asyncio
import socket

from attrs import define

from catkinspan.state.tree import Address
from tests.fleet import KEY, TEST_TIMEOUT_SECONDS, running_fleet

CHUNK = b"x" * 65536
RESPONSE_BYTES = 64 * 1024 * 1024
MAX_BYTES_UNDER_WAY = RESPONSE_BYTES // 2
"""More than the sockets of the system and the host hold together."""

SETTLE_SECONDS = 0.5


@define
class LargeServer:
    """Sends a large response as fast as it is taken."""

    sent_bytes: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = RESPONSE_BYTES if b"/suites/large" in head else len(CHUNK)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                for _ in range(size // len(CHUNK)):
                    writer.write(CHUNK)
                    await writer.drain()
                    self.sent_bytes += len(CHUNK)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def read_response(caller: socket.socket) -> int:
    loop, size = asyncio.get_running_loop(), 0
    while data := await loop.sock_recv(caller, 1 << 20):
        size += len(data)
    return size


async def test_slow_caller_stops_the_reading_from_the_server() -> None:
    """Guards against a hedge that cuts the answer while the caller reads it, too."""
    large = LargeServer()
    server = await asyncio.start_server(large.serve, "127.0.0.1", 0)
    address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
    async with running_fleet(upstream_addresses={"catalogue-1": address}) as fleet:
        before = large.sent_bytes
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, len(CHUNK))
        caller.setblocking(False)
        host = fleet.hosts[0].callers_address
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, (host.ip, host.port))
        head = (
            "GET /suites/large HTTP/1.1\r\nHost: fleet.example\r\n"
            f"Authorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
        )
        await loop.sock_sendall(caller, head.encode())
        await fleet.wait_until(lambda: large.sent_bytes > before + len(CHUNK))
        await asyncio.sleep(SETTLE_SECONDS)
        assert large.sent_bytes - before <= MAX_BYTES_UNDER_WAY
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            received = await read_response(caller)
        caller.close()
    server.close()
    assert received > RESPONSE_BYTES
