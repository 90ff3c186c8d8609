"""Tests of the log with slow readers: it never blocks and counts lost lines."""

import asyncio
import os
from collections.abc import Iterator

import orjson
import pytest

from catkinspan.daemon.logs import MAX_QUEUED_LINES, LineWriter

LINE = b'{"message":"' + b"x" * 200 + b'"}\n'


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _read_all(reader: int) -> bytes:
    parts = []
    while True:
        try:
            parts.append(os.read(reader, 1 << 20))
        except BlockingIOError:
            return b"".join(parts)


def test_line_outside_of_a_loop_is_written_at_once(pipe: tuple[int, int]) -> None:
    reader, descriptor = pipe
    LineWriter(descriptor).write(LINE)
    assert _read_all(reader) == LINE


async def test_stalled_reader_does_not_block(pipe: tuple[int, int]) -> None:
    """Guards against a blocking write, which would stop all requests of the host."""
    reader, descriptor = pipe
    writer = LineWriter(descriptor)
    for _ in range(2 * MAX_QUEUED_LINES):
        writer.write(LINE)
    assert writer.dropped == MAX_QUEUED_LINES
    received = b""
    async with asyncio.timeout(10):
        while received.count(b"\n") <= MAX_QUEUED_LINES:
            await asyncio.sleep(0.05)
            received += _read_all(reader)
    lines = [orjson.loads(line) for line in received.splitlines()]
    assert len(lines) == MAX_QUEUED_LINES + 1
    notices = [line for line in lines if line.get("event") == "log_lines_dropped"]
    assert notices == [{"event": "log_lines_dropped", "total": MAX_QUEUED_LINES}]
    writer.close()


async def test_close_writes_queued_lines(pipe: tuple[int, int]) -> None:
    """Guards against losing the last lines, which tell why a process ended."""
    reader, descriptor = pipe
    writer = LineWriter(descriptor)
    writer.write(LINE)
    writer.close()
    assert _read_all(reader) == LINE
    assert os.get_blocking(descriptor)


async def test_closed_reader_does_not_raise() -> None:
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor)
    writer.write(LINE)
    writer.close()
    os.close(descriptor)
