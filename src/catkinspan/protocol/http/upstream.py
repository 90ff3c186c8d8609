"""Request heads for upstreams, and parsing of their response headers."""

import re

import h11
from attrs import field, frozen

from catkinspan.protocol.http.const import DEADLINE_MS, HOP_BY_HOP, REQUEST_ID
from catkinspan.protocol.http.heads import CallerHead, Headers
from catkinspan.protocol.http.keys import query_without_key, without_key_headers
from catkinspan.protocol.http.names import HttpNames
from catkinspan.state.ids import ServerId, WorkspaceId

_REPLACED_HEADERS = frozenset(
    {b"content-length", b"expect", b"x-forwarded-for", REQUEST_ID, DEADLINE_MS}
)
_KEEP_ALIVE_TIMEOUT = b"timeout="
_RESPONSE_START = b"HTTP/"
_RETRY_AFTER_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


@frozen
class UpstreamRequest:
    """A request head for an upstream, without the caller's key."""

    request_id: str
    """Value of the request id header."""

    method: bytes
    target: bytes
    headers: Headers = field(repr=False)
    names: HttpNames

    def attempt_head(
        self,
        attempt: int,
        remaining_ms: int,
        server: ServerId,
        workspace: WorkspaceId,
    ) -> h11.Request:
        """Return the request head for one attempt at a server."""
        added = [(DEADLINE_MS, b"%d" % max(1, remaining_ms))]
        names = self.names
        if names.attempt is not None:
            added.append((names.attempt, b"%d" % attempt))
        if names.expected_server is not None:
            added.append((names.expected_server, server.encode("latin-1")))
        if names.workspace is not None and workspace:
            added.append((names.workspace, workspace.encode()))
        return h11.Request(
            method=self.method, target=self.target, headers=self.headers + added
        )


def upstream_request(
    head: CallerHead,
    request_id: str,
    key: str | None,
    key_parameter: str | None,
    names: HttpNames,
) -> UpstreamRequest:
    """Build the request head for upstreams from that of the caller."""
    connection_headers = connection_options(head.headers)
    # Callers must not be able to set the headers that the fleet adds.
    fleet_headers = {names.attempt, names.expected_server, names.workspace}
    headers = [
        (name, value)
        for name, value in without_key_headers(head.headers, key)
        if name not in HOP_BY_HOP
        and name not in _REPLACED_HEADERS
        and name not in fleet_headers
        and name not in connection_headers
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
    return UpstreamRequest(
        request_id, head.method.encode(), target.encode("ascii"), headers, names
    )


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the header names listed in `Connection`."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    )


@frozen
class ResponseInfo:
    """Information from the headers of an upstream's response."""

    echoed_id: str | None
    draining: bool
    did_not_run: bool
    closes_connection: bool
    has_stamp: bool
    """Whether the stamp of the server itself is present, if the interface has one."""

    has_content_encoding: bool
    """Whether the body has a content coding, which servers themselves never apply."""

    retry_after: float | None
    """Seconds from `Retry-After`; None without one in decimal notation."""

    idle_seconds: float | None
    """Idle timeout from `Keep-Alive`; None if the header does not contain one."""

    @classmethod
    def from_headers(cls, headers: Headers, names: HttpNames) -> "ResponseInfo":
        """Parse the response headers."""
        values = dict(headers)
        echoed = values.get(REQUEST_ID)
        options = connection_options(headers)
        not_run = values.get(names.not_run)
        if names.not_run_value is not None and not_run is not None:
            not_run = not_run if not_run.lower() == names.not_run_value else None
        return cls(
            echoed_id=None if echoed is None else echoed.decode("latin-1"),
            draining=names.draining is not None and values.get(names.draining) == b"1",
            did_not_run=not_run is not None,
            closes_connection=b"close" in options,
            has_stamp=names.stamp is None or names.stamp in values,
            has_content_encoding=b"content-encoding" in values,
            retry_after=_retry_after_seconds(values.get(b"retry-after", b"")),
            idle_seconds=_idle_seconds(values.get(b"keep-alive", b"")),
        )


def is_response_start(received: bytes) -> bool:
    """Return whether bytes may be the start of a response head."""
    start = received[: len(_RESPONSE_START)]
    return _RESPONSE_START.startswith(start)


def _retry_after_seconds(value: bytes) -> float | None:
    """Parse seconds; dates are not supported, since the clocks of hosts may jump."""
    return float(value) if _RETRY_AFTER_PATTERN.fullmatch(value.strip()) else None


def _idle_seconds(value: bytes) -> float | None:
    for part in value.split(b","):
        name = part.strip().lower()
        if name.startswith(_KEEP_ALIVE_TIMEOUT):
            digits = name.removeprefix(_KEEP_ALIVE_TIMEOUT)
            return float(digits) if digits.isdigit() else None
    return None
