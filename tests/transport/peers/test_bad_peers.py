"""Guards against peers that stop the listener with malformed or oversized data."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio
from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from catkinspan.daemon.clock import SystemClock
from catkinspan.protocol.peers.codec import MAX_FRAME_BYTES
from catkinspan.state.tree import Address
from catkinspan.transport.peers.const import LINK_METHOD
from catkinspan.transport.peers.raw_codec import RawCodec
from catkinspan.transport.peers.server import PeerServer
from tests.fleet import TEST_TIMEOUT_SECONDS, free_addresses

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


class PeerListener:
    def __init__(self, address: Address) -> None:
        self.address = address
        self.frames: list[bytes] = []
        self.server = PeerServer(
            lambda data, _: self.frames.append(data), None, SystemClock()
        )

    async def send(self, message: bytes) -> None:
        """Send one message and wait for the end of the stream."""
        channel = Channel(self.address.ip, self.address.port, codec=RawCodec())
        method = StreamStreamMethod[bytes, bytes](channel, LINK_METHOD, bytes, bytes)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS), method.open() as stream:
                await stream.send_message(message, end=True)
                await stream.recv_message()
        finally:
            channel.close()


@pytest_asyncio.fixture
async def listener() -> AsyncIterator[PeerListener]:
    faults: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, c: faults.append(c))
    running = PeerListener(free_addresses(1)[0])
    await running.server.async_start(running.address)
    yield running
    await running.send(b"after")
    assert running.frames[-1] == b"after"
    await running.server.async_stop()
    assert faults == []


async def test_message_over_the_limit_is_refused(listener: PeerListener) -> None:
    """Guards against unbounded memory, since grpclib buffers any announced size."""
    with pytest.raises(GRPCError) as refused:
        await listener.send(b"x" * (MAX_FRAME_BYTES + 1))
    assert refused.value.status is Status.RESOURCE_EXHAUSTED
    assert listener.frames == []
    await listener.send(b"x" * MAX_FRAME_BYTES)
    assert [len(frame) for frame in listener.frames] == [MAX_FRAME_BYTES]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00" * 100_000,
        PREFACE + b"\xff" * 100_000,
        PREFACE + b"\x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x04\xff\xff\xff\xff",
        PREFACE + b"\x00\x00\x04\x01\x05\x00\x00\x00\x01\xff\xff\xff\xff",
        PREFACE + b"\x00\x00\x00\x04\x00\x00\x00\x00\x00" * 1000,
    ],
)
async def test_bytes_that_are_not_a_valid_stream_are_tolerated(
    listener: PeerListener, data: bytes
) -> None:
    _, writer = await asyncio.open_connection(
        listener.address.ip, listener.address.port
    )
    writer.write(data)
    await asyncio.sleep(0.1)
    writer.transport.abort()
    await asyncio.sleep(0.05)
