"""Outcomes of attempts at upstreams, the evidence that concerns share."""

from enum import StrEnum

from attrs import frozen

from catkinspan.state.ids import RequestId, ServerId, ServiceId, WorkspaceId


class OutcomeKind(StrEnum):
    """How an attempt at an upstream ended."""

    OK = "ok"
    CONNECT_ERROR = "connect_error"
    """No connection; no byte of the request was written."""

    RESET = "reset"
    """The connection closed before a whole response head arrived."""

    TIMEOUT = "timeout"
    """No response head within the attempt's timeout."""

    SHED = "shed"
    """The upstream refused and said that the request did not run."""

    DRAINING = "draining"
    """The upstream refused because it leaves, and said so."""

    SERVER_ERROR = "server_error"
    """A 5xx response without a statement that the request did not run."""

    TRUNCATED = "truncated"
    """The response ended before its announced end."""

    CROSSED = "crossed"
    """The response carried another request's id."""

    MISDIRECTED = "misdirected"
    """Another server has the address and did not run the request."""

    INVALID = "invalid"
    """A success without the server's own signs, or with a coding nobody asked for."""

    CANCELLED = "cancelled"
    """The host gave the attempt up: the caller left or a hedge won."""


@frozen
class AttemptOutcome:
    """What a host saw of one attempt."""

    request_id: RequestId
    attempt: int
    service: ServiceId
    server: ServerId
    workspace: WorkspaceId
    kind: OutcomeKind
    latency: float
    """Seconds from the first byte written to the response head, or to the failure."""

    bytes_written: bool
    """Whether any byte of the request may have reached the upstream."""

    server_draining: bool = False
    """Whether the response carried a drain signal."""

    request_class: str = ""
    """Requests that should take alike long, usually the route's id."""


@frozen
class AttemptStarted:
    """An attempt that a host has just sent, so that a hang shows before its timeout."""

    request_id: RequestId
    attempt: int
    service: ServiceId
    server: ServerId
    request_class: str = ""
