"""Messages, requests and verdicts of the slots concern."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Protocol

from attrs import Factory, frozen

from catkinspan.coordination.models import Millis, PeerMessage
from catkinspan.coordination.outcomes import Candidate
from catkinspan.state.ids import (
    HostId,
    RequestId,
    ServerId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.state.tree import Upstream


class CandidateSource(Protocol):
    """Knows which servers may get new work; the health concern implements it."""

    def available(self, service: ServiceId, now: float) -> tuple[Candidate, ...]:
        """Return the servers of a service that may get new work."""


class SlotStatus(StrEnum):
    """What became of a request for a slot."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


class SlotRefusal(StrEnum):
    """Why a request got no slot; it did not run in any of the cases."""

    QUEUE_FULL = "queue_full"
    NO_CAPACITY_BEFORE_DEADLINE = "no_capacity_before_deadline"
    NO_SERVER = "no_server"


@frozen
class SlotRequest:
    """One attempt of a request that needs a slot of a service."""

    request_id: RequestId
    attempt: int
    service: ServiceId
    workspace: WorkspaceId
    weight: float
    idempotent: bool
    deadline: float
    """Monotonic seconds at which the caller's deadline ends."""

    queue_until: float
    """Monotonic seconds until which the request may wait for a slot."""

    exclude: frozenset[ServerId] = frozenset()
    """Servers that were already tried."""

    @property
    def wait_until(self) -> float:
        """Return the end of the wait: the queue's or the caller's, the earlier one."""
        return min(self.queue_until, self.deadline)


@frozen
class SlotLease:
    """The right to run one attempt at a server."""

    id: int
    """Number of the lease; 0 for a direct choice without a lease."""

    server: ServerId
    upstream: Upstream


@frozen
class SlotVerdict:
    """The answer to a request for a slot."""

    status: SlotStatus
    lease: SlotLease | None = None
    reason: SlotRefusal | None = None


QUEUED = SlotVerdict(SlotStatus.QUEUED)


@frozen
class SlotSettled:
    """The end of the wait of a queued request."""

    request_id: RequestId
    attempt: int
    verdict: SlotVerdict


@frozen
class Ask:
    """One request that waits for a slot."""

    ticket: int
    workspace: WorkspaceId
    weight: float
    left_ms: Millis
    """Milliseconds that the request may still wait."""

    idempotent: bool = True
    exclude: tuple[ServerId, ...] = ()


@frozen
class SlotAsk(PeerMessage):
    """Asks the dispatcher for slots."""

    service: ServiceId
    asks: tuple[Ask, ...]


@frozen
class Grant:
    """A leased slot."""

    lease: int
    ticket: int
    server: ServerId
    keep: bool
    """Whether the host may use the slot for further requests."""


@frozen
class Denial:
    """A refused ask."""

    ticket: int
    reason: SlotRefusal


@frozen
class SlotAnswer(PeerMessage):
    """Answers asks: each ticket is granted, denied or queued."""

    service: ServiceId
    grants: tuple[Grant, ...] = ()
    denials: tuple[Denial, ...] = ()
    queued: tuple[int, ...] = ()


@frozen
class NotDispatcher(PeerMessage):
    """Tells a host that the sender holds no slots of the service."""

    service: ServiceId


@frozen
class SlotReturn(PeerMessage):
    """Hands back leases and withdraws asks."""

    service: ServiceId
    leases: tuple[int, ...] = ()
    tickets: tuple[int, ...] = ()
    shed: tuple[int, ...] = ()
    """Those of the leases whose request the server shed."""


@frozen
class Held:
    """A lease as its holder knows it."""

    lease: int
    server: ServerId


@frozen
class SlotRenew(PeerMessage):
    """Renews leases, and reports them to a new dispatcher."""

    service: ServiceId
    held: tuple[Held, ...]


@frozen
class SlotRenewed(PeerMessage):
    """Confirms renewed leases."""

    service: ServiceId
    leases: tuple[int, ...]


@frozen
class SlotRecall(PeerMessage):
    """Asks a host to hand back its slots of a service as they become idle."""

    service: ServiceId


@frozen
class SlotTakeover(PeerMessage):
    """Tells the former dispatcher that the sender has taken its role."""

    service: ServiceId


@frozen
class WorkspaceDemand:
    """Slots that a workspace uses or waits for at one dispatcher."""

    workspace: WorkspaceId
    weight: float
    slots: int


@frozen
class LoanAsk(PeerMessage):
    """Asks the dispatcher of another data centre to lend slots."""

    service: ServiceId
    wants: int
    capacity: int
    """Slots that the borrower has now, loans included."""

    rate: float
    """Requests a second that these slots can run; 0.0 if unknown."""

    demand: tuple[WorkspaceDemand, ...]
    held: tuple[Held, ...] = ()
    """Loans of this lender to renew."""


@frozen
class LoanGrant(PeerMessage):
    """Lends slots, and confirms renewed loans."""

    service: ServiceId
    loans: tuple[Held, ...]
    renewed: tuple[int, ...] = ()
    recalled: tuple[int, ...] = ()
    """Those of the renewed loans that go back once they are idle."""


MESSAGES: tuple[type[PeerMessage], ...] = (
    SlotAsk,
    SlotAnswer,
    NotDispatcher,
    SlotReturn,
    SlotRenew,
    SlotRenewed,
    SlotRecall,
    SlotTakeover,
    LoanAsk,
    LoanGrant,
)


@frozen
class ServiceSlots:
    """What a host knows of the slots of one service, for operators."""

    dispatcher: HostId | None
    fallback: bool
    """Whether the dispatcher is unreachable and servers are chosen directly."""

    waiting: Mapping[WorkspaceId, int]
    """Requests that wait on this host."""

    leases: int
    idle_leases: int
    direct: int
    """Running requests without a lease."""

    refusals: Mapping[SlotRefusal, int]
    """Refusals since the start of the host."""


@frozen
class DispatcherSlots:
    """What a dispatcher knows of the slots that it leases, for operators."""

    capacity: int
    used: int
    borrowed: int
    lent: int
    careful: bool
    """Whether the dispatcher is new and uses half of the slots."""

    waiting: Mapping[WorkspaceId, int]
    """Asks of the data centre's hosts that wait here."""


@frozen
class SlotsSnapshot:
    """The slots of all services that a host uses or dispatches."""

    services: Mapping[ServiceId, ServiceSlots] = Factory(dict)
    dispatched: Mapping[ServiceId, DispatcherSlots] = Factory(dict)
