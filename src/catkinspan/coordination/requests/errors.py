"""Refusals: error responses that the proxy generates itself."""

from enum import StrEnum

from attrs import frozen


class Ran(StrEnum):
    """Whether an upstream may have run a request."""

    NO = "no"
    MAYBE = "maybe"


class RefusalKind(StrEnum):
    """Stable names of refusals, used in responses, logs and metrics."""

    BAD_REQUEST = "bad_request"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    ROUTE_NOT_FOUND = "route_not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    NOT_READY = "not_ready"
    SETTINGS_OUTDATED = "settings_outdated"
    SETTINGS_UNUSABLE = "settings_unusable"
    ISOLATED = "isolated"
    STOPPING = "stopping"
    OVERLOADED = "overloaded"
    RATE_EXCEEDED = "rate_exceeded"
    RATE_UNKNOWN = "rate_unknown"
    QUARANTINED = "quarantined"
    NO_CAPACITY = "no_capacity"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_RESET = "upstream_reset"
    UPSTREAM_TRUNCATED = "upstream_truncated"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_CROSSED = "upstream_crossed"
    UPSTREAM_MISDIRECTED = "upstream_misdirected"
    UPSTREAM_INVALID = "upstream_invalid"
    DEADLINE_PASSED = "deadline_passed"
    INTERNAL_ERROR = "internal_error"


@frozen
class Refusal:
    """An error response of the proxy, with a remedy for the caller."""

    kind: RefusalKind
    message: str
    remedy: str
    ran: Ran = Ran.NO
    retry_after: float | None = None
    """Seconds after which a retry may succeed; None if unknown."""

    evidence: str = ""
    """Data behind the decision and its age, for the log; not sent to callers."""

    allowed_methods: tuple[str, ...] = ()
    """Methods that the path allows, for `METHOD_NOT_ALLOWED`."""

    def __str__(self) -> str:
        """Return the refusal as one line of text."""
        return f"{self.kind}: {self.message}; {self.remedy} (ran: {self.ran})"
