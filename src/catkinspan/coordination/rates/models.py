"""Messages and state of the rates concern."""

from enum import StrEnum

from attrs import frozen

from catkinspan.coordination.models import Millis, PeerMessage
from catkinspan.state.ids import HostId, RequestId, WorkspaceId


class RateVerdict(StrEnum):
    """Answer to a request for one token."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    PENDING = "pending"
    """The grantor was asked; the end comes through `take_settled`."""


@frozen
class RateSettled:
    """The end of a pending request."""

    request_id: RequestId
    admitted: bool


@frozen
class LendingUpdate(PeerMessage):
    """Lends shards to the receiver and stamps the leases that it may give back.

    Example: host `b` lends with the last stamp it saw from `a`; `a` counts the lease
    from the moment it sent that stamp.
    """

    stamp: int
    """The sender's incarnation plus a sequence number. An incarnation is a wall-clock
    time in milliseconds, so no stamp occurs in two process lives."""

    echo: int
    """Last stamp seen from the receiver; 0 for none."""

    max_hosts: int
    """The sender's `S`; the lent right is 1/max_hosts of every rate and burst."""

    shard_count: int
    """Number of shards at the sender; hosts that differ do not lend to each other."""

    shards: tuple[int, ...] = ()
    """Shards lent to the receiver."""


@frozen
class LeaseRelease(PeerMessage):
    """Ends leases before their time; the borrower holds nothing of them any more."""

    echo: int
    """Last stamp seen from the lender; a lease lent later is not released."""

    shards: tuple[int, ...]


@frozen
class AskEntry:
    """Demand of one host for one workspace."""

    workspace: WorkspaceId
    need: int
    """Tokens for requests that wait."""

    ahead: int = 0
    """Tokens wanted ahead of demand."""

    held: int = 0
    """Unspent granted tokens at the time of sending."""

    returned: int = 0
    """Granted tokens dropped unspent since the last ask."""

    taken_ago: int = 1
    """How many asks ago the last grant for the workspace was taken."""


@frozen
class TokenAsk(PeerMessage):
    """Asks a grantor for tokens; voids the grants of all earlier asks."""

    sequence: int
    """The asker's incarnation plus a number, so that none occurs in two processes."""

    life_ms: Millis
    """Life of the tokens for waiting requests, counted from this message."""

    entries: tuple[AskEntry, ...]


@frozen
class GrantEntry:
    """Tokens for one entry of the ask."""

    granted: int
    ahead: int = 0
    hold_ms: Millis = 0
    """Time during which the asker shall not ask again for the workspace."""


@frozen
class TokenGrant(PeerMessage):
    """Answers an ask; valid only while that ask is the asker's latest."""

    sequence: int
    entries: tuple[GrantEntry, ...]
    """In the order of the ask's entries."""


@frozen
class IncarnationQuery(PeerMessage):
    """Asks which incarnation of the sender's id a peer knows."""


@frozen
class IncarnationReply(PeerMessage):
    """Names the highest incarnation known for the receiver's id."""

    asked_by: int
    """Incarnation of the query's sender."""

    highest: int


MESSAGES: tuple[type[PeerMessage], ...] = (
    LendingUpdate,
    LeaseRelease,
    TokenAsk,
    TokenGrant,
    IncarnationQuery,
    IncarnationReply,
)


@frozen
class WorkspaceRates:
    """What one host knows of a workspace's tokens, for operators."""

    workspace: WorkspaceId
    shard: int
    grantor: HostId | None
    held: int
    """Granted tokens that this host may spend."""

    waiting: int
    stock: float | None
    """Tokens in this host's own bucket; None without one."""

    cap: float
    granted: dict[HostId, int]
    """Unspent tokens that this host granted, by holder."""

    recent_refusals: int


@frozen
class RatesSnapshot:
    """State of the rates concern on one host, for operators."""

    minting: bool
    not_minting_because: str | None
    lent: dict[int, HostId]
    """Borrower of this host's right, by shard."""

    lenders: dict[int, tuple[HostId, ...]]
    """Hosts whose right this host uses, by shard."""

    workspaces: tuple[WorkspaceRates, ...]
