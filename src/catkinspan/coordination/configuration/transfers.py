"""Answers to requests for changes: large changes and full copies in turn."""

from collections.abc import Iterable

from catkinspan.coordination.configuration.copies import OutgoingCopies
from catkinspan.coordination.configuration.models import (
    ChangesReceived,
    CopyRequest,
    Pull,
)
from catkinspan.coordination.configuration.outgoing_changes import (
    MessageFactory,
    OutgoingChanges,
)
from catkinspan.coordination.configuration.replica import Replica
from catkinspan.coordination.models import Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import NO_REVISION, HostId, Revision


class Transfers:
    """Sends hosts what they lack of the replica, as far as this host's link allows."""

    def __init__(
        self, replica: Replica, outbox: Outbox, make_message: MessageFactory
    ) -> None:
        self._replica = replica
        self._changes = OutgoingChanges(replica, outbox, make_message)
        self._copies = OutgoingCopies(replica, outbox)

    def apply_view(self, view: FleetView) -> None:
        """Use a changed view of the fleet."""
        self._copies.apply_view(view)
        self._changes.apply_view(view)

    def is_pending(self, host: HostId) -> bool:
        """Return whether a host is yet to be sent changes or a copy."""
        return self._copies.is_pending(host) or self._changes.is_waiting(host)

    def push(self, hosts: Iterable[HostId], after: Revision, now: float) -> None:
        """Send hosts the changes after a revision, which they need not request."""
        self._changes.push(hosts, after, now)

    def answer(self, sender: Sender, pull: Pull, now: float) -> None:
        """Send what a host requests, unless nothing is missing or it is on its way."""
        after = pull.after_revision
        if after >= self._replica.revision:
            return
        if after > NO_REVISION and self._replica.changes_after(after) is not None:
            self._changes.request(sender.host, after, now)
        elif pull.in_parts:
            self._copies.request(sender, now)
        else:
            self._copies.send_at_once(sender.host, now)

    def continue_copy(self, sender: Sender, request: CopyRequest, now: float) -> None:
        """Send the next parts of a copy, or end what a host no longer needs."""
        if request.is_cancelled:
            self._changes.cancel(sender.host)
        self._copies.continue_copy(sender, request, now)

    def continue_changes(
        self, host: HostId, received: ChangesReceived, now: float
    ) -> None:
        """Send the changes that follow those which have arrived."""
        self._changes.acknowledge(host, received.revision, now)

    def send_due_changes(self, now: float) -> None:
        """Send changes in place of those that are not acknowledged."""
        self._changes.tick(now)

    def send_due_copies(self, now: float) -> None:
        """Drop the copies of hosts that no longer answer, and start others."""
        self._copies.tick(now)
