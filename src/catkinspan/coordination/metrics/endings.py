"""Grouping of the kinds of request results into categories."""

from collections.abc import Mapping

from catkinspan.coordination.metrics.models import FinishedRequest, ResultCategory
from catkinspan.coordination.requests.errors import RefusalKind

PASSED = "passed"
CUT = "cut"

_KINDS_BY_CATEGORY: Mapping[ResultCategory, frozenset[str]] = {
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
    ResultCategory.HOST: frozenset(
        {
            RefusalKind.NOT_READY,
            RefusalKind.SETTINGS_OUTDATED,
            RefusalKind.SETTINGS_UNUSABLE,
            RefusalKind.ISOLATED,
            RefusalKind.STOPPING,
            RefusalKind.RATE_UNKNOWN,
        }
    ),
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
_CATEGORY_BY_KIND = {
    kind: category for category, kinds in _KINDS_BY_CATEGORY.items() for kind in kinds
}

NOT_REFUSALS = frozenset({PASSED, CUT, "abandoned", ""})

IN_RATE_KINDS = frozenset(
    {
        RefusalKind.NO_CAPACITY,
        RefusalKind.UPSTREAM_SHED,
        RefusalKind.UPSTREAM_UNREACHABLE,
    }
)
"""Kinds of refusals that occur only after the rate stage has admitted the request. A
refusal by rate may be wrong as well, but a single host cannot detect that."""


def category_of(request: FinishedRequest) -> ResultCategory:
    """Return the category of a finished request."""
    if request.kind == PASSED:
        return ResultCategory.FAILED if request.status >= 500 else ResultCategory.SERVED
    return _CATEGORY_BY_KIND.get(request.kind, ResultCategory.REQUEST)


def has_category(kind: str) -> bool:
    """Return whether a kind is assigned to a category explicitly."""
    return kind in _CATEGORY_BY_KIND
