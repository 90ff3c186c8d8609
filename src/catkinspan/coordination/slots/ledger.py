"""What a dispatcher has granted, queued and is about to answer."""

from attrs import define, field

from catkinspan.coordination.slots.models import Ask, Denial, Grant, Held
from catkinspan.state.ids import HostId, ServerId, WorkspaceId


@define(eq=False)
class Waiting:
    """An ask in the dispatcher's queue."""

    host: HostId
    ask: Ask
    expires: float

    @property
    def workspace(self) -> WorkspaceId:
        """Return the workspace of the request."""
        return self.ask.workspace

    @property
    def weight(self) -> float:
        """Return the weight of the workspace."""
        return self.ask.weight


@define(eq=False)
class Lease:
    """A slot in the hands of a host, or of another dispatcher as a loan."""

    id: int
    host: HostId
    server: ServerId
    expires: float
    granted_at: float
    ticket: int = 0
    workspace: WorkspaceId = WorkspaceId("")
    weight: float = 1.0
    keep: bool = False
    loan: bool = False
    timed: bool = False
    """Whether the lease serves one request, so that its length can be measured."""

    borrowed: tuple[HostId, int] | None = None
    """Key of the loan that the slot comes from; None for an own slot."""


@define
class Answers:
    """Answers of one call, merged into one message for each host."""

    grants: dict[HostId, list[Grant]] = field(factory=dict)
    denials: dict[HostId, list[Denial]] = field(factory=dict)
    queued: dict[HostId, list[int]] = field(factory=dict)
    loans: dict[HostId, list[Held]] = field(factory=dict)
