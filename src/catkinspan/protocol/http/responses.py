"""Responses to callers."""

from collections.abc import Mapping
from http import HTTPStatus

import h11
import orjson

from catkinspan.coordination.requests.errors import Ran, Refusal, RefusalKind
from catkinspan.protocol.http.const import HOP_BY_HOP, REQUEST_ID
from catkinspan.protocol.http.heads import Headers
from catkinspan.protocol.http.names import HttpNames
from catkinspan.protocol.http.upstream import connection_options

STATUS: Mapping[RefusalKind, int] = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.HEADER_TOO_LARGE: 431,
    RefusalKind.BODY_TOO_LARGE: 413,
    RefusalKind.REQUEST_TIMEOUT: 408,
    RefusalKind.ROUTE_NOT_FOUND: 404,
    RefusalKind.METHOD_NOT_ALLOWED: 405,
    RefusalKind.KEY_MISSING: 401,
    RefusalKind.KEY_UNKNOWN: 401,
    RefusalKind.KEY_WITHDRAWN: 401,
    RefusalKind.NOT_READY: 503,
    RefusalKind.SETTINGS_OUTDATED: 503,
    RefusalKind.SETTINGS_UNUSABLE: 503,
    RefusalKind.ISOLATED: 503,
    RefusalKind.STOPPING: 503,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.RATE_EXCEEDED: 429,
    RefusalKind.RATE_UNKNOWN: 503,
    RefusalKind.QUARANTINED: 503,
    RefusalKind.NO_CAPACITY: 503,
    RefusalKind.UPSTREAM_UNREACHABLE: 502,
    RefusalKind.UPSTREAM_SHED: 503,
    RefusalKind.UPSTREAM_TIMEOUT: 504,
    RefusalKind.UPSTREAM_RESET: 502,
    RefusalKind.UPSTREAM_TRUNCATED: 502,
    RefusalKind.UPSTREAM_ERROR: 502,
    RefusalKind.UPSTREAM_CROSSED: 502,
    RefusalKind.UPSTREAM_MISDIRECTED: 503,
    RefusalKind.UPSTREAM_INVALID: 502,
    RefusalKind.DEADLINE_PASSED: 503,
    RefusalKind.INTERNAL_ERROR: 500,
}
"""HTTP status of each kind of refusal."""

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses after which callers retry any request, idempotent or not."""

_AMBIGUOUS_STATUSES = frozenset({502, 504})
"""Statuses that do not tell whether the request ran."""


def refusal_status(refusal: Refusal) -> int:
    """Return the status of a refusal, consistent with whether the request ran."""
    status = STATUS[refusal.kind]
    if refusal.ran is Ran.NO:
        return 503 if status in _AMBIGUOUS_STATUSES else status
    return 502 if status in _NOT_RUN_STATUSES else status


def refusal_response(
    refusal: Refusal, request_id: str, close: bool, names: HttpNames
) -> tuple[h11.Response, bytes]:
    """Return the response head and body for a refusal."""
    body = orjson.dumps(
        {
            "kind": refusal.kind,
            "message": refusal.message,
            "remedy": refusal.remedy,
            "request_id": request_id,
        }
    )
    ran = Ran.NO if refusal.ran is Ran.NO else Ran.MAYBE
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (REQUEST_ID, request_id.encode()),
    ]
    if names.request_ran is not None:
        headers.append((names.request_ran, ran.encode()))
    status = refusal_status(refusal)
    if status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    if refusal.allowed_methods:
        headers.append((b"allow", ", ".join(refusal.allowed_methods).encode()))
    if refusal.retry_after is not None:
        headers.append((b"retry-after", _retry_after(refusal.retry_after, names)))
    if close:
        headers.append((b"connection", b"close"))
    reason = HTTPStatus(status).phrase.encode()
    return h11.Response(status_code=status, headers=headers, reason=reason), body


def _retry_after(seconds: float, names: HttpNames) -> bytes:
    if names.fractional_retry_after:
        return b"%.2f" % max(0.0, seconds)
    return b"%d" % max(1, round(seconds))


def forwarded_response(
    response: h11.Response,
    request_id: str,
    length: int | None,
    close: bool,
    names: HttpNames,
) -> h11.Response:
    """Return the response head for the caller, given that of the upstream.

    `length` is the size of a body that was buffered completely; None keeps the
    upstream's framing.
    """
    headers: Headers = list(response.headers)
    connection_headers = connection_options(headers)
    excluded = {REQUEST_ID, names.request_ran, names.draining}
    forwarded = [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in excluded
        and name not in connection_headers
    ]
    if length is not None and all(name != b"content-length" for name, _ in forwarded):
        forwarded.append((b"content-length", b"%d" % length))
    forwarded.append((REQUEST_ID, request_id.encode()))
    if close:
        forwarded.append((b"connection", b"close"))
    return h11.Response(
        status_code=response.status_code, headers=forwarded, reason=response.reason
    )
