"""The interface of the coordinators that a host composes."""

from typing import ClassVar, Protocol

from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.state.hosts import FleetView
from catkinspan.state.tree import SettingsTree


class Coordinator(Protocol):
    """A coordinator that owns the state of one concern.

    All times are monotonic seconds of the own host. Methods do not block, do no I/O
    and put their output into the `Outbox` that the constructor received.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]]
    """Classes of the peer messages that this concern receives."""

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the settings of a newly accepted revision."""

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over a changed view of the fleet."""

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a message from a peer."""

    def tick(self, now: float) -> None:
        """Do what is due; called every `TICK_SECONDS`."""

    def resume(self, gap: float, now: float) -> None:
        """Drop leases and stock after the process was paused for `gap` seconds."""

    def drain(self, now: float) -> None:
        """Hand back what the host holds when a graceful shutdown begins."""


class BaseCoordinator:
    """Does nothing on each call, so that a concern overrides only what it needs."""

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Ignore the settings."""

    def apply_view(self, view: FleetView, now: float) -> None:
        """Ignore the view."""

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Ignore the message."""

    def tick(self, now: float) -> None:
        """Have nothing due."""

    def resume(self, gap: float, now: float) -> None:
        """Have nothing to drop."""

    def drain(self, now: float) -> None:
        """Have nothing to hand back."""
