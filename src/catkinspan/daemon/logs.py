"""Logging by loguru, as text or one JSON object a line."""

import os
import queue
import sys
import threading
from typing import Any

import orjson
from loguru import logger

TEXT_FORMAT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[host]} {name} "
    "{extra[request_id]} {message}"
)

MAX_WAITING_LINES = 5_000
"""Lines that wait for a slow reader; more are dropped and counted."""

CLOSE_SECONDS = 0.5
"""Wait at the end of the process for the reader of the log."""


class LineWriter:
    """Writes lines in a thread of its own, so that a slow reader blocks nobody."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: queue.Queue[bytes | None] = queue.Queue(MAX_WAITING_LINES)
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Return the number of lines that found no room."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Queue a line, or drop it if too many wait."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._dropped += 1

    def close(self) -> None:
        """Write what waits, for a bounded time."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(CLOSE_SECONDS)

    def _run(self) -> None:
        told = 0
        while (line := self._lines.get()) is not None:
            if self._dropped > told:
                told = self._dropped
                lost = {"event": "log_lines_dropped", "total": told}
                line = orjson.dumps(lost) + b"\n" + line
            try:
                _write_all(self._descriptor, line)
            except OSError:
                return


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        data = data[os.write(descriptor, data) :]


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
