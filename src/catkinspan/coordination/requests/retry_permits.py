"""Whether a failed request may be sent again."""

from catkinspan.coordination.outcomes import NOT_SENT_OUTCOMES
from catkinspan.coordination.requests.dependencies import RequestDependencies
from catkinspan.coordination.requests.errors import Ran
from catkinspan.coordination.requests.host_stop import HostStop
from catkinspan.coordination.requests.models import AttemptFinished
from catkinspan.coordination.requests.records import ActiveRequest


class RetryPermits:
    """Permits retries within the route's attempts and the service's retry budget."""

    def __init__(self, dependencies: RequestDependencies, stop: HostStop) -> None:
        self._dependencies = dependencies
        self._stop = stop

    def acquire(
        self, request: ActiveRequest, finished: AttemptFinished, now: float
    ) -> bool:
        """Return whether to retry; a permitted retry is taken from the budget."""
        if not finished.replayable:
            return False
        if not request.is_idempotent and request.ran is not Ran.NO:
            return False
        if not self._stop.may_send(request) or self._is_quarantined(request, now):
            return False
        policy = request.route.policy
        if finished.outcome.kind in NOT_SENT_OUTCOMES:
            # A failed connection puts no load on a server and uses no retry budget.
            in_time = now < request.deadline
            return in_time and request.counted_attempts < policy.max_attempts
        return self._dependencies.retries.acquire_retry(
            request.service,
            request.counted_attempts,
            policy.max_attempts,
            request.deadline,
            now,
        )

    def _is_quarantined(self, request: ActiveRequest, now: float) -> bool:
        if request.fingerprint is None:
            return False
        return self._dependencies.quarantine.check(request.fingerprint, now).is_err()
