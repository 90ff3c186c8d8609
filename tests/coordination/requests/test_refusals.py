"""Guards against an outcome or a refusal that no answer exists for."""

import pytest

from catkinspan.coordination.claims.models import Ran
from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.errors import RefusalKind
from catkinspan.coordination.requests.refusals import outcome_refusal
from catkinspan.protocol.http.responses import STATUS

FAILURES = set(OutcomeKind) - {OutcomeKind.OK, OutcomeKind.CANCELLED}


@pytest.mark.parametrize("kind", sorted(FAILURES))
def test_each_failure_has_a_refusal(kind: OutcomeKind) -> None:
    """A retry after a 5xx that found no slot once ended in a KeyError."""
    refusal = outcome_refusal(kind, Ran.MAYBE)
    assert refusal.ran is Ran.MAYBE
    assert refusal.remedy


def test_each_refusal_has_a_status() -> None:
    assert set(STATUS) == set(RefusalKind)
