"""Whole hosts in virtual time: coordinators, a fake channel and fake upstreams.

It joins `HostCoordinator` instances by a `FakeChannel`, plays the front end of each
with chosen outcomes, and gives the readers what is published. It has no sockets and no
processor time, and is meant for focused tests and for counting messages.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from attrs import define, evolve, field, frozen

from catkinspan.coordination.configuration.models import (
    Document,
    DocumentParser,
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.coordination.host.coordinator import HostCoordinator, ReaderRole
from catkinspan.coordination.models import Event, PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.errors import Refusal
from catkinspan.coordination.requests.models import (
    Assigned,
    AttemptFinished,
    BodyReceived,
    BodyWanted,
    Deliver,
    Refused,
    RequestArrived,
)
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import NO_REVISION, HostId, RequestId, Revision
from catkinspan.state.node import RateWindow
from catkinspan.testing.channel import FakeChannel

READ_SECONDS = 0.005
SERVICE_SECONDS = 0.01
WATCH_SECONDS = 1.0
RETRY_SECONDS = 0.3
PAUSED_RETRY_SECONDS = 0.02
"""Interval at which input for a paused host is offered again."""


@frozen
class VirtualAttempt:
    """An attempt that a host started in virtual time."""

    host: HostId
    at: float
    assigned: Assigned


Respond = Callable[[VirtualAttempt, Random], tuple[OutcomeKind, float]]
"""Chooses the outcome of an attempt and its latency in seconds."""


def always_ok(attempt: VirtualAttempt, rng: Random) -> tuple[OutcomeKind, float]:
    """Answer each attempt with OK after `SERVICE_SECONDS`."""
    return OutcomeKind.OK, SERVICE_SECONDS


@define
class VirtualStore:
    """What is published, and how often it was read."""

    documents: dict[str, Document] = field(factory=dict)
    changes: list[Document] = field(factory=list)
    revision: Revision = NO_REVISION
    down_for: set[HostId] = field(factory=set)
    """Hosts that get no answer."""

    is_down: bool = False
    """Whether nobody gets an answer."""

    calls: int = 0

    def put(self, changes: Mapping[str, str | None]) -> None:
        """Write documents, or remove those without a text."""
        for name, text in changes.items():
            self.revision = Revision(self.revision + 1)
            document = Document(name, self.revision, text)
            self.changes.append(document)
            if text is None:
                self.documents.pop(name, None)
            else:
                self.documents[name] = document

    def answers(self, host: HostId) -> bool:
        """Return whether a host gets answers."""
        return not self.is_down and host not in self.down_for


class VirtualHost:
    """One host with its front end; a `ChannelNode` of the channel."""

    def __init__(
        self,
        coordinator: HostCoordinator,
        fleet: "VirtualFleet",
        host: HostId,
        rng: Random,
    ) -> None:
        self.coordinator = coordinator
        self.refusals: dict[RequestId, Refusal] = {}
        self.finished: set[RequestId] = set()
        self.events: list[Event] = []
        self._fleet = fleet
        self._host = host
        self._rng = rng
        self._reading = False
        self._watched: Revision | None = None

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a message from a peer."""
        self.coordinator.handle(message, sender, now)
        self._carry_out(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.coordinator.tick(now)
        self._carry_out(now)

    def resume(self, gap: float, now: float) -> None:
        """React to a pause; the coordinator notices it by itself."""

    def arrive(self, arrived: RequestArrived, now: float) -> None:
        """Give the host a caller's request."""
        self.coordinator.handle_request(arrived, now)
        self._carry_out(now)

    def _carry_out(self, now: float) -> None:
        for directive in self.coordinator.outbox.take_directives():
            match directive:
                case ReaderRole(active):
                    self._set_reading(active)
                case BodyWanted(request_id):
                    received = BodyReceived(request_id, b"body")
                    self.coordinator.handle_request(received, now)
                    self._carry_out(now)
                case Assigned():
                    self._attempt(directive)
                case Refused(request_id, refusal):
                    self.refusals[request_id] = refusal
                case Deliver(request_id):
                    self.finished.add(request_id)
        self.events += self.coordinator.outbox.take_events()

    def _attempt(self, assigned: Assigned) -> None:
        attempt = VirtualAttempt(self._host, self._fleet.channel.now, assigned)
        self._fleet.attempts.append(attempt)
        kind, latency = self._fleet.respond(attempt, self._rng)
        channel = self._fleet.channel
        channel.at(channel.now + latency, lambda: self._end(attempt, kind, latency))

    def _end(self, attempt: VirtualAttempt, kind: OutcomeKind, latency: float) -> None:
        channel = self._fleet.channel
        member = channel.members.get(self._host)
        if member is None or member.node is not self:
            return
        if member.paused_since is not None:
            later = channel.now + PAUSED_RETRY_SECONDS
            channel.at(later, lambda: self._end(attempt, kind, latency))
            return
        assigned = attempt.assigned
        outcome = AttemptOutcome(
            assigned.request_id,
            assigned.attempt,
            assigned.service,
            assigned.server,
            assigned.workspace,
            kind,
            latency,
            bytes_written=kind is not OutcomeKind.CONNECT_ERROR,
            request_class=assigned.route,
        )
        now = member.local_time(channel.now)
        if kind is OutcomeKind.OK:
            self.finished.add(assigned.request_id)
        self.coordinator.handle_request(AttemptFinished(outcome), now)
        self._carry_out(now)
        channel.flush(self._host)

    def _set_reading(self, active: bool) -> None:
        started = active and not self._reading
        self._reading = active
        if started:
            self._watched = None
            self._call_later(READ_SECONDS)

    def _call_later(self, seconds: float) -> None:
        channel = self._fleet.channel
        channel.at(channel.now + seconds, self._read)

    def _read(self) -> None:
        channel, store = self._fleet.channel, self._fleet.store
        member = channel.members.get(self._host)
        if not self._reading or member is None or member.node is not self:
            return
        if member.paused_since is not None:
            self._call_later(PAUSED_RETRY_SECONDS)
            return
        store.calls += 1
        if not store.answers(self._host):
            self._call_later(RETRY_SECONDS)
            return
        now = member.local_time(channel.now)
        if self._watched is None:
            copy = StoreSnapshot(store.revision, tuple(store.documents.values()))
            self.coordinator.apply_store_snapshot(copy, now)
        else:
            after = self._watched
            news = tuple(d for d in store.changes if d.revision > after)
            changes = StoreChanges(after, store.revision, news)
            self.coordinator.apply_store_changes(changes, now)
        self._watched = store.revision
        self._carry_out(now)
        channel.flush(self._host)
        self._wait_for_change(channel.now + WATCH_SECONDS)

    def _wait_for_change(self, until: float) -> None:
        channel, store = self._fleet.channel, self._fleet.store
        watched = self._watched

        def look() -> None:
            if store.revision != watched or channel.now >= until:
                self._read()
            else:
                channel.at(min(until, channel.now + READ_SECONDS * 4), look)

        channel.at(channel.now + READ_SECONDS, look)


class VirtualFleet:
    """Hosts, their channel and the store, in virtual time.

    Example::

        fleet = VirtualFleet(records, documents, TreeDocuments, Random(1))
        fleet.channel.run(5.0)
        fleet.arrive(records[0].id, arrived)
    """

    def __init__(
        self,
        records: Sequence[HostRecord],
        documents: Mapping[str, str],
        new_parser: Callable[[], DocumentParser],
        rng: Random,
        respond: Respond = always_ok,
        max_requests: int = 2000,
        rate_window: RateWindow | None = None,
    ) -> None:
        self.channel = FakeChannel(rng)
        self.store = VirtualStore()
        self.store.put(documents)
        self.respond = respond
        self.attempts: list[VirtualAttempt] = []
        self.hosts: dict[HostId, VirtualHost] = {}
        self.seeds = tuple(record.peer_address for record in records[:3])
        self._rng = rng
        self._new_parser = new_parser
        self._max_requests = max_requests
        self._rate_window = rate_window
        self._incarnation = 0
        self._records = {record.id: record for record in records}
        for record in records:
            self.start(record.id)

    def start(self, host: HostId) -> VirtualHost:
        """Start a host, or a new process in the place of one that ended."""
        self._incarnation += 1
        outbox = Outbox()
        record = evolve(self._records[host], incarnation=self._incarnation)
        coordinator = HostCoordinator(
            record,
            self.seeds,
            self._new_parser(),
            outbox,
            Random(self._rng.random()),
            self._max_requests,
            self.channel.now,
            self._rate_window,
        )
        node = VirtualHost(coordinator, self, host, Random(self._rng.random()))
        self.hosts[host] = node
        self.channel.attach(
            host, node, outbox, self._incarnation, address=record.peer_address
        )
        return node

    def crash(self, host: HostId) -> None:
        """End a host's process at once."""
        self.channel.detach(host)
        del self.hosts[host]

    def arrive(self, host: HostId, arrived: RequestArrived) -> None:
        """Give a host a caller's request now; a paused host gets it on waking."""
        member = self.channel.members.get(host)
        if member is None:
            return
        if member.paused_since is not None:
            later = self.channel.now + PAUSED_RETRY_SECONDS
            self.channel.at(later, lambda: self.arrive(host, arrived))
            return
        self.hosts[host].arrive(arrived, member.local_time(self.channel.now))
        self.channel.flush(host)
