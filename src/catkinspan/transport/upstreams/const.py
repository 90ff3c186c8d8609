"""Constants for connections to upstream servers."""

CONNECT_TIMEOUT_SECONDS = 0.25
"""Timeout of a new connection. A round trip takes milliseconds, while a lost SYN is
resent only after a second, so trying another server is faster."""

MAX_IDLE_SECONDS = 8.0
"""Longest idle time of a pooled connection; a shorter one that the server announces
takes precedence."""

NON_IDEMPOTENT_MAX_IDLE_SECONDS = 6.0
"""Longest idle time of a connection used for a non-idempotent request. If the server
closes the connection while such a request is sent, it is unknown whether it ran."""

NEW_CONNECTION_ONLY = -1.0
"""Idle time that no pooled connection has, so that a new one is opened."""

IDLE_MARGIN_SECONDS = 1.5
"""Time before the announced idle timeout from which a connection is no longer used."""

MISDIRECTED_STATUS = 421
"""Status of a server that is not the expected one; it did not run the request."""

UNAVAILABLE_STATUS = 503
"""Status with which a server may ask for a pause by `Retry-After`."""

SLICE_BYTES = 16 * 1024
"""Bytes of a response that are parsed before other tasks run, and the largest chunk of
a body that is passed on."""

MAX_BYTES_BEFORE_RESPONSE = 256 * 1024
"""Limit of what precedes the body of the expected response: its head, informational
responses and late ones to earlier requests."""

MAX_SKIPPED_RESPONSES = 16
"""Informational and late responses that may precede the expected one."""

POOL_INBOX_MESSAGES = 10_000
ATTEMPT_INBOX_MESSAGES = 64
SWEEP_INTERVAL_SECONDS = 1.0
"""Interval between checks for expired idle connections."""
