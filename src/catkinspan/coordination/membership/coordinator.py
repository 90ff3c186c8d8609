"""Coordinator of the known hosts and of the selection of hubs."""

from collections.abc import Iterable
from typing import ClassVar

from attrs import define, evolve

from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.membership.const import (
    BASE_ROSTER_HOSTS,
    DATA_CENTRE_SILENT_SECONDS,
    EXPIRY_CHECK_INTERVAL_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    HOST_EXPIRY_SECONDS,
    HOST_SILENT_SECONDS,
    HUB_EXCLUSION_SECONDS,
    HUB_SILENT_SECONDS,
    HUBS_PER_DATA_CENTRE,
    LEFT_HOST_EXPIRY_SECONDS,
    MAX_DATA_CENTRES,
    MAX_KNOWN_HOSTS,
    MIN_ROSTER_INTERVAL_SECONDS,
    REMOTE_CANDIDATES,
    REMOTE_HOST_EXPIRY_SECONDS,
    REMOTE_ROSTER_INTERVAL_SECONDS,
    ROSTER_INTERVAL_SECONDS,
    SEED_HEARTBEAT_INTERVAL_SECONDS,
)
from catkinspan.coordination.membership.models import (
    DataCentreSize,
    Heartbeat,
    HostStatusChanged,
    HubsChanged,
    MembershipSnapshot,
    Roster,
    RosterEntry,
)
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rendezvous import weight
from catkinspan.state.hosts import FleetView, HostRecord, HostStatus
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.tree import Address

_RANKING_KEY = "hub"


@define
class _Peer:
    """Another host and the times of the latest contact with it."""

    record: HostRecord
    last_seen_at: float
    """Time of the latest information about the host from any source, in monotonic
    seconds of this host."""

    last_message_at: float = float("-inf")
    """Time of the latest message from the host itself."""

    unanswered_since: float | None = None
    """Time of the first heartbeat to this host as a hub that is still unanswered."""

    excluded_until: float = float("-inf")
    """Time until which the host is not selected as a hub."""

    follower_until: float = float("-inf")
    """Time until which the host counts as a follower."""

    hub_index: int = 0
    """Index of this host among the follower's hubs; -1 once it stopped following."""

    status: HostStatus = HostStatus.ALIVE


class MembershipCoordinator(BaseCoordinator):
    """Discovers hosts through seeds and rosters, and selects the hubs.

    A host sends heartbeats to the first two candidates of its data centre, ranked by
    highest random weight among the hosts that are heard from. Any host that receives
    them acts as a hub, so no consensus is needed: hosts that select different hubs are
    still served, since hubs exchange what they know.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (Heartbeat, Roster)

    def __init__(
        self, record: HostRecord, seeds: Iterable[Address], outbox: Outbox
    ) -> None:
        self._record = record
        self._seeds = tuple(a for a in seeds if a != record.peer_address)
        self._outbox = outbox
        self._peers: dict[HostId, _Peer] = {}
        self._data_centre_sizes: dict[DataCentre, tuple[DataCentreSize, float]] = {}
        """Latest size of each other data centre, and the time of the count."""

        self._replaced_incarnations: dict[HostId, int] = {}
        """Latest replaced incarnation, by host."""

        self._hubs: tuple[HostId, ...] = (record.id,)
        self._view = self._build_view(0)
        self._last_expiry_check_at = float("-inf")
        self._last_heartbeat_at = float("-inf")
        self._last_seed_heartbeat_at = float("-inf")
        self._last_roster_at = float("-inf")
        self._last_remote_roster_at = float("-inf")
        self._has_unsent_changes = False
        """Whether a host's status changed or a host expired since the last roster that
        reported changes."""

        self._exclusion_ends_at = float("inf")
        """Time at which the hub excluded last may be selected again."""

        self._view_outdated = True
        """Whether the view may have changed."""

    @property
    def view(self) -> FleetView:
        """Return the current view of the fleet."""
        return self._view

    @property
    def record(self) -> HostRecord:
        """Return the record that this host announces."""
        return self._record

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds and contact them on the next tick."""
        self._seeds = tuple(a for a in seeds if a != self._record.peer_address)
        self._last_seed_heartbeat_at = float("-inf")

    def has_hub(self, now: float) -> bool:
        """Return whether another host of the data centre answers as a hub."""
        return any(
            hub in self._peers
            and now - self._peers[hub].last_message_at < HUB_SILENT_SECONDS
            for hub in self._hubs
        )

    def snapshot(self) -> MembershipSnapshot:
        """Return the state for operators' reports."""
        hub_message_times = [
            peer.last_message_at
            for host, peer in self._peers.items()
            if host in self._hubs
        ]
        latest = max(hub_message_times, default=float("-inf"))
        return MembershipSnapshot(
            self._view,
            {host: peer.last_seen_at for host, peer in self._peers.items()},
            None if latest == float("-inf") else latest,
        )

    # Messages

    def is_current_process(self, sender: Sender) -> bool:
        """Return whether the sending process has not been replaced by another one."""
        return self._replaced_incarnations.get(sender.host) != sender.incarnation

    def record_message(self, sender: Sender, now: float) -> None:
        """Record that a message of any kind arrived from a known host."""
        peer = self._peers.get(sender.host)
        if peer is None or peer.record.incarnation != sender.incarnation:
            return
        peer.last_seen_at = peer.last_message_at = now
        peer.unanswered_since = None

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a heartbeat or a roster."""
        match message:
            case Heartbeat():
                self._on_heartbeat(message, sender, now)
            case Roster(entries, sizes):
                for entry in entries[:MAX_KNOWN_HOSTS]:
                    self._merge_record(entry.record, now - entry.age_ms / 1000, now)
                for size in sizes[:MAX_DATA_CENTRES]:
                    self._merge_data_centre_size(size, now)
                self.record_message(sender, now)
        if self._view_outdated:
            self._select_hubs(now)
            self._update_view(now)

    def _on_heartbeat(self, message: Heartbeat, sender: Sender, now: float) -> None:
        record = message.record
        if record.id != sender.host or record.incarnation != sender.incarnation:
            return
        is_new = self._merge_record(record, now, now)
        peer = self._peers.get(record.id)
        if peer is None:
            return
        peer.last_message_at = now
        if message.hub_index is not None:
            self._view_outdated |= (
                peer.follower_until <= now or peer.hub_index != message.hub_index
            )
            peer.follower_until = now + HOST_SILENT_SECONDS
            peer.hub_index = message.hub_index
        # Answer at once so that a new host discovers its data centre.
        if is_new or message.needs_roster:
            self._outbox.send(record.id, self._roster_for(record.data_centre, now))

    def _merge_record(
        self, record: HostRecord, last_seen_at: float, now: float
    ) -> bool:
        """Merge a received record; return whether its process was unknown."""
        if record.id == self._record.id or now - last_seen_at > HOST_EXPIRY_SECONDS:
            return False
        if self._replaced_incarnations.get(record.id) == record.incarnation:
            return False
        peer = self._peers.get(record.id)
        if peer is None:
            if len(self._peers) >= MAX_KNOWN_HOSTS:
                return False
            self._peers[record.id] = _Peer(record, last_seen_at)
            self._change_status(record.id, now)
            return True
        if peer.record.incarnation != record.incarnation:
            if last_seen_at <= peer.last_seen_at:
                return False
            self._replaced_incarnations[record.id] = peer.record.incarnation
            self._peers[record.id] = _Peer(record, last_seen_at)
            self._change_status(record.id, now)
            return True
        if record.leaving and not peer.record.leaving:
            peer.record = record
            self._change_status(record.id, now)
        peer.last_seen_at = max(peer.last_seen_at, last_seen_at)
        return False

    def _merge_data_centre_size(self, size: DataCentreSize, now: float) -> None:
        if size.data_centre == self._record.data_centre:
            return
        counted_at = now - size.age_ms / 1000
        known = self._data_centre_sizes.get(size.data_centre)
        if known is not None and known[1] >= counted_at:
            return
        self._view_outdated |= known is None or (
            known[0].known_count,
            known[0].alive_count,
        ) != (
            size.known_count,
            size.alive_count,
        )
        self._data_centre_sizes[size.data_centre] = (size, counted_at)

    def _change_status(self, host: HostId, now: float) -> None:
        """Update a host's status and emit the change."""
        peer = self._peers[host]
        peer.status = _status(peer, now)
        self._has_unsent_changes = self._view_outdated = True
        age_ms = max(0, round((now - peer.last_seen_at) * 1000))
        known = len(self._peers) + 1
        self._outbox.emit(HostStatusChanged(host, peer.status, age_ms, known))

    # Time

    def tick(self, now: float) -> None:
        """Send due messages and detect hosts that are silent."""
        if now - self._last_expiry_check_at >= EXPIRY_CHECK_INTERVAL_SECONDS:
            self._last_expiry_check_at = now
            for host, peer in list(self._peers.items()):
                self._update_peer(host, peer, now)
            if self._count_hosts(now) != (
                self._view.known_count,
                self._view.alive_count,
            ):
                self._view_outdated = True
        self._select_hubs(now)
        self._send_heartbeats(now)
        if self._view_outdated:
            self._update_view(now)
        self._send_rosters(now)

    def resume(self, gap: float, now: float) -> None:
        """Restart the silence timers, since no message could arrive while paused."""
        for peer in self._peers.values():
            peer.unanswered_since = None
            peer.last_seen_at = max(peer.last_seen_at, now - HOST_SILENT_SECONDS / 2)

    def drain(self, now: float) -> None:
        """Announce to followers and hubs that this host leaves."""
        self._record = evolve(self._record, leaving=True)
        self._view_outdated = True
        self._last_heartbeat_at = float("-inf")
        self._select_hubs(now)
        heartbeat = Heartbeat(self._record, hub_index=None)
        for host in {*self._view.followers, *self._view.hubs, *self._view.remote_hubs}:
            if host != self._record.id:
                self._outbox.send(host, heartbeat)
        self._update_view(now)

    def _update_peer(self, host: HostId, peer: _Peer, now: float) -> None:
        age = now - peer.last_seen_at
        limit = HOST_EXPIRY_SECONDS
        if peer.record.data_centre != self._record.data_centre:
            limit = REMOTE_HOST_EXPIRY_SECONDS
        if peer.record.leaving:
            limit = LEFT_HOST_EXPIRY_SECONDS
        if age > limit:
            del self._peers[host]
            self._has_unsent_changes = self._view_outdated = True
            return
        if peer.hub_index >= 0 and peer.follower_until <= now:
            peer.hub_index = -1
            self._view_outdated = True
        if _status(peer, now) is not peer.status:
            self._change_status(host, now)

    def _select_hubs(self, now: float) -> None:
        """Select the first candidates that are not excluded for lack of an answer."""
        for hub in self._hubs:
            peer = self._peers.get(hub)
            if peer is None or peer.unanswered_since is None:
                continue
            if now - peer.unanswered_since > HUB_SILENT_SECONDS:
                peer.excluded_until = self._exclusion_ends_at = (
                    now + HUB_EXCLUSION_SECONDS
                )
                peer.unanswered_since = None
                self._view_outdated = True
        if self._exclusion_ends_at <= now:
            self._exclusion_ends_at = float("inf")
            self._view_outdated = True
        if not self._view_outdated:
            return
        selected = [
            host
            for host in self._candidates(self._record.data_centre, now)
            if host == self._record.id or self._peers[host].excluded_until <= now
        ][:HUBS_PER_DATA_CENTRE]
        hubs = tuple(selected) or (self._record.id,)
        if hubs == self._hubs:
            return
        self._hubs = hubs
        self._view_outdated = True
        self._last_heartbeat_at = float("-inf")
        rank = self._own_rank(now)
        self._outbox.emit(HubsChanged(hubs, rank))

    def _candidates(self, data_centre: DataCentre, now: float) -> list[HostId]:
        """Return the hosts of a data centre that may be hubs, best ranked first."""
        hosts = [
            host
            for host, peer in self._peers.items()
            if peer.record.data_centre == data_centre
            and _status(peer, now) is HostStatus.ALIVE
        ]
        own = self._record
        if own.data_centre == data_centre and not own.leaving:
            hosts.append(own.id)
        return sorted(hosts, key=lambda host: (-weight(_RANKING_KEY, host), host))

    def _own_rank(self, now: float) -> int:
        candidates = self._candidates(self._record.data_centre, now)
        own = self._record.id
        return candidates.index(own) if own in candidates else len(candidates)

    def _send_heartbeats(self, now: float) -> None:
        if now - self._last_heartbeat_at >= HEARTBEAT_INTERVAL_SECONDS:
            self._last_heartbeat_at = now
            for index, hub in enumerate(self._hubs):
                self._send_hub_heartbeat(hub, index, now)
        has_no_hub = not self.has_hub(now)
        interval = (
            HEARTBEAT_INTERVAL_SECONDS
            if has_no_hub
            else SEED_HEARTBEAT_INTERVAL_SECONDS
        )
        if now - self._last_seed_heartbeat_at >= interval:
            self._last_seed_heartbeat_at = now
            for seed in self._seeds:
                self._outbox.send(seed, Heartbeat(self._record, None, has_no_hub))

    def _send_hub_heartbeat(self, hub: HostId, index: int, now: float) -> None:
        peer = self._peers.get(hub)
        if peer is None:
            return
        if peer.unanswered_since is None:
            peer.unanswered_since = now
        self._outbox.send(hub, Heartbeat(self._record, index))

    # Rosters

    def _send_rosters(self, now: float) -> None:
        """Send rosters to followers and remote hubs on changes and periodically."""
        changed = (
            self._has_unsent_changes
            and now - self._last_roster_at >= MIN_ROSTER_INTERVAL_SECONDS
        )
        if changed:
            self._has_unsent_changes = False
        # A roster grows with the data centre, so its interval grows as well.
        interval = ROSTER_INTERVAL_SECONDS * max(
            1.0, len(self._peers) / BASE_ROSTER_HOSTS
        )
        if changed or now - self._last_roster_at >= interval:
            self._last_roster_at = now
            roster = self._roster_for(self._record.data_centre, now)
            for host in self._view.followers:
                self._outbox.send(host, roster)
        if (
            changed
            or now - self._last_remote_roster_at >= REMOTE_ROSTER_INTERVAL_SECONDS
        ):
            self._last_remote_roster_at = now
            for host in self._view.remote_hubs:
                data_centre = self._peers[host].record.data_centre
                self._outbox.send(host, self._roster_for(data_centre, now))

    def _roster_for(self, data_centre: DataCentre, now: float) -> Roster:
        """Return the hosts of a data centre and the hub candidates of the others."""
        data_centres = {peer.record.data_centre for peer in self._peers.values()}
        listed = {
            host
            for other in data_centres - {data_centre}
            for host in self._candidates(other, now)[:REMOTE_CANDIDATES]
        }
        entries = [
            RosterEntry(peer.record, max(0, round((now - peer.last_seen_at) * 1000)))
            for host, peer in self._peers.items()
            if peer.record.data_centre == data_centre or host in listed
        ]
        entries.append(RosterEntry(self._record, 0))
        return Roster(tuple(entries), self._all_data_centre_sizes(now))

    def _all_data_centre_sizes(self, now: float) -> tuple[DataCentreSize, ...]:
        own = self._own_data_centre_size(now)
        others = (
            DataCentreSize(
                size.data_centre,
                size.known_count,
                size.alive_count,
                max(0, round((now - counted_at) * 1000)),
            )
            for size, counted_at in self._data_centre_sizes.values()
        )
        return (own, *others)

    def _own_data_centre_size(self, now: float) -> DataCentreSize:
        data_centre = self._record.data_centre
        peers = [p for p in self._peers.values() if p.record.data_centre == data_centre]
        remaining = [peer for peer in peers if not peer.record.leaving]
        alive = sum(_status(peer, now) is HostStatus.ALIVE for peer in remaining)
        own = 0 if self._record.leaving else 1
        return DataCentreSize(data_centre, len(remaining) + own, alive + own, 0)

    def _count_hosts(self, now: float) -> tuple[int, int]:
        """Return the number of known hosts and of hosts that are heard from."""
        own = self._own_data_centre_size(now)
        known, alive = own.known_count, own.alive_count
        for data_centre, (size, counted_at) in list(self._data_centre_sizes.items()):
            if now - counted_at > HOST_EXPIRY_SECONDS:
                del self._data_centre_sizes[data_centre]
                continue
            known += size.known_count
            if self._is_data_centre_alive(data_centre, now):
                alive += size.alive_count
        return max(1, known), max(1, alive)

    def _is_data_centre_alive(self, data_centre: DataCentre, now: float) -> bool:
        """Return whether a hub of another data centre sends messages.

        A host that is not a hub receives none from there and relies on the counts of
        its hubs, so the answer is always true for it.
        """
        if self._record.id not in self._hubs:
            return True
        return any(
            peer.record.data_centre == data_centre
            and now - peer.last_message_at <= DATA_CENTRE_SILENT_SECONDS
            for peer in self._peers.values()
        )

    # View

    def _update_view(self, now: float) -> None:
        self._view_outdated = False
        view = self._build_view(now)
        if view != self._view:
            self._view = view

    def _build_view(self, now: float) -> FleetView:
        own = self._record
        known_count, alive_count = self._count_hosts(now)
        hosts = {host: peer.record for host, peer in self._peers.items()}
        hosts[own.id] = own
        alive = [
            host
            for host, peer in self._peers.items()
            if _status(peer, now) is HostStatus.ALIVE
        ]
        followers = [
            host for host, peer in self._peers.items() if peer.follower_until > now
        ]
        primary = [host for host in followers if self._peers[host].hub_index == 0]
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
            known_count=known_count,
            alive_count=alive_count,
        )

    def _remote_hubs(self, now: float) -> list[list[HostId]]:
        """Return the hubs of each other data centre if this host is a hub."""
        if self._record.id not in self._hubs:
            return []
        data_centres = {peer.record.data_centre for peer in self._peers.values()}
        data_centres.discard(self._record.data_centre)
        return [
            self._candidates(data_centre, now)[:HUBS_PER_DATA_CENTRE]
            for data_centre in sorted(data_centres)
        ]


def _status(peer: _Peer, now: float) -> HostStatus:
    if peer.record.leaving:
        return HostStatus.LEAVING
    if now - peer.last_seen_at > HOST_SILENT_SECONDS:
        return HostStatus.SILENT
    return HostStatus.ALIVE
