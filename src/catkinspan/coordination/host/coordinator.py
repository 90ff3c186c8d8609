"""Coordinator of a host: owns the other coordinators and dispatches messages."""

from collections.abc import Iterable
from random import Random

from attrs import frozen

from catkinspan.coordination.balancing.balancer import Balancer
from catkinspan.coordination.configuration.coordinator import ConfigurationCoordinator
from catkinspan.coordination.configuration.models import (
    DocumentParser,
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.coordination.const import PAUSE_THRESHOLD_SECONDS
from catkinspan.coordination.coordinator import Coordinator
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
from catkinspan.coordination.requests.coordinator import RequestCoordinator
from catkinspan.coordination.requests.dependencies import RequestDependencies
from catkinspan.coordination.requests.models import (
    AttemptFinished,
    BodyReceived,
    RequestAbandoned,
    RequestArrived,
)
from catkinspan.coordination.retries.coordinator import RetryCoordinator
from catkinspan.coordination.routing.coordinator import RoutingCoordinator
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import NO_REVISION, HostId, Revision
from catkinspan.state.node import RETRY_SLACK, RateWindow
from catkinspan.state.tree import Address, SettingsTree

RequestMessage = RequestArrived | BodyReceived | AttemptFinished | RequestAbandoned


@frozen
class ReaderRole:
    """Directive to start or stop reading and watching the store."""

    active: bool
    after: Revision = NO_REVISION
    """Revision up to which the changes are known, so that only later ones are read."""


class HostCoordinator:
    """Composes the coordinators of one host; synchronous and free of I/O.

    The owner calls `tick` every `TICK_INTERVAL_SECONDS`, passes messages in, and drains
    the outbox after each call. It implements `ChannelNode` of the test channel.

    Example::

        host = HostCoordinator(record, (), parser, Outbox(), Random(1), 1000, now)
        host.handle_request(arrived, now)
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
        retry_slack: float = RETRY_SLACK,
    ) -> None:
        self_id, incarnation = record.id, record.incarnation
        self._outbox = outbox
        self._last_call_at = now
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
        self.retries = RetryCoordinator(outbox, retry_slack)
        self.quarantine = QuarantineCoordinator(self_id, outbox, rng)
        self.metrics = MetricsCoordinator()
        self.history = StatusHistory(self.health, self.metrics)
        self.requests = RequestCoordinator(
            RequestDependencies(
                gate=self,
                routing=self.routing,
                keys=self.keys,
                quarantine=self.quarantine,
                rates=self.rates,
                balancer=self.balancer,
                retries=self.retries,
                health=self.health,
                metrics=self.metrics,
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
        self._coordinator_by_message: dict[type[PeerMessage], Coordinator] = {
            message: coordinator
            for coordinator in self._coordinators
            for message in coordinator.message_types
        }

    @property
    def outbox(self) -> Outbox:
        """Return the outbox that all coordinators share."""
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
        """Return whether the host has a configuration to serve requests."""
        return self.configuration.is_ready()

    def is_up_to_date(self, now: float) -> bool:
        """Return whether the settings in force were recently known to be the newest."""
        return self.configuration.is_up_to_date(now)

    def is_catching_up(self, now: float) -> bool:
        """Return whether newer settings are known to exist."""
        return self.configuration.is_catching_up(now)

    def is_isolated(self, now: float) -> bool:
        """Return whether requests with a key must be refused."""
        return self.isolation.is_isolated

    # Messages

    def handle_request(self, message: RequestMessage, now: float) -> None:
        """Process a message from the front end about a request."""
        self._detect_pause(now)
        match message:
            case RequestArrived():
                self.requests.start_request(message, now)
                if self.requests.held_count:
                    self.configuration.read_store_now(now)
                    self._update_reader_role(now)
            case BodyReceived():
                self.requests.receive_body(message, now)
            case AttemptFinished():
                self.requests.finish_attempt(message, now)
            case RequestAbandoned():
                self.requests.abandon_request(message, now)

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a message from a peer; unknown kinds and senders are ignored."""
        self._detect_pause(now)
        coordinator = self._coordinator_by_message.get(type(message))
        if coordinator is None or not self.membership.is_current_process(sender):
            return
        if not self._accepts_sender(sender.host, coordinator):
            return
        self.membership.record_message(sender, now)
        coordinator.handle(message, sender, now)
        self._propagate_changes(now)

    def _accepts_sender(self, sender: HostId, coordinator: Coordinator) -> bool:
        """Return whether a coordinator may keep state for a sender.

        A host becomes known by a heartbeat or a roster, and the membership limits the
        number of known hosts. Nothing can be sent back to an unknown host.
        """
        return coordinator is self.membership or sender in self.membership.view.hosts

    def apply_store_snapshot(self, snapshot: StoreSnapshot, now: float) -> None:
        """Process a full copy of the store."""
        self._detect_pause(now)
        self.configuration.apply_store_snapshot(snapshot, now)
        self._propagate_changes(now)

    def apply_store_changes(self, changes: StoreChanges, now: float) -> None:
        """Process changes from the watch of the store."""
        self._detect_pause(now)
        self.configuration.apply_store_changes(changes, now)
        self._propagate_changes(now)

    def record_store_contact(self, now: float) -> None:
        """Record that the store answered without changes."""
        self.configuration.record_store_contact(now)

    def record_store_failure(self, now: float) -> None:
        """Record that a call to the store failed."""
        self.configuration.record_store_failure(now)

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Use changed seed addresses."""
        self.membership.replace_seeds(seeds)

    def next_due(self) -> float:
        """Return the next time, in monotonic seconds, at which `wake` has work."""
        return min(self.requests.next_due(), self.health.next_overdue())

    def wake(self, now: float) -> None:
        """Process requests whose time is due; cheaper than `tick`."""
        self.requests.tick(now)
        self.health.tick(now)

    def tick(self, now: float) -> None:
        """Run the periodic work of each coordinator."""
        self._detect_pause(now)
        for coordinator in self._coordinators:
            coordinator.tick(now)
        self.isolation.tick(self.membership.view, now)
        self.metrics.tick(now)
        self.history.tick(now)
        self._propagate_changes(now)
        self._update_reader_role(now)

    def resume(self, gap: float, now: float) -> None:
        """Expire the state from before a pause of the process."""
        self._outbox.emit(HostPaused(round(gap, 3)))
        for coordinator in self._coordinators:
            coordinator.resume(gap, now)
        self.requests.resume(gap)

    def drain(self, now: float, stops_at: float) -> None:
        """Announce to the peers that the host leaves; running requests continue.

        `stops_at` is the monotonic time in seconds at which the host ends; a request
        that may last longer is refused.
        """
        for coordinator in self._coordinators:
            coordinator.drain(now)
        self.requests.drain(stops_at)

    def _detect_pause(self, now: float) -> None:
        """Detect a pause before anything else acts on outdated state."""
        gap = now - self._last_call_at
        self._last_call_at = now
        if gap > PAUSE_THRESHOLD_SECONDS:
            self.resume(0.0, now)

    def _propagate_changes(self, now: float) -> None:
        """Pass changed settings and views on, then process due requests."""
        self._propagate_tree(now)
        self._propagate_view(now)
        self.requests.tick(now)

    def _propagate_tree(self, now: float) -> None:
        tree = self.configuration.tree
        if tree is self._tree:
            return
        self._tree = tree
        for coordinator in self._coordinators:
            coordinator.apply_tree(tree, now)
        self.requests.apply_tree(tree, now)
        self.history.apply_tree(tree)
        self.isolation.apply_limit(tree.fleet.isolation)

    def _propagate_view(self, now: float) -> None:
        view = self.membership.view
        if view is self._view:
            return
        self._view = view
        for coordinator in self._coordinators:
            coordinator.apply_view(view, now)

    def _update_reader_role(self, now: float) -> None:
        if self.configuration.is_reader != self._is_reader:
            self._is_reader = self.configuration.is_reader
            after = self.configuration.store_revision
            self._outbox.add_directive(ReaderRole(self._is_reader, after))


def handled_messages(
    coordinators: Iterable[type[Coordinator]],
) -> tuple[type[PeerMessage], ...]:
    """Return the peer messages that coordinators handle, for a codec's registry."""
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
PEER_MESSAGES = handled_messages(COORDINATORS)
