"""Logging by loguru, as text or one JSON object a line."""

import asyncio
import os
import select
import sys
from collections import deque
from typing import Any

import orjson
from loguru import logger

TEXT_FORMAT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[host]} {name} "
    "{extra[request_id]} {message}"
)

MAX_WAITING_LINES = 5_000
"""Lines that wait for a slow reader; more are dropped and counted."""

FLUSH_SECONDS = 0.2
"""Wait for more lines before a write. A killed process loses the lines of this time."""

FLUSH_BYTES = 64 * 1024
"""Bytes of one write: the room of an empty pipe."""

CLOSE_SECONDS = 0.5
"""Wait at the end of the process for the reader of the log."""


class LineWriter:
    """Writes lines in batches and never waits for the reader.

    The descriptor does not block; what it has no room for waits for the next batch.
    Within an event loop the batches are written by its timer, elsewhere at once.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._was_blocking = os.get_blocking(descriptor)
        os.set_blocking(descriptor, False)
        self._lines: deque[bytes] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._dropped = 0
        self._told = 0
        """Dropped lines that the log tells of."""

    @property
    def dropped(self) -> int:
        """Return the number of lines that found no room."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Queue a line, or drop it if too many wait."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._schedule()

    def close(self) -> None:
        """Write what waits, for a bounded time, and give the descriptor back."""
        if self._timer is not None:
            self._timer.cancel()
        self._flush()
        if self._lines:
            select.select([], [self._descriptor], [], CLOSE_SECONDS)
            self._flush()
        os.set_blocking(self._descriptor, self._was_blocking)

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._flush()
            return
        self._timer = loop.call_later(FLUSH_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._flush()
        if self._lines:
            self._schedule()

    def _flush(self) -> None:
        """Write as much as the reader has room for."""
        while self._lines:
            batch = self._batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone for good.
                self._lines.clear()
                return
            if written < len(batch):
                self._lines.appendleft(batch[written:])
                return

    def _batch(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < FLUSH_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        if self._dropped > self._told:
            self._told = self._dropped
            lost = {"event": "log_lines_dropped", "total": self._told}
            parts.append(orjson.dumps(lost) + b"\n")
        return b"".join(parts)


def set_up_logs(level: str, as_json: bool) -> LineWriter | None:
    """Send JSON lines to standard output, or text to standard error.

    Tracebacks do not show the values of variables, which may hold a caller's key.
    """
    logger.remove()
    logger.configure(extra={"host": "-", "request_id": "-"})
    if not as_json:
        logger.add(
            sys.stderr, level=level, format=TEXT_FORMAT, diagnose=False, backtrace=False
        )
        return None
    writer = LineWriter(sys.stdout.fileno())
    logger.add(
        lambda message: writer.write(json_line(message.record)),
        level=level,
        format="{message}",
        diagnose=False,
        backtrace=False,
    )
    return writer


def json_line(record: Any) -> bytes:
    """Return a log record as one JSON object."""
    line: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "module": record["name"],
    }
    line.update((k, v) for k, v in record["extra"].items() if v != "-")
    line["message"] = record["message"]
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    return orjson.dumps(line, default=str) + b"\n"
