"""Per-request state of a host."""

from enum import Enum, auto

from attrs import define, field

from catkinspan.coordination.outcomes import (
    NOT_RUN_OUTCOMES,
    AttemptOutcome,
    OutcomeKind,
)
from catkinspan.coordination.quarantine.models import Fingerprint
from catkinspan.coordination.requests.const import (
    DEADLINE_GRACE_SECONDS,
    MAX_UNCOUNTED_CONNECT_ERRORS,
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


class Stage(Enum):
    """Lifecycle stage of an admitted request."""

    BODY = auto()
    BACKOFF = auto()
    RUNNING = auto()
    ENDED = auto()
    """The request is finished; another attempt of a hedged request may still run."""


@define
class ActiveRequest:
    """An admitted request, until its last attempt has ended."""

    arrived: RequestArrived
    route: Route
    service: ServiceId
    workspace: WorkspaceId
    key: str | None = field(repr=False)
    deadline: float
    key_checked_revision: Revision
    """Settings revision at which the key was last checked."""

    stage: Stage = Stage.BODY
    fingerprint: Fingerprint | None = None
    body_digest: bytes = NO_BODY_DIGEST
    attempts_made: int = 0
    connect_errors: int = 0
    """Number of `attempts_made` that failed to connect."""

    running_attempts: dict[int, ServerId] = field(factory=dict)
    tried_servers: set[ServerId] = field(factory=set)
    ran: Ran = Ran.NO
    last_failure: OutcomeKind | None = None
    backoff_until: float = 0.0
    hedge_at: float | None = None

    @property
    def id(self) -> RequestId:
        """Return the request id."""
        return self.arrived.request_id

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may safely run more than once."""
        policy = self.route.policy
        if policy.idempotent is not None:
            return policy.idempotent
        return self.arrived.method in policy.idempotent_methods

    @property
    def can_hedge(self) -> bool:
        """Return whether a second server may get the request while the first one runs.

        A body that is streamed to one server cannot be sent to a second one.
        """
        policy = self.route.policy
        return (
            policy.hedges
            and policy.max_attempts > 1
            and self.is_idempotent
            and self.arrived.content_length == 0
        )

    @property
    def counted_attempts(self) -> int:
        """Return the attempts that count towards the route's `max_attempts`."""
        return self.attempts_made - min(
            self.connect_errors, MAX_UNCOUNTED_CONNECT_ERRORS
        )

    @property
    def due_at(self) -> float:
        """Return the monotonic time of the request's next timer."""
        if self.stage is Stage.BODY:
            return self.deadline
        if self.stage is Stage.BACKOFF:
            return self.backoff_until
        overdue_at = self.deadline + DEADLINE_GRACE_SECONDS
        return overdue_at if self.hedge_at is None else min(self.hedge_at, overdue_at)

    @property
    def target_latency(self) -> float | None:
        """Return the latency in seconds up to which a response has its full value."""
        target = self.route.policy.target_latency
        return None if target is None else target.total_seconds()


def unreported_outcome(
    request: ActiveRequest, attempt: int, kind: OutcomeKind
) -> AttemptOutcome:
    """Return the outcome of an attempt that ends without a report."""
    return AttemptOutcome(
        request_id=request.id,
        attempt=attempt,
        service=request.service,
        server=request.running_attempts[attempt],
        workspace=request.workspace,
        kind=kind,
        latency=0.0,
        bytes_written=True,
        request_class=request.route.id,
    )


def may_have_run(outcome: AttemptOutcome) -> bool:
    """Return whether a server may have run the attempt."""
    if outcome.kind in NOT_RUN_OUTCOMES:
        return False
    return outcome.bytes_written
