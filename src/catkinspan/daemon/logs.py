"""Logging through loguru, as text or as one JSON object per line."""

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

MAX_QUEUED_LINES = 5_000
"""Further lines are dropped and counted while the reader is slow."""

FLUSH_DELAY_SECONDS = 0.2
"""Time to collect lines for one write. A killed process loses the collected lines."""

WRITE_BATCH_BYTES = 64 * 1024
"""Capacity of an empty pipe; a batch ends when it reaches this size."""

CLOSE_TIMEOUT_SECONDS = 0.5
"""Longest wait for the reader of the log when the process ends."""


class LineWriter:
    """Writes lines in batches without blocking on the reader.

    The descriptor is non-blocking, and lines that it does not accept stay queued for
    the next batch. Within an event loop a timer writes the batches; without one each
    line is written at once.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._was_blocking = os.get_blocking(descriptor)
        os.set_blocking(descriptor, False)
        self._lines: deque[bytes] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._dropped = 0
        self._reported_dropped = 0
        """Value of `_dropped` in the last notice."""

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped because the queue was full."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._schedule()

    def close(self) -> None:
        """Write the queued lines, for a limited time, and restore the blocking mode."""
        if self._timer is not None:
            self._timer.cancel()
        self._flush()
        if self._lines:
            select.select([], [self._descriptor], [], CLOSE_TIMEOUT_SECONDS)
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
        self._timer = loop.call_later(FLUSH_DELAY_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._flush()
        if self._lines:
            self._schedule()

    def _flush(self) -> None:
        """Write queued lines until the descriptor accepts no more."""
        while self._lines:
            batch = self._next_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the pipe, so later writes would fail as well.
                self._lines.clear()
                return
            if written < len(batch):
                self._lines.appendleft(batch[written:])
                return

    def _next_batch(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < WRITE_BATCH_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        if self._dropped > self._reported_dropped:
            self._reported_dropped = self._dropped
            notice = {"event": "log_lines_dropped", "total": self._reported_dropped}
            parts.append(orjson.dumps(notice) + b"\n")
        return b"".join(parts)


def set_up_logging(level: str, as_json: bool) -> LineWriter | None:
    """Log JSON lines to standard output, or text to standard error.

    Returns the writer of the JSON lines, which must be closed, or None for text.
    Tracebacks omit the values of variables, which may contain a caller's key.
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
