"""The coordinator of a host: owns all concerns and routes messages to them."""

from collections.abc import Iterable
from random import Random

from attrs import frozen

from catkinspan.coordination.balancing.balancer import Balancer
from catkinspan.coordination.concern import Coordinator
from catkinspan.coordination.configuration.coordinator import ConfigurationCoordinator
from catkinspan.coordination.configuration.models import (
    DocumentParser,
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.coordination.const import PAUSE_THRESHOLD_SECONDS
from catkinspan.coordination.health.coordinator import HealthCoordinator
from catkinspan.coordination.keys.coordinator import KeyCoordinator
from catkinspan.coordination.membership.coordinator import MembershipCoordinator
from catkinspan.coordination.membership.isolation import IsolationMonitor
from catkinspan.coordination.metrics.coordinator import MetricsCoordinator
from catkinspan.coordination.models import HostPaused, PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.quarantine.coordinator import QuarantineCoordinator
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.policy import rate_policy
from catkinspan.coordination.reports.history import StatusHistory
from catkinspan.coordination.requests.coordinator import RequestsCoordinator
from catkinspan.coordination.requests.models import (
    AttemptFinished,
    BodyReceived,
    RequestAbandoned,
    RequestArrived,
)
from catkinspan.coordination.requests.stages import RequestCoordinators
from catkinspan.coordination.retries.coordinator import RetryCoordinator
from catkinspan.coordination.routing.coordinator import RoutingCoordinator
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import HostId
from catkinspan.state.node import RateWindow
from catkinspan.state.tree import Address, SettingsTree

RequestMessage = RequestArrived | BodyReceived | AttemptFinished | RequestAbandoned


@frozen
class ReaderRole:
    """Directive: start or stop to read and watch the store."""

    active: bool


class HostCoordinator:
    """Composes the concerns of one host; synchronous and free of I/O.

    The owner calls `tick` every `TICK_SECONDS`, passes messages in, and drains the
    outbox after each call. It implements `ChannelNode` of the test channel.

    Example::

        host = HostCoordinator(record, (), parser, Outbox(), Random(1), 1000, now)
        host.take_request(arrived, now)
        for directive in host.outbox.take_directives():
            ...
    """

    def __init__(
        self,
        record: HostRecord,
        seeds: Iterable[Address],
        parser: DocumentParser,
        outbox: Outbox,
        rng: Random,
        max_requests: int,
        now: float,
        rate_window: RateWindow | None = None,
    ) -> None:
        self_id, incarnation = record.id, record.incarnation
        self._outbox = outbox
        self._last_call = now
        self._view: FleetView | None = None
        self._tree = SettingsTree()
        self._is_reader = False
        self.membership = MembershipCoordinator(record, seeds, outbox)
        self.configuration = ConfigurationCoordinator(self_id, parser, outbox, now)
        self.isolation = IsolationMonitor(self.configuration, outbox)
        self.keys = KeyCoordinator(outbox)
        self.routing = RoutingCoordinator()
        self.rates = RateCoordinator(
            self_id, incarnation, outbox, rng, rate_policy(rate_window)
        )
        self.health = HealthCoordinator(self_id, incarnation, outbox)
        self.balancer = Balancer(self_id, record.data_centre, self.health, rng)
        self.retries = RetryCoordinator(outbox)
        self.quarantine = QuarantineCoordinator(self_id, outbox, rng)
        self.metrics = MetricsCoordinator()
        self.history = StatusHistory(self.health, self.metrics)
        self.requests = RequestsCoordinator(
            RequestCoordinators(
                gate=self,
                routing=self.routing,
                keys=self.keys,
                quarantine=self.quarantine,
                rates=self.rates,
                balancer=self.balancer,
                retries=self.retries,
                health=self.health,
            ),
            outbox,
            rng,
            max_requests,
        )
        self._coordinators: tuple[Coordinator, ...] = (
            self.membership,
            self.configuration,
            self.keys,
            self.routing,
            self.health,
            self.balancer,
            self.rates,
            self.retries,
            self.quarantine,
        )
        self._by_message: dict[type[PeerMessage], Coordinator] = {
            message: coordinator
            for coordinator in self._coordinators
            for message in coordinator.message_types
        }

    @property
    def outbox(self) -> Outbox:
        """Return the outbox that all concerns share."""
        return self._outbox

    @property
    def tree(self) -> SettingsTree:
        """Return the settings in force."""
        return self._tree

    @property
    def view(self) -> FleetView:
        """Return the current view of the fleet."""
        return self.membership.view

    # Admission gate

    def is_ready(self, now: float) -> bool:
        """Return whether the host has a configuration to serve by."""
        return self.configuration.is_ready()

    def is_isolated(self, now: float) -> bool:
        """Return whether keyed requests must be refused."""
        return self.isolation.is_isolated

    # Messages

    def take_request(self, message: RequestMessage, now: float) -> None:
        """Process a message from the front end about a request."""
        self._catch_up(now)
        match message:
            case RequestArrived():
                self.requests.start_request(message, now)
                if self.requests.held_count:
                    self.configuration.hurry(now)
                    self._choose_reader(now)
            case BodyReceived():
                self.requests.receive_body(message, now)
            case AttemptFinished():
                self.metrics.record_attempt(message.outcome, now)
                self.requests.finish_attempt(message, now)
            case RequestAbandoned():
                self.requests.abandon_request(message, now)

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a message from a peer; unknown kinds and senders are ignored."""
        self._catch_up(now)
        coordinator = self._by_message.get(type(message))
        if coordinator is None or not self.membership.accepts(sender):
            return
        if not self._is_known(sender.host, coordinator):
            return
        self.membership.heard(sender, now)
        coordinator.handle(message, sender, now)
        self._settle(now)

    def _is_known(self, sender: HostId, coordinator: Coordinator) -> bool:
        """Return whether a concern may keep state for a sender.

        A host becomes known by a heartbeat or a roster, which the membership bounds.
        Nothing could be sent back to any other one.
        """
        return coordinator is self.membership or sender in self.membership.view.hosts

    def take_copy(self, copy: StoreSnapshot, now: float) -> None:
        """Process a whole reading of the store."""
        self._catch_up(now)
        self.configuration.take_copy(copy, now)
        self._settle(now)

    def take_changes(self, changes: StoreChanges, now: float) -> None:
        """Process what the watch of the store brought."""
        self._catch_up(now)
        self.configuration.take_changes(changes, now)
        self._settle(now)

    def reached_store(self, now: float) -> None:
        """Note that the store answered without news."""
        self.configuration.reached_store(now)

    def use_seeds(self, seeds: Iterable[Address]) -> None:
        """Take over changed seeds."""
        self.membership.use_seeds(seeds)

    def next_due(self) -> float:
        """Return the next moment, in monotonic seconds, at which `wake` has work."""
        return min(self.requests.next_due(), self.health.next_overdue())

    def wake(self, now: float) -> None:
        """Go on with requests whose time has come; cheaper than `tick`."""
        self.requests.tick(now)
        self.health.tick(now)

    def tick(self, now: float) -> None:
        """Do what is due in each concern."""
        self._catch_up(now)
        for coordinator in self._coordinators:
            coordinator.tick(now)
        self.isolation.tick(self.membership.view, now)
        self.metrics.tick(now)
        self.history.tick(now)
        self._settle(now)
        self._choose_reader(now)

    def resume(self, gap: float, now: float) -> None:
        """Distrust what was believed before a pause of the process."""
        self._outbox.emit(HostPaused(round(gap, 3)))
        for coordinator in self._coordinators:
            coordinator.resume(gap, now)
        self.requests.resume(gap)

    def drain(self, now: float) -> None:
        """Tell the peers that the host leaves; running requests go on."""
        for coordinator in self._coordinators:
            coordinator.drain(now)

    def _catch_up(self, now: float) -> None:
        """Detect a pause before anything else acts on old beliefs."""
        gap = now - self._last_call
        self._last_call = now
        if gap > PAUSE_THRESHOLD_SECONDS:
            self.resume(0.0, now)

    def _settle(self, now: float) -> None:
        """Pass changes of settings and view on, and go on with waiting requests."""
        self._pass_tree(now)
        self._pass_view(now)
        self.requests.tick(now)

    def _pass_tree(self, now: float) -> None:
        tree = self.configuration.tree
        if tree is self._tree:
            return
        self._tree = tree
        for coordinator in self._coordinators:
            coordinator.apply_tree(tree, now)
        self.requests.apply_tree(tree, now)
        self.history.apply_tree(tree)
        self.isolation.apply_limit(tree.fleet.isolation)

    def _pass_view(self, now: float) -> None:
        view = self.membership.view
        if view is self._view:
            return
        self._view = view
        for coordinator in self._coordinators:
            coordinator.apply_view(view, now)

    def _choose_reader(self, now: float) -> None:
        if self.configuration.is_reader != self._is_reader:
            self._is_reader = self.configuration.is_reader
            self._outbox.add_directive(ReaderRole(self._is_reader))


def all_messages(
    coordinators: Iterable[type[Coordinator]],
) -> tuple[type[PeerMessage], ...]:
    """Return the peer messages that concerns handle, for a codec's registry."""
    return tuple(
        message for coordinator in coordinators for message in coordinator.message_types
    )


COORDINATORS: tuple[type[Coordinator], ...] = (
    MembershipCoordinator,
    ConfigurationCoordinator,
    KeyCoordinator,
    RoutingCoordinator,
    HealthCoordinator,
    RateCoordinator,
    RetryCoordinator,
    QuarantineCoordinator,
)
PEER_MESSAGES = all_messages(COORDINATORS)
