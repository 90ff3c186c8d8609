"""Interface of the coordinators that make up a host's decision logic."""

from typing import ClassVar, Protocol

from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.state.hosts import FleetView
from catkinspan.state.tree import SettingsTree


class Coordinator(Protocol):
    """Owns the state and the decisions of one area, such as rates or health.

    All times are monotonic seconds of this host. Methods do not block, perform no
    I/O and write their output to the `Outbox` passed to the constructor.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]]
    """Classes of the peer messages that this coordinator handles."""

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Apply the settings of a newly accepted revision."""

    def apply_view(self, view: FleetView, now: float) -> None:
        """Apply a changed view of the fleet."""

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a message from a peer."""

    def tick(self, now: float) -> None:
        """Run periodic work; called every `TICK_INTERVAL_SECONDS`."""

    def resume(self, gap: float, now: float) -> None:
        """Discard state that expired during a pause of `gap` seconds."""

    def drain(self, now: float) -> None:
        """Release resources held by the host when a graceful shutdown begins."""


class BaseCoordinator:
    """Default implementation that does nothing; subclasses override what they need."""

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Ignore the settings."""

    def apply_view(self, view: FleetView, now: float) -> None:
        """Ignore the view."""

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Ignore the message."""

    def tick(self, now: float) -> None:
        """Do nothing."""

    def resume(self, gap: float, now: float) -> None:
        """Discard nothing."""

    def drain(self, now: float) -> None:
        """Release nothing."""
