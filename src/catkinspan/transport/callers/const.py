"""Constants of the callers' side."""

CONNECTION_INBOX = 16
"""Messages in a connection's inbox before attempts wait with response data."""

HEALTH_PATH = "/healthz"
"""Path of the balancer's check; no route can take it."""

HOLD_SECONDS = 1.0
"""Time after which a held response is streamed, so that event streams flow."""

ID_SEPARATOR = "."
"""Between a caller's request id and the fleet's own addition, in logs and messages."""
