"""Outcomes of upstream attempts, shared by several coordinators."""

from enum import StrEnum

from attrs import frozen

from catkinspan.state.ids import RequestId, ServerId, ServiceId, WorkspaceId


class OutcomeKind(StrEnum):
    """How an upstream attempt ended."""

    OK = "ok"
    CONNECT_ERROR = "connect_error"
    """Connecting failed; no byte of the request was written."""

    CONNECTION_LIMIT = "connection_limit"
    """This host has as many connections to the server as it may open."""

    RESET = "reset"
    """The connection was closed before the response head was complete."""

    TIMEOUT = "timeout"
    """No response head arrived within the attempt timeout, or no complete response by
    the deadline."""

    SHED = "shed"
    """The upstream refused the request and stated that it did not run."""

    DRAINING = "draining"
    """The upstream refused the request and stated that it is shutting down."""

    SERVER_ERROR = "server_error"
    """A 5xx response that does not state that the request did not run."""

    TRUNCATED = "truncated"
    """The connection ended before the announced length or the final chunk."""

    CROSSED = "crossed"
    """The response carried the id of another request."""

    MISDIRECTED = "misdirected"
    """A different server owns the address and did not run the request."""

    INVALID = "invalid"
    """Bytes that are no response, or a 2xx response without the server's stamp or with
    an unrequested encoding."""

    CANCELLED = "cancelled"
    """The host cancelled the attempt: the caller disconnected or a hedge won."""


NOT_SENT_OUTCOMES = frozenset({OutcomeKind.CONNECT_ERROR, OutcomeKind.CONNECTION_LIMIT})
"""Outcomes of attempts of which no byte was written."""

NOT_RUN_OUTCOMES = frozenset(
    {OutcomeKind.SHED, OutcomeKind.DRAINING, OutcomeKind.MISDIRECTED}
)
"""Outcomes in which the upstream reported that it did not run the request."""

OWN_OUTCOMES = frozenset({OutcomeKind.CANCELLED, OutcomeKind.CONNECTION_LIMIT})
"""Outcomes that say nothing about the server."""


@frozen
class AttemptOutcome:
    """Result of one attempt as seen by this host."""

    request_id: RequestId
    attempt: int
    service: ServiceId
    server: ServerId
    workspace: WorkspaceId
    kind: OutcomeKind
    latency: float
    """Seconds from the first byte written to the response head or the failure."""

    bytes_written: bool
    """Whether any byte of the request may have reached the upstream."""

    server_draining: bool = False
    """Whether the response signalled that the server is draining."""

    request_class: str = ""
    """Class of requests with similar latency, usually the route id."""

    server_pause: float = 0.0
    """Seconds for which the server asked this host to send it no requests."""


@frozen
class AttemptStarted:
    """Reports that an attempt was sent, so that a hang shows before its timeout."""

    request_id: RequestId
    attempt: int
    service: ServiceId
    server: ServerId
    request_class: str = ""
