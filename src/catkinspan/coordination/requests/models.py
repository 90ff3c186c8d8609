"""Messages between a front end and the request coordinator."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import Factory, field, frozen

from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.errors import Refusal
from catkinspan.state.ids import (
    NO_REVISION,
    RequestId,
    Revision,
    RouteId,
    ServerId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.state.tree import Address

NO_BODY_DIGEST = b""


@frozen
class RequestArrived:
    """The head of a caller's request has arrived."""

    request_id: RequestId
    method: str
    host: str
    """Lower-case host name without the port."""

    path: str
    query: Mapping[str, str] = field(factory=dict, repr=False)
    presented_key: str | None = field(default=None, repr=False)
    """Key from a header; a key in the query is looked up by the route's setting."""

    deadline: timedelta | None = None
    """Time limit set by the caller; None to use the route's limit."""

    content_length: int | None = 0
    """Announced size of the body in bytes; None for a chunked body."""


@frozen
class BodyReceived:
    """The first part of a request body has arrived."""

    request_id: RequestId
    digest: bytes
    """Digest of the first part and the announced length."""


@frozen
class AttemptFinished:
    """An attempt ended with success, or without a response that can be forwarded.

    A 5xx response is reported before it is forwarded, so that it can be retried.
    """

    outcome: AttemptOutcome
    replayable: bool = True
    """Whether the front end can still resend the whole request."""


@frozen
class RequestAbandoned:
    """The caller disconnected."""

    request_id: RequestId


@frozen
class RequestDirective:
    """Base class of the directives to the front end for one request."""

    request_id: RequestId


@frozen
class BodyWanted(RequestDirective):
    """Send the first part of the body; route and key are accepted."""

    max_body_bytes: int


@frozen
class Assigned(RequestDirective):
    """Run an attempt at a server."""

    attempt: int
    service: ServiceId
    route: RouteId
    workspace: WorkspaceId
    server: ServerId
    address: Address
    deadline: float
    """Monotonic seconds at which the request's deadline expires."""

    attempt_timeout: float
    """Maximum wait for the response head, in seconds."""

    usual: float
    """Expected latency of such a request, in seconds."""

    hold_bytes: int
    """Responses up to this many bytes are buffered until complete."""

    idempotent: bool
    max_body_bytes: int
    connection_limit: int
    """Maximum number of connections from this host to the server."""

    key_query_parameter: str | None = None
    risk: float = 0.0
    """Probability that the server fails the request, as estimated at its choice."""

    in_flight: int = 0
    """Requests of the whole fleet in flight at the server when it was chosen."""

    state_age: float | None = None
    """Age in seconds of the hub's latest message, which may leave out the server; None
    for own counts only."""

    is_trial: bool = False
    """Whether the request is also a trial of a high-risk server."""

    revision: Revision = NO_REVISION
    """Settings revision on which the decision is based."""

    is_repeated: bool = False
    """Whether the server has already been sent the request."""

    def outcome(
        self,
        kind: OutcomeKind,
        latency: float,
        bytes_written: bool,
        server_draining: bool = False,
        server_pause: float = 0.0,
    ) -> AttemptOutcome:
        """Return the outcome of this attempt; times are in seconds."""
        return AttemptOutcome(
            request_id=self.request_id,
            attempt=self.attempt,
            service=self.service,
            server=self.server,
            workspace=self.workspace,
            kind=kind,
            latency=latency,
            bytes_written=bytes_written,
            server_draining=server_draining,
            request_class=self.route,
            server_pause=server_pause,
        )


@frozen
class Deliver(RequestDirective):
    """Forward the buffered 5xx response of an attempt, which is not retried."""

    attempt: int


@frozen
class Discard(RequestDirective):
    """Discard the buffered 5xx response of an attempt; another one runs or follows."""

    attempt: int


@frozen
class Refused(RequestDirective):
    """Respond to the caller with a refusal."""

    refusal: Refusal
    service: ServiceId | None = None
    """Service of the route; None if route and key were not accepted."""

    workspace: WorkspaceId | None = None
    """Workspace of the key; None if route and key were not accepted."""


@frozen
class KeysWithdrawn:
    """Close connections whose last request used one of these keys."""

    digests: frozenset[bytes] = Factory(frozenset)
