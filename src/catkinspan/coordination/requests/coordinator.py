"""The stages of each request: route, key, quarantine, rate, claim and slot."""

from enum import Enum, auto
from random import Random
from typing import Protocol

from attrs import define, evolve, field, frozen
from result import Err, Ok, Result

from catkinspan.coordination.claims.coordinator import (
    ClaimCoordinator,
    may_run_unclaimed,
)
from catkinspan.coordination.claims.models import (
    ClaimDecision,
    ClaimVerdict,
    Ran,
    claim_key,
)
from catkinspan.coordination.health.coordinator import HealthCoordinator
from catkinspan.coordination.keys.coordinator import KeyCoordinator
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import (
    AttemptOutcome,
    AttemptStarted,
    OutcomeKind,
)
from catkinspan.coordination.quarantine.coordinator import QuarantineCoordinator
from catkinspan.coordination.quarantine.models import Fingerprint, fingerprint
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.models import RateVerdict
from catkinspan.coordination.requests import refusals
from catkinspan.coordination.requests.errors import Refusal
from catkinspan.coordination.requests.models import (
    NO_BODY_DIGEST,
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
from catkinspan.coordination.retries.coordinator import RetryCoordinator, backoff
from catkinspan.coordination.routing.coordinator import RoutingCoordinator
from catkinspan.coordination.slots.coordinator import SlotCoordinator
from catkinspan.coordination.slots.models import (
    SlotLease,
    SlotRequest,
    SlotStatus,
    SlotVerdict,
)
from catkinspan.state.ids import (
    OPEN_WORKSPACE,
    RequestId,
    Revision,
    ServerId,
    WorkspaceId,
)
from catkinspan.state.tree import Route, SettingsTree, Workspace

CRASH_KINDS = frozenset({OutcomeKind.RESET, OutcomeKind.TRUNCATED})
DID_NOT_RUN_KINDS = frozenset({OutcomeKind.SHED, OutcomeKind.DRAINING})
"""Outcomes by which the upstream itself said that the request did not run."""


class AdmissionGate(Protocol):
    """Whether the host as a whole may serve."""

    def is_ready(self, now: float) -> bool:
        """Return whether the host has a configuration to serve by."""

    def is_isolated(self, now: float) -> bool:
        """Return whether keyed requests must be refused."""


@frozen
class Stages:
    """The concerns that a request passes, in their order."""

    gate: AdmissionGate
    routing: RoutingCoordinator
    keys: KeyCoordinator
    quarantine: QuarantineCoordinator
    rates: RateCoordinator
    claims: ClaimCoordinator
    slots: SlotCoordinator
    retries: RetryCoordinator
    health: HealthCoordinator


class Stage(Enum):
    """What a request waits for."""

    BODY = auto()
    RATE = auto()
    CLAIM = auto()
    SLOT = auto()
    BACKOFF = auto()
    RUNNING = auto()
    ENDED = auto()
    """The caller has its answer; attempts that lost a hedge may still run."""


@define
class _Request:
    """A request between its arrival and the end of its last attempt."""

    arrived: RequestArrived
    route: Route
    workspace: WorkspaceId
    key: str | None = field(repr=False)
    deadline: float
    key_revision: Revision
    """Revision at which the key was checked last."""

    stage: Stage = Stage.BODY
    fingerprint: Fingerprint | None = None
    body_digest: bytes = NO_BODY_DIGEST
    claimed: bool = False
    attempts_made: int = 0
    running: dict[int, ServerId] = field(factory=dict)
    tried: set[ServerId] = field(factory=set)
    ran: Ran = Ran.NO
    last_failure: OutcomeKind | None = None
    backoff_until: float = 0.0
    hedge_at: float | None = None
    waiting_attempt: int | None = None
    """Attempt that waits for a slot."""

    @property
    def id(self) -> RequestId:
        """Return the id of the request."""
        return self.arrived.request_id

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.arrived.method in self.route.policy.idempotent_methods


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
        self._requests: dict[RequestId, _Request] = {}
        self._in_flight: dict[WorkspaceId, int] = {}
        self._timed: set[RequestId] = set()
        """Requests in backoff or with a hedge to come."""

    @property
    def running(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._requests)

    def in_flight(self, workspace: WorkspaceId) -> int:
        """Return the number of a workspace's requests that have not ended."""
        return self._in_flight.get(workspace, 0)

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the settings; running requests keep their route's settings."""
        self._tree = tree

    # Messages from the front end

    def arrive(self, arrived: RequestArrived, now: float) -> None:
        """Start a request, or refuse it."""
        admitted = self._admit(arrived, now)
        if isinstance(admitted, Err):
            self._outbox.direct(Refused(arrived.request_id, admitted.err_value))
            return
        request = admitted.ok_value
        self._requests[request.id] = request
        count = self._in_flight.get(request.workspace, 0)
        self._in_flight[request.workspace] = count + 1
        if arrived.content_length == 0:
            self._check_quarantine(request, now)
            return
        limit = request.route.policy.max_body_bytes
        self._timed.add(request.id)
        self._outbox.direct(BodyWanted(request.id, limit))

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
        shed = outcome.kind is OutcomeKind.SHED
        self._stages.slots.release(request.id, outcome.attempt, now, shed=shed)
        self._record(request, outcome, now)
        if request.stage is Stage.ENDED:
            self._forget_if_idle(request)
        elif outcome.kind is OutcomeKind.OK:
            self._end(request, Ran.YES, now)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            self._after_failure(request, finished, now)

    def abandon(self, abandoned: RequestAbandoned, now: float) -> None:
        """End a request whose caller went away or was cut off."""
        request = self._requests.get(abandoned.request_id)
        if request is None:
            return
        # An attempt that runs may have written the request already.
        ran = Ran.MAYBE if request.running else request.ran
        for attempt in request.running:
            self._stages.slots.release(request.id, attempt, now)
            self._stages.health.record(_cancelled(request, attempt), now)
        request.running.clear()
        self._end(request, ran, now)

    def forget(self, request_id: RequestId) -> None:
        """Drop a request whose processing failed; its slots expire as leases do."""
        request = self._requests.get(request_id)
        if request is None:
            return
        request.running.clear()
        request.stage = Stage.ENDED
        self._timed.discard(request_id)
        self._forget_if_idle(request)

    def tick(self, now: float) -> None:
        """Go on with requests whose stage has settled or whose time has come."""
        for rate in self._stages.rates.take_settled():
            self._on_rate(rate.request_id, rate.admitted, now)
        for claim in self._stages.claims.take_settled():
            self._on_claim(claim.request_id, claim.verdict, now)
        for slot in self._stages.slots.take_settled():
            self._on_slot(slot.request_id, slot.attempt, slot.verdict, now)
        for request_id in list(self._timed):
            self._on_time(self._requests.get(request_id), request_id, now)

    # Admission

    def _admit(self, arrived: RequestArrived, now: float) -> Result[_Request, Refusal]:
        if not self._stages.gate.is_ready(now):
            return Err(refusals.NOT_READY)
        if len(self._requests) >= self._max_requests:
            return Err(refusals.OVERLOADED)
        matched = self._stages.routing.match(arrived.method, arrived.host, arrived.path)
        if isinstance(matched, Err):
            return Err(refusals.route_refusal(matched.err_value))
        route = matched.ok_value
        key = _presented_key(arrived, route)
        workspace = self._authenticate(route, key, now)
        if isinstance(workspace, Err):
            return workspace
        if self._is_crowded(workspace.ok_value):
            return Err(refusals.WORKSPACE_OVERLOADED)
        allowed = route.policy.deadline
        if arrived.deadline is not None:
            allowed = min(allowed, arrived.deadline)
        return Ok(
            _Request(
                arrived=arrived,
                route=route,
                workspace=workspace.ok_value,
                key=key,
                deadline=now + allowed.total_seconds(),
                key_revision=self._tree.revision,
            )
        )

    def _authenticate(
        self, route: Route, key: str | None, now: float
    ) -> Result[WorkspaceId, Refusal]:
        if route.policy.open:
            return Ok(OPEN_WORKSPACE)
        if self._stages.gate.is_isolated(now):
            return Err(refusals.ISOLATED)
        found = self._stages.keys.workspace_for(key or "", now)
        return found.map_err(refusals.key_refusal)

    def _is_crowded(self, workspace_id: WorkspaceId) -> bool:
        workspace = self._tree.workspaces.get(workspace_id)
        if workspace is None:
            return False
        return self.in_flight(workspace_id) >= workspace.max_in_flight

    def _check_quarantine(self, request: _Request, now: float) -> None:
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
            self._refuse(request, refusals.quarantine_refusal(checked.err_value), now)
            return
        self._take_rate(request, now)

    def _take_rate(self, request: _Request, now: float) -> None:
        if request.workspace == OPEN_WORKSPACE:
            self._begin_claim(request, now)
            return
        request.stage = Stage.RATE
        verdict = self._stages.rates.take(request.id, request.workspace, now)
        if verdict is not RateVerdict.PENDING:
            self._on_rate(request.id, verdict is RateVerdict.ADMITTED, now)

    def _on_rate(self, request_id: RequestId, admitted: bool, now: float) -> None:
        request = self._requests.get(request_id)
        if request is None or request.stage is not Stage.RATE:
            return
        if admitted:
            self._begin_claim(request, now)
            return
        workspace = self._tree.workspaces.get(request.workspace)
        workspace = workspace or Workspace(request.workspace, (), 0.0, 1.0)
        self._refuse(request, refusals.rate_refusal(workspace), now)

    def _begin_claim(self, request: _Request, now: float) -> None:
        arrived = request.arrived
        if request.is_idempotent or arrived.idempotency_key is None:
            self._first_attempt(request, now)
            return
        request.stage = Stage.CLAIM
        request.claimed = True
        claim = claim_key(
            request.workspace,
            request.route.id,
            arrived.idempotency_key,
            arrived.method,
            arrived.path,
            request.body_digest,
        )
        verdict = self._stages.claims.begin(request.id, claim, request.deadline, now)
        self._on_claim(request.id, verdict, now)

    def _on_claim(
        self, request_id: RequestId, verdict: ClaimVerdict, now: float
    ) -> None:
        request = self._requests.get(request_id)
        if request is None or request.stage is not Stage.CLAIM:
            return
        if verdict.decision is ClaimDecision.GRANTED:
            self._first_attempt(request, now)
        elif verdict.refusal is None:
            return
        elif may_run_unclaimed(verdict.refusal, request.route.policy):
            request.claimed = False
            self._first_attempt(request, now)
        else:
            self._refuse(request, refusals.claim_refusal(verdict.refusal), now)

    # Slots and attempts

    def _first_attempt(self, request: _Request, now: float) -> None:
        self._stages.retries.record_first_try(request.route.service, now)
        self._seek_slot(request, now)

    def _seek_slot(self, request: _Request, now: float) -> None:
        if not request.running:
            request.stage = Stage.SLOT
        request.attempts_made += 1
        attempt = request.attempts_made
        request.waiting_attempt = attempt
        workspace = self._tree.workspaces.get(request.workspace)
        queue_timeout = request.route.policy.queue_timeout.total_seconds()
        wanted = SlotRequest(
            request_id=request.id,
            attempt=attempt,
            service=request.route.service,
            workspace=request.workspace,
            weight=workspace.weight if workspace else 1.0,
            idempotent=request.is_idempotent,
            deadline=request.deadline,
            queue_until=now + queue_timeout,
            exclude=self._excluded(request, now),
        )
        verdict = self._stages.slots.acquire(wanted, now)
        self._on_slot(request.id, attempt, verdict, now)

    def _excluded(self, request: _Request, now: float) -> frozenset[ServerId]:
        """Leave out the servers that were tried, as long as there are others."""
        if not request.tried:
            return frozenset()
        candidates = self._stages.health.available(request.route.service, now)
        if all(candidate.upstream.id in request.tried for candidate in candidates):
            return frozenset()
        return frozenset(request.tried)

    def _on_slot(
        self, request_id: RequestId, attempt: int, verdict: SlotVerdict, now: float
    ) -> None:
        request = self._requests.get(request_id)
        if request is None or request.waiting_attempt != attempt:
            if verdict.status is SlotStatus.GRANTED:
                self._stages.slots.release(request_id, attempt, now)
            return
        if verdict.status is SlotStatus.QUEUED:
            return
        request.waiting_attempt = None
        if verdict.lease is not None:
            self._assign(request, attempt, verdict.lease, now)
        elif not request.running:
            self._refuse(request, self._slot_refusal(request, verdict), now)

    def _slot_refusal(self, request: _Request, verdict: SlotVerdict) -> Refusal:
        if request.last_failure is None:
            return refusals.slot_refusal(verdict.reason)
        return refusals.outcome_refusal(request.last_failure, request.ran)

    def _assign(
        self, request: _Request, attempt: int, lease: SlotLease, now: float
    ) -> None:
        refusal = self._late_refusal(request, now)
        if refusal is not None:
            self._stages.slots.release(request.id, attempt, now)
            if not request.running:
                self._refuse(request, refusal, now)
            return
        request.stage = Stage.RUNNING
        request.running[attempt] = lease.server
        request.tried.add(lease.server)
        self._stages.health.record_start(
            AttemptStarted(
                request.id,
                attempt,
                request.route.service,
                lease.server,
                request.route.id,
            ),
            now,
        )
        self._plan_hedge(request, now)
        self._outbox.direct(self._assigned(request, attempt, lease))

    def _late_refusal(self, request: _Request, now: float) -> Refusal | None:
        """Check what may have changed while the request waited."""
        if request.claimed and not self._stages.claims.holds(request.id, now):
            return refusals.CLAIM_EXPIRED
        if request.key_revision == self._tree.revision:
            return None
        request.key_revision = self._tree.revision
        checked = self._authenticate(request.route, request.key, now)
        return checked.err_value if isinstance(checked, Err) else None

    def _assigned(self, request: _Request, attempt: int, lease: SlotLease) -> Assigned:
        policy = request.route.policy
        return Assigned(
            request_id=request.id,
            attempt=attempt,
            service=request.route.service,
            route=request.route.id,
            workspace=request.workspace,
            server=lease.server,
            address=lease.upstream.address,
            deadline=request.deadline,
            attempt_timeout=policy.attempt_timeout.total_seconds(),
            hold_bytes=policy.hold_bytes,
            idempotent=request.is_idempotent,
            max_body_bytes=policy.max_body_bytes,
            connection_limit=self._stages.slots.connection_limit(lease.server),
            key_query_parameter=policy.key_query_parameter,
        )

    def _plan_hedge(self, request: _Request, now: float) -> None:
        after = request.route.policy.hedge_after
        if after is None or not request.is_idempotent or request.attempts_made > 1:
            return
        if request.arrived.content_length != 0:
            # A body that streams to one server cannot go to a second one as well.
            return
        request.hedge_at = now + after.total_seconds()
        self._timed.add(request.id)

    def _on_time(
        self, request: _Request | None, request_id: RequestId, now: float
    ) -> None:
        if request is None:
            self._timed.discard(request_id)
        elif request.stage is Stage.BODY:
            if now >= request.deadline:
                self._refuse(request, refusals.BODY_TOO_SLOW, now)
        elif request.stage is Stage.BACKOFF and now >= request.backoff_until:
            self._timed.discard(request_id)
            self._seek_slot(request, now)
        elif request.hedge_at is not None and now >= request.hedge_at:
            self._timed.discard(request_id)
            request.hedge_at = None
            self._hedge(request, now)

    def _hedge(self, request: _Request, now: float) -> None:
        if request.stage is not Stage.RUNNING or request.waiting_attempt is not None:
            return
        policy = request.route.policy
        if self._stages.retries.may_hedge(
            request.route.service,
            request.attempts_made,
            policy.max_attempts,
            request.deadline,
            now,
        ):
            self._seek_slot(request, now)

    # Outcomes

    def _record(self, request: _Request, outcome: AttemptOutcome, now: float) -> None:
        self._stages.health.record(outcome, now)
        if _may_have_run(outcome):
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
        self, request: _Request, finished: AttemptFinished, now: float
    ) -> None:
        outcome = finished.outcome
        request.last_failure = outcome.kind
        if request.running or request.waiting_attempt is not None:
            # A hedge is still under way.
            if outcome.kind is OutcomeKind.SERVER_ERROR:
                self._outbox.direct(Discard(request.id, outcome.attempt))
            return
        if self._may_send_again(request, finished, now):
            if outcome.kind is OutcomeKind.SERVER_ERROR:
                self._outbox.direct(Discard(request.id, outcome.attempt))
            self._back_off(request, now)
        elif outcome.kind is OutcomeKind.SERVER_ERROR:
            self._outbox.direct(Deliver(request.id, outcome.attempt))
            self._end(request, Ran.MAYBE, now)
        else:
            refusal = refusals.outcome_refusal(outcome.kind, request.ran)
            self._refuse(request, refusal, now)

    def _may_send_again(
        self, request: _Request, finished: AttemptFinished, now: float
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
            return in_time and request.attempts_made < policy.max_attempts
        return self._stages.retries.may_retry(
            request.route.service,
            request.attempts_made,
            policy.max_attempts,
            request.deadline,
            now,
            ran=finished.outcome.kind not in DID_NOT_RUN_KINDS,
        )

    def _is_quarantined(self, request: _Request, now: float) -> bool:
        if request.fingerprint is None:
            return False
        return self._stages.quarantine.check(request.fingerprint, now).is_err()

    def _back_off(self, request: _Request, now: float) -> None:
        if request.last_failure is OutcomeKind.CONNECT_ERROR:
            # Another server is tried at once; only load needs time to fall.
            self._seek_slot(request, now)
            return
        request.stage = Stage.BACKOFF
        request.backoff_until = now + backoff(request.attempts_made, self._rng)
        self._timed.add(request.id)

    # Ends

    def _refuse(self, request: _Request, refusal: Refusal, now: float) -> None:
        if request.ran is not Ran.NO:
            refusal = evolve(refusal, ran=request.ran)
        service = request.route.service
        self._outbox.direct(Refused(request.id, refusal, service, request.workspace))
        self._end(request, request.ran, now)

    def _end(self, request: _Request, ran: Ran, now: float) -> None:
        if request.stage is Stage.ENDED:
            self._forget_if_idle(request)
            return
        if request.stage is Stage.RATE:
            self._stages.rates.cancel(request.id, now)
        if request.waiting_attempt is not None:
            self._stages.slots.cancel(request.id, request.waiting_attempt, now)
            request.waiting_attempt = None
        if request.claimed:
            self._stages.claims.finish(request.id, ran, now)
        request.stage = Stage.ENDED
        self._timed.discard(request.id)
        self._forget_if_idle(request)

    def _forget_if_idle(self, request: _Request) -> None:
        if request.running or request.id not in self._requests:
            return
        del self._requests[request.id]
        left = self._in_flight[request.workspace] - 1
        if left:
            self._in_flight[request.workspace] = left
        else:
            del self._in_flight[request.workspace]


def _presented_key(arrived: RequestArrived, route: Route) -> str | None:
    if arrived.presented_key is not None:
        return arrived.presented_key
    parameter = route.policy.key_query_parameter
    return arrived.query.get(parameter) if parameter else None


def _cancelled(request: _Request, attempt: int) -> AttemptOutcome:
    return AttemptOutcome(
        request_id=request.id,
        attempt=attempt,
        service=request.route.service,
        server=request.running[attempt],
        workspace=request.workspace,
        kind=OutcomeKind.CANCELLED,
        latency=0.0,
        bytes_written=True,
        request_class=request.route.id,
    )


def _may_have_run(outcome: AttemptOutcome) -> bool:
    if outcome.kind in DID_NOT_RUN_KINDS:
        return False
    return outcome.bytes_written
