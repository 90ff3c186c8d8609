"""The callers' listener: one task for each connection."""

import asyncio
import ssl
from collections.abc import Callable, Coroutine
from typing import Any, cast

from loguru import logger

from catkinspan.state.tree import Address
from catkinspan.transport.callers.connection import CallerConnection
from catkinspan.transport.callers.const import CONNECTION_INBOX
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketPort

NewConnection = Callable[[SocketPort, Mailbox[Any]], CallerConnection]


class _Gate(asyncio.Protocol):
    """Hands over an accepted socket before its TLS handshake.

    The listener then counts connections in their handshake like all others; asyncio's
    own TLS listener shows a connection only afterwards.
    """

    def __init__(self, on_connected: Callable[[asyncio.Transport], None]) -> None:
        self._on_connected = on_connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand over a new socket; nothing is read until the handshake begins."""
        socket_transport = cast(asyncio.Transport, transport)
        socket_transport.pause_reading()
        self._on_connected(socket_transport)


class CallerListener:
    """Accepts callers' connections up to a limit.

    A connection over the limit is closed at once: nothing was read of it, so no
    request of it ran.
    """

    def __init__(
        self,
        new_connection: NewConnection,
        on_opened: Callable[[Mailbox[Any]], None],
        on_ended: Callable[[Mailbox[Any]], None],
        max_connections: int,
        tls: ssl.SSLContext | None,
        handshake_timeout: float,
    ) -> None:
        self._new_connection = new_connection
        self._on_opened = on_opened
        self._on_ended = on_ended
        self._max_connections = max_connections
        self._tls = tls
        self._handshake_timeout = handshake_timeout
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._refused = 0

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks)

    @property
    def refused_connections(self) -> int:
        """Return the number of connections closed over the limit."""
        return self._refused

    async def async_start(self, address: Address) -> Address:
        """Listen and return the address in use; raises OSError if it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._new_protocol, address.ip, address.port, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.ip, port)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()

    async def async_wait_idle(self, timeout: float) -> bool:
        """Wait until all connections have ended; False if `timeout` seconds pass."""
        if not self._tasks:
            return True
        _, pending = await asyncio.wait(set(self._tasks), timeout=timeout)
        return not pending

    def abort(self) -> None:
        """End all connection tasks at once."""
        for task in self._tasks:
            task.cancel()

    def _new_protocol(self) -> asyncio.Protocol:
        if self._tls is not None:
            return _Gate(self._accept_secure)
        mailbox: Mailbox[Any] = Mailbox(CONNECTION_INBOX)
        return SocketPort(mailbox, lambda port: self._accept(port, mailbox))

    def _accept(self, port: SocketPort, mailbox: Mailbox[Any]) -> None:
        if self._is_full():
            port.abort()
            return
        self._start(self._async_serve(port, mailbox))

    def _accept_secure(self, transport: asyncio.Transport) -> None:
        if self._is_full():
            transport.abort()
            return
        self._start(self._async_serve_secure(transport))

    def _is_full(self) -> bool:
        if len(self._tasks) < self._max_connections:
            return False
        self._refused += 1
        return True

    def _start(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._end)

    async def _async_serve_secure(self, transport: asyncio.Transport) -> None:
        """Serve a connection after its TLS handshake."""
        assert self._tls is not None
        mailbox: Mailbox[Any] = Mailbox(CONNECTION_INBOX)
        port = SocketPort(mailbox)
        try:
            secure = await asyncio.get_running_loop().start_tls(
                transport,
                port,
                self._tls,
                server_side=True,
                ssl_handshake_timeout=self._handshake_timeout,
                ssl_shutdown_timeout=self._handshake_timeout,
            )
        except (OSError, TimeoutError) as error:
            logger.debug("TLS handshake with a caller failed: {!r}", error)
            transport.abort()
            return
        if secure is not None:
            port.connection_made(secure)
            await self._async_serve(port, mailbox)

    async def _async_serve(self, port: SocketPort, mailbox: Mailbox[Any]) -> None:
        connection = self._new_connection(port, mailbox)
        self._on_opened(mailbox)
        try:
            await connection.async_run()
        finally:
            self._on_ended(mailbox)

    def _end(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("connection task failed")
