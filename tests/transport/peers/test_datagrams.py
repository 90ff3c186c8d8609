"""Small frames between hosts are sent as datagrams, large ones on streams."""

import asyncio
from random import Random
from typing import Any

from catkinspan.coordination.configuration.models import CopyPart, Document
from catkinspan.coordination.host.coordinator import PEER_MESSAGES, HostCoordinator
from catkinspan.coordination.membership.models import Heartbeat
from catkinspan.coordination.models import Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.daemon.clock import SystemClock
from catkinspan.daemon.host_task import HostTask
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.protocol.settings.documents import TreeDocuments
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import DataCentre, HostId, Revision
from catkinspan.state.tree import Address
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.peers.const import MAX_DATAGRAM_BYTES
from catkinspan.transport.peers.datagrams import Datagram, DatagramTask
from tests.fleet import free_addresses

PEER = Address("127.0.0.1", 9)
WAIT_SECONDS = 5.0


class _FakeLink:
    def __init__(self) -> None:
        self.address = PEER
        self.posted: list[Any] = []

    def post(self, message: Any) -> None:
        self.posted.append(message)

    async def async_run(self) -> None:
        await asyncio.Event().wait()


def _record() -> HostRecord:
    return HostRecord(HostId("host-1"), DataCentre("north"), Address("127.0.0.1", 8), 1)


def _host_task(link: _FakeLink, datagrams: Mailbox[Datagram] | None) -> HostTask:
    coordinator = HostCoordinator(
        _record(), (), TreeDocuments(), Outbox(), Random(1), 100, 0.0
    )
    codec = PeerCodec(PEER_MESSAGES)
    return HostTask(
        coordinator,
        Sender(HostId("host-1"), 1),
        codec,
        SystemClock(),
        lambda *_: link,  # type: ignore[arg-type, return-value]
        Mailbox(8),
        datagrams,
    )


def _large_message() -> CopyPart:
    # Random text, since the codec compresses a large message.
    text = Random(1).randbytes(2 * MAX_DATAGRAM_BYTES).hex()
    document = Document("a", Revision(1), text)
    return CopyPart(Revision(1), 0, (document,), True)


async def test_frame_reaches_the_other_socket() -> None:
    """Guards against datagrams that do not reach the other host."""
    received: asyncio.Queue[bytes] = asyncio.Queue()
    (address,) = free_addresses(1)
    receiver = DatagramTask(received.put_nowait)
    sender = DatagramTask(received.put_nowait)
    await receiver.async_start(address)
    await sender.async_start(Address("127.0.0.1", 0))
    tasks = [asyncio.create_task(t.async_run()) for t in (receiver, sender)]
    sender.inbox.post(Datagram(address, b"frame"))
    async with asyncio.timeout(WAIT_SECONDS):
        assert await received.get() == b"frame"
    assert sender.sent_bytes == len(b"frame")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_large_message_uses_the_stream() -> None:
    """Guards against frames that do not fit into a packet, which would be lost."""
    link, datagrams = _FakeLink(), Mailbox[Datagram](64)
    host = _host_task(link, datagrams)
    small, large = Heartbeat(_record()), _large_message()
    host._send(PEER, [small, large, small])
    assert link.posted == [large]
    assert host.sent_bytes_by_message["CopyPart"] > MAX_DATAGRAM_BYTES
    assert 0 < host.sent_bytes_by_message["Heartbeat"] < MAX_DATAGRAM_BYTES
    assert len(datagrams) == 1
    assert len(datagrams.get_nowait().frame) <= MAX_DATAGRAM_BYTES


async def test_messages_fill_several_datagrams() -> None:
    """Guards against one datagram that grows with the number of messages."""
    link, datagrams = _FakeLink(), Mailbox[Datagram](64)
    host = _host_task(link, datagrams)
    host._send(PEER, [Heartbeat(_record())] * 40)
    frames = [datagrams.get_nowait().frame for _ in range(len(datagrams))]
    assert len(frames) > 1
    assert max(map(len, frames)) <= MAX_DATAGRAM_BYTES + 100
    assert link.posted == []


async def test_hosts_with_certificates_use_streams_only() -> None:
    """Guards against messages whose sender no certificate verifies."""
    link = _FakeLink()
    host = _host_task(link, None)
    small = Heartbeat(_record())
    host._send(PEER, [small])
    assert link.posted == [small]
