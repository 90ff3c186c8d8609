import asyncio
from datetime import UTC, datetime
from random import Random

import orjson
from attrs import define
from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from catkinspan.coordination.configuration.models import Freshness, Pull
from catkinspan.coordination.models import PeerMessage
from catkinspan.daemon.clock import SystemClock
from catkinspan.state.ids import HostId, Revision
from catkinspan.transport.peers.const import LINK_METHOD, MAX_LINK_QUEUE_SECONDS
from catkinspan.transport.peers.link import PeerLink
from catkinspan.transport.peers.raw_codec import RawCodec
from catkinspan.transport.peers.server import PeerServer
from tests.fleet import free_addresses

WAIT_SECONDS = 5.0
ENDLESS_BYTES = 1024 * 1024


@define
class _SteppedClock:
    """The clock of the event loop, which a test can step forward."""

    offset: float = 0.0

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time() + self.offset

    def now(self) -> datetime:
        return datetime.now(UTC)

    def suspended(self) -> float:
        return 0.0


def _encode(messages: list[PeerMessage]) -> bytes:
    return orjson.dumps([type(message).__name__ for message in messages])


async def test_outdated_messages_are_dropped_and_not_sent_before_new_ones() -> None:
    received: asyncio.Queue[bytes] = asyncio.Queue()
    (address,) = free_addresses(1)
    server = PeerServer(
        lambda frame, _: received.put_nowait(frame), None, SystemClock()
    )
    await server.async_start(address)
    clock = _SteppedClock()
    link = PeerLink(HostId("host-2"), address, _encode, clock, Random(1), None)
    for _ in range(3):
        link.post(Freshness(Revision(1), 0))
    clock.offset += 1.5 * MAX_LINK_QUEUE_SECONDS
    link.post(Pull(Revision(1)))
    task = asyncio.create_task(link.async_run())
    async with asyncio.timeout(WAIT_SECONDS):
        assert orjson.loads(await received.get()) == ["Pull"]
    assert link.dropped_messages == 3
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await server.async_stop()


async def test_endless_acknowledgement_ends_the_stream() -> None:
    """Guards against a peer whose acknowledgement is buffered at any size."""

    async def respond(stream: Stream[bytes, bytes]) -> None:
        await stream.recv_message()
        await stream.send_message(b"+" * ENDLESS_BYTES)

    class Service:
        def __mapping__(self) -> dict[str, Handler]:
            handler = Handler(respond, Cardinality.STREAM_STREAM, bytes, bytes)
            return {LINK_METHOD: handler}

    (address,) = free_addresses(1)
    server = Server([Service()], codec=RawCodec())
    await server.start(address.ip, address.port)
    link = PeerLink(HostId("host-2"), address, _encode, SystemClock(), Random(1), None)
    link.post(Pull(Revision(1)))
    task = asyncio.create_task(link.async_run())
    async with asyncio.timeout(WAIT_SECONDS):
        while not link.dropped_messages:
            await asyncio.sleep(0.02)
    assert link.sent_bytes == 0
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    server.close()
    await server.wait_closed()
