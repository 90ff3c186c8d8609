"""Constants of the upstreams' side."""

CONNECT_SECONDS = 0.25
"""Wait for a new connection. A round trip takes milliseconds; a lost first packet is
sent again after a second, and another server is quicker."""

IDLE_SECONDS = 8.0
"""Life of an idle pooled connection whose server does not say how long it keeps it."""

ONCE_IDLE_SECONDS = 6.0
"""Longest idle time of a connection for a non-idempotent request. A server that
closes a connection at the same moment leaves such a request undecided."""

IDLE_MARGIN_SECONDS = 1.5
"""Time before the end that a server announces from which a connection is not used."""

MISDIRECTED_STATUS = 421
"""Answer of a server that is not the expected one; the request did not run there."""

POOL_INBOX = 10_000
ATTEMPT_INBOX = 64
SWEEP_SECONDS = 1.0
"""Interval at which idle connections are checked for their age."""
