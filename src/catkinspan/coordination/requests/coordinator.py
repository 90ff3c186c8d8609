"""Coordinator of the request lifecycle, including retries and hedges."""

from random import Random

from attrs import evolve
from result import Err, Ok

from catkinspan.coordination.balancing.models import (
    NoServerAvailable,
    ServerChoice,
    ServerRequest,
)
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import (
    NOT_SENT_OUTCOMES,
    AttemptOutcome,
    AttemptStarted,
    OutcomeKind,
)
from catkinspan.coordination.quarantine.models import fingerprint
from catkinspan.coordination.requests import refusals
from catkinspan.coordination.requests.admission import Admission
from catkinspan.coordination.requests.arrivals import Arrivals
from catkinspan.coordination.requests.assignments import assignment, hedge_delay
from catkinspan.coordination.requests.const import MIN_TRIAL_BUDGET
from catkinspan.coordination.requests.dependencies import RequestDependencies
from catkinspan.coordination.requests.errors import Ran, Refusal
from catkinspan.coordination.requests.host_stop import HostStop
from catkinspan.coordination.requests.models import (
    AttemptFinished,
    BodyReceived,
    BodyWanted,
    Deliver,
    Discard,
    Refused,
    RequestAbandoned,
    RequestArrived,
)
from catkinspan.coordination.requests.records import (
    ActiveRequest,
    Stage,
    may_have_run,
    unreported_outcome,
)
from catkinspan.coordination.requests.retry_permits import RetryPermits
from catkinspan.coordination.retries.coordinator import backoff
from catkinspan.coordination.timers import Timers
from catkinspan.state.ids import (
    ANONYMOUS_WORKSPACE,
    RequestId,
    WorkspaceId,
)
from catkinspan.state.tree import SettingsTree, Workspace

CRASH_OUTCOMES = frozenset({OutcomeKind.RESET, OutcomeKind.TRUNCATED})


class RequestCoordinator:
    """Admits and dispatches requests, and decides on retries and hedges.

    A non-idempotent request is resent only if no byte of it was written or the
    upstream reported that it did not run. A refusal says "not run" only if this holds
    for all attempts of the request.

    A stopping host sends no request to a server whose time limit may end after the
    host does.
    """

    def __init__(
        self,
        dependencies: RequestDependencies,
        outbox: Outbox,
        rng: Random,
        max_requests: int,
    ) -> None:
        self._dependencies = dependencies
        self._outbox = outbox
        self._rng = rng
        self._max_requests = max_requests
        self._tree = SettingsTree()
        self._requests: dict[RequestId, ActiveRequest] = {}
        self._admission = Admission(dependencies, rng)
        self._timers: Timers[RequestId] = Timers()
        """Each request has a due time until it has ended."""

        self._arrivals = Arrivals(dependencies, self._admission, outbox)
        self._stop = HostStop()
        self._retry_permits = RetryPermits(dependencies, self._stop)

    @property
    def running(self) -> int:
        """Return the number of admitted requests that have not ended."""
        return len(self._requests)

    @property
    def held_count(self) -> int:
        """Return the number of requests held until the host has a configuration."""
        return self._arrivals.held_count

    def in_flight(self, workspace: WorkspaceId) -> int:
        """Return the number of a workspace's requests in flight."""
        return self._admission.in_flight(workspace)

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Apply new settings; running requests keep the settings of their route."""
        self._tree = tree
        self._admission.apply_tree(tree)

    def drain(self, stops_at: float) -> None:
        """Refuse, from now on, requests that may last longer than the host.

        `stops_at` is the monotonic time in seconds at which the host ends.
        """
        self._stop.announce(stops_at)
        for request in list(self._requests.values()):
            is_waiting = request.stage in (Stage.BODY, Stage.BACKOFF)
            if is_waiting and not self._stop.may_send(request):
                self._refuse(request, refusals.STOPPING)

    # Messages from the front end

    def start_request(self, arrived: RequestArrived, now: float) -> None:
        """Admit a request, hold it until the host is ready, or refuse it."""
        if len(self._requests) + self._arrivals.total_held >= self._max_requests:
            self._outbox.add_directive(Refused(arrived.request_id, refusals.OVERLOADED))
            return
        admitted = self._arrivals.admit(arrived, now)
        if admitted is not None:
            self._start(admitted, now)

    def _start(self, request: ActiveRequest, now: float) -> None:
        self._requests[request.id] = request
        if not self._stop.may_send(request):
            self._refuse(request, refusals.STOPPING)
            return
        if request.arrived.content_length == 0:
            self._check_quarantine(request, now)
            return
        limit = request.route.policy.max_body_bytes
        self._timers.set(request.id, request.due_at)
        self._outbox.add_directive(BodyWanted(request.id, limit))

    def receive_body(self, received: BodyReceived, now: float) -> None:
        """Continue a request after the first part of its body has arrived."""
        request = self._requests.get(received.request_id)
        if request is None or request.stage is not Stage.BODY:
            return
        request.body_digest = received.digest
        self._check_quarantine(request, now)

    def finish_attempt(self, finished: AttemptFinished, now: float) -> None:
        """Record the outcome of an attempt, and retry or finish the request."""
        outcome = finished.outcome
        request = self._requests.get(outcome.request_id)
        if request is None or outcome.attempt not in request.running_attempts:
            return
        del request.running_attempts[outcome.attempt]
        self._record_outcome(request, outcome, now)
        if request.stage is Stage.ENDED:
            self._remove_if_idle(request)
        elif outcome.kind is OutcomeKind.OK:
            self._finish(request)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            self._handle_failure(request, finished, now)

    def abandon_request(self, abandoned: RequestAbandoned, now: float) -> None:
        """Finish a request whose caller disconnected or was disconnected."""
        self._arrivals.discard(abandoned.request_id)
        request = self._requests.get(abandoned.request_id)
        if request is None:
            return
        self._end_attempts(request, OutcomeKind.CANCELLED, now)
        self._finish(request)

    def drop_request(self, request_id: RequestId) -> None:
        """Drop a request whose processing raised an exception."""
        self._arrivals.discard(request_id)
        request = self._requests.get(request_id)
        if request is None:
            return
        request.running_attempts.clear()
        request.stage = Stage.ENDED
        self._timers.remove(request_id)
        self._remove_if_idle(request)

    def tick(self, now: float) -> None:
        """Process held requests and expired timers."""
        for request in self._arrivals.release(now):
            self._start(request, now)
        for request_id in self._timers.take_due(now):
            request = self._requests[request_id]
            self._handle_timer(request, now)
            if request.stage is not Stage.ENDED:
                self._timers.set(request_id, request.due_at)

    def next_due(self) -> float:
        """Return the monotonic time at which `tick` must run next."""
        return min(self._timers.next_due(), self._arrivals.next_due)

    def resume(self, gap: float) -> None:
        """Bring deadlines forward by a pause of this host; callers waited meanwhile."""
        self._stop.add_pause(gap)
        for request in self._requests.values():
            request.deadline -= gap
            if request.stage is not Stage.ENDED:
                self._timers.set(request.id, request.due_at)

    # Admission

    def _check_quarantine(self, request: ActiveRequest, now: float) -> None:
        arrived = request.arrived
        request.fingerprint = fingerprint(
            request.workspace,
            request.route.id,
            arrived.method,
            arrived.path,
            request.body_digest,
        )
        checked = self._dependencies.quarantine.check(request.fingerprint, now)
        if isinstance(checked, Err):
            self._refuse(request, refusals.quarantine_refusal(checked.err_value))
            return
        self._check_rate(request, now)

    def _check_rate(self, request: ActiveRequest, now: float) -> None:
        if request.workspace != ANONYMOUS_WORKSPACE:
            rates = self._dependencies.rates
            if not rates.admit(request.workspace, now):
                self._refuse(request, self._rate_refusal(request.workspace, now))
                return
        self._dependencies.retries.record_first_attempt(request.service, now)
        self._dispatch(request, now)

    def _rate_refusal(self, id_: WorkspaceId, now: float) -> Refusal:
        rates = self._dependencies.rates
        evidence = rates.evidence(id_, now)
        if not rates.is_over_rate(id_):
            return refusals.unknown_rate_refusal(evidence)
        workspace = self._tree.workspaces.get(id_) or Workspace(id_, (), 0.0, 1.0)
        return refusals.rate_refusal(workspace, rates.retry_after(id_), evidence)

    # Servers and attempts

    def _dispatch(self, request: ActiveRequest, now: float) -> None:
        """Send the request to the best server, or refuse it if there is none."""
        refusal = self._recheck(request, now)
        if refusal is not None:
            if not request.running_attempts:
                self._refuse(request, refusal)
            return
        server_request = self._build_server_request(request, now)
        chosen = self._dependencies.balancer.choose(server_request, now)
        if isinstance(chosen, Ok):
            self._assign(request, chosen.ok_value, server_request.expected_latency, now)
        elif not request.running_attempts:
            self._refuse(request, self._server_refusal(request, chosen.err_value))

    def _build_server_request(
        self, request: ActiveRequest, now: float
    ) -> ServerRequest:
        expected_latency = self._dependencies.health.expected_latency(
            request.route.id, request.target_latency
        )
        is_first_attempt = not request.attempts_made
        budget = (
            self._dependencies.retries.remaining(request.service, now)
            if is_first_attempt
            else 0.0
        )
        return ServerRequest(
            service=request.service,
            idempotent=request.is_idempotent,
            tried_servers=frozenset(request.tried_servers),
            expected_latency=expected_latency,
            remaining_seconds=request.deadline - now,
            allows_trial=(
                is_first_attempt and request.can_hedge and budget > MIN_TRIAL_BUDGET
            ),
        )

    def _server_refusal(
        self, request: ActiveRequest, refused: NoServerAvailable
    ) -> Refusal:
        if request.last_failure is None:
            return refusals.server_refusal(refused, self._rng.random())
        return refusals.outcome_refusal(request.last_failure, request.ran)

    def _assign(
        self,
        request: ActiveRequest,
        choice: ServerChoice,
        expected_latency: float,
        now: float,
    ) -> None:
        request.attempts_made += 1
        attempt = request.attempts_made
        server = choice.upstream.id
        request.stage = Stage.RUNNING
        request.running_attempts[attempt] = server
        is_repeated = server in request.tried_servers
        request.tried_servers.add(server)
        started = AttemptStarted(
            request.id, attempt, request.service, server, request.route.id
        )
        self._dependencies.health.record_start(started, request.target_latency, now)
        if attempt == 1 and request.can_hedge:
            request.hedge_at = now + hedge_delay(choice, expected_latency)
        self._timers.set(request.id, request.due_at)
        self._outbox.add_directive(
            assignment(
                request, choice, expected_latency, self._tree.revision, is_repeated
            )
        )

    def _recheck(self, request: ActiveRequest, now: float) -> Refusal | None:
        """Check the deadline and the key again after the request has waited."""
        if now >= request.deadline:
            if request.last_failure is not None:
                return refusals.outcome_refusal(request.last_failure, request.ran)
            return refusals.DEADLINE_PASSED
        refusal = self._admission.recheck_key(request, now)
        return None if refusal is None else self._arrivals.final_refusal(refusal, now)

    def _handle_timer(self, request: ActiveRequest, now: float) -> None:
        """Continue a request that is due."""
        if request.stage is Stage.BODY:
            self._refuse(request, refusals.BODY_TOO_SLOW)
        elif request.stage is Stage.BACKOFF:
            self._dispatch(request, now)
        elif request.hedge_at is not None and now >= request.hedge_at:
            request.hedge_at = None
            self._hedge(request, now)
        else:
            self._time_out(request, now)

    def _time_out(self, request: ActiveRequest, now: float) -> None:
        """Refuse a request whose attempts did not end at its deadline."""
        self._end_attempts(request, OutcomeKind.TIMEOUT, now)
        request.ran = Ran.MAYBE
        self._refuse(
            request, refusals.outcome_refusal(OutcomeKind.TIMEOUT, request.ran)
        )

    def _end_attempts(
        self, request: ActiveRequest, kind: OutcomeKind, now: float
    ) -> None:
        """Record the end of the running attempts, which the front end cancels."""
        for attempt in request.running_attempts:
            outcome = unreported_outcome(request, attempt, kind)
            self._dependencies.health.record_outcome(outcome, now)
            self._dependencies.metrics.record_attempt(outcome, now)
        request.running_attempts.clear()

    def _hedge(self, request: ActiveRequest, now: float) -> None:
        policy = request.route.policy
        if self._dependencies.retries.acquire_hedge(
            request.service,
            request.counted_attempts,
            policy.max_attempts,
            request.deadline,
            now,
        ):
            self._dispatch(request, now)

    # Outcomes

    def _record_outcome(
        self, request: ActiveRequest, outcome: AttemptOutcome, now: float
    ) -> None:
        self._dependencies.health.record_outcome(outcome, now)
        self._dependencies.metrics.record_attempt(outcome, now)
        if may_have_run(outcome):
            request.ran = Ran.MAYBE
        if request.fingerprint is None:
            return
        if outcome.kind in CRASH_OUTCOMES:
            self._dependencies.quarantine.record_crash(
                request.fingerprint, outcome.server, now
            )
        elif outcome.kind is OutcomeKind.OK:
            self._dependencies.quarantine.record_success(request.fingerprint, now)

    def _handle_failure(
        self, request: ActiveRequest, finished: AttemptFinished, now: float
    ) -> None:
        outcome = finished.outcome
        request.last_failure = outcome.kind
        request.connect_errors += outcome.kind in NOT_SENT_OUTCOMES
        if request.running_attempts:
            # Another attempt of the hedged request is still running.
            if outcome.kind is OutcomeKind.SERVER_ERROR:
                self._outbox.add_directive(Discard(request.id, outcome.attempt))
            return
        if self._retry_permits.acquire(request, finished, now):
            if outcome.kind is OutcomeKind.SERVER_ERROR:
                self._outbox.add_directive(Discard(request.id, outcome.attempt))
            self._back_off(request, now)
        elif outcome.kind is OutcomeKind.SERVER_ERROR:
            self._outbox.add_directive(Deliver(request.id, outcome.attempt))
            self._finish(request)
        else:
            refusal = refusals.outcome_refusal(outcome.kind, request.ran)
            self._refuse(request, refusal)

    def _back_off(self, request: ActiveRequest, now: float) -> None:
        if request.last_failure in NOT_SENT_OUTCOMES:
            # Backoff lets load fall; after a connect error another server is tried
            # without delay.
            self._dispatch(request, now)
            return
        request.stage = Stage.BACKOFF
        request.hedge_at = None
        request.backoff_until = now + backoff(request.attempts_made, self._rng)
        self._timers.set(request.id, request.due_at)

    # Completion

    def _refuse(self, request: ActiveRequest, refusal: Refusal) -> None:
        if request.ran is not Ran.NO:
            refusal = evolve(refusal, ran=request.ran, retry_after=None)
        directive = Refused(request.id, refusal, request.service, request.workspace)
        self._outbox.add_directive(directive)
        self._finish(request)

    def _finish(self, request: ActiveRequest) -> None:
        request.stage = Stage.ENDED
        self._timers.remove(request.id)
        self._remove_if_idle(request)

    def _remove_if_idle(self, request: ActiveRequest) -> None:
        if request.running_attempts or request.id not in self._requests:
            return
        del self._requests[request.id]
        self._admission.release(request.workspace)
