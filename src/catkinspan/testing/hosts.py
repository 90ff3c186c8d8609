"""Whole hosts in virtual time: coordinators, a fake channel and fake upstreams.

It connects `HostCoordinator` instances by a `FakeChannel`, simulates the front end of
each with configurable outcomes, and serves the published documents to the readers. It
models no sockets and no processor time, and is meant for focused tests and for counting
messages.
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
from catkinspan.coordination.outcomes import (
    NOT_SENT_OUTCOMES,
    AttemptOutcome,
    OutcomeKind,
)
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
from catkinspan.testing.links import HostLinks

READ_LATENCY_SECONDS = 0.005
SERVICE_LATENCY_SECONDS = 0.01
WATCH_TIMEOUT_SECONDS = 1.0
READ_RETRY_SECONDS = 0.3
PAUSED_RETRY_SECONDS = 0.02
"""Interval at which input for a paused host is retried."""


@frozen
class VirtualAttempt:
    """An attempt that a host started in virtual time."""

    host: HostId
    started_at: float
    assigned: Assigned


ResponsePolicy = Callable[[VirtualAttempt, Random], tuple[OutcomeKind, float]]
"""Chooses the outcome of an attempt and its latency in seconds."""


def always_ok(attempt: VirtualAttempt, rng: Random) -> tuple[OutcomeKind, float]:
    """Answer each attempt with OK after `SERVICE_LATENCY_SECONDS`."""
    return OutcomeKind.OK, SERVICE_LATENCY_SECONDS


def _never(attempt: VirtualAttempt) -> bool:
    return False


def _no_pause(attempt: VirtualAttempt) -> float:
    return 0.0


@define
class VirtualStore:
    """Published documents, and the number of calls that read them."""

    documents: dict[str, Document] = field(factory=dict)
    changes: list[Document] = field(factory=list)
    revision: Revision = NO_REVISION
    unreachable_from: set[HostId] = field(factory=set)
    """Hosts whose calls get no answer."""

    refused: set[HostId] = field(factory=set)
    """Hosts whose calls fail at once."""

    is_down: bool = False
    """Whether the calls of all hosts get no answer."""

    call_count: int = 0
    full_read_count: int = 0

    def put(self, changes: Mapping[str, str | None]) -> None:
        """Write documents; remove those whose text is None."""
        for name, text in changes.items():
            self.revision = Revision(self.revision + 1)
            document = Document(name, self.revision, text)
            self.changes.append(document)
            if text is None:
                self.documents.pop(name, None)
            else:
                self.documents[name] = document

    def is_reachable_from(self, host: HostId) -> bool:
        """Return whether the store answers calls of a host."""
        return not self.is_down and host not in self.unreachable_from


class VirtualHost:
    """A host and its simulated front end; implements `ChannelNode`."""

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
        self._is_reader = False
        self._read_revision: Revision | None = None

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a message from a peer."""
        self.coordinator.handle(message, sender, now)
        self._process_outbox(now)

    def tick(self, now: float) -> None:
        """Perform the work that is due."""
        self.coordinator.tick(now)
        self._process_outbox(now)

    def resume(self, gap: float, now: float) -> None:
        """Do nothing: the coordinator detects pauses by itself."""

    def submit_request(self, arrived: RequestArrived, now: float) -> None:
        """Submit a caller's request to the host."""
        self.coordinator.handle_request(arrived, now)
        self._process_outbox(now)

    def _process_outbox(self, now: float) -> None:
        for directive in self.coordinator.outbox.take_directives():
            match directive:
                case ReaderRole(active, after):
                    self._set_reader_role(active, after)
                case BodyWanted(request_id):
                    received = BodyReceived(request_id, b"body")
                    self.coordinator.handle_request(received, now)
                    self._process_outbox(now)
                case Assigned():
                    self._start_attempt(directive)
                case Refused(request_id, refusal):
                    self.refusals[request_id] = refusal
                case Deliver(request_id):
                    self.finished.add(request_id)
        self.events += self.coordinator.outbox.take_events()

    def _start_attempt(self, assigned: Assigned) -> None:
        attempt = VirtualAttempt(self._host, self._fleet.channel.now, assigned)
        self._fleet.attempts.append(attempt)
        kind, latency = self._fleet.respond(attempt, self._rng)
        channel = self._fleet.channel
        channel.call_at(
            channel.now + latency, lambda: self._finish_attempt(attempt, kind, latency)
        )

    def _finish_attempt(
        self, attempt: VirtualAttempt, kind: OutcomeKind, latency: float
    ) -> None:
        channel = self._fleet.channel
        attached = channel.attached_hosts.get(self._host)
        if attached is None or attached.node is not self:
            return
        if attached.paused_since is not None:
            later = channel.now + PAUSED_RETRY_SECONDS
            channel.call_at(later, lambda: self._finish_attempt(attempt, kind, latency))
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
            bytes_written=kind not in NOT_SENT_OUTCOMES,
            server_draining=self._fleet.announces_departure(attempt),
            request_class=assigned.route,
            server_pause=self._fleet.requested_pause(attempt),
        )
        now = attached.local_time(channel.now)
        if kind is OutcomeKind.OK:
            self.finished.add(assigned.request_id)
        self.coordinator.handle_request(AttemptFinished(outcome), now)
        self._process_outbox(now)
        channel.flush(self._host)

    def _set_reader_role(self, active: bool, after: Revision) -> None:
        became_reader = active and not self._is_reader
        self._is_reader = active
        if became_reader:
            self._read_revision = after if after > NO_REVISION else None
            self._schedule_read(READ_LATENCY_SECONDS)

    def _schedule_read(self, seconds: float) -> None:
        channel = self._fleet.channel
        channel.call_at(channel.now + seconds, self._read_store)

    def _read_store(self) -> None:
        channel, store = self._fleet.channel, self._fleet.store
        attached = channel.attached_hosts.get(self._host)
        if not self._is_reader or attached is None or attached.node is not self:
            return
        if attached.paused_since is not None:
            self._schedule_read(PAUSED_RETRY_SECONDS)
            return
        store.call_count += 1
        if self._host in store.refused or not store.is_reachable_from(self._host):
            self.coordinator.record_store_failure(attached.local_time(channel.now))
            self._process_outbox(channel.now)
            channel.flush(self._host)
            self._schedule_read(READ_RETRY_SECONDS)
            return
        now = attached.local_time(channel.now)
        if self._read_revision is None:
            store.full_read_count += 1
            snapshot = StoreSnapshot(store.revision, tuple(store.documents.values()))
            self.coordinator.apply_store_snapshot(snapshot, now)
        else:
            after = self._read_revision
            changed = tuple(
                document for document in store.changes if document.revision > after
            )
            changes = StoreChanges(after, store.revision, changed)
            self.coordinator.apply_store_changes(changes, now)
        self._read_revision = store.revision
        self._process_outbox(now)
        channel.flush(self._host)
        self._wait_for_change(channel.now + WATCH_TIMEOUT_SECONDS)

    def _wait_for_change(self, until: float) -> None:
        channel, store = self._fleet.channel, self._fleet.store
        read_revision = self._read_revision

        def poll() -> None:
            if store.revision != read_revision or channel.now >= until:
                self._read_store()
            else:
                channel.call_at(
                    min(until, channel.now + READ_LATENCY_SECONDS * 4), poll
                )

        channel.call_at(channel.now + READ_LATENCY_SECONDS, poll)


class VirtualFleet:
    """Hosts, their channel and the store, in virtual time.

    Example::

        fleet = VirtualFleet(records, documents, TreeDocuments, Random(1))
        fleet.channel.run(5.0)
        fleet.submit_request(records[0].id, arrived)
    """

    def __init__(
        self,
        records: Sequence[HostRecord],
        documents: Mapping[str, str],
        new_parser: Callable[[], DocumentParser],
        rng: Random,
        respond: ResponsePolicy = always_ok,
        max_requests: int = 2000,
        rate_window: RateWindow | None = None,
        links: HostLinks | None = None,
    ) -> None:
        self.channel = FakeChannel(rng, links=links)
        self.store = VirtualStore()
        self.store.put(documents)
        self.respond = respond
        self.announces_departure: Callable[[VirtualAttempt], bool] = _never
        self.requested_pause: Callable[[VirtualAttempt], float] = _no_pause
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
            self.start_host(record.id)

    def start_host(self, host: HostId) -> VirtualHost:
        """Start a host, or a new process of a host whose process ended."""
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

    def crash_host(self, host: HostId) -> None:
        """Remove a host at once, as a crash of its process does."""
        self.channel.detach(host)
        del self.hosts[host]

    def submit_request(self, host: HostId, arrived: RequestArrived) -> None:
        """Submit a caller's request to a host; a paused host gets it after waking."""
        attached = self.channel.attached_hosts.get(host)
        if attached is None:
            return
        if attached.paused_since is not None:
            later = self.channel.now + PAUSED_RETRY_SECONDS
            self.channel.call_at(later, lambda: self.submit_request(host, arrived))
            return
        self.hosts[host].submit_request(arrived, attached.local_time(self.channel.now))
        self.channel.flush(host)
