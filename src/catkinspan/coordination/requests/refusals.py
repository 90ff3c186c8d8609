"""Refusals of each stage of a request."""

from collections.abc import Mapping

from catkinspan.coordination.claims.errors import (
    AlreadyRan,
    AlreadyRunning,
    ClaimRefusal,
    KeyMisused,
)
from catkinspan.coordination.claims.models import Ran
from catkinspan.coordination.keys.errors import KeyRefusal, KeyRefusalKind
from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.quarantine.errors import Quarantined
from catkinspan.coordination.requests.errors import Refusal, RefusalKind
from catkinspan.coordination.routing.errors import (
    AmbiguousPath,
    MethodNotAllowed,
    RouteRefusal,
)
from catkinspan.coordination.slots.models import SlotRefusal
from catkinspan.state.tree import Workspace

_RETRY_SOON_SECONDS = 1.0

NOT_READY = Refusal(
    RefusalKind.NOT_READY,
    "the host has no configuration yet",
    "try again, through another host if possible",
    retry_after=_RETRY_SOON_SECONDS,
)
ISOLATED = Refusal(
    RefusalKind.ISOLATED,
    "the host cannot learn of withdrawn keys",
    "try again, through another host if possible",
    retry_after=_RETRY_SOON_SECONDS,
)
OVERLOADED = Refusal(
    RefusalKind.OVERLOADED,
    "the host runs as many requests as it may",
    "try again later, or send fewer requests at once",
    retry_after=_RETRY_SOON_SECONDS,
)
WORKSPACE_OVERLOADED = Refusal(
    RefusalKind.OVERLOADED,
    "the workspace has as many requests on this host as it may",
    "send fewer requests at once",
    retry_after=_RETRY_SOON_SECONDS,
)
INTERNAL_ERROR = Refusal(
    RefusalKind.INTERNAL_ERROR,
    "the host failed while it processed the request",
    "find out whether the request ran; report the request id to the operators",
    ran=Ran.MAYBE,
)
BODY_TOO_SLOW = Refusal(
    RefusalKind.REQUEST_TIMEOUT,
    "the request body did not arrive before the deadline",
    "send the body faster, or ask for a route with a longer deadline",
)
CLAIM_EXPIRED = Refusal(
    RefusalKind.CLAIM_UNDECIDED,
    "the claim of the Idempotency-Key expired before the request started",
    "send the request again with the same Idempotency-Key",
)

_KEY_KINDS: Mapping[KeyRefusalKind, RefusalKind] = {
    KeyRefusalKind.MISSING: RefusalKind.KEY_MISSING,
    KeyRefusalKind.UNKNOWN: RefusalKind.KEY_UNKNOWN,
    KeyRefusalKind.WITHDRAWN: RefusalKind.KEY_WITHDRAWN,
}

_OUTCOME_KINDS: Mapping[OutcomeKind, tuple[RefusalKind, str]] = {
    OutcomeKind.CONNECT_ERROR: (
        RefusalKind.UPSTREAM_UNREACHABLE,
        "no connection to an upstream server",
    ),
    OutcomeKind.RESET: (
        RefusalKind.UPSTREAM_RESET,
        "the upstream server closed the connection without an answer",
    ),
    OutcomeKind.TIMEOUT: (
        RefusalKind.UPSTREAM_TIMEOUT,
        "the upstream server did not answer in time",
    ),
    OutcomeKind.SHED: (
        RefusalKind.UPSTREAM_SHED,
        "the upstream servers have no room for the request",
    ),
    OutcomeKind.DRAINING: (
        RefusalKind.UPSTREAM_SHED,
        "the upstream server is leaving",
    ),
    OutcomeKind.TRUNCATED: (
        RefusalKind.UPSTREAM_TRUNCATED,
        "the upstream's answer ended before it was whole",
    ),
    OutcomeKind.SERVER_ERROR: (
        RefusalKind.UPSTREAM_ERROR,
        "the upstream server failed, and no other one was free in time",
    ),
    OutcomeKind.CROSSED: (
        RefusalKind.UPSTREAM_CROSSED,
        "the upstream answered another request",
    ),
}
_RESEND = "send the request again"
_CHECK_FIRST = "find out whether the request ran before sending it again"

_SLOT_MESSAGES: Mapping[SlotRefusal, str] = {
    SlotRefusal.QUEUE_FULL: "the queue for upstream slots is full",
    SlotRefusal.NO_CAPACITY_BEFORE_DEADLINE: "no upstream slot became free in time",
    SlotRefusal.NO_SERVER: "no upstream server may get the request",
}


def route_refusal(error: RouteRefusal) -> Refusal:
    """Return the refusal of a request without a route."""
    if isinstance(error, MethodNotAllowed):
        return Refusal(
            RefusalKind.METHOD_NOT_ALLOWED,
            str(error),
            error.remedy,
            allowed_methods=error.allowed,
        )
    kind = RefusalKind.ROUTE_NOT_FOUND
    if isinstance(error, AmbiguousPath):
        kind = RefusalKind.BAD_REQUEST
    return Refusal(kind, str(error), error.remedy)


def key_refusal(error: KeyRefusal) -> Refusal:
    """Return the refusal of a request without a valid key."""
    return Refusal(_KEY_KINDS[error.kind], error.message, error.remedy)


def quarantine_refusal(error: Quarantined) -> Refusal:
    """Return the refusal of a request that crashed upstreams."""
    return Refusal(
        RefusalKind.QUARANTINED,
        str(error),
        error.remedy,
        retry_after=error.retry_after,
    )


def rate_refusal(workspace: Workspace) -> Refusal:
    """Return the refusal of a request over its workspace's rate."""
    return Refusal(
        RefusalKind.RATE_EXCEEDED,
        f"the workspace is over its rate of {workspace.rate:g} requests a second",
        "send fewer requests a second",
        retry_after=1.0 / workspace.rate if workspace.rate > 0 else None,
    )


def claim_refusal(error: ClaimRefusal) -> Refusal:
    """Return the refusal of a resend; the resend itself did not run.

    An earlier request with the same key may have run, and the caller asks about
    both, so the answer says "may have run" unless no earlier one is known.
    """
    kind = RefusalKind.CLAIM_UNDECIDED
    if isinstance(error, AlreadyRunning):
        kind = RefusalKind.DUPLICATE_RUNNING
    elif isinstance(error, AlreadyRan):
        kind = RefusalKind.DUPLICATE_RAN
    elif isinstance(error, KeyMisused):
        kind = RefusalKind.IDEMPOTENCY_KEY_REUSED
    same = error.earlier_may_have_run and not isinstance(error, KeyMisused)
    ran = Ran.MAYBE if same else Ran.NO
    return Refusal(
        kind, str(error), error.remedy, ran=ran, retry_after=error.retry_after
    )


def slot_refusal(reason: SlotRefusal | None) -> Refusal:
    """Return the refusal of a request that got no slot."""
    message = _SLOT_MESSAGES[reason or SlotRefusal.NO_SERVER]
    return Refusal(
        RefusalKind.NO_CAPACITY, message, _RESEND, retry_after=_RETRY_SOON_SECONDS
    )


def outcome_refusal(kind: OutcomeKind, ran: Ran) -> Refusal:
    """Return the refusal after the last attempt failed."""
    refusal_kind, message = _OUTCOME_KINDS[kind]
    remedy = _RESEND if ran is Ran.NO else _CHECK_FIRST
    return Refusal(refusal_kind, message, remedy, ran=ran)
