"""The peers' listener: streams of frames from other hosts."""

import ssl
from collections.abc import Callable

from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from catkinspan.state.tree import Address
from catkinspan.transport.peers.const import LINK_METHOD
from catkinspan.transport.peers.raw_codec import RawCodec


class _LinkService:
    """Hands the frames of incoming streams over."""

    def __init__(self, on_frame: Callable[[bytes], None]) -> None:
        self._on_frame = on_frame

    async def _async_link(self, stream: Stream[bytes, bytes]) -> None:
        async for frame in stream:
            self._on_frame(frame)

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(self._async_link, Cardinality.STREAM_STREAM, bytes, bytes)
        return {LINK_METHOD: handler}


class PeerServer:
    """Listens for the streams of other hosts."""

    def __init__(
        self, on_frame: Callable[[bytes], None], tls: ssl.SSLContext | None
    ) -> None:
        self._tls = tls
        self._server = Server([_LinkService(on_frame)], codec=RawCodec())

    async def async_start(self, address: Address) -> None:
        """Start to listen; raises OSError if the address is not free."""
        await self._server.start(address.ip, address.port, ssl=self._tls)

    async def async_stop(self) -> None:
        """Close the listener and its streams."""
        self._server.close()
        await self._server.wait_closed()
