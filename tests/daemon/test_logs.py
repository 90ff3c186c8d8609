"""Guards the log against slow readers: it neither blocks nor loses uncounted lines."""

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


async def test_reader_that_stands_still_blocks_nobody(pipe: tuple[int, int]) -> None:
    """A blocked write would stop the host with all of its requests."""
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
    told = [line for line in lines if line.get("event") == "log_lines_dropped"]
    assert told == [{"event": "log_lines_dropped", "total": MAX_QUEUED_LINES}]
    writer.close()


async def test_close_writes_what_waits(pipe: tuple[int, int]) -> None:
    """The last lines of a process tell why it ended."""
    reader, descriptor = pipe
    writer = LineWriter(descriptor)
    writer.write(LINE)
    writer.close()
    assert _read_all(reader) == LINE
    assert os.get_blocking(descriptor)


async def test_reader_that_is_gone_ends_no_host() -> None:
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor)
    writer.write(LINE)
    writer.close()
    os.close(descriptor)
