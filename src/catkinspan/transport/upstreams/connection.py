"""A connection to an upstream server."""

import asyncio
import ssl
from typing import Any

import h11

from catkinspan.state.ids import ServerId
from catkinspan.state.tree import Address
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketPort
from catkinspan.transport.tls import verify_server_name
from catkinspan.transport.upstreams.const import IDLE_MARGIN_SECONDS

MAX_HEAD_BYTES = 64 * 1024
_PLACEHOLDER_HOST = [(b"host", b"upstream")]


class UpstreamConnection:
    """A socket and its h11 state, owned by one task at a time."""

    def __init__(self, server: ServerId, port: SocketPort) -> None:
        self._server = server
        self._port = port
        self._http = _new_http_client()
        self._had_exchange = False
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
        """Return the h11 connection state."""
        return self._http

    @property
    def had_exchange(self) -> bool:
        """Return whether the connection carried an earlier request."""
        return self._had_exchange

    @property
    def idle_since(self) -> float:
        """Return the monotonic time in seconds at which the connection became idle."""
        return self._idle_since

    @property
    def idle_until(self) -> float:
        """Return the monotonic time until which an idle connection is usable.

        It is the time at which the server may close it, less a margin.
        """
        return self._idle_until

    @property
    def is_clean(self) -> bool:
        """Return whether the connection is open without unread or unsent bytes."""
        port = self._port
        is_idle = port.unacknowledged_bytes == 0 and not port.has_unsent_bytes
        return is_idle and not port.is_closed

    def expect_another_response(self, method: bytes, received: bytes) -> None:
        """Prepare to read a second response to the request that was sent.

        h11 allows one response per request, so this creates a new state in which the
        request counts as sent. Nothing is written to the socket.
        """
        self._http = _new_http_client()
        # Response parsing depends on the method only, so the rest is a placeholder.
        self._http.send(
            h11.Request(method=method, target=b"/", headers=_PLACEHOLDER_HOST)
        )
        self._http.send(h11.EndOfMessage())
        if received:
            self._http.receive_data(received)

    def prepare_for_reuse(self, now: float, idle_seconds: float | None) -> bool:
        """Prepare for the next exchange; return False if the connection must be closed.

        `idle_seconds` is the idle timeout that the server announces, if any. Bytes
        after the end of the response make the connection unusable, since they cannot
        be matched to a request.
        """
        trailing, _ = self._http.trailing_data
        states = (self._http.our_state, self._http.their_state)
        if trailing or not self.is_clean or states != (h11.DONE, h11.DONE):
            return False
        self._http.start_next_cycle()
        self._had_exchange = True
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
    """Open a connection whose received bytes are posted to a mailbox.

    Raises OSError or TimeoutError if the server cannot be reached, or if its
    certificate names another server.
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
            verify_server_name(port.peer_certificate, address.ip, server)
        except OSError:
            port.abort()
            raise
    return UpstreamConnection(server, port)


def _new_http_client() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
