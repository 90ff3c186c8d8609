"""Large changes that a host sends to others, a limited amount at once."""

from collections.abc import Callable, Iterable
from itertools import groupby

from attrs import frozen

from catkinspan.coordination.configuration.const import (
    ACKNOWLEDGEMENT_SECONDS,
    ASSUMED_LINK_MBPS,
    MAX_CHANGES_CHARS,
    REPEATED_ANSWER_SECONDS,
    SMALL_CHANGE_CHARS,
    WINDOW_CHARS_PER_MBPS,
)
from catkinspan.coordination.configuration.models import Changes, Document
from catkinspan.coordination.configuration.parts import text_chars
from catkinspan.coordination.configuration.replica import Replica
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import NO_REVISION, HostId, Revision

MessageFactory = Callable[[Revision, Revision, tuple[Document, ...], float], Changes]
"""Returns the message with the changes after a revision up to another one."""


@frozen
class _Unacknowledged:
    after: Revision
    revision: Revision
    chars: int
    sent_at: float

    def is_on_its_way(self, now: float) -> bool:
        """Return whether the changes take room in this host's link."""
        transfer = self.chars / (ASSUMED_LINK_MBPS * 1e6 / 8)
        # The links of the sender and of the receiver, if neither is fast.
        return now - self.sent_at < ACKNOWLEDGEMENT_SECONDS + 2 * transfer

    def will_be_acknowledged(self, now: float) -> bool:
        """Return whether the host is still expected to ask for what follows."""
        return self.chars > SMALL_CHANGE_CHARS and self.is_on_its_way(now)

    def answers(self, after: Revision, now: float) -> bool:
        """Return whether a request needs no further answer yet.

        Small changes travel in datagrams and may be lost, so they are sent again. A
        host that lacks earlier changes cannot use these.
        """
        return (
            self.chars > SMALL_CHANGE_CHARS
            and self.after <= after < self.revision
            and (self.is_on_its_way(now) or self.is_recent(now))
        )

    def is_recent(self, now: float) -> bool:
        """Return whether the changes were sent a short time ago."""
        return now - self.sent_at < REPEATED_ANSWER_SECONDS


class OutgoingChanges:
    """Sends large changes to as many hosts at once as this host's link carries soon.

    A host acknowledges each message and then gets the next one, so that further changes
    wait here rather than in a full link, before heartbeats and levels.
    Hosts of older versions do not acknowledge; they are waited for a short time only.
    """

    def __init__(
        self, replica: Replica, outbox: Outbox, make_message: MessageFactory
    ) -> None:
        self._replica = replica
        self._outbox = outbox
        self._make_message = make_message
        self._window = ASSUMED_LINK_MBPS * WINDOW_CHARS_PER_MBPS
        self._hubs: tuple[HostId, ...] = ()
        self._waiting: dict[HostId, Revision] = {}
        """Revision up to which each host that waits has all changes."""

        self._unacknowledged: dict[HostId, _Unacknowledged] = {}

    def apply_view(self, view: FleetView) -> None:
        """Adapt the amount to this host's link, and drop hosts that are gone."""
        own = view.hosts.get(view.self_id)
        mbps = 0.0 if own is None else own.link_mbps
        self._hubs = (*view.hubs, *view.remote_hubs)
        self._window = (mbps or ASSUMED_LINK_MBPS) * WINDOW_CHARS_PER_MBPS
        self._waiting = {h: r for h, r in self._waiting.items() if h in view.hosts}

    def is_waiting(self, host: HostId) -> bool:
        """Return whether a host is yet to be sent changes."""
        return host in self._waiting

    def push(self, hosts: Iterable[HostId], after: Revision, now: float) -> None:
        """Send hosts the changes after a revision, which they need not request."""
        for host in hosts:
            sent = self._unacknowledged.get(host)
            if sent is None or not sent.will_be_acknowledged(now):
                self._waiting.setdefault(host, after)
        self._send_next(now)

    def request(self, host: HostId, after: Revision, now: float) -> None:
        """Send a host the changes after the revision up to which it has all.

        Nothing is sent if they are on their way already.
        """
        sent = self._unacknowledged.get(host)
        if sent is not None and sent.answers(after, now):
            return
        self._waiting[host] = after
        self._send_next(now)

    def acknowledge(self, host: HostId, revision: Revision, now: float) -> None:
        """Record that changes up to a revision have arrived, and send what follows."""
        sent = self._unacknowledged.get(host)
        if sent is not None and sent.revision <= revision:
            del self._unacknowledged[host]
        if self._replica.revision > revision:
            # The host that is being served goes on first.
            self._waiting = {host: revision, **self._waiting}
            self._waiting[host] = revision
        self._send_next(now)

    def cancel(self, host: HostId) -> None:
        """Send nothing to a host, which gets the changes from another one."""
        self._waiting.pop(host, None)

    def tick(self, now: float) -> None:
        """Send further changes in place of those that are not acknowledged."""
        self._unacknowledged = {
            host: sent
            for host, sent in self._unacknowledged.items()
            if sent.is_on_its_way(now) or sent.is_recent(now)
        }
        self._send_next(now)

    def _send_next(self, now: float) -> None:
        sent = self._unacknowledged.values()
        used = sum(changes.chars for changes in sent if changes.is_on_its_way(now))
        while self._waiting and used < self._window:
            # A hub comes first, since it can then send the changes as well.
            hubs = (hub for hub in self._hubs if hub in self._waiting)
            host = next(hubs, None) or next(iter(self._waiting))
            after = self._waiting.pop(host)
            changes = self._replica.changes_after(after)
            if changes is None or after >= self._replica.revision:
                continue
            revision, documents = self._first_message(changes)
            chars = text_chars(documents)
            used += chars
            self._unacknowledged[host] = _Unacknowledged(after, revision, chars, now)
            message = self._make_message(after, revision, documents, now)
            self._outbox.send(host, message)

    def _first_message(
        self, changes: Iterable[Document]
    ) -> tuple[Revision, tuple[Document, ...]]:
        """Return the changes of one message, and the revision that they lead to."""
        chosen: list[Document] = []
        revision = NO_REVISION
        chars = 0
        # Changes of one revision, or of one copy, belong together.
        ordered = sorted(changes, key=self._replica.revision_after)
        for next_revision, group in groupby(ordered, self._replica.revision_after):
            documents = list(group)
            chars += text_chars(documents)
            if chosen and chars > MAX_CHANGES_CHARS:
                return revision, tuple(chosen)
            chosen += documents
            revision = next_revision
        return self._replica.revision, tuple(chosen)
