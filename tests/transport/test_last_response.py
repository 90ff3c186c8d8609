"""The last response of a connection, which the caller has not read yet.

Guards against a process that ends its stop while bytes of a response wait to be sent.
"""

import asyncio
import socket
from typing import Any

from catkinspan.daemon.clock import SystemClock
from catkinspan.protocol.http.names import CATKINSPAN_HTTP
from catkinspan.state.ids import RequestId
from catkinspan.state.node import HttpLimits
from catkinspan.transport.callers.connection import CallerConnection
from catkinspan.transport.callers.context import CallerContext
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketData, SocketPort
from tests.fleet import TEST_TIMEOUT_SECONDS

RESPONSE_BYTES = 8 * 1024 * 1024
BUFFER_BYTES = 16 * 1024


async def unread_connection() -> tuple[SocketPort, Mailbox[Any], socket.socket]:
    """Return a port with bytes that its caller has not read, and that socket."""
    ours, callers = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    callers.setblocking(False)
    mailbox: Mailbox[Any] = Mailbox(100)
    loop = asyncio.get_running_loop()
    _, port = await loop.create_connection(lambda: SocketPort(mailbox), sock=ours)
    port.write(b"x" * RESPONSE_BYTES)
    return port, mailbox, callers


async def read_all(callers: socket.socket) -> int:
    loop, size = asyncio.get_running_loop(), 0
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while data := await loop.sock_recv(callers, 1 << 20):
            size += len(data)
    return size


async def test_closed_port_ends_when_its_bytes_are_sent() -> None:
    port, _, callers = await unread_connection()
    port.close()
    waiting = asyncio.create_task(port.async_wait_ended())
    await asyncio.sleep(0.05)
    assert not waiting.done()
    assert await read_all(callers) == RESPONSE_BYTES
    await waiting
    callers.close()


async def test_connection_ends_when_its_last_response_is_sent() -> None:
    """The listener counts the connection as open until then, and so does a drain."""
    port, mailbox, callers = await unread_connection()
    context = CallerContext(
        Mailbox(100), Mailbox(100), HttpLimits(), SystemClock(), CATKINSPAN_HTTP
    )
    connection = CallerConnection(port, mailbox, context, lambda: RequestId("r-1"))
    mailbox.post(SocketData(port, b"no request\r\n\r\n"))
    running = asyncio.create_task(connection.async_run())
    await asyncio.sleep(0.05)
    assert not running.done()
    assert await read_all(callers) > RESPONSE_BYTES
    await running
    callers.close()
