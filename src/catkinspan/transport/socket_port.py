"""A socket whose received bytes become messages in its owner's mailbox."""

import asyncio
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Any, cast

from attrs import frozen

from catkinspan.transport.mailbox import Mailbox

_LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER on with 0 s: closing sends a reset instead of an ordinary end."""

READ_AHEAD_BYTES = 256 * 1024
"""Unread bytes after which the socket is not read further."""


@frozen
class SocketData:
    """Bytes that a socket received."""

    port: "SocketPort"
    data: bytes


@frozen
class SocketClosed:
    """A socket was closed by the other side or failed."""

    port: "SocketPort"
    clean: bool = True
    """False if the connection was reset."""


class SocketPort(asyncio.Protocol):
    """Posts `SocketData` and `SocketClosed` to the mailbox of the task that owns it.

    The owner acknowledges data by `consumed`; reading stops while too many bytes are
    unacknowledged. Ownership moves to another task by `attach`.
    """

    def __init__(
        self,
        mailbox: Mailbox[Any],
        on_connected: Callable[["SocketPort"], None] | None = None,
    ) -> None:
        self._mailbox = mailbox
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._unread = 0
        self._reading = True
        self._closed = False
        self._writable: asyncio.Future[None] | None = None

    @property
    def is_closed(self) -> bool:
        """Return whether the socket is closed."""
        return self._closed

    @property
    def unread(self) -> int:
        """Return the received bytes that the owner has not acknowledged."""
        return self._unread

    @property
    def peer_certificate(self) -> Mapping[str, Any] | None:
        """Return the verified certificate of the other side; None without one."""
        if self._transport is None:
            return None
        secure = self._transport.get_extra_info("ssl_object")
        return None if secure is None else secure.getpeercert()

    def attach(self, mailbox: Mailbox[Any]) -> None:
        """Send later messages to another mailbox."""
        self._mailbox = mailbox

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Post received bytes."""
        self._unread += len(data)
        self._mailbox.force(SocketData(self, data))
        if self._reading and self._unread > READ_AHEAD_BYTES:
            self._reading = False
            self._pause_reading()

    def eof_received(self) -> bool:
        """Close the connection at the end of the other side's data."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Post the end of the connection."""
        if self._closed:
            return
        self._closed = True
        self._release_writer()
        self._mailbox.force(SocketClosed(self, clean=exc is None))

    def pause_writing(self) -> None:
        """Make writers wait until the socket's buffer has drained."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._release_writer()

    def consumed(self, size: int) -> None:
        """Acknowledge bytes, so that the socket may be read further."""
        self._unread -= size
        if not self._reading and self._unread <= READ_AHEAD_BYTES // 2:
            self._reading = True
            if self._transport is not None and not self._closed:
                self._transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Write bytes; they are dropped if the socket is closed."""
        if self._transport is not None and not self._closed:
            self._transport.write(data)

    async def async_drain(self) -> None:
        """Wait until the socket's buffer has room."""
        if self._writable is not None:
            await self._writable

    def close(self) -> None:
        """Close the socket after its buffered bytes are sent."""
        if self._transport is not None and not self._closed:
            self._closed = True
            self._release_writer()
            self._transport.close()

    def abort(self) -> None:
        """Close the socket at once and drop its buffered bytes."""
        if self._transport is not None and not self._closed:
            self._closed = True
            self._release_writer()
            self._transport.abort()

    def reset(self) -> None:
        """Close the socket at once with a reset, also for a caller that would take
        an ordinary end for the end of the answer."""
        if self._transport is None or self._closed:
            return
        raw = self._transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.abort()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _release_writer(self) -> None:
        writable, self._writable = self._writable, None
        if writable is not None and not writable.done():
            writable.set_result(None)
