"""Responses that are buffered until they are forwarded, without a network."""

import sys
from typing import Any, cast

import pytest

from catkinspan.coordination.requests.models import Assigned
from catkinspan.state.ids import RequestId, RouteId, ServerId, ServiceId, WorkspaceId
from catkinspan.state.tree import Address
from catkinspan.transport.callers.response import RunningAttempt

HOLD_BYTES = 256 * 1024
MAX_MEMORY_RATIO = 2.0


def running_attempt() -> RunningAttempt:
    assigned = Assigned(
        request_id=RequestId("r1"),
        attempt=1,
        service=ServiceId("prints"),
        route=RouteId("jobs"),
        workspace=WorkspaceId("studio"),
        server=ServerId("server-1"),
        address=Address("127.0.0.1", 1),
        deadline=1e9,
        attempt_timeout=60.0,
        usual=0.1,
        hold_bytes=HOLD_BYTES,
        idempotent=False,
        max_body_bytes=0,
        connection_limit=1,
    )
    return RunningAttempt(cast(Any, None), cast(Any, None), assigned)


def memory_of(buffer: Any) -> int:
    parts = buffer if isinstance(buffer, list) else []
    return sys.getsizeof(buffer) + sum(sys.getsizeof(part) for part in parts)


@pytest.mark.parametrize("size", [2, 100, 16 * 1024])
def test_buffer_of_small_chunks_takes_about_their_size(size: int) -> None:
    """Guards against endless small chunks that each take 20 times their size."""
    running = running_attempt()
    data = bytes(range(size % 256)) + b"y" * (size - size % 256)
    while not running.append_to_buffer(bytes(bytearray(data))):
        pass
    assert HOLD_BYTES < running.buffered_bytes <= HOLD_BYTES + size
    assert memory_of(running.buffer) <= MAX_MEMORY_RATIO * HOLD_BYTES
