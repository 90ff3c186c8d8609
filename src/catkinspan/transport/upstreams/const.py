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

IDLE_MARGIN_SECONDS = 1.5
"""Time before the announced idle timeout from which a connection is no longer used."""

MISDIRECTED_STATUS = 421
"""Status of a server that is not the expected one; it did not run the request."""

POOL_INBOX_MESSAGES = 10_000
ATTEMPT_INBOX_MESSAGES = 64
SWEEP_INTERVAL_SECONDS = 1.0
"""Interval between checks for expired idle connections."""
