"""The listener for callers, which runs one task per connection."""

import asyncio
import ssl
from collections.abc import Callable, Coroutine
from typing import Any, cast

from loguru import logger

from catkinspan.state.tree import Address
from catkinspan.transport.callers.connection import CallerConnection
from catkinspan.transport.callers.const import CONNECTION_INBOX_MESSAGES
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketPort

NewConnection = Callable[[SocketPort, Mailbox[Any]], CallerConnection]


class _AcceptProtocol(asyncio.Protocol):
    """Reports an accepted socket before its TLS handshake.

    The listener can then count connections that are still in their handshake. The TLS
    listener of asyncio reports a connection only after the handshake.
    """

    def __init__(self, on_connected: Callable[[asyncio.Transport], None]) -> None:
        self._on_connected = on_connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report a new socket; nothing is read until the handshake begins."""
        socket_transport = cast(asyncio.Transport, transport)
        socket_transport.pause_reading()
        self._on_connected(socket_transport)


class CallerListener:
    """Accepts connections from callers up to a limit.

    A connection over the limit is closed at once. Nothing has been read from it, so
    none of its requests has run.
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
        self._refused_count = 0

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks)

    @property
    def refused_connections(self) -> int:
        """Return the number of connections closed because of the limit."""
        return self._refused_count

    async def async_start(self, address: Address) -> Address:
        """Listen and return the address in use; raises OSError if it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._new_protocol, address.ip, address.port, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.ip, port)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()

    async def async_wait_idle(self, timeout: float) -> bool:
        """Wait until no connection is open; return False on timeout.

        Connections that are accepted meanwhile count too. `timeout` is in seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while self._tasks:
            remaining = deadline - loop.time()
            if remaining <= 0:
                return False
            await asyncio.wait(set(self._tasks), timeout=remaining)
        return True

    def abort(self) -> None:
        """Cancel all connection tasks."""
        for task in self._tasks:
            task.cancel()

    def _new_protocol(self) -> asyncio.Protocol:
        if self._tls is not None:
            return _AcceptProtocol(self._accept_tls)
        mailbox: Mailbox[Any] = Mailbox(CONNECTION_INBOX_MESSAGES)
        return SocketPort(mailbox, lambda port: self._accept(port, mailbox))

    def _accept(self, port: SocketPort, mailbox: Mailbox[Any]) -> None:
        if self._is_full():
            port.abort()
            return
        self._start_task(self._async_serve(port, mailbox))

    def _accept_tls(self, transport: asyncio.Transport) -> None:
        if self._is_full():
            transport.abort()
            return
        self._start_task(self._async_serve_tls(transport))

    def _is_full(self) -> bool:
        if len(self._tasks) < self._max_connections:
            return False
        self._refused_count += 1
        return True

    def _start_task(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def _async_serve_tls(self, transport: asyncio.Transport) -> None:
        """Perform the TLS handshake, then serve the connection."""
        assert self._tls is not None
        mailbox: Mailbox[Any] = Mailbox(CONNECTION_INBOX_MESSAGES)
        port = SocketPort(mailbox)
        try:
            tls_transport = await asyncio.get_running_loop().start_tls(
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
        if tls_transport is not None:
            port.connection_made(tls_transport)
            await self._async_serve(port, mailbox)

    async def _async_serve(self, port: SocketPort, mailbox: Mailbox[Any]) -> None:
        connection = self._new_connection(port, mailbox)
        self._on_opened(mailbox)
        try:
            await connection.async_run()
        finally:
            self._on_ended(mailbox)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("task of a caller connection failed")
