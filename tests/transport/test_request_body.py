"""Request bodies of many small chunks, without a network."""

import h11
import pytest

from catkinspan.protocol.http.const import BODY_PREFIX_BYTES
from catkinspan.protocol.http.heads import parse_head
from catkinspan.testing.clock import VirtualClock
from catkinspan.transport.callers.body import BodyStatus, RequestBody
from catkinspan.transport.callers.stream import CallerStream
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketData, SocketPort

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 10 * 1024 * 1024
MAX_CHUNKS_PER_TURN = 512
"""A chunk takes about 24 microseconds, so that many take 12 ms."""

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunked_body(data: bytes) -> RequestBody:
    """Return a body of which `data` has been received after the head."""
    port = SocketPort(Mailbox(16))
    stream = CallerStream(port, MAX_HEAD_BYTES)
    stream.receive(SocketData(port, HEAD))
    request = stream.next_event()
    assert isinstance(request, h11.Request)
    head = parse_head(request).unwrap()
    stream.receive(SocketData(port, data))
    return RequestBody(stream, head, 5.0, VirtualClock())


@pytest.mark.parametrize("size", [1, 7])
def test_other_tasks_run_while_endless_small_chunks_are_read(size: int) -> None:
    """Guards against a caller that takes the event loop for a second."""
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    body = chunked_body(chunk * (2 * BODY_PREFIX_BYTES // size))
    status = body.start(MAX_BODY_BYTES)
    read_bytes, turns = len(body.prefix), 1
    assert read_bytes <= MAX_CHUNKS_PER_TURN * size
    while status is BodyStatus.PAUSED:
        status = body.read_prefix()
        assert len(body.prefix) - read_bytes <= MAX_CHUNKS_PER_TURN * size
        read_bytes = len(body.prefix)
        turns += 1
    assert status is BodyStatus.READY
    assert read_bytes >= BODY_PREFIX_BYTES


def test_paused_body_is_read_to_its_end() -> None:
    body = chunked_body(b"1\r\nx\r\n" * 3000 + b"0\r\n\r\n")
    status = body.start(MAX_BODY_BYTES)
    while status is BodyStatus.PAUSED:
        status = body.read_prefix()
    assert status is BodyStatus.READY
    assert body.is_complete
    assert body.prefix == b"x" * 3000
