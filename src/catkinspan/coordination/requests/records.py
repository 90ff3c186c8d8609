"""What a host remembers of a request until it has ended."""

from datetime import timedelta
from enum import Enum, auto

from attrs import define, evolve, field, frozen

from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.quarantine.models import Fingerprint
from catkinspan.coordination.requests.const import (
    HOLD_SECONDS,
    HOLD_SHARE,
    HOLD_WITHOUT_DEADLINE_SECONDS,
    MAX_UNCONNECTED,
)
from catkinspan.coordination.requests.errors import Ran
from catkinspan.coordination.requests.models import NO_BODY_DIGEST, RequestArrived
from catkinspan.state.ids import (
    RequestId,
    Revision,
    ServerId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.state.tree import Route

DID_NOT_RUN_KINDS = frozenset(
    {OutcomeKind.SHED, OutcomeKind.DRAINING, OutcomeKind.MISDIRECTED}
)
"""Outcomes by which the upstream itself said that the request did not run."""


class Stage(Enum):
    """What a request waits for."""

    BODY = auto()
    BACKOFF = auto()
    RUNNING = auto()
    ENDED = auto()
    """The caller has its answer; attempts that lost a hedge may still run."""


@define
class LiveRequest:
    """A request between its arrival and the end of its last attempt."""

    arrived: RequestArrived
    route: Route
    service: ServiceId
    workspace: WorkspaceId
    key: str | None = field(repr=False)
    deadline: float
    key_revision: Revision
    """Revision at which the key was checked last."""

    stage: Stage = Stage.BODY
    fingerprint: Fingerprint | None = None
    body_digest: bytes = NO_BODY_DIGEST
    attempts_made: int = 0
    unconnected: int = 0
    """Attempts among these that got no connection."""

    running: dict[int, ServerId] = field(factory=dict)
    tried: set[ServerId] = field(factory=set)
    ran: Ran = Ran.NO
    last_failure: OutcomeKind | None = None
    backoff_until: float = 0.0
    hedge_at: float | None = None

    @property
    def id(self) -> RequestId:
        """Return the id of the request."""
        return self.arrived.request_id

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        policy = self.route.policy
        if policy.idempotent is not None:
            return policy.idempotent
        return self.arrived.method in policy.idempotent_methods

    @property
    def servers_reached(self) -> int:
        """Return the attempts that may have reached a server."""
        return self.attempts_made - min(self.unconnected, MAX_UNCONNECTED)

    @property
    def due(self) -> float:
        """Return when the request needs a decision, in monotonic seconds."""
        if self.stage is Stage.BODY:
            return self.deadline
        if self.stage is Stage.BACKOFF:
            return self.backoff_until
        return float("inf") if self.hedge_at is None else self.hedge_at

    @property
    def target(self) -> float | None:
        """Return the latency in seconds up to which an answer is of full use."""
        target = self.route.policy.target_latency
        return None if target is None else target.total_seconds()


@frozen
class HeldRequest:
    """A request that waits for the first configuration of the host."""

    arrived: RequestArrived
    since: float
    until: float

    @classmethod
    def of(cls, arrived: RequestArrived, now: float) -> "HeldRequest":
        """Return a request held from now on."""
        wait = HOLD_WITHOUT_DEADLINE_SECONDS
        if arrived.deadline is not None:
            share = HOLD_SHARE * arrived.deadline.total_seconds()
            wait = min(HOLD_SECONDS, share)
        return cls(arrived, now, now + wait)

    def shortened(self, now: float) -> RequestArrived:
        """Return the request with the caller's time that is left."""
        deadline = self.arrived.deadline
        if deadline is None:
            return self.arrived
        return evolve(
            self.arrived, deadline=deadline - timedelta(seconds=now - self.since)
        )


def cancelled(request: LiveRequest, attempt: int) -> AttemptOutcome:
    """Return the outcome of an attempt whose caller has left."""
    return AttemptOutcome(
        request_id=request.id,
        attempt=attempt,
        service=request.service,
        server=request.running[attempt],
        workspace=request.workspace,
        kind=OutcomeKind.CANCELLED,
        latency=0.0,
        bytes_written=True,
        request_class=request.route.id,
    )


def may_have_run(outcome: AttemptOutcome) -> bool:
    """Return whether a server may have run the attempt."""
    if outcome.kind in DID_NOT_RUN_KINDS:
        return False
    return outcome.bytes_written
