"""Output of the coordinators, collected for the task that owns them."""

from catkinspan.coordination.models import Envelope, Event, PeerMessage
from catkinspan.state.ids import HostId
from catkinspan.state.tree import Address


class Outbox:
    """Collects peer messages, events and directives until the owning task takes them.

    Directives tell the owning task to perform an external action, for example to close
    the connections of a withdrawn key. Each coordinator defines its directive classes.
    """

    def __init__(self) -> None:
        self._envelopes: list[Envelope] = []
        self._events: list[Event] = []
        self._directives: list[object] = []

    def send(self, to: HostId | Address, message: PeerMessage) -> None:
        """Queue a message to a peer, or to whichever host listens on an address."""
        self._envelopes.append(Envelope(to, message))

    def emit(self, event: Event) -> None:
        """Queue an event for the audit trail and the log."""
        self._events.append(event)

    def add_directive(self, directive: object) -> None:
        """Queue a directive for the owning task."""
        self._directives.append(directive)

    def take_envelopes(self) -> list[Envelope]:
        """Return the queued messages and clear the queue."""
        envelopes, self._envelopes = self._envelopes, []
        return envelopes

    def take_events(self) -> list[Event]:
        """Return the queued events and clear the queue."""
        events, self._events = self._events, []
        return events

    def take_directives(self) -> list[object]:
        """Return the queued directives and clear the queue."""
        directives, self._directives = self._directives, []
        return directives
