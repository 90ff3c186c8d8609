"""Requests to upstreams, and the reading of their responses."""

import h11
from attrs import frozen

from catkinspan.protocol.http.const import (
    ATTEMPT,
    DEADLINE_MS,
    DRAINING,
    HOP_BY_HOP,
    REQUEST_ID,
    REQUEST_RAN,
)
from catkinspan.protocol.http.heads import CallerHead, Headers
from catkinspan.protocol.http.keys import query_without_key, without_key_headers

_REPLACED = frozenset(
    {b"content-length", b"expect", b"x-forwarded-for", REQUEST_ID, DEADLINE_MS, ATTEMPT}
)


@frozen
class UpstreamRequest:
    """A request head for an upstream, without the caller's key."""

    method: bytes
    target: bytes
    headers: Headers

    def event(self, attempt: int, remaining_ms: int) -> h11.Request:
        """Return the head of one attempt."""
        own = [
            (ATTEMPT, b"%d" % attempt),
            (DEADLINE_MS, b"%d" % max(1, remaining_ms)),
        ]
        return h11.Request(
            method=self.method, target=self.target, headers=self.headers + own
        )


def upstream_request(
    head: CallerHead, request_id: str, key: str | None, key_parameter: str | None
) -> UpstreamRequest:
    """Build the upstream's request head from the caller's one."""
    listed = connection_options(head.headers)
    headers = [
        (name, value)
        for name, value in without_key_headers(head.headers, key)
        if name not in HOP_BY_HOP and name not in _REPLACED and name not in listed
    ]
    if all(name != b"host" for name, _ in headers):
        headers.insert(0, (b"host", head.host.encode() or b"upstream"))
    headers.append((REQUEST_ID, request_id.encode()))
    if head.content_length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif head.content_length or head.method in {"POST", "PUT", "PATCH"}:
        headers.append((b"content-length", b"%d" % head.content_length))
    query = query_without_key(head.raw_query, key_parameter, key)
    target = f"{head.path}?{query}" if query else head.path
    return UpstreamRequest(head.method.encode(), target.encode("ascii"), headers)


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the header names that `Connection` lists."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    )


@frozen
class ResponseSigns:
    """What the headers of an upstream's response tell the fleet."""

    echoed_id: str | None
    draining: bool
    did_not_run: bool
    closes: bool

    @classmethod
    def of(cls, headers: Headers) -> "ResponseSigns":
        """Read the signs from the headers."""
        values = dict(headers)
        echoed = values.get(REQUEST_ID)
        options = connection_options(headers)
        return cls(
            echoed_id=None if echoed is None else echoed.decode("latin-1"),
            draining=values.get(DRAINING) == b"1",
            did_not_run=values.get(REQUEST_RAN, b"").lower() == b"no",
            closes=b"close" in options,
        )
