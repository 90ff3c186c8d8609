"""What a host holds and waits for."""

from attrs import define

from catkinspan.coordination.slots.models import SlotRequest
from catkinspan.state.ids import HostId, RequestId, ServerId, WorkspaceId

AttemptKey = tuple[RequestId, int]


@define(eq=False)
class Pending:
    """A request that waits on this host."""

    request: SlotRequest
    ticket: int = 0
    """Number of the ask; 0 while the dispatcher was not asked."""

    asked_at: float = 0.0
    sent_at: float = 0.0
    answered: bool = False

    @property
    def workspace(self) -> WorkspaceId:
        """Return the workspace of the request."""
        return self.request.workspace

    @property
    def weight(self) -> float:
        """Return the weight of the workspace."""
        return self.request.weight

    @property
    def key(self) -> AttemptKey:
        """Return the request and the attempt."""
        return self.request.request_id, self.request.attempt


@define(eq=False)
class HeldLease:
    """A leased slot."""

    id: int
    server: ServerId
    lender: HostId
    """The dispatcher that granted or last renewed the lease."""

    expires: float
    life: float
    keep: bool
    busy: AttemptKey | None = None
    idle_since: float = 0.0
    renewed_at: float = 0.0
    """Time of the last request to renew."""
