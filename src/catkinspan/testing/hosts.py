"""Whole hosts in virtual time: coordinators, a fake channel and fake upstreams.

It joins `HostCoordinator` instances by a `FakeChannel`, plays the front end of each
with fixed service times, and gives the readers what is published. It has no sockets
and no processor time, and is meant for focused tests and for counting messages.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from attrs import define, field, frozen

from catkinspan.coordination.configuration.models import (
    Document,
    DocumentParser,
    Snapshot,
)
from catkinspan.coordination.host.coordinator import (
    HostCoordinator,
    HostIdentity,
    ReaderRole,
    ReadOnce,
)
from catkinspan.coordination.models import Origin, PeerMessage
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
from catkinspan.state.hosts import ListedHost
from catkinspan.state.ids import HostId, RequestId, Revision
from catkinspan.testing.channel import FakeChannel

READ_SECONDS = 0.005
SERVICE_SECONDS = 0.01
WATCH_SECONDS = 2.0
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
class VirtualPlatform:
    """What the platform publishes, and how often it was called."""

    documents: dict[str, Document] = field(factory=dict)
    revision: Revision = Revision(0)
    is_down: bool = False
    calls: int = 0

    def publish(self, texts: Mapping[str, str]) -> None:
        """Publish the documents whose text changed."""
        self.revision = Revision(self.revision + 1)
        known = self.documents
        self.documents = {
            name: known[name]
            if name in known and known[name].text == text
            else Document(name, self.revision, text)
            for name, text in texts.items()
        }

    def snapshot(self) -> Snapshot:
        """Return all documents."""
        return Snapshot(self.revision, tuple(self.documents.values()))


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
        self._fleet = fleet
        self._host = host
        self._rng = rng
        self._reading = False
        self._watched = Revision(0)

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Process a message from a peer."""
        self.coordinator.handle(message, origin, now)
        self._carry_out(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.coordinator.tick(now)
        self._carry_out(now)

    def resume(self, gap: float, now: float) -> None:
        """React to a pause; the coordinator notices it by itself."""

    def arrive(self, arrived: RequestArrived, now: float) -> None:
        """Give the host a caller's request."""
        self.coordinator.take_request(arrived, now)
        self._carry_out(now)

    def _carry_out(self, now: float) -> None:
        for directive in self.coordinator.outbox.take_directives():
            match directive:
                case ReaderRole(active):
                    self._reading = active
                    self._read()
                case ReadOnce():
                    self._read()
                case BodyWanted(request_id):
                    received = BodyReceived(request_id, b"body")
                    self.coordinator.take_request(received, now)
                    self._carry_out(now)
                case Assigned():
                    self._attempt(directive)
                case Refused(request_id, refusal):
                    self.refusals[request_id] = refusal
                case Deliver(request_id):
                    self.finished.add(request_id)
        self.coordinator.outbox.take_events()

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
        now = member.local_time(self._fleet.channel.now)
        if kind is OutcomeKind.OK:
            self.finished.add(assigned.request_id)
        self.coordinator.take_request(AttemptFinished(outcome), now)
        self._carry_out(now)
        self._fleet.channel.flush(self._host)

    def _read(self) -> None:
        channel = self._fleet.channel
        channel.at(channel.now + READ_SECONDS, self._finish_read)

    def _finish_read(self) -> None:
        channel, platform = self._fleet.channel, self._fleet.platform
        member = channel.members.get(self._host)
        if member is None or member.node is not self:
            return
        if member.paused_since is not None:
            channel.at(channel.now + PAUSED_RETRY_SECONDS, self._finish_read)
            return
        platform.calls += 1
        now = member.local_time(channel.now)
        if not platform.is_down:
            self.coordinator.platform_reached(platform.revision, now)
            if platform.revision > self._watched:
                self._watched = platform.revision
                self.coordinator.take_snapshot(platform.snapshot(), now)
                self._carry_out(now)
            channel.flush(self._host)
        if self._reading:
            channel.at(channel.now + WATCH_SECONDS, self._finish_read)


class VirtualFleet:
    """Hosts, their channel and the platform, in virtual time.

    Example::

        fleet = VirtualFleet(listings, texts, TreeParser, Random(1))
        fleet.channel.run(5.0)
        fleet.arrive(listings[0].id, arrived)
    """

    def __init__(
        self,
        listings: Sequence[ListedHost],
        texts: Mapping[str, str],
        new_parser: Callable[[], DocumentParser],
        rng: Random,
        respond: Respond = always_ok,
        max_requests: int = 2000,
    ) -> None:
        self.channel = FakeChannel(rng)
        self.platform = VirtualPlatform()
        self.platform.publish(texts)
        self.respond = respond
        self.attempts: list[VirtualAttempt] = []
        self.hosts: dict[HostId, VirtualHost] = {}
        self._rng = rng
        self._new_parser = new_parser
        self._max_requests = max_requests
        self._incarnation = 0
        self._listings = {listing.id: listing for listing in listings}
        for listing in listings:
            self.start(listing.id)

    def start(self, host: HostId) -> VirtualHost:
        """Start a host, or a new process in the place of one that ended."""
        self._incarnation += 1
        outbox = Outbox()
        coordinator = HostCoordinator(
            HostIdentity(self._listings[host], self._incarnation),
            self._new_parser(),
            outbox,
            Random(self._rng.random()),
            self._max_requests,
            self.channel.now,
        )
        node = VirtualHost(coordinator, self, host, Random(self._rng.random()))
        self.hosts[host] = node
        self.channel.attach(host, node, outbox, self._incarnation)
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
