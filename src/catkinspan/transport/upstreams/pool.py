"""The task that owns idle connections and limits open connections per server."""

import asyncio
from collections import deque
from typing import Any

from attrs import frozen
from loguru import logger

from catkinspan.coordination.clock import Clock
from catkinspan.state.ids import ServerId
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketClosed, SocketData, SocketPort
from catkinspan.transport.upstreams.connection import UpstreamConnection
from catkinspan.transport.upstreams.const import (
    MAX_IDLE_SECONDS,
    POOL_INBOX_MESSAGES,
    SWEEP_INTERVAL_SECONDS,
)


@frozen
class OpenPermit:
    """Permission to open a connection.

    The holder must end it with `ReleaseConnection` or `ConnectionClosed`.
    """

    server: ServerId


@frozen
class ConnectionLimitReached:
    """This host has as many connections to a server as it may open."""

    server: ServerId
    limit: int


PoolReply = UpstreamConnection | OpenPermit | ConnectionLimitReached


@frozen
class AcquireConnection:
    """Requests an idle connection, or the permission to open one."""

    server: ServerId
    limit: int
    max_idle_seconds: float
    """Longest acceptable idle time of the connection."""

    mailbox: Mailbox[Any]
    """Receives the data of the connection from now on."""

    reply: "asyncio.Future[PoolReply]"


@frozen
class ReleaseConnection:
    """Returns a connection that is ready for its next exchange."""

    connection: UpstreamConnection


@frozen
class ConnectionClosed:
    """A connection was closed or could not be opened."""

    server: ServerId


PoolMessage = (
    AcquireConnection | ReleaseConnection | ConnectionClosed | SocketData | SocketClosed
)


class PoolTask:
    """Keeps idle connections by server and limits the open ones.

    An idle connection that receives data is closed, since the data belongs to no
    request.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._inbox: Mailbox[PoolMessage] = Mailbox(POOL_INBOX_MESSAGES)
        self._idle: dict[ServerId, deque[UpstreamConnection]] = {}
        self._by_port: dict[SocketPort, UpstreamConnection] = {}
        self._open_counts: dict[ServerId, int] = {}

    @property
    def inbox(self) -> Mailbox[PoolMessage]:
        """Return the inbox for `PoolMessage` instances."""
        return self._inbox

    async def async_run(self) -> None:
        """Serve the inbox until cancelled, then close the idle connections."""
        next_sweep = self._clock.monotonic() + SWEEP_INTERVAL_SECONDS
        try:
            while True:
                message = await self._inbox.async_get_until(next_sweep)
                if message is not None:
                    self._handle(message)
                if self._clock.monotonic() >= next_sweep:
                    self._sweep()
                    next_sweep = self._clock.monotonic() + SWEEP_INTERVAL_SECONDS
        finally:
            for connection in list(self._by_port.values()):
                connection.port.close()

    def _handle(self, message: PoolMessage) -> None:
        match message:
            case AcquireConnection():
                if not message.reply.done():
                    message.reply.set_result(self._acquire(message))
            case ReleaseConnection(connection):
                self._release(connection)
            case ConnectionClosed(server):
                self._decrement_open(server)
            case SocketData(port) | SocketClosed(port):
                self._on_idle_event(port)

    def _acquire(self, request: AcquireConnection) -> PoolReply:
        min_idle_since = self._clock.monotonic() - request.max_idle_seconds
        idle = self._idle.get(request.server, deque())
        while idle:
            connection = idle.pop()
            del self._by_port[connection.port]
            now = self._clock.monotonic()
            is_fresh = (
                connection.idle_since >= min_idle_since and now < connection.idle_until
            )
            if connection.is_clean and is_fresh:
                connection.port.attach(request.mailbox)
                return connection
            connection.port.close()
            self._decrement_open(request.server)
        if self._open_counts.get(request.server, 0) >= request.limit:
            return ConnectionLimitReached(request.server, request.limit)
        self._open_counts[request.server] = self._open_counts.get(request.server, 0) + 1
        return OpenPermit(request.server)

    def _release(self, connection: UpstreamConnection) -> None:
        if not connection.is_clean:
            connection.port.close()
            self._decrement_open(connection.server)
            return
        connection.port.attach(self._inbox)
        self._by_port[connection.port] = connection
        self._idle.setdefault(connection.server, deque()).append(connection)

    def _on_idle_event(self, port: SocketPort) -> None:
        connection = self._by_port.pop(port, None)
        if connection is None:
            return
        if not port.is_closed:
            logger.info(
                "closing idle connection to {}: it received data without a request",
                connection.server,
            )
        port.close()
        self._idle[connection.server].remove(connection)
        self._decrement_open(connection.server)

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        for connection in list(self._by_port.values()):
            is_old = connection.idle_since < now - MAX_IDLE_SECONDS
            if is_old or now >= connection.idle_until:
                self._close_expired(connection)

    def _close_expired(self, connection: UpstreamConnection) -> None:
        del self._by_port[connection.port]
        self._idle[connection.server].remove(connection)
        connection.port.close()
        self._decrement_open(connection.server)

    def _decrement_open(self, server: ServerId) -> None:
        remaining = self._open_counts.get(server, 0) - 1
        if remaining > 0:
            self._open_counts[server] = remaining
            return
        self._open_counts.pop(server, None)
        if not self._idle.get(server):
            self._idle.pop(server, None)
