"""Coordinator of the known hosts and of the selection of hubs."""

from collections.abc import Iterable
from typing import ClassVar

from attrs import evolve

from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.membership.const import (
    EXPIRY_CHECK_INTERVAL_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    HOST_EXPIRY_SECONDS,
    HOST_SILENT_SECONDS,
    HUB_CANDIDATES,
    HUB_SILENT_SECONDS,
    HUBS_PER_DATA_CENTRE,
    MATERIAL_SIZE_CHANGE,
    MAX_DATA_CENTRES,
    MAX_KNOWN_HOSTS,
    MAX_ROSTER_ENTRIES,
    MIN_REMOTE_SIZE_INTERVAL_SECONDS,
    MIN_ROSTER_INTERVAL_SECONDS,
    REMOTE_ROSTER_INTERVAL_SECONDS,
    ROSTER_CONTACTS,
    ROSTER_INTERVAL_SECONDS,
)
from catkinspan.coordination.membership.models import (
    Heartbeat,
    HostStatusChanged,
    HubsChanged,
    MembershipSnapshot,
    Roster,
)
from catkinspan.coordination.membership.peers import Peer, PeerTable
from catkinspan.coordination.membership.rosters import RosterBuilder
from catkinspan.coordination.membership.seeds import SeedContacts
from catkinspan.coordination.membership.sizes import SizeCounter
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView, HostRecord, HostStatus
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.tree import Address

_NEVER = float("-inf")


class MembershipCoordinator(BaseCoordinator):
    """Discovers hosts through seeds and rosters, and selects the hubs.

    A host sends heartbeats to the first two candidates of its data centre: those with
    the widest links, then by highest random weight. Any host that receives heartbeats
    acts as a hub, so no consensus is needed: hosts that select different hubs are still
    served, since hubs exchange what they know. Only hubs know all hosts of their data
    centre; they announce the candidates and the number of hosts.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (Heartbeat, Roster)

    def __init__(
        self, record: HostRecord, seeds: Iterable[Address], outbox: Outbox
    ) -> None:
        self._seeds = SeedContacts(record, seeds)
        self._outbox = outbox
        self._table = PeerTable(record)
        self._sizes = SizeCounter(self._table)
        self._rosters = RosterBuilder(self._table, self._sizes)
        self._replaced_incarnations: dict[HostId, int] = {}
        """Latest replaced incarnation, by host."""

        self._hubs: tuple[HostId, ...] = (record.id,)
        self._view = self._build_view(0)
        self._last_expiry_check_at = _NEVER
        self._last_heartbeat_at = _NEVER
        self._last_roster_at = _NEVER
        self._last_remote_roster_at = _NEVER
        self._announced_candidates: list[HostId] = []
        """Candidates in the last roster to followers."""

        self._announced_known = 0
        """Number of known hosts of the data centre in that roster."""

        self._announced_remote: tuple[object, ...] = ()
        """Candidates and receivers of the last roster to other data centres."""

        self._announced_size: tuple[int, int] = (0, 0)
        """Size in the last roster to other data centres."""

        self._view_outdated = True
        """Whether the view may have changed."""

    @property
    def view(self) -> FleetView:
        """Return the current view of the fleet."""
        return self._view

    @property
    def record(self) -> HostRecord:
        """Return the record that this host announces."""
        return self._table.own

    @property
    def _is_hub(self) -> bool:
        return self.record.id in self._hubs

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds and contact them on the next tick."""
        self._seeds.replace(seeds)

    def has_hub(self, now: float) -> bool:
        """Return whether another host of the data centre answers as a hub."""
        peers = (self._table.get(hub) for hub in self._hubs)
        return any(
            peer is not None and now - peer.last_message_at < HUB_SILENT_SECONDS
            for peer in peers
        )

    def snapshot(self) -> MembershipSnapshot:
        """Return the state for operators' reports."""
        peers = dict(self._table.items())
        latest = max(
            (peers[hub].last_message_at for hub in self._hubs if hub in peers),
            default=_NEVER,
        )
        return MembershipSnapshot(
            self._view,
            {host: peer.last_seen_at for host, peer in peers.items()},
            None if latest == _NEVER else latest,
        )

    # Messages

    def is_current_process(self, sender: Sender) -> bool:
        """Return whether the sending process has not been replaced by another one."""
        return self._replaced_incarnations.get(sender.host) != sender.incarnation

    def record_message(self, sender: Sender, now: float) -> None:
        """Record that a message of any kind arrived from a known host."""
        peer = self._table.get(sender.host)
        if peer is not None and peer.record.incarnation == sender.incarnation:
            peer.record_message(now)

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a heartbeat or a roster."""
        match message:
            case Heartbeat():
                self._on_heartbeat(message, sender, now)
            case Roster(entries, sizes, contacts, unheard):
                for entry in entries[:MAX_ROSTER_ENTRIES]:
                    self._merge_record(entry.record, now - entry.age_ms / 1000, now)
                for size in sizes[:MAX_DATA_CENTRES]:
                    self._view_outdated |= self._sizes.merge(size, now)
                if sender.host == self._hubs[0]:
                    self._view_outdated |= self._sizes.apply_unheard(unheard)
                self._seeds.keep(contacts[:ROSTER_CONTACTS])
                self.record_message(sender, now)
        if self._view_outdated:
            self._select_hubs(now)
            self._update_view(now)

    def _on_heartbeat(self, message: Heartbeat, sender: Sender, now: float) -> None:
        record = message.record
        if record.id != sender.host or record.incarnation != sender.incarnation:
            return
        if self._is_without_news(message, now):
            return
        is_new = self._merge_record(record, now, now)
        peer = self._table.get(record.id)
        if peer is None:
            return
        peer.record_message(now)
        if message.hub_index is not None:
            is_new |= not peer.reports_here
            self._view_outdated |= peer.follow(message.hub_index, now)
        elif message.hubs and self.record.id not in message.hubs:
            self._view_outdated |= peer.reports_here
            peer.stop_following()
            is_new = set(message.hubs) != self._hubs_of(record.data_centre, now)
        else:
            is_new = False
        # Answer at once so that a new host discovers its data centre.
        if is_new or message.needs_roster:
            self._outbox.send(record.id, self._rosters.build(record.data_centre, now))

    def _is_without_news(self, message: Heartbeat, now: float) -> bool:
        """Return whether a heartbeat to a seed shows nothing that it does not know."""
        record = message.record
        if message.hub_index is not None or message.needs_roster or record.leaving:
            return False
        is_known = record.id in self._table
        hubs = self._hubs_of(record.data_centre, now)
        return not is_known and set(message.hubs) == hubs

    def _hubs_of(self, data_centre: DataCentre, now: float) -> set[HostId]:
        if data_centre == self.record.data_centre:
            return set(self._hubs)
        candidates = self._table.candidates(data_centre, now)
        return {record.id for record in candidates[:HUBS_PER_DATA_CENTRE]}

    def _merge_record(
        self, record: HostRecord, last_seen_at: float, now: float
    ) -> bool:
        """Merge a received record; return whether its process was unknown."""
        if record.id == self.record.id or now - last_seen_at > HOST_EXPIRY_SECONDS:
            return False
        if self._replaced_incarnations.get(record.id) == record.incarnation:
            return False
        peer = self._table.get(record.id)
        if peer is None:
            new_peer = Peer(record, last_seen_at)
            is_outdated = self._table.is_expired(new_peer, self.has_hub(now), now)
            if is_outdated or len(self._table) >= MAX_KNOWN_HOSTS:
                return False
            self._table.add(new_peer)
            self._change_status(new_peer, now)
            return True
        if peer.record.incarnation != record.incarnation:
            if last_seen_at <= peer.last_seen_at:
                return False
            self._replaced_incarnations[record.id] = peer.record.incarnation
            new_peer = Peer(record, last_seen_at)
            self._table.add(new_peer)
            self._change_status(new_peer, now)
            return True
        if record.leaving and not peer.record.leaving:
            peer.record = record
            self._change_status(peer, now)
        peer.last_seen_at = max(peer.last_seen_at, last_seen_at)
        return False

    def _change_status(self, peer: Peer, now: float) -> None:
        """Update a host's status and emit the change."""
        peer.status = peer.status_at(now)
        self._view_outdated = True
        age_ms = max(0, round((now - peer.last_seen_at) * 1000))
        known = len(self._table) + 1
        self._outbox.emit(HostStatusChanged(peer.record.id, peer.status, age_ms, known))

    # Time

    def tick(self, now: float) -> None:
        """Send due messages and detect hosts that are silent."""
        if now - self._last_expiry_check_at >= EXPIRY_CHECK_INTERVAL_SECONDS:
            self._last_expiry_check_at = now
            self._update_peers(now)
        self._select_hubs(now)
        self._sizes.set_hub_role(self._is_hub, now)
        self._send_heartbeats(now)
        self._send_seed_heartbeats(now)
        if self._view_outdated:
            self._update_view(now)
        self._send_rosters(now)

    def resume(self, gap: float, now: float) -> None:
        """Restart the silence timers, since no message could arrive while paused."""
        for _, peer in self._table.items():
            peer.unanswered_since = None
            peer.last_seen_at = max(peer.last_seen_at, now - HOST_SILENT_SECONDS / 2)

    def drain(self, now: float) -> None:
        """Announce to followers and hubs that this host leaves."""
        self._table.own = evolve(self.record, leaving=True)
        self._view_outdated = True
        self._last_heartbeat_at = _NEVER
        self._select_hubs(now)
        heartbeat = Heartbeat(self.record, hub_index=None)
        for host in {*self._view.followers, *self._view.hubs, *self._view.remote_hubs}:
            if host != self.record.id:
                self._outbox.send(host, heartbeat)
        self._update_view(now)

    def _update_peers(self, now: float) -> None:
        """Remove hosts that expired, and report those whose status changed."""
        has_hub = self.has_hub(now)
        for host, peer in list(self._table.items()):
            if self._table.is_expired(peer, has_hub, now):
                self._table.remove(host)
                self._view_outdated = True
                continue
            if peer.hub_index >= 0 and peer.follower_until <= now:
                peer.hub_index = -1
                self._view_outdated = True
                if not self._is_hub:
                    peer.stop_following()
            if peer.status_at(now) is not peer.status:
                self._change_status(peer, now)
        counts = (self._view.known_count, self._view.alive_count)
        if self._sizes.count_fleet(now) != counts:
            self._view_outdated = True

    def _select_hubs(self, now: float) -> None:
        """Select the first candidates that are not excluded for lack of an answer."""
        for hub in self._hubs:
            self._exclude_if_unanswered(hub, False, now)
        for hub in self._view.remote_hubs:
            self._exclude_if_unanswered(hub, True, now)
        if not self._view_outdated:
            return
        candidates = self._table.candidates(self.record.data_centre, now)
        selected = tuple(record.id for record in candidates[:HUBS_PER_DATA_CENTRE])
        hubs = selected or (self.record.id,)
        if hubs == self._hubs:
            return
        left_hubs = set(self._hubs) - set(hubs) - {self.record.id}
        self._hubs = hubs
        self._sizes.set_hub_role(self._is_hub, now)
        self._last_heartbeat_at = _NEVER
        for host in left_hubs:
            if host in self._table:
                self._outbox.send(host, Heartbeat(self.record, None, hubs=hubs))
        self._outbox.emit(HubsChanged(hubs, self._own_rank(now)))

    def _exclude_if_unanswered(self, host: HostId, is_remote: bool, now: float) -> None:
        peer = self._table.get(host)
        if peer is not None and peer.exclude_if_unanswered(is_remote, now):
            self._change_status(peer, now)

    def _own_rank(self, now: float) -> int:
        candidates = self._table.candidates(self.record.data_centre, now)
        if self.record not in candidates:
            return len(candidates)
        return candidates.index(self.record)

    def _send_heartbeats(self, now: float) -> None:
        if now - self._last_heartbeat_at < HEARTBEAT_INTERVAL_SECONDS:
            return
        self._last_heartbeat_at = now
        for index, hub in enumerate(self._hubs):
            self._expect_answer(hub, now)
            if hub in self._table:
                self._outbox.send(hub, Heartbeat(self.record, index))
        for hub in self._view.remote_hubs:
            self._expect_answer(hub, now)
        for host in self._table.lost_hubs(now) if self._is_hub else ():
            self._outbox.send(host, Heartbeat(self.record, None, hubs=self._hubs))

    def _expect_answer(self, hub: HostId, now: float) -> None:
        peer = self._table.get(hub)
        if peer is not None and peer.unanswered_since is None:
            peer.unanswered_since = now

    def _send_seed_heartbeats(self, now: float) -> None:
        has_hub = self.has_hub(now)
        due: list[HostId | Address] = []
        due += self._seeds.take_due(has_hub, self._is_hub, now)
        if due and not has_hub:
            own = self._table.in_data_centre(self.record.data_centre)
            due += [peer.record.id for peer in own][:HUB_CANDIDATES]
        for receiver in due:
            heartbeat = Heartbeat(self.record, None, not has_hub, self._hubs)
            self._outbox.send(receiver, heartbeat)

    def _send_rosters(self, now: float) -> None:
        """Send rosters to followers and remote hubs on changes and periodically."""
        if not (self._view.followers or self._view.remote_hubs):
            return
        since = now - self._last_roster_at
        if since < MIN_ROSTER_INTERVAL_SECONDS:
            return
        own = self.record.data_centre
        candidates = [
            record.id for record in self._table.candidates(own, now)[:HUB_CANDIDATES]
        ]
        known = self._sizes.own_size(now).known_count
        growth = abs(known - self._announced_known)
        is_changed = (
            candidates != self._announced_candidates
            or growth > MATERIAL_SIZE_CHANGE * self._announced_known
        )
        if is_changed or since >= ROSTER_INTERVAL_SECONDS:
            self._last_roster_at = now
            self._announced_candidates, self._announced_known = candidates, known
            roster = self._rosters.build(own, now)
            for host in self._view.followers:
                self._outbox.send(host, roster)
        if self._is_remote_roster_due(tuple(candidates), now):
            self._last_remote_roster_at = now
            for host in self._view.remote_hubs:
                data_centre = self._view.hosts[host].data_centre
                self._outbox.send(host, self._rosters.build(data_centre, now))

    def _is_remote_roster_due(self, candidates: tuple[HostId, ...], now: float) -> bool:
        since = now - self._last_remote_roster_at
        if since < MIN_ROSTER_INTERVAL_SECONDS:
            return False
        hubs = (candidates[:HUBS_PER_DATA_CENTRE], self._view.remote_hubs)
        size = self._sizes.own_size(now)
        counts = (size.known_count, size.alive_count)
        is_resized = (
            counts != self._announced_size and since >= MIN_REMOTE_SIZE_INTERVAL_SECONDS
        )
        is_due = (
            hubs != self._announced_remote
            or is_resized
            or since >= REMOTE_ROSTER_INTERVAL_SECONDS
        )
        if is_due:
            self._announced_remote, self._announced_size = hubs, counts
        return is_due

    # View

    def _update_view(self, now: float) -> None:
        self._view_outdated = False
        view = self._build_view(now)
        if view != self._view:
            self._view = view

    def _build_view(self, now: float) -> FleetView:
        own = self.record
        known_count, alive_count = self._sizes.count_fleet(now)
        hosts = {host: peer.record for host, peer in self._table.items()}
        hosts[own.id] = own
        alive = [
            host
            for host, peer in self._table.items()
            if peer.status_at(now) is HostStatus.ALIVE
        ]
        followers = {
            host: peer
            for host, peer in self._table.items()
            if peer.follower_until > now
        }
        primary = [host for host, peer in followers.items() if peer.hub_index == 0]
        remote = self._remote_hubs(now)
        return FleetView(
            self_id=own.id,
            self_data_centre=own.data_centre,
            hosts=hosts,
            usable=tuple(sorted([*alive, own.id])),
            hubs=self._hubs,
            followers=tuple(sorted(followers)),
            primary_followers=tuple(sorted(primary)),
            remote_hubs=tuple(host for hubs in remote for host in hubs),
            primary_remote_hubs=tuple(host for hubs in remote for host in hubs[:1]),
            rank=self._own_rank(now),
            data_centre_count=self._sizes.own_size(now).known_count,
            known_count=known_count,
            alive_count=alive_count,
        )

    def _remote_hubs(self, now: float) -> list[list[HostId]]:
        """Return the hubs of each other data centre if this host is a hub."""
        if not self._is_hub:
            return []
        return [
            [record.id for record in self._table.candidates(data_centre, now)][
                :HUBS_PER_DATA_CENTRE
            ]
            for data_centre in self._table.remote_data_centres()
        ]
