"""Grouping of the kinds by which requests end."""

from collections.abc import Mapping

from catkinspan.coordination.metrics.models import FinishedRequest, ResultCategory
from catkinspan.coordination.requests.errors import RefusalKind

PASSED = "passed"
CUT = "cut"

_GROUPS: Mapping[ResultCategory, frozenset[str]] = {
    ResultCategory.FAILED: frozenset(
        {
            CUT,
            RefusalKind.UPSTREAM_UNREACHABLE,
            RefusalKind.UPSTREAM_TIMEOUT,
            RefusalKind.UPSTREAM_RESET,
            RefusalKind.UPSTREAM_TRUNCATED,
            RefusalKind.UPSTREAM_CROSSED,
            RefusalKind.UPSTREAM_ERROR,
            RefusalKind.UPSTREAM_INVALID,
            RefusalKind.INTERNAL_ERROR,
        }
    ),
    ResultCategory.RATE: frozenset({RefusalKind.RATE_EXCEEDED}),
    ResultCategory.CAPACITY: frozenset(
        {
            RefusalKind.NO_CAPACITY,
            RefusalKind.UPSTREAM_SHED,
            RefusalKind.UPSTREAM_MISDIRECTED,
            RefusalKind.DEADLINE_PASSED,
            RefusalKind.OVERLOADED,
        }
    ),
    ResultCategory.KEY: frozenset(
        {RefusalKind.KEY_MISSING, RefusalKind.KEY_UNKNOWN, RefusalKind.KEY_WITHDRAWN}
    ),
    ResultCategory.HOST: frozenset({RefusalKind.NOT_READY, RefusalKind.ISOLATED}),
    ResultCategory.REQUEST: frozenset(
        {
            RefusalKind.BAD_REQUEST,
            RefusalKind.HEADER_TOO_LARGE,
            RefusalKind.BODY_TOO_LARGE,
            RefusalKind.REQUEST_TIMEOUT,
            RefusalKind.ROUTE_NOT_FOUND,
            RefusalKind.METHOD_NOT_ALLOWED,
            RefusalKind.QUARANTINED,
        }
    ),
    ResultCategory.ABANDONED: frozenset({"abandoned", ""}),
}
_ENDINGS = {kind: ending for ending, kinds in _GROUPS.items() for kind in kinds}

NOT_REFUSALS = frozenset({PASSED, CUT, "abandoned", ""})

IN_RATE_KINDS = frozenset(
    {
        RefusalKind.NO_CAPACITY,
        RefusalKind.UPSTREAM_SHED,
        RefusalKind.UPSTREAM_UNREACHABLE,
    }
)
"""Refusals that only come after the rate stage has admitted the request. A refusal by
rate may also be wrong, but a single host cannot tell."""


def ending_of(request: FinishedRequest) -> ResultCategory:
    """Return the group of a finished request."""
    if request.kind == PASSED:
        return ResultCategory.FAILED if request.status >= 500 else ResultCategory.SERVED
    return _ENDINGS.get(request.kind, ResultCategory.REQUEST)


def is_grouped(kind: str) -> bool:
    """Return whether a kind has a group of its own choice."""
    return kind in _ENDINGS
