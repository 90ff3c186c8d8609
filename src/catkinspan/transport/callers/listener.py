"""The callers' listener: one task for each connection."""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any

from loguru import logger

from catkinspan.state.tree import Address
from catkinspan.transport.callers.connection import CallerConnection
from catkinspan.transport.callers.const import CONNECTION_INBOX
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketPort

NewConnection = Callable[[SocketPort, Mailbox[Any]], CallerConnection]


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
        tls: Callable[[], ssl.SSLContext | None],
    ) -> None:
        self._new_connection = new_connection
        self._on_opened = on_opened
        self._on_ended = on_ended
        self._max_connections = max_connections
        self._tls = tls
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
            self._new_port, address.ip, address.port, ssl=self._tls(), backlog=1024
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

    def _new_port(self) -> SocketPort:
        mailbox: Mailbox[Any] = Mailbox(CONNECTION_INBOX)
        return SocketPort(mailbox, lambda port: self._accept(port, mailbox))

    def _accept(self, port: SocketPort, mailbox: Mailbox[Any]) -> None:
        if len(self._tasks) >= self._max_connections:
            self._refused += 1
            port.abort()
            return
        connection = self._new_connection(port, mailbox)
        task = asyncio.create_task(connection.async_run())
        self._tasks.add(task)
        self._on_opened(mailbox)
        task.add_done_callback(lambda done: self._end(done, mailbox))

    def _end(self, task: "asyncio.Task[None]", mailbox: Mailbox[Any]) -> None:
        self._tasks.discard(task)
        self._on_ended(mailbox)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("connection task failed")
