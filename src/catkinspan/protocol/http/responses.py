"""Responses to callers."""

from collections.abc import Mapping
from http import HTTPStatus

import h11
import orjson

from catkinspan.coordination.requests.errors import Ran, Refusal, RefusalKind
from catkinspan.protocol.http.const import DRAINING, HOP_BY_HOP, REQUEST_ID, REQUEST_RAN
from catkinspan.protocol.http.heads import Headers
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
    RefusalKind.ISOLATED: 503,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.RATE_EXCEEDED: 429,
    RefusalKind.QUARANTINED: 503,
    RefusalKind.DUPLICATE_RUNNING: 409,
    RefusalKind.DUPLICATE_RAN: 409,
    RefusalKind.IDEMPOTENCY_KEY_REUSED: 422,
    RefusalKind.CLAIM_UNDECIDED: 503,
    RefusalKind.NO_CAPACITY: 503,
    RefusalKind.UPSTREAM_UNREACHABLE: 502,
    RefusalKind.UPSTREAM_SHED: 503,
    RefusalKind.UPSTREAM_TIMEOUT: 504,
    RefusalKind.UPSTREAM_RESET: 502,
    RefusalKind.UPSTREAM_TRUNCATED: 502,
    RefusalKind.UPSTREAM_ERROR: 502,
    RefusalKind.UPSTREAM_CROSSED: 502,
    RefusalKind.INTERNAL_ERROR: 500,
}
"""HTTP status of each refusal."""

_NOT_PASSED_ON = frozenset({REQUEST_ID, REQUEST_RAN, DRAINING})


def refusal_response(
    refusal: Refusal, request_id: str, close: bool
) -> tuple[h11.Response, bytes]:
    """Return head and body of a refusal."""
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
        (REQUEST_RAN, ran.encode()),
    ]
    status = STATUS[refusal.kind]
    if status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    if refusal.allowed_methods:
        headers.append((b"allow", ", ".join(refusal.allowed_methods).encode()))
    if refusal.retry_after is not None:
        headers.append((b"retry-after", b"%d" % max(1, round(refusal.retry_after))))
    if close:
        headers.append((b"connection", b"close"))
    reason = HTTPStatus(status).phrase.encode()
    return h11.Response(status_code=status, headers=headers, reason=reason), body


def passed_response(
    response: h11.Response, request_id: str, length: int | None, close: bool
) -> h11.Response:
    """Return an upstream's response head as the caller gets it.

    `length` is the size of a body that was held until whole; None keeps the
    upstream's framing.
    """
    headers: Headers = list(response.headers)
    listed = connection_options(headers)
    passed = [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in _NOT_PASSED_ON and name not in listed
    ]
    if length is not None and all(name != b"content-length" for name, _ in passed):
        passed.append((b"content-length", b"%d" % length))
    passed.append((REQUEST_ID, request_id.encode()))
    if close:
        passed.append((b"connection", b"close"))
    return h11.Response(
        status_code=response.status_code, headers=passed, reason=response.reason
    )
