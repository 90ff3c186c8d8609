"""One connection to an upstream server."""

import asyncio
import ssl
from typing import Any

import h11

from catkinspan.state.ids import ServerId
from catkinspan.state.tree import Address
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketPort
from catkinspan.transport.tls import check_server

MAX_HEAD_BYTES = 64 * 1024


class UpstreamConnection:
    """A socket and its HTTP state; owned by one task at a time."""

    def __init__(self, server: ServerId, port: SocketPort) -> None:
        self._server = server
        self._port = port
        self._http = _client_state()
        self._idle_since = 0.0

    @property
    def server(self) -> ServerId:
        """Return the server at the other end."""
        return self._server

    @property
    def port(self) -> SocketPort:
        """Return the socket."""
        return self._port

    @property
    def http(self) -> h11.Connection:
        """Return the HTTP state."""
        return self._http

    @property
    def idle_since(self) -> float:
        """Return the monotonic seconds since which the connection is idle."""
        return self._idle_since

    @property
    def is_clean(self) -> bool:
        """Return whether the connection is open and no byte of it is unread."""
        return not self._port.is_closed and self._port.unread == 0

    def reset_cycle(self, now: float) -> bool:
        """Prepare for the next exchange; False if the connection must be closed.

        A byte after the end of the response makes the connection unusable, since it
        cannot be told to which request it belongs.
        """
        trailing, _ = self._http.trailing_data
        states = (self._http.our_state, self._http.their_state)
        if trailing or not self.is_clean or states != (h11.DONE, h11.DONE):
            return False
        self._http.start_next_cycle()
        self._idle_since = now
        return True


async def async_open_connection(
    server: ServerId,
    address: Address,
    mailbox: Mailbox[Any],
    tls: ssl.SSLContext | None,
) -> UpstreamConnection:
    """Open a connection whose bytes go to a mailbox.

    Raises OSError or TimeoutError if the server cannot be reached, or if its
    certificate belongs to another one.
    """
    loop = asyncio.get_running_loop()
    _, port = await loop.create_connection(
        lambda: SocketPort(mailbox),
        address.ip,
        address.port,
        ssl=tls,
        server_hostname=address.ip if tls else None,
    )
    if tls is not None:
        try:
            check_server(port.peer_certificate, address.ip, server)
        except OSError:
            port.abort()
            raise
    return UpstreamConnection(server, port)


def _client_state() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
