"""The stages of each request, and the decisions on retries and hedges."""

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
    AttemptOutcome,
    AttemptStarted,
    OutcomeKind,
)
from catkinspan.coordination.quarantine.models import fingerprint
from catkinspan.coordination.requests import refusals
from catkinspan.coordination.requests.admission import Admission
from catkinspan.coordination.requests.const import (
    HEDGE_AFTER_USUAL,
    LEAST_HEDGE_SECONDS,
    TRIAL_BUDGET,
    TRIAL_HEDGE_AFTER_USUAL,
)
from catkinspan.coordination.requests.errors import Ran, Refusal
from catkinspan.coordination.requests.models import (
    Assigned,
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
    HeldRequest,
    LiveRequest,
    Stage,
    cancelled,
    may_have_run,
)
from catkinspan.coordination.requests.stages import Stages
from catkinspan.coordination.retries.coordinator import backoff
from catkinspan.state.ids import (
    ANONYMOUS_WORKSPACE,
    RequestId,
    WorkspaceId,
)
from catkinspan.state.tree import SettingsTree, Workspace

CRASH_KINDS = frozenset({OutcomeKind.RESET, OutcomeKind.TRUNCATED})


class RequestsCoordinator:
    """Takes each request through its stages and decides on retries and hedges.

    A non-idempotent request is sent again only if no byte of it was written or the
    upstream said that it did not run. A refusal says "not run" only if that holds
    for all of its attempts.
    """

    def __init__(
        self, stages: Stages, outbox: Outbox, rng: Random, max_requests: int
    ) -> None:
        self._stages = stages
        self._outbox = outbox
        self._rng = rng
        self._max_requests = max_requests
        self._tree = SettingsTree()
        self._requests: dict[RequestId, LiveRequest] = {}
        self._admission = Admission(stages, rng)
        self._timed: set[RequestId] = set()
        """Requests in backoff or with a hedge to come."""

        self._held: dict[RequestId, HeldRequest] = {}
        """Requests that wait for the first configuration, the oldest first."""

    @property
    def running(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._requests)

    @property
    def held(self) -> int:
        """Return the number of requests that wait for the first configuration."""
        return len(self._held)

    def in_flight(self, workspace: WorkspaceId) -> int:
        """Return the number of a workspace's requests that have not ended."""
        return self._admission.in_flight(workspace)

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the settings; running requests keep their route's settings."""
        self._tree = tree
        self._admission.apply_tree(tree)

    # Messages from the front end

    def arrive(self, arrived: RequestArrived, now: float) -> None:
        """Start a request, hold it until the host is ready, or refuse it."""
        if len(self._requests) + len(self._held) >= self._max_requests:
            self._outbox.add_directive(Refused(arrived.request_id, refusals.OVERLOADED))
            return
        if not self._stages.gate.is_ready(now):
            self._held[arrived.request_id] = HeldRequest.of(arrived, now)
            return
        admitted = self._admission.admit(arrived, now)
        if isinstance(admitted, Err):
            self._outbox.add_directive(Refused(arrived.request_id, admitted.err_value))
            return
        request = admitted.ok_value
        self._requests[request.id] = request
        if arrived.content_length == 0:
            self._check_quarantine(request, now)
            return
        limit = request.route.policy.max_body_bytes
        self._timed.add(request.id)
        self._outbox.add_directive(BodyWanted(request.id, limit))

    def receive_body(self, received: BodyReceived, now: float) -> None:
        """Go on with a request whose body has begun to arrive."""
        request = self._requests.get(received.request_id)
        if request is None or request.stage is not Stage.BODY:
            return
        self._timed.discard(request.id)
        request.body_digest = received.digest
        self._check_quarantine(request, now)

    def finish_attempt(self, finished: AttemptFinished, now: float) -> None:
        """Take the outcome of an attempt; retry it, or end the request."""
        outcome = finished.outcome
        request = self._requests.get(outcome.request_id)
        if request is None or outcome.attempt not in request.running:
            return
        del request.running[outcome.attempt]
        self._record(request, outcome, now)
        if request.stage is Stage.ENDED:
            self._forget_if_idle(request)
        elif outcome.kind is OutcomeKind.OK:
            self._end(request)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            self._after_failure(request, finished, now)

    def abandon(self, abandoned: RequestAbandoned, now: float) -> None:
        """End a request whose caller went away or was cut off."""
        self._held.pop(abandoned.request_id, None)
        request = self._requests.get(abandoned.request_id)
        if request is None:
            return
        for attempt in request.running:
            self._stages.health.record(cancelled(request, attempt), now)
        request.running.clear()
        self._end(request)

    def forget(self, request_id: RequestId) -> None:
        """Drop a request whose processing failed."""
        self._held.pop(request_id, None)
        request = self._requests.get(request_id)
        if request is None:
            return
        request.running.clear()
        request.stage = Stage.ENDED
        self._timed.discard(request_id)
        self._forget_if_idle(request)

    def tick(self, now: float) -> None:
        """Go on with requests whose time has come."""
        if self._held:
            self._release(now)
        for request_id in list(self._timed):
            self._on_time(self._requests.get(request_id), request_id, now)

    def next_due(self) -> float:
        """Return the next moment at which `tick` has something to do."""
        requests = (self._requests.get(name) for name in self._timed)
        due = [r.due for r in requests if r is not None]
        due += [held.until for held in self._held.values()]
        return min(due, default=float("inf"))

    def resume(self, gap: float) -> None:
        """Shorten the time left by that of a pause, in which callers waited on."""
        for request in self._requests.values():
            request.deadline -= gap

    # Admission

    def _release(self, now: float) -> None:
        """Start the held requests of a host that is ready; refuse the others in time.

        The wait counts against the caller's time.
        """
        is_ready = self._stages.gate.is_ready(now)
        for held in list(self._held.values()):
            if not is_ready and now < held.until:
                continue
            del self._held[held.arrived.request_id]
            if is_ready:
                self.arrive(held.shortened(now), now)
            else:
                request_id = held.arrived.request_id
                self._outbox.add_directive(Refused(request_id, refusals.NOT_READY))

    def _check_quarantine(self, request: LiveRequest, now: float) -> None:
        arrived = request.arrived
        request.fingerprint = fingerprint(
            request.workspace,
            request.route.id,
            arrived.method,
            arrived.path,
            request.body_digest,
        )
        checked = self._stages.quarantine.check(request.fingerprint, now)
        if isinstance(checked, Err):
            self._refuse(request, refusals.quarantine_refusal(checked.err_value))
            return
        self._take_rate(request, now)

    def _take_rate(self, request: LiveRequest, now: float) -> None:
        if request.workspace != ANONYMOUS_WORKSPACE:
            rates = self._stages.rates
            if not rates.take(request.workspace, now):
                workspace = self._tree.workspaces.get(request.workspace)
                workspace = workspace or Workspace(request.workspace, (), 0.0, 1.0)
                wait = rates.retry_after(request.workspace)
                evidence = rates.evidence(request.workspace, now)
                self._refuse(request, refusals.rate_refusal(workspace, wait, evidence))
                return
        self._stages.retries.record_first_try(request.service, now)
        self._seek_server(request, now)

    # Servers and attempts

    def _seek_server(self, request: LiveRequest, now: float) -> None:
        """Send the request to the best server, or end it if there is none."""
        refusal = self._late_refusal(request, now)
        if refusal is not None:
            if not request.running:
                self._refuse(request, refusal)
            return
        wanted = self._server_request(request, now)
        chosen = self._stages.balancer.choose(wanted, now)
        if isinstance(chosen, Ok):
            self._assign(request, chosen.ok_value, wanted.expected_latency, now)
        elif not request.running:
            self._refuse(request, self._server_refusal(request, chosen.err_value))

    def _server_request(self, request: LiveRequest, now: float) -> ServerRequest:
        usual = self._stages.health.usual_latency(request.route.id, request.target)
        first = not request.attempts_made
        can_hedge = self._can_hedge(request)
        budget = self._stages.retries.left(request.service, now) if first else 0.0
        return ServerRequest(
            service=request.service,
            idempotent=request.is_idempotent,
            tried_servers=frozenset(request.tried),
            expected_latency=usual,
            remaining_seconds=request.deadline - now,
            allows_trial=first and can_hedge and budget > TRIAL_BUDGET,
        )

    def _server_refusal(
        self, request: LiveRequest, refused: NoServerAvailable
    ) -> Refusal:
        if request.last_failure is None:
            return refusals.server_refusal(refused)
        return refusals.outcome_refusal(request.last_failure, request.ran)

    def _assign(
        self, request: LiveRequest, choice: ServerChoice, usual: float, now: float
    ) -> None:
        request.attempts_made += 1
        attempt = request.attempts_made
        server = choice.upstream.id
        request.stage = Stage.RUNNING
        request.running[attempt] = server
        request.tried.add(server)
        started = AttemptStarted(
            request.id, attempt, request.service, server, request.route.id
        )
        self._stages.health.record_start(started, request.target, now)
        self._plan_hedge(request, choice, usual, now)
        self._outbox.add_directive(self._assigned(request, attempt, choice, usual))

    def _late_refusal(self, request: LiveRequest, now: float) -> Refusal | None:
        """Check what may have changed while the request waited."""
        if now >= request.deadline:
            if request.last_failure is not None:
                return refusals.outcome_refusal(request.last_failure, request.ran)
            return refusals.DEADLINE_PASSED
        return self._admission.refusal_by_key(request, now)

    def _assigned(
        self, request: LiveRequest, attempt: int, choice: ServerChoice, usual: float
    ) -> Assigned:
        policy = request.route.policy
        upstream = choice.upstream
        return Assigned(
            request_id=request.id,
            attempt=attempt,
            service=request.service,
            route=request.route.id,
            workspace=request.workspace,
            server=upstream.id,
            address=upstream.address,
            deadline=request.deadline,
            attempt_timeout=policy.attempt_timeout.total_seconds(),
            usual=usual,
            hold_bytes=policy.hold_bytes,
            idempotent=request.is_idempotent,
            max_body_bytes=policy.max_body_bytes,
            connection_limit=upstream.max_connections,
            key_query_parameter=policy.key_query_parameter,
            risk=round(choice.risk, 3),
            in_flight=choice.in_flight,
            is_trial=choice.is_trial,
            revision=self._tree.revision,
        )

    def _can_hedge(self, request: LiveRequest) -> bool:
        """Return whether a second server may get the request beside the first.

        A body that streams to one server cannot go to a second one as well.
        """
        policy = request.route.policy
        return (
            policy.hedges
            and policy.max_attempts > 1
            and request.is_idempotent
            and request.arrived.content_length == 0
        )

    def _plan_hedge(
        self, request: LiveRequest, choice: ServerChoice, usual: float, now: float
    ) -> None:
        if request.attempts_made > 1 or not self._can_hedge(request):
            return
        multiple = TRIAL_HEDGE_AFTER_USUAL if choice.is_trial else HEDGE_AFTER_USUAL
        rounds = 1 + choice.in_flight // max(1, choice.upstream.slots)
        wait = multiple * usual * rounds
        request.hedge_at = now + max(LEAST_HEDGE_SECONDS, wait)
        self._timed.add(request.id)

    def _on_time(
        self, request: LiveRequest | None, request_id: RequestId, now: float
    ) -> None:
        if request is None:
            self._timed.discard(request_id)
        elif request.stage is Stage.BODY:
            if now >= request.deadline:
                self._refuse(request, refusals.BODY_TOO_SLOW)
        elif request.stage is Stage.BACKOFF and now >= request.backoff_until:
            self._timed.discard(request_id)
            self._seek_server(request, now)
        elif request.hedge_at is not None and now >= request.hedge_at:
            self._timed.discard(request_id)
            request.hedge_at = None
            self._hedge(request, now)

    def _hedge(self, request: LiveRequest, now: float) -> None:
        if request.stage is not Stage.RUNNING:
            return
        policy = request.route.policy
        if self._stages.retries.may_hedge(
            request.service,
            request.servers_reached,
            policy.max_attempts,
            request.deadline,
            now,
        ):
            self._seek_server(request, now)

    # Outcomes

    def _record(
        self, request: LiveRequest, outcome: AttemptOutcome, now: float
    ) -> None:
        self._stages.health.record(outcome, now)
        if may_have_run(outcome):
            request.ran = Ran.MAYBE
        if request.fingerprint is None:
            return
        if outcome.kind in CRASH_KINDS:
            self._stages.quarantine.record_crash(
                request.fingerprint, outcome.server, now
            )
        elif outcome.kind is OutcomeKind.OK:
            self._stages.quarantine.record_success(request.fingerprint, now)

    def _after_failure(
        self, request: LiveRequest, finished: AttemptFinished, now: float
    ) -> None:
        outcome = finished.outcome
        request.last_failure = outcome.kind
        request.unconnected += outcome.kind is OutcomeKind.CONNECT_ERROR
        if request.running:
            # A hedge is still under way.
            if outcome.kind is OutcomeKind.SERVER_ERROR:
                self._outbox.add_directive(Discard(request.id, outcome.attempt))
            return
        if self._may_send_again(request, finished, now):
            if outcome.kind is OutcomeKind.SERVER_ERROR:
                self._outbox.add_directive(Discard(request.id, outcome.attempt))
            self._back_off(request, now)
        elif outcome.kind is OutcomeKind.SERVER_ERROR:
            self._outbox.add_directive(Deliver(request.id, outcome.attempt))
            self._end(request)
        else:
            refusal = refusals.outcome_refusal(outcome.kind, request.ran)
            self._refuse(request, refusal)

    def _may_send_again(
        self, request: LiveRequest, finished: AttemptFinished, now: float
    ) -> bool:
        if not finished.replayable:
            return False
        if not request.is_idempotent and request.ran is not Ran.NO:
            return False
        if self._is_quarantined(request, now):
            return False
        policy = request.route.policy
        if finished.outcome.kind is OutcomeKind.CONNECT_ERROR:
            # The attempt put no load on a server, so it costs no retry budget.
            in_time = now < request.deadline
            return in_time and request.servers_reached < policy.max_attempts
        return self._stages.retries.may_retry(
            request.service,
            request.servers_reached,
            policy.max_attempts,
            request.deadline,
            now,
        )

    def _is_quarantined(self, request: LiveRequest, now: float) -> bool:
        if request.fingerprint is None:
            return False
        return self._stages.quarantine.check(request.fingerprint, now).is_err()

    def _back_off(self, request: LiveRequest, now: float) -> None:
        if request.last_failure is OutcomeKind.CONNECT_ERROR:
            # Another server is tried at once; only load needs time to fall.
            self._seek_server(request, now)
            return
        request.stage = Stage.BACKOFF
        request.backoff_until = now + backoff(request.attempts_made, self._rng)
        self._timed.add(request.id)

    # Ends

    def _refuse(self, request: LiveRequest, refusal: Refusal) -> None:
        if request.ran is not Ran.NO:
            refusal = evolve(refusal, ran=request.ran, retry_after=None)
        directive = Refused(request.id, refusal, request.service, request.workspace)
        self._outbox.add_directive(directive)
        self._end(request)

    def _end(self, request: LiveRequest) -> None:
        request.stage = Stage.ENDED
        self._timed.discard(request.id)
        self._forget_if_idle(request)

    def _forget_if_idle(self, request: LiveRequest) -> None:
        if request.running or request.id not in self._requests:
            return
        del self._requests[request.id]
        self._admission.leave(request.workspace)
