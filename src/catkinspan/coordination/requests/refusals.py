"""Refusals for each stage of a request."""

from collections.abc import Mapping

from catkinspan.coordination.balancing.models import NoServerAvailable, NoServerReason
from catkinspan.coordination.keys.coordinator import digest_of
from catkinspan.coordination.keys.errors import KeyRefusal, KeyRefusalKind
from catkinspan.coordination.keys.models import digest_prefix
from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.quarantine.errors import Quarantined
from catkinspan.coordination.requests.errors import Ran, Refusal, RefusalKind
from catkinspan.coordination.routing.errors import (
    AmbiguousPath,
    MethodNotAllowed,
    RouteRefusal,
)
from catkinspan.state.tree import Workspace

MISSING_ROUTE = "no route matches, and some published routes cannot be read"
MISSING_KEY = "the key is not known, and some published keys cannot be read"

_DEFAULT_RETRY_AFTER_SECONDS = 1.0
_MIN_RETRY_AFTER_SECONDS = 0.1
"""Minimum `Retry-After`: two intervals of the hosts' load reports."""

_RETRY_AFTER_SPREAD = 0.5
"""Largest part by which `Retry-After` exceeds the expected wait."""

_UNKNOWING_RETRY_AFTER_SECONDS = 0.3
"""`Retry-After` of a host that lacks knowledge which other hosts are likely to have."""

NOT_READY = Refusal(
    RefusalKind.NOT_READY,
    "the host has no configuration yet",
    "try again, through another host if possible",
    retry_after=_UNKNOWING_RETRY_AFTER_SECONDS,
)

SETTINGS_KINDS = frozenset(
    {
        RefusalKind.ROUTE_NOT_FOUND,
        RefusalKind.METHOD_NOT_ALLOWED,
        RefusalKind.KEY_MISSING,
        RefusalKind.KEY_UNKNOWN,
        RefusalKind.KEY_WITHDRAWN,
        RefusalKind.SETTINGS_UNUSABLE,
    }
)
"""Refusals that newer settings may turn into an admission."""

ISOLATED = Refusal(
    RefusalKind.ISOLATED,
    "the host cannot learn of withdrawn keys",
    "try again, through another host if possible",
    retry_after=_UNKNOWING_RETRY_AFTER_SECONDS,
)
STOPPING = Refusal(
    RefusalKind.STOPPING,
    "the host stops before the time limit of the request",
    "try again, through another host",
    retry_after=_MIN_RETRY_AFTER_SECONDS,
)
OVERLOADED = Refusal(
    RefusalKind.OVERLOADED,
    "the host runs as many requests as it may",
    "try again later, or send fewer requests at once",
    retry_after=_DEFAULT_RETRY_AFTER_SECONDS,
)
WORKSPACE_OVERLOADED = Refusal(
    RefusalKind.OVERLOADED,
    "the workspace has as many requests on this host as it may",
    "send fewer requests at once",
    retry_after=_DEFAULT_RETRY_AFTER_SECONDS,
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
DEADLINE_PASSED = Refusal(
    RefusalKind.DEADLINE_PASSED,
    "the deadline passed before the request was sent to a server",
    "send the request again, with more time",
    retry_after=0.0,
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
    OutcomeKind.CONNECTION_LIMIT: (
        RefusalKind.NO_CAPACITY,
        "the host may open no more connections to the upstream servers",
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
    OutcomeKind.MISDIRECTED: (
        RefusalKind.UPSTREAM_MISDIRECTED,
        "another server has the address of the upstream server",
    ),
    OutcomeKind.INVALID: (
        RefusalKind.UPSTREAM_INVALID,
        "the upstream's answer lacks the signs of a whole answer",
    ),
}
_RESEND = "send the request again"
_CHECK_BEFORE_RESEND = "find out whether the request ran before sending it again"

_SERVER_MESSAGES: Mapping[NoServerReason, str] = {
    NoServerReason.NONE_PUBLISHED: "no upstream server takes new work",
    NoServerReason.PAUSED: "the upstream servers asked for a pause",
    NoServerReason.FULL: "no upstream server would be free in time",
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


def key_refusal(error: KeyRefusal, key: str | None) -> Refusal:
    """Return the refusal of a request without a valid key; never contains the key."""
    return Refusal(
        _KEY_KINDS[error.kind],
        error.message,
        error.remedy,
        evidence=f"key {digest_prefix(digest_of(key))}" if key else "",
    )


def outdated_refusal(refusal: Refusal) -> Refusal:
    """Return the refusal of a request that newer settings may allow.

    A caller takes a status such as 401 or 404 as final, so a host that may lack the
    newest settings does not send one.
    """
    return Refusal(
        RefusalKind.SETTINGS_OUTDATED,
        "the host may not have the newest settings",
        "try again, through another host if possible",
        retry_after=_UNKNOWING_RETRY_AFTER_SECONDS,
        evidence=f"{refusal.kind} {refusal.evidence}".rstrip(),
    )


def unusable_settings_refusal(fault: str) -> Refusal:
    """Return the refusal of a request whose published settings cannot be used."""
    return Refusal(
        RefusalKind.SETTINGS_UNUSABLE,
        "the published settings for the request are not usable",
        "ask the operators to correct the settings that `catkinspan status` names",
        retry_after=_DEFAULT_RETRY_AFTER_SECONDS,
        evidence=fault,
    )


def quarantine_refusal(error: Quarantined) -> Refusal:
    """Return the refusal of a request that crashed upstreams."""
    return Refusal(
        RefusalKind.QUARANTINED,
        str(error),
        error.remedy,
        retry_after=error.retry_after,
    )


def rate_refusal(workspace: Workspace, retry_after: float, evidence: str) -> Refusal:
    """Return the refusal of a request above its workspace's rate limit."""
    return Refusal(
        RefusalKind.RATE_EXCEEDED,
        f"the workspace is over its rate of {workspace.rate:g} requests a second",
        "send fewer requests a second",
        retry_after=retry_after,
        evidence=evidence,
    )


def unknown_rate_refusal(evidence: str) -> Refusal:
    """Return the refusal of a host that does not know the fleet's use of a rate."""
    return Refusal(
        RefusalKind.RATE_UNKNOWN,
        "the host does not know the use of the workspace's rate at other hosts",
        "try again, through another host if possible",
        retry_after=_UNKNOWING_RETRY_AFTER_SECONDS,
        evidence=evidence,
    )


def server_refusal(refused: NoServerAvailable, spread: float) -> Refusal:
    """Return the refusal of a request that no server can take.

    `spread`, from 0 to 1, is a random number by which callers that are refused at the
    same time return at different times.
    """
    wait = max(_MIN_RETRY_AFTER_SECONDS, refused.expected_wait)
    return Refusal(
        RefusalKind.NO_CAPACITY,
        _SERVER_MESSAGES[refused.reason],
        _RESEND,
        retry_after=wait * (1.0 + _RETRY_AFTER_SPREAD * spread),
        evidence=f"{refused.reason}, wait {refused.expected_wait:.3f} s",
    )


def outcome_refusal(kind: OutcomeKind, ran: Ran) -> Refusal:
    """Return the refusal of a request whose last attempt failed."""
    refusal_kind, message = _OUTCOME_KINDS[kind]
    remedy = _RESEND if ran is Ran.NO else _CHECK_BEFORE_RESEND
    retry_after = _MIN_RETRY_AFTER_SECONDS if ran is Ran.NO else None
    return Refusal(refusal_kind, message, remedy, ran=ran, retry_after=retry_after)
