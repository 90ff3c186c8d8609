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
from catkinspan.transport.upstreams.const import IDLE_MARGIN_SECONDS

MAX_HEAD_BYTES = 64 * 1024
_ANY_HOST = [(b"host", b"upstream")]


class UpstreamConnection:
    """A socket and its HTTP state; owned by one task at a time."""

    def __init__(self, server: ServerId, port: SocketPort) -> None:
        self._server = server
        self._port = port
        self._http = _client_state()
        self._idle_since = 0.0
        self._idle_until = float("inf")

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
    def idle_until(self) -> float:
        """Return when the server may close the idle connection, with a margin."""
        return self._idle_until

    @property
    def is_clean(self) -> bool:
        """Return whether the connection is open and no byte of it is unread."""
        return not self._port.is_closed and self._port.unread == 0

    def expect_again(self, method: bytes, received: bytes) -> None:
        """Read another response to the request that was sent, from its first byte.

        The HTTP state allows one response to a request, so that a new state is made
        as if the request had been sent on it; nothing is written.
        """
        self._http = _client_state()
        # Only the method bears on how a response is read.
        self._http.send(h11.Request(method=method, target=b"/", headers=_ANY_HOST))
        self._http.send(h11.EndOfMessage())
        if received:
            self._http.receive_data(received)

    def reset_cycle(self, now: float, idle_seconds: float | None) -> bool:
        """Prepare for the next exchange; False if the connection must be closed.

        `idle_seconds` is how long the server keeps the connection, if it says so.
        A byte after the end of the response makes the connection unusable, since it
        cannot be told to which request it belongs.
        """
        trailing, _ = self._http.trailing_data
        states = (self._http.our_state, self._http.their_state)
        if trailing or not self.is_clean or states != (h11.DONE, h11.DONE):
            return False
        self._http.start_next_cycle()
        self._idle_since = now
        if idle_seconds is not None:
            self._idle_until = now + idle_seconds - IDLE_MARGIN_SECONDS
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
