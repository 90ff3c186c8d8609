"""Constants for connections from callers."""

CONNECTION_INBOX_MESSAGES = 16
"""Messages in a connection's inbox at which attempts stop adding response data."""

HEALTH_PATH = "/healthz"
"""Path of the load balancer's health check. It is handled before routing, so no route
can take it unless the HTTP names keep the caller's request id."""

MAX_CHUNKS_PER_TURN = 256
"""Chunks of a request body that are read before other tasks run; one of a single byte
takes about 24 microseconds."""

MAX_BUFFERING_SECONDS = 1.0
"""Longest time a response is buffered; keeps event streams flowing."""

REQUEST_ID_SEPARATOR = "."
"""Separates a caller's request id from the generated suffix in logs and messages."""
