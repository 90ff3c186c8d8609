"""HTTP header names and limits."""

from typing import Final

REQUEST_ID: Final = b"x-request-id"
DEADLINE_MS: Final = b"x-deadline-ms"
API_KEY: Final = b"x-api-key"
AUTHORIZATION: Final = b"authorization"

HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection only (RFC 9110, section 7.6.1)."""

BODY_PREFIX_BYTES: Final = 64 * 1024
"""Part of a request body that is buffered before admission and can be sent again."""

MAX_REQUEST_ID_BYTES: Final = 128
MAX_HEADERS: Final = 200
