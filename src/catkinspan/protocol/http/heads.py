"""Validation of request heads from callers."""

import re
from datetime import timedelta
from urllib.parse import parse_qsl, urlsplit

import h11
from attrs import field, frozen
from result import Err, Ok, Result

from catkinspan.coordination.requests.errors import Refusal, RefusalKind
from catkinspan.protocol.http.const import (
    DEADLINE_MS,
    MAX_HEADERS,
    MAX_REQUEST_ID_BYTES,
    REQUEST_ID,
)
from catkinspan.protocol.http.keys import presented_keys

Headers = list[tuple[bytes, bytes]]

_HOST_PATTERN = re.compile(rb"^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9._-]+)(:\d{1,5})?$")
_MAX_DEADLINE_MS = 24 * 3600 * 1000
_MAX_DEADLINE_DIGITS = 12


@frozen
class CallerHead:
    """A validated request head."""

    method: str
    path: str
    """Path as received, still percent-encoded."""

    raw_query: str = field(repr=False)
    query: dict[str, str] = field(repr=False)
    host: str
    headers: Headers = field(repr=False)
    content_length: int | None
    """Body size in bytes; None for a chunked body."""

    expects_continue: bool
    presented_key: str | None = field(repr=False)
    request_id: str | None
    """Request id from the caller; None if it is missing or invalid."""

    deadline: timedelta | None

    @property
    def has_body(self) -> bool:
        """Return whether a body follows."""
        return self.content_length != 0


def bad_request(message: str, remedy: str) -> Refusal:
    """Return the refusal for a malformed request."""
    return Refusal(RefusalKind.BAD_REQUEST, message, remedy)


def parse_head(request: h11.Request) -> Result[CallerHead, Refusal]:
    """Return the validated head, or the refusal to respond with."""
    headers: Headers = list(request.headers)
    if len(headers) > MAX_HEADERS:
        message = f"more than {MAX_HEADERS} headers"
        return Err(Refusal(RefusalKind.HEADER_TOO_LARGE, message, "send fewer headers"))
    if request.method == b"CONNECT":
        return Err(bad_request("CONNECT is not served", "send an ordinary request"))
    target = _split_target(request.target)
    if isinstance(target, Err):
        return target
    path, raw_query, authority = target.ok_value
    host = _parse_host(headers, authority)
    if isinstance(host, Err):
        return host
    length = _parse_body_length(headers)
    if isinstance(length, Err):
        return length
    keys = presented_keys(headers)
    if len(keys) > 1:
        remedy = "send the key once, in Authorization or in X-Api-Key"
        return Err(bad_request("two different keys in the headers", remedy))
    deadline = _parse_deadline(headers)
    if isinstance(deadline, Err):
        return deadline
    return Ok(
        CallerHead(
            method=request.method.decode("ascii"),
            path=path,
            raw_query=raw_query,
            query=dict(parse_qsl(raw_query, keep_blank_values=True)),
            host=host.ok_value,
            headers=headers,
            content_length=length.ok_value,
            expects_continue=_expects_continue(headers, request.http_version),
            presented_key=next(iter(keys), None),
            request_id=_parse_request_id(headers),
            deadline=deadline.ok_value,
        )
    )


def _split_target(target: bytes) -> Result[tuple[str, str, bytes | None], Refusal]:
    text = target.decode("ascii", "replace")
    if text.startswith("/"):
        path, _, query = text.partition("?")
        return Ok((path, query, None))
    if text == "*":
        return Ok(("*", "", None))
    try:
        parts = urlsplit(text)
    except ValueError:
        parts = urlsplit("")
    if parts.scheme not in {"http", "https"} or not parts.netloc:
        return Err(bad_request("invalid request target", "send a path such as /parts"))
    return Ok((parts.path or "/", parts.query, parts.netloc.encode()))


def _parse_host(headers: Headers, authority: bytes | None) -> Result[str, Refusal]:
    host = authority if authority is not None else _first_value(headers, b"host") or b""
    remedy = "send one Host header with a host name"
    # HTTP/1.0 requests may omit Host.
    if host and not _HOST_PATTERN.match(host):
        return Err(bad_request("invalid Host header", remedy))
    name = host.decode("ascii").lower()
    if name.startswith("["):
        return Ok(name.partition("]")[0] + "]")
    return Ok(name.partition(":")[0])


def _parse_body_length(headers: Headers) -> Result[int | None, Refusal]:
    lengths = {value for name, value in headers if name == b"content-length"}
    encodings = [value for name, value in headers if name == b"transfer-encoding"]
    if lengths and encodings:
        remedy = "send only one of Content-Length and Transfer-Encoding"
        return Err(bad_request("ambiguous body length", remedy))
    if encodings:
        return Ok(None)
    return Ok(int(next(iter(lengths))) if lengths else 0)


def _parse_deadline(headers: Headers) -> Result[timedelta | None, Refusal]:
    value = _first_value(headers, DEADLINE_MS)
    if value is None:
        return Ok(None)
    is_integer = value.isdigit() and len(value) <= _MAX_DEADLINE_DIGITS
    if not is_integer or not 0 < int(value) <= _MAX_DEADLINE_MS:
        remedy = f"send whole milliseconds from 1 to {_MAX_DEADLINE_MS}"
        return Err(bad_request("invalid X-Deadline-Ms header", remedy))
    return Ok(timedelta(milliseconds=int(value)))


def _expects_continue(headers: Headers, version: bytes) -> bool:
    expect = _first_value(headers, b"expect") or b""
    return version >= b"1.1" and expect.lower() == b"100-continue"


def _first_value(headers: Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key == name), None)


def _parse_request_id(headers: Headers) -> str | None:
    value = _first_value(headers, REQUEST_ID)
    if not value or len(value) > MAX_REQUEST_ID_BYTES or not value.isascii():
        return None
    return value.decode("ascii")
