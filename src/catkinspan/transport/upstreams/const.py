"""Constants of the upstreams' side."""

CONNECT_SECONDS = 1.0
IDLE_SECONDS = 10.0
"""Life of an idle pooled connection."""

FRESH_IDLE_SECONDS = 1.0
"""Longest idle time of a connection for a non-idempotent request. A server that
closes a connection at the same moment leaves such a request undecided."""

POOL_INBOX = 10_000
ATTEMPT_INBOX = 64
SWEEP_SECONDS = 1.0
"""Interval at which idle connections are checked for their age."""
