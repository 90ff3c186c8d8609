"""Messages between a front end and the requests coordinator."""

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
    """The head of a caller's request."""

    request_id: RequestId
    method: str
    host: str
    """Host name in lower case, without the port."""

    path: str
    query: Mapping[str, str] = field(factory=dict, repr=False)
    presented_key: str | None = field(default=None, repr=False)
    """Key from a header; a key in the query is found by the route's setting."""

    deadline: timedelta | None = None
    """Time that the caller allows; None for the route's own limit."""

    content_length: int | None = 0
    """Announced size of the body in bytes; None for a chunked body."""


@frozen
class BodyReceived:
    """The first part of a request body has arrived."""

    request_id: RequestId
    digest: bytes
    """Digest of the first part and of the announced length."""


@frozen
class AttemptFinished:
    """An attempt ended without a response that can be passed on, or with OK.

    A 5xx response is reported before it is passed on, so that it can be retried.
    """

    outcome: AttemptOutcome
    replayable: bool = True
    """Whether the front end can still send the whole request again."""


@frozen
class RequestAbandoned:
    """The caller went away."""

    request_id: RequestId


@frozen
class RequestDirective:
    """Base of the answers to the front end about one request."""

    request_id: RequestId


@frozen
class BodyWanted(RequestDirective):
    """Route and key are accepted; send the first part of the body."""

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
    """Monotonic seconds at which the caller's time is over."""

    attempt_timeout: float
    """Seconds to wait for the response head."""

    usual: float
    """Usual latency of such a request, in seconds."""

    hold_bytes: int
    """Responses up to this size are held until whole."""

    idempotent: bool
    max_body_bytes: int
    connection_limit: int
    """Connections that this host may have to the server."""

    key_query_parameter: str | None = None
    risk: float = 0.0
    """Probability that the server fails the request, when it was chosen."""

    in_flight: int = 0
    """Requests of the fleet at the server, when it was chosen."""

    is_trial: bool = False
    """Whether the request also tries a doubtful server."""

    revision: Revision = NO_REVISION
    """Revision of the settings that decided."""

    def outcome(
        self,
        kind: OutcomeKind,
        latency: float,
        bytes_written: bool,
        server_draining: bool = False,
    ) -> AttemptOutcome:
        """Return the outcome of this attempt; `latency` is in seconds."""
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
        )


@frozen
class Deliver(RequestDirective):
    """Pass the held 5xx response of an attempt on; it is not retried."""

    attempt: int


@frozen
class Discard(RequestDirective):
    """Drop the held 5xx response of an attempt; another attempt follows."""

    attempt: int


@frozen
class Refused(RequestDirective):
    """Answer the caller with a refusal."""

    refusal: Refusal
    service: ServiceId | None = None
    """Service of the route; None before route and key were accepted."""

    workspace: WorkspaceId | None = None
    """Workspace of the key; None before route and key were accepted."""


@frozen
class KeysWithdrawn:
    """Close the connections whose last request used one of these keys."""

    digests: frozenset[bytes] = Factory(frozenset)
