"""The task that owns the datagram socket between hosts."""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import frozen
from loguru import logger

from catkinspan.state.tree import Address
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.peers.const import DATAGRAM_INBOX_MESSAGES


@frozen
class Datagram:
    """A frame to send."""

    destination: Address
    frame: bytes


class _ReceiverProtocol(asyncio.DatagramProtocol):
    """Passes received frames to a callback."""

    def __init__(self, on_frame: Callable[[bytes], None]) -> None:
        self._on_frame = on_frame

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass on a received frame."""
        self._on_frame(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer; missing heartbeats reveal it."""
        logger.debug("datagram could not be delivered: {!r}", exc)


class DatagramTask:
    """Sends and receives small frames without retransmission.

    Retransmission is not needed, since all peer protocols repeat their messages.
    Datagrams avoid the flow control and the acknowledgements of a stream and do not
    depend on a connection that can become unresponsive.
    """

    def __init__(self, on_frame: Callable[[bytes], None]) -> None:
        self._on_frame = on_frame
        self._inbox: Mailbox[Datagram] = Mailbox(DATAGRAM_INBOX_MESSAGES)
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = 0

    @property
    def inbox(self) -> Mailbox[Datagram]:
        """Return the inbox for frames to send."""
        return self._inbox

    @property
    def sent_bytes(self) -> int:
        """Return the number of bytes in the frames sent."""
        return self._sent_bytes

    async def async_start(self, address: Address) -> None:
        """Open the socket; raises OSError if the address is in use."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _ReceiverProtocol(self._on_frame),
            local_addr=(address.ip, address.port),
        )
        self._transport = transport

    async def async_run(self) -> None:
        """Send posted frames until cancelled, then close the socket."""
        try:
            while True:
                self._send(await self._inbox.async_get())
        finally:
            if self._transport is not None:
                self._transport.close()

    def _send(self, datagram: Datagram) -> None:
        if self._transport is None:
            return
        destination = datagram.destination
        try:
            self._transport.sendto(datagram.frame, (destination.ip, destination.port))
        except (OSError, ValueError, OverflowError) as error:
            # A peer may announce an address to which this socket cannot send, such as
            # one of another IP version.
            logger.debug("datagram to {} dropped: {!r}", destination, error)
            return
        self._sent_bytes += len(datagram.frame)
