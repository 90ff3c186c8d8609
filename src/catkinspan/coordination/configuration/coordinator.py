"""Coordinator of the replica of the store and of the settings in force."""

from collections.abc import Sequence
from math import ceil
from typing import ClassVar

from catkinspan.coordination.configuration.completeness import (
    Confirmation,
    CopyCompleteness,
)
from catkinspan.coordination.configuration.const import (
    FRESHNESS_INTERVAL_SECONDS,
    OUTAGE_THRESHOLD_SECONDS,
    OWN_READ_GRACE_SECONDS,
    PUSH_GRACE_SECONDS,
)
from catkinspan.coordination.configuration.contacts import StoreContacts
from catkinspan.coordination.configuration.copies import PartialCopy
from catkinspan.coordination.configuration.echoes import ClockEchoes
from catkinspan.coordination.configuration.in_force import (
    STORE_SOURCE,
    SettingsInForce,
)
from catkinspan.coordination.configuration.models import (
    Changes,
    ChangesReceived,
    ClockStamp,
    ConfigurationSnapshot,
    CopyPart,
    CopyRequest,
    Document,
    DocumentParser,
    Freshness,
    Pull,
    ReadingChanged,
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.coordination.configuration.outages import StoreOutages
from catkinspan.coordination.configuration.parts import is_small
from catkinspan.coordination.configuration.pulls import PullSchedule
from catkinspan.coordination.configuration.replica import Replica
from catkinspan.coordination.configuration.transfers import Transfers
from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rendezvous import weight
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import NO_REVISION, HostId, Revision
from catkinspan.state.tree import SettingsTree

_UNKNOWN_TIME = float("-inf")


class ConfigurationCoordinator(BaseCoordinator):
    """Replicates the store, forwards changes and decides whether this host reads it.

    The first hub candidates of two data centres read and watch the store. A hub
    forwards each change that is new to it to its followers and to the hubs of all data
    centres. Another host forwards to its hubs the changes that it read from the store.
    Hubs announce the age of the last known contact with the store; if it becomes too
    old, the next candidates read the store as well, and finally a few other hosts.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (
        Changes,
        ChangesReceived,
        CopyPart,
        CopyRequest,
        Pull,
        Freshness,
        ClockStamp,
    )

    def __init__(
        self, self_id: HostId, parser: DocumentParser, outbox: Outbox, now: float
    ) -> None:
        self._self_id = self_id
        self._outbox = outbox
        self._replica = Replica()
        self._settings = SettingsInForce(parser, self._replica, outbox)
        self._view: FleetView | None = None
        self._contacts = StoreContacts(self_id, now)
        self._completeness = CopyCompleteness()
        self._echoes = ClockEchoes(now)
        self._outages = StoreOutages(self._contacts, outbox)
        self._is_reader = False
        self._reader_fails = False
        """Whether this host reads the store and its latest call failed."""

        self._has_waiting_requests = False
        """Whether requests wait for the first configuration."""

        self._last_freshness_at = float("-inf")
        self._pulls = PullSchedule()
        self._transfers = Transfers(self._replica, outbox, self._changes_message)
        self._partial_copies: dict[HostId, PartialCopy] = {}

    @property
    def tree(self) -> SettingsTree:
        """Return the settings in force."""
        return self._settings.tree

    @property
    def is_reader(self) -> bool:
        """Return whether the host should read and watch the store."""
        return self._is_reader

    @property
    def store_revision(self) -> Revision:
        """Return the revision of the store up to which all changes are known."""
        return self._replica.revision

    def is_ready(self) -> bool:
        """Return whether settings are in force and list at least one server."""
        return self._settings.is_ready()

    def read_store_now(self, now: float) -> None:
        """Read the store at once because requests wait for a configuration."""
        if self._replica.revision > NO_REVISION or self._has_waiting_requests:
            return
        self._has_waiting_requests = True
        self._update_reader_role(now)

    def contact_age(self, now: float) -> float:
        """Return the seconds since this host or a peer last reached the store.

        Before the first contact, return the seconds since the start of the host.
        """
        return self._contacts.age(now)

    def copy_age(self, now: float) -> float:
        """Return the seconds since the replica was last known to have all changes.

        It is infinite before the first contact with the store.
        """
        return now - self._completeness.complete_at

    def is_up_to_date(self, now: float) -> bool:
        """Return whether no newer change is known and the last contact is recent."""
        is_recent = self.copy_age(now) <= OUTAGE_THRESHOLD_SECONDS
        return is_recent and not self.is_catching_up(now)

    def is_catching_up(self, now: float) -> bool:
        """Return whether peers tell of changes that the replica lacks."""
        return self._completeness.is_catching_up(now)

    def snapshot(self, now: float) -> ConfigurationSnapshot:
        """Return the state for operators' reports."""
        age = self.contact_age(now)
        return ConfigurationSnapshot(
            self.tree.revision,
            self._replica.revision,
            self._settings.recent_revisions,
            self._settings.rejected,
            self._is_reader,
            age if self._contacts.was_reached else None,
            self.is_ready(),
            len(self._replica.documents),
            self._settings.faults,
        )

    def apply_view(self, view: FleetView, now: float) -> None:
        """Use a changed view of the fleet for forwarding and reader selection."""
        self._view = view
        self._completeness.keep_only(view.hosts.keys())
        self._pulls.keep_only(view.hosts.keys())
        self._transfers.apply_view(view)

    # The store

    def apply_store_changes(self, changes: StoreChanges, now: float) -> None:
        """Apply changes received by this host's watch of the store."""
        self._record_own_contact(now)
        previous = self._replica.revision
        if changes.after_revision > previous:
            return
        changed = self._replica.merge(changes.documents, changes.revision)
        self._completeness.record_store_contact(now)
        self._apply_and_forward(changed, previous, None, now)

    def apply_store_snapshot(self, snapshot: StoreSnapshot, now: float) -> None:
        """Apply a complete read of the store."""
        self._record_own_contact(now)
        previous = self._replica.revision
        changed = self._replica.replace(snapshot.documents, snapshot.revision)
        self._completeness.record_store_contact(now)
        self._apply_and_forward(changed, previous, None, now)

    def record_store_contact(self, now: float) -> None:
        """Record that the store answered this host without changes."""
        self._record_own_contact(now)
        self._completeness.record_store_contact(now)

    def _record_own_contact(self, now: float) -> None:
        self._end_outage(now, self._contacts.latest_at, STORE_SOURCE, now)
        self._reader_fails = False
        self._contacts.record_own(now)
        self._contacts.record_confirmed(now)

    def record_store_failure(self, now: float) -> None:
        """Record that a call to the store failed, and tell the next candidates."""
        self._contacts.record_own_failure(now)
        if self._is_reader and not self._reader_fails:
            self._reader_fails = True
            self._send_freshness(now)

    # Peers

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Apply changes from peers and answer pulls."""
        match message:
            case Changes():
                self._on_changes(message, sender.host, now)
            case CopyPart():
                self._on_copy_part(message, sender.host, now)
            case Pull():
                self._answer_pull(sender, message, now)
            case CopyRequest():
                self._transfers.continue_copy(sender, message, now)
            case ChangesReceived():
                self._transfers.continue_changes(sender.host, message, now)
            case Freshness():
                self._on_freshness(message, sender.host, now)
            case ClockStamp():
                self._echoes.record(sender.host, message, now)

    def _on_changes(self, message: Changes, source: HostId, now: float) -> None:
        self._record_news(source, message.revision, _UNKNOWN_TIME, now)
        previous = self._replica.revision
        if message.after_revision > previous or message.gap.contains(previous):
            self._pulls.record_offer(source, message.revision, now)
            self._request_changes(now, grace=0.0)
            return
        # A removal may be the first sign that an outage of the store has ended, so the
        # contact is recorded before the removal is applied.
        contact_at = now - message.store_contact_age_ms / 1000
        self._record_peer_contact(contact_at, message.reader or source, source, now)
        changed = self._replica.merge(message.documents, message.revision, message.gap)
        if not is_small(message.documents):
            self._pulls.record_part(source, now)
            self._outbox.send(source, ChangesReceived(message.revision))
        self._apply_and_forward(changed, previous, source, now)

    def _on_copy_part(self, part: CopyPart, source: HostId, now: float) -> None:
        self._record_news(source, part.revision, _UNKNOWN_TIME, now)
        partial = self._partial_copies.get(source)
        if partial is None or partial.revision < part.revision:
            partial = self._partial_copies[source] = PartialCopy(part.revision)
        if partial.revision != part.revision:
            return
        partial.add(part)
        self._pulls.record_part(source, now)
        self._outbox.send(source, CopyRequest(part.revision, partial.received_count))
        if partial.is_complete:
            del self._partial_copies[source]
            previous = self._replica.revision
            changed = self._replica.replace(partial.documents(), part.revision)
            self._apply_and_forward(changed, previous, source, now)
            self._pulls.record_copy()
            self._request_changes(now, self._push_grace())

    def _on_freshness(self, message: Freshness, source: HostId, now: float) -> None:
        self._contacts.record_hub(now)
        if message.reader_fails:
            self._contacts.record_failure(source, now)
        complete_at = _UNKNOWN_TIME
        if message.store_contact_age_ms is not None:
            age = message.store_contact_age_ms / 1000
            sent_at = self._echoes.earliest_send_time(message, now)
            self._contacts.record_confirmed(sent_at - age)
            complete_at = sent_at - age - message.copy_lag_ms / 1000
            reader = message.reader or source
            self._record_peer_contact(now - age, reader, source, now)
        self._record_news(source, message.revision, complete_at, now)
        if message.copy_pending:
            self._pulls.record_pending(source, now)
        copy_revision = Revision(message.revision - message.lacking)
        if copy_revision > self._replica.revision:
            self._pulls.record_offer(source, copy_revision, now)
            self._request_changes(now, self._push_grace())

    def _record_news(
        self, source: HostId, revision: Revision, contact_at: float, now: float
    ) -> None:
        news = Confirmation(revision, contact_at)
        self._completeness.record_news(source, news, now)

    def _record_peer_contact(
        self, at: float, reader: HostId, source: HostId, now: float
    ) -> None:
        latest_at = self._contacts.latest_at
        if self._contacts.record_peer(at, reader):
            self._end_outage(at, latest_at, source, now)

    def _push_grace(self) -> float:
        """Return the time in which announced changes may arrive without a request."""
        if self._replica.revision == NO_REVISION:
            return 0.0
        is_hub = self._view is not None and self._view.is_hub
        return OWN_READ_GRACE_SECONDS if is_hub else PUSH_GRACE_SECONDS

    def _request_changes(self, now: float, grace: float) -> None:
        hubs: Sequence[HostId] = () if self._view is None else self._view.hubs
        if self._replica.revision == NO_REVISION or self._pulls.is_pending(now):
            # Spreads first copies, and changes for which hosts queue, over the hubs.
            hubs = sorted(hubs, key=lambda hub: weight(hub, self._self_id))
        previous = self._pulls.source
        source = self._pulls.next_source(hubs, grace, now)
        if source is not None:
            if previous is not None and previous != source:
                cancelled = CopyRequest(self._replica.revision, 0, is_cancelled=True)
                self._outbox.send(previous, cancelled)
            self._outbox.send(source, Pull(self._replica.revision, in_parts=True))

    def _answer_pull(self, sender: Sender, pull: Pull, now: float) -> None:
        self._transfers.answer(sender, pull, now)
        if self._transfers.is_pending(sender.host):
            self._outbox.send(sender.host, self._freshness_for(sender.host, now))

    def _changes_message(
        self,
        after: Revision,
        revision: Revision,
        changes: tuple[Document, ...],
        now: float,
    ) -> Changes:
        age_ms = self._age_ms(now)
        gap = self._replica.gap_after(after)
        return Changes(after, revision, changes, age_ms, self._contacts.reader, gap)

    def _apply_and_forward(
        self,
        changed: tuple[Document, ...],
        after: Revision,
        source: HostId | None,
        now: float,
    ) -> None:
        """Apply all changes after a revision; forward them to hosts without them."""
        self._completeness.record_progress(self._replica.revision, now)
        self._pulls.update(self._replica.revision)
        if not changed:
            return
        self._settings.apply(changed, source or STORE_SOURCE, now)
        view = self._view
        if view is None:
            return
        receivers = {*view.followers, *view.remote_hubs, *view.hubs}
        if source is not None and not view.is_hub:
            receivers = set(view.followers)
        receivers -= {self._self_id, source}
        if is_small(changed):
            message = self._changes_message(after, self._replica.revision, changed, now)
            for host in receivers:
                self._outbox.send(host, message)
            return
        # A hub sends large changes to its primary followers only. The other ones have
        # another primary hub, and hubs pull what they lack.
        hubs = receivers & {*view.remote_hubs, *view.hubs}
        pushed = receivers & set(view.primary_followers)
        if source is None and view.rank > 0:
            # It reads because the first candidate does not reach the store.
            pushed |= receivers & set(view.hubs)
        if self._replica.changes_after(after) is not None:
            self._transfers.push(sorted(pushed), after, now)
            hubs -= pushed
            pushed = {host for host in pushed if self._transfers.is_pending(host)}
        for host in hubs | pushed:
            self._outbox.send(host, self._freshness_for(host, now))

    # Time

    def tick(self, now: float) -> None:
        """Announce freshness, update the reader role and drop lapsed servers."""
        self._update_reader_role(now)
        self._request_changes(now, self._push_grace())
        self._transfers.send_due_changes(now)
        if now - self._last_freshness_at >= FRESHNESS_INTERVAL_SECONDS:
            self._last_freshness_at = now
            self._send_freshness(now)
        self._outages.tick(now)
        self._settings.tick(now)

    def resume(self, gap: float, now: float) -> None:
        """Request missed data again and add the pause to the age of the contact.

        Partial copies stay, since their sources do not repeat acknowledged parts.
        """
        self._pulls.reset()
        self._contacts.add_pause(gap)
        self._completeness.add_pause(gap)
        self._echoes.reset(now)

    def _age_ms(self, now: float) -> int:
        return max(0, round(self.contact_age(now) * 1000))

    def _send_freshness(self, now: float) -> None:
        view = self._view
        if view is None:
            return
        stamp = self._echoes.own_stamp(now)
        for host in {*view.hubs, *view.remote_hubs} - {self._self_id}:
            self._outbox.send(host, stamp)
        receivers = {*view.followers, *view.remote_hubs}
        self._transfers.send_due_copies(now)
        self._echoes.keep_only(receivers)
        for host in receivers:
            self._outbox.send(host, self._freshness_for(host, now))

    def _freshness_for(self, host: HostId, now: float) -> Freshness:
        newest, contact_at = self._completeness.newest(now), self._contacts.confirmed_at
        age_ms, copy_lag_ms = None, 0
        if newest.at > _UNKNOWN_TIME:
            age_ms = max(0, ceil((now - contact_at) * 1000))
            copy_lag_ms = max(0, ceil((contact_at - newest.at) * 1000))
        echo_ms, echo_age_ms = self._echoes.echo_for(host, now)
        return Freshness(
            newest.revision,
            age_ms,
            self._contacts.reader,
            echo_ms,
            echo_age_ms,
            copy_lag_ms,
            newest.revision - self._replica.revision,
            self._reader_fails,
            self._transfers.is_pending(host),
        )

    def _update_reader_role(self, now: float) -> None:
        is_reader = self._should_read(now)
        if is_reader == self._is_reader:
            return
        self._is_reader, self._reader_fails = is_reader, False
        rank = -1 if self._view is None else self._view.rank
        self._outbox.emit(ReadingChanged(is_reader, rank, self._age_ms(now)))

    def _should_read(self, now: float) -> bool:
        has_copy = self._replica.revision > NO_REVISION
        is_waited_for = self._has_waiting_requests and not has_copy
        return is_waited_for or self._contacts.should_read(self._view, has_copy, now)

    def _end_outage(
        self, at: float, previous_at: float, source: str, now: float
    ) -> None:
        if self._outages.end_by_contact(at, previous_at, source, now):
            self._settings.keep_lapsed_servers(now)
