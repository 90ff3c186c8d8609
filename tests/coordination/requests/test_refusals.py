"""Tests that every failure has a refusal and every refusal a status."""

import pytest

from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.errors import Ran, RefusalKind
from catkinspan.coordination.requests.refusals import (
    ISOLATED,
    NOT_READY,
    outcome_refusal,
    outdated_refusal,
    unknown_rate_refusal,
)
from catkinspan.protocol.http.responses import STATUS, refusal_status

FAILURES = set(OutcomeKind) - {OutcomeKind.OK, OutcomeKind.CANCELLED}


@pytest.mark.parametrize("kind", sorted(FAILURES))
def test_each_failure_has_a_refusal(kind: OutcomeKind) -> None:
    """Guards against a KeyError when a retry after a 5xx finds no free slot."""
    refusal = outcome_refusal(kind, Ran.MAYBE)
    assert refusal.ran is Ran.MAYBE
    assert refusal.remedy


def test_each_refusal_has_a_status() -> None:
    assert set(STATUS) == set(RefusalKind)


@pytest.mark.parametrize("kind", sorted(FAILURES))
def test_retryable_status_only_for_requests_that_did_not_run(kind: OutcomeKind) -> None:
    """Guards against a retryable status for a request that may have run.

    Callers resend any request after 429 and 503, also a non-idempotent one.
    """
    promises = {408, 421, 429, 503}
    assert refusal_status(outcome_refusal(kind, Ran.NO)) in promises
    assert refusal_status(outcome_refusal(kind, Ran.MAYBE)) not in promises


def test_hosts_without_knowledge_let_callers_return_soon() -> None:
    """Guards against callers that wait for a second, while other hosts know what a
    host that starts or is cut off does not."""
    unknown = [NOT_READY, ISOLATED, unknown_rate_refusal("")]
    unknown.append(outdated_refusal(NOT_READY))
    assert {refusal.retry_after for refusal in unknown} == {0.3}
