"""The listener for streams of frames from other hosts."""

import asyncio
import ssl
from collections.abc import Callable

from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from catkinspan.coordination.clock import Clock
from catkinspan.protocol.peers.codec import MAX_FRAME_BYTES
from catkinspan.state.tree import Address
from catkinspan.transport.peers.const import (
    ACKNOWLEDGE_INTERVAL_SECONDS,
    ACKNOWLEDGEMENT,
    LINK_METHOD,
)
from catkinspan.transport.peers.message_limit import limit_message_size
from catkinspan.transport.peers.raw_codec import RawCodec
from catkinspan.transport.tls import dns_names

OnFrame = Callable[[bytes, frozenset[str] | None], None]
"""Receives a frame and the host ids in the sender's certificate; None without TLS."""


class _LinkService:
    """Passes the frames of incoming streams to a callback."""

    def __init__(self, on_frame: OnFrame, secure: bool, clock: Clock) -> None:
        self._clock = clock
        self._on_frame = on_frame
        self._secure = secure

    async def _async_link(self, stream: Stream[bytes, bytes]) -> None:
        certified_names = dns_names(stream.peer.cert()) if self._secure else None
        limit_message_size(stream, MAX_FRAME_BYTES)
        try:
            acknowledged_at = float("-inf")
            async for frame in stream:
                self._on_frame(frame, certified_names)
                now = self._clock.monotonic()
                if now - acknowledged_at >= ACKNOWLEDGE_INTERVAL_SECONDS:
                    acknowledged_at = now
                    await stream.send_message(ACKNOWLEDGEMENT)
        except asyncio.CancelledError:
            # grpclib leaves connections open when the server stops, and the peer would
            # keep writing to this one.
            stream._stream.connection.close()
            raise

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(self._async_link, Cardinality.STREAM_STREAM, bytes, bytes)
        return {LINK_METHOD: handler}


class PeerServer:
    """Accepts the streams of other hosts."""

    def __init__(
        self, on_frame: OnFrame, tls: ssl.SSLContext | None, clock: Clock
    ) -> None:
        self._tls = tls
        service = _LinkService(on_frame, tls is not None, clock)
        self._server = Server([service], codec=RawCodec())
        self._is_listening = False

    async def async_start(self, address: Address) -> None:
        """Start to listen; raises OSError if the address is in use."""
        await self._server.start(address.ip, address.port, ssl=self._tls)
        self._is_listening = True

    async def async_stop(self) -> None:
        """Close the listener and its streams, if it was started."""
        if not self._is_listening:
            return
        self._server.close()
        await self._server.wait_closed()
