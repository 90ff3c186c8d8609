"""A socket that posts received bytes as messages to its owner's mailbox."""

import asyncio
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Any, cast

from attrs import frozen

from catkinspan.transport.mailbox import Mailbox

_LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of 0 s: closing sends RST instead of FIN."""

READ_AHEAD_BYTES = 256 * 1024
"""Unacknowledged bytes above which reading from the socket pauses."""

READ_AHEAD_READS = 1024
"""Unacknowledged reads above which reading pauses. A read of one byte takes about 150
bytes of memory, so a limit on bytes alone does not bound what small reads take."""


@frozen
class SocketData:
    """Bytes that a socket received."""

    port: "SocketPort"
    data: bytes


@frozen
class SocketClosed:
    """A socket was closed by the remote side or failed."""

    port: "SocketPort"
    clean: bool = True
    """False if the connection was reset."""


@frozen
class SocketDrained:
    """The buffer of a socket has space again, after `notify_when_drained`."""

    port: "SocketPort"


class SocketPort(asyncio.Protocol):
    """Posts `SocketData` and `SocketClosed` to the mailbox of the task that owns it.

    The owner acknowledges data with `acknowledge`; reading pauses while too many bytes
    are unacknowledged. `attach` moves ownership to another task.
    """

    def __init__(
        self,
        mailbox: Mailbox[Any],
        on_connected: Callable[["SocketPort"], None] | None = None,
    ) -> None:
        self._mailbox = mailbox
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._unacknowledged_bytes = 0
        self._unacknowledged_reads = 0
        self._reading = True
        self._closed = False
        self._has_ended = False
        self._end_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._notifies_when_drained = False

    @property
    def is_closed(self) -> bool:
        """Return whether the socket is closed."""
        return self._closed

    @property
    def unacknowledged_bytes(self) -> int:
        """Return the received bytes that the owner has not acknowledged."""
        return self._unacknowledged_bytes

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether written bytes have not been passed to the system yet."""
        if self._transport is None or self._closed:
            return False
        return self._transport.get_write_buffer_size() > 0

    @property
    def peer_certificate(self) -> Mapping[str, Any] | None:
        """Return the verified certificate of the remote side, or None."""
        if self._transport is None:
            return None
        secure = self._transport.get_extra_info("ssl_object")
        return None if secure is None else secure.getpeercert()

    def attach(self, mailbox: Mailbox[Any]) -> None:
        """Post later messages to another mailbox."""
        self._mailbox = mailbox

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Post received bytes.

        Those received after `close` are dropped: TLS delivers them until the remote
        side has closed too, and the owner does not read its mailbox any more.
        """
        if self._closed:
            return
        self._unacknowledged_bytes += len(data)
        self._unacknowledged_reads += 1
        self._mailbox.post_unbounded(SocketData(self, data))
        if self._reading and not self._may_read_ahead():
            self._reading = False
            self._pause_reading()

    def eof_received(self) -> bool:
        """Close the connection when the remote side ends its data."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Post the end of the connection."""
        self._has_ended = True
        if self._end_waiter is not None and not self._end_waiter.done():
            self._end_waiter.set_result(None)
        if self._closed:
            return
        self._closed = True
        self._wake_writer()
        self._mailbox.post_unbounded(SocketClosed(self, clean=exc is None))

    def pause_writing(self) -> None:
        """Make writers wait until the socket's buffer has drained."""
        if self._drain_waiter is None:
            self._drain_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake waiting writers."""
        self._wake_writer()
        if self._notifies_when_drained:
            self.notify_when_drained()

    def acknowledge(self, size: int, ends_read: bool = True) -> None:
        """Acknowledge bytes of one `SocketData`, so that reading can resume.

        `ends_read` tells whether these are the last bytes of that message.
        """
        self._unacknowledged_bytes -= size
        self._unacknowledged_reads -= ends_read
        if not self._reading and self._may_read_ahead(share=0.5):
            self._reading = True
            if self._transport is not None and not self._closed:
                self._transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Write bytes; drops them if the socket is closed."""
        if self._transport is not None and not self._closed:
            self._transport.write(data)

    def notify_when_drained(self) -> None:
        """Post one `SocketDrained` as soon as the socket's buffer has space."""
        self._notifies_when_drained = self._drain_waiter is not None
        if not self._notifies_when_drained:
            self._mailbox.post_unbounded(SocketDrained(self))

    async def async_drain(self) -> None:
        """Wait until the socket's buffer has space."""
        if self._drain_waiter is not None:
            await self._drain_waiter

    def close(self) -> None:
        """Close the socket after its buffered bytes have been sent."""
        if self._transport is not None and not self._closed:
            self._closed = True
            self._wake_writer()
            self._transport.close()

    async def async_wait_ended(self) -> None:
        """Wait until the bytes that `close` leaves are sent, or the socket failed."""
        if self._transport is None or self._has_ended:
            return
        self._end_waiter = asyncio.get_running_loop().create_future()
        await self._end_waiter

    def abort(self) -> None:
        """Close the socket at once and discard its buffered bytes."""
        if self._transport is not None and not self._closed:
            self._closed = True
            self._wake_writer()
            self._transport.abort()

    def reset(self) -> None:
        """Close the socket at once with a reset.

        A caller may take an ordinary close for the end of the response.
        """
        if self._transport is None or self._closed:
            return
        raw_socket = self._transport.get_extra_info("socket")
        if raw_socket is not None:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.abort()

    def _may_read_ahead(self, share: float = 1.0) -> bool:
        """Return whether the unacknowledged data is within a share of the limits."""
        return (
            self._unacknowledged_bytes <= share * READ_AHEAD_BYTES
            and self._unacknowledged_reads <= share * READ_AHEAD_READS
        )

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _wake_writer(self) -> None:
        waiter, self._drain_waiter = self._drain_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
