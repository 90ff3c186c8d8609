"""Logging by loguru, as text or one JSON object a line."""

import sys
from typing import Any

import orjson
from loguru import logger

TEXT_FORMAT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[host]} {name} "
    "{extra[request_id]} {message}"
)


def set_up_logs(level: str, as_json: bool) -> None:
    """Send logs to standard error.

    Tracebacks do not show the values of variables, which may hold a caller's key.
    """
    logger.remove()
    logger.configure(extra={"host": "-", "request_id": "-"})
    if as_json:
        logger.add(_write_json, level=level, diagnose=False, backtrace=False)
        return
    logger.add(
        sys.stderr, level=level, format=TEXT_FORMAT, diagnose=False, backtrace=False
    )


def _write_json(message: Any) -> None:
    record = message.record
    line: dict[str, Any] = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"],
    }
    line.update(record["extra"])
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    sys.stderr.buffer.write(orjson.dumps(line, default=str) + b"\n")
    sys.stderr.buffer.flush()
