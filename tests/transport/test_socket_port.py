"""Sockets of peers that send without end, without a network."""

from typing import Any

from attrs import define, field

from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import READ_AHEAD_BYTES, SocketPort

INBOX_LIMIT = 16
MAX_QUEUED_READS = 4096
"""Each queued read takes about 150 bytes, so that many take 0.6 MB."""


@define
class FakeTransport:
    """Records what a port asks of its transport."""

    is_reading: bool = True
    closing: bool = False
    calls: list[str] = field(factory=list)

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.closing = True
        self.calls.append("close")


def connected_port() -> tuple[SocketPort, Any, Mailbox[Any]]:
    mailbox: Mailbox[Any] = Mailbox(INBOX_LIMIT)
    port, transport = SocketPort(mailbox), FakeTransport()
    port.connection_made(transport)  # type: ignore[arg-type]
    return port, transport, mailbox


def test_endless_single_bytes_pause_reading() -> None:
    """Guards against a limit on bytes alone: a small read takes 100 times its size."""
    port, transport, mailbox = connected_port()
    while transport.is_reading and len(mailbox) <= READ_AHEAD_BYTES:
        port.data_received(b"x")
    assert len(mailbox) <= MAX_QUEUED_READS
    while len(mailbox):
        port.acknowledge(len(mailbox.get_nowait().data))
    assert transport.is_reading
    assert port.unacknowledged_bytes == 0


def test_closed_port_queues_no_endless_bytes() -> None:
    """Guards against TLS, which delivers data until the peer has closed too."""
    port, _, mailbox = connected_port()
    port.close()
    for _ in range(10):
        port.data_received(b"x" * READ_AHEAD_BYTES)
    assert len(mailbox) == 0
