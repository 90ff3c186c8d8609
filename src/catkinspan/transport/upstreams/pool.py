"""The task that owns idle connections and counts the open ones."""

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
    IDLE_SECONDS,
    POOL_INBOX,
    SWEEP_SECONDS,
)


@frozen
class OpenPermit:
    """Leave to open a new connection; ends with `ConnectionGone` or `GiveBack`."""

    server: ServerId


@frozen
class ConnectionLimitReached:
    """All connections that this host may have to a server are in use."""

    server: ServerId
    limit: int


PoolReply = UpstreamConnection | OpenPermit | ConnectionLimitReached


@frozen
class TakeConnection:
    """Ask for an idle connection, or for leave to open one."""

    server: ServerId
    limit: int
    max_idle: float
    """Longest idle time in seconds of an acceptable connection."""

    mailbox: Mailbox[Any]
    """Receives the bytes of the connection from now on."""

    reply: "asyncio.Future[PoolReply]"


@frozen
class GiveBack:
    """Return a connection that is ready for its next exchange."""

    connection: UpstreamConnection


@frozen
class ConnectionGone:
    """A connection was closed, or could not be opened."""

    server: ServerId


PoolMessage = TakeConnection | GiveBack | ConnectionGone | SocketData | SocketClosed


class PoolTask:
    """Keeps idle connections by server and bounds the open ones.

    Any byte on an idle connection closes it: the byte belongs to no request.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._inbox: Mailbox[PoolMessage] = Mailbox(POOL_INBOX)
        self._idle: dict[ServerId, deque[UpstreamConnection]] = {}
        self._by_port: dict[SocketPort, UpstreamConnection] = {}
        self._open: dict[ServerId, int] = {}

    @property
    def inbox(self) -> Mailbox[PoolMessage]:
        """Return the inbox for `PoolMessage` instances."""
        return self._inbox

    async def async_run(self) -> None:
        """Serve the inbox until cancelled, then close the idle connections."""
        next_sweep = self._clock.monotonic() + SWEEP_SECONDS
        try:
            while True:
                message = await self._inbox.async_get_until(next_sweep)
                if message is not None:
                    self._handle(message)
                if self._clock.monotonic() >= next_sweep:
                    self._sweep()
                    next_sweep = self._clock.monotonic() + SWEEP_SECONDS
        finally:
            for connection in list(self._by_port.values()):
                connection.port.close()

    def _handle(self, message: PoolMessage) -> None:
        match message:
            case TakeConnection():
                if not message.reply.done():
                    message.reply.set_result(self._take(message))
            case GiveBack(connection):
                self._give_back(connection)
            case ConnectionGone(server):
                self._count_closed(server)
            case SocketData(port) | SocketClosed(port):
                self._drop(port)

    def _take(self, wanted: TakeConnection) -> PoolReply:
        oldest = self._clock.monotonic() - wanted.max_idle
        idle = self._idle.get(wanted.server, deque())
        while idle:
            connection = idle.pop()
            del self._by_port[connection.port]
            now = self._clock.monotonic()
            is_fresh = connection.idle_since >= oldest and now < connection.idle_until
            if connection.is_clean and is_fresh:
                connection.port.attach(wanted.mailbox)
                return connection
            connection.port.close()
            self._count_closed(wanted.server)
        if self._open.get(wanted.server, 0) >= wanted.limit:
            return ConnectionLimitReached(wanted.server, wanted.limit)
        self._open[wanted.server] = self._open.get(wanted.server, 0) + 1
        return OpenPermit(wanted.server)

    def _give_back(self, connection: UpstreamConnection) -> None:
        if not connection.is_clean:
            connection.port.close()
            self._count_closed(connection.server)
            return
        connection.port.attach(self._inbox)
        self._by_port[connection.port] = connection
        self._idle.setdefault(connection.server, deque()).append(connection)

    def _drop(self, port: SocketPort) -> None:
        connection = self._by_port.pop(port, None)
        if connection is None:
            return
        if not port.is_closed:
            logger.info("closing idle connection to {}: late bytes", connection.server)
        port.close()
        self._idle[connection.server].remove(connection)
        self._count_closed(connection.server)

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        for connection in list(self._by_port.values()):
            is_old = connection.idle_since < now - IDLE_SECONDS
            if is_old or now >= connection.idle_until:
                self._drop_old(connection)

    def _drop_old(self, connection: UpstreamConnection) -> None:
        del self._by_port[connection.port]
        self._idle[connection.server].remove(connection)
        connection.port.close()
        self._count_closed(connection.server)

    def _count_closed(self, server: ServerId) -> None:
        left = self._open.get(server, 0) - 1
        if left > 0:
            self._open[server] = left
            return
        self._open.pop(server, None)
        if not self._idle.get(server):
            self._idle.pop(server, None)
