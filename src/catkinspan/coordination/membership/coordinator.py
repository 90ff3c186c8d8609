"""Owner of the known hosts and of the choice of hubs."""

from collections.abc import Iterable
from typing import ClassVar

from attrs import define, evolve

from catkinspan.coordination.concern import BaseCoordinator
from catkinspan.coordination.membership.const import (
    AGING_SECONDS,
    CHANGED_ROSTER_SECONDS,
    FORGET_SECONDS,
    HEARTBEAT_SECONDS,
    HUB_RETRY_SECONDS,
    HUB_SILENT_SECONDS,
    HUBS_PER_DATA_CENTRE,
    LEFT_FORGET_SECONDS,
    MAX_DATA_CENTRES,
    MAX_ROSTER_HOSTS,
    REMOTE_CANDIDATES,
    REMOTE_FORGET_SECONDS,
    REMOTE_ROSTER_SECONDS,
    ROSTER_HOSTS,
    ROSTER_SECONDS,
    SEED_SECONDS,
    SILENT_SECONDS,
    ZONE_SILENT_SECONDS,
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

_RANKING = "hub"


@define
class _Peer:
    """Another host, and when it was heard."""

    record: HostRecord
    heard_at: float
    """Latest news of the host by anyone, in monotonic seconds of the own host."""

    direct_at: float = float("-inf")
    """Latest message received from the host itself."""

    asked_at: float | None = None
    """When the host was first asked to be a hub without an answer since."""

    avoided_until: float = float("-inf")
    follows_until: float = float("-inf")
    """End of the time in which the host counts as a follower."""

    place: int = 0
    """Place of the own host among the follower's hubs."""

    status: HostStatus = HostStatus.ALIVE


class MembershipCoordinator(BaseCoordinator):
    """Knows the hosts from seeds and rosters, and chooses the hubs.

    A host sends heartbeats to the first two candidates of its data centre, by highest
    random weight among the hosts that are heard of. Whoever receives them acts as a
    hub, so that no agreement is needed: two hosts that choose different hubs are both
    served, since hubs exchange what they know.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = (Heartbeat, Roster)

    def __init__(
        self, record: HostRecord, seeds: Iterable[Address], outbox: Outbox
    ) -> None:
        self._record = record
        self._seeds = tuple(a for a in seeds if a != record.peer_address)
        self._outbox = outbox
        self._peers: dict[HostId, _Peer] = {}
        self._zones: dict[DataCentre, tuple[DataCentreSize, float]] = {}
        """Latest size of each other data centre, and when it was counted."""

        self._retired: dict[HostId, int] = {}
        """Last incarnation that another one replaced, by host."""

        self._hubs: tuple[HostId, ...] = (record.id,)
        self._view = self._new_view(0)
        self._aged_at = float("-inf")
        self._heartbeat_at = float("-inf")
        self._seeds_at = float("-inf")
        self._roster_at = float("-inf")
        self._remote_roster_at = float("-inf")
        self._changed = False
        """Whether a host was found, left or came back since the last roster."""

        self._avoidance_ends = float("inf")
        """Next moment at which a hub that was silent may be chosen again."""

        self._dirty = True
        """Whether the view may have changed."""

    @property
    def view(self) -> FleetView:
        """Return the current view of the fleet."""
        return self._view

    @property
    def record(self) -> HostRecord:
        """Return what the host announces of itself."""
        return self._record

    def use_seeds(self, seeds: Iterable[Address]) -> None:
        """Take over changed seeds."""
        self._seeds = tuple(a for a in seeds if a != self._record.peer_address)
        self._seeds_at = float("-inf")

    def has_hub(self, now: float) -> bool:
        """Return whether another host of the data centre answers as a hub."""
        return any(
            hub in self._peers and now - self._peers[hub].direct_at < HUB_SILENT_SECONDS
            for hub in self._hubs
        )

    def snapshot(self) -> MembershipSnapshot:
        """Return the state for operators."""
        direct = [
            peer.direct_at for host, peer in self._peers.items() if host in self._hubs
        ]
        latest = max(direct, default=float("-inf"))
        return MembershipSnapshot(
            self._view,
            {host: peer.heard_at for host, peer in self._peers.items()},
            None if latest == float("-inf") else latest,
        )

    # Messages

    def accepts(self, sender: Sender) -> bool:
        """Return whether a message comes from the current process of its host."""
        return self._retired.get(sender.host) != sender.incarnation

    def heard(self, sender: Sender, now: float) -> None:
        """Note a message of any kind from a host that is known."""
        peer = self._peers.get(sender.host)
        if peer is None or peer.record.incarnation != sender.incarnation:
            return
        peer.heard_at = peer.direct_at = now
        peer.asked_at = None

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Take over a heartbeat or a roster."""
        match message:
            case Heartbeat():
                self._on_heartbeat(message, sender, now)
            case Roster(entries, zones):
                for entry in entries[:MAX_ROSTER_HOSTS]:
                    self._learn(entry.record, now - entry.age_ms / 1000, now)
                for zone in zones[:MAX_DATA_CENTRES]:
                    self._learn_zone(zone, now)
                self.heard(sender, now)
        if self._dirty:
            self._choose_hubs(now)
            self._refresh(now)

    def _on_heartbeat(self, message: Heartbeat, sender: Sender, now: float) -> None:
        record = message.record
        if record.id != sender.host or record.incarnation != sender.incarnation:
            return
        is_new = self._learn(record, now, now)
        peer = self._peers.get(record.id)
        if peer is None:
            return
        peer.direct_at = now
        if message.hub_index is not None:
            self._dirty |= peer.follows_until <= now or peer.place != message.hub_index
            peer.follows_until = now + SILENT_SECONDS
            peer.place = message.hub_index
        # A seed answers at once, so that a new host finds its data centre.
        if is_new or message.needs_roster:
            self._outbox.send(record.id, self._roster_for(record.data_centre, now))

    def _learn(self, record: HostRecord, heard_at: float, now: float) -> bool:
        """Take over news of a host; return whether its process is new here."""
        if record.id == self._record.id or now - heard_at > FORGET_SECONDS:
            return False
        if self._retired.get(record.id) == record.incarnation:
            return False
        peer = self._peers.get(record.id)
        if peer is None:
            if len(self._peers) >= MAX_ROSTER_HOSTS:
                return False
            self._peers[record.id] = _Peer(record, heard_at)
            self._note(record.id, now)
            return True
        if peer.record.incarnation != record.incarnation:
            if heard_at <= peer.heard_at:
                return False
            self._retired[record.id] = peer.record.incarnation
            self._peers[record.id] = _Peer(record, heard_at)
            self._note(record.id, now)
            return True
        if record.leaving and not peer.record.leaving:
            peer.record = record
            self._note(record.id, now)
        peer.heard_at = max(peer.heard_at, heard_at)
        return False

    def _learn_zone(self, zone: DataCentreSize, now: float) -> None:
        if zone.data_centre == self._record.data_centre:
            return
        counted_at = now - zone.age_ms / 1000
        known = self._zones.get(zone.data_centre)
        if known is not None and known[1] >= counted_at:
            return
        self._dirty |= known is None or (
            known[0].known_count,
            known[0].heard_count,
        ) != (
            zone.known_count,
            zone.heard_count,
        )
        self._zones[zone.data_centre] = (zone, counted_at)

    def _note(self, host: HostId, now: float) -> None:
        """Report a change of a host's status."""
        peer = self._peers[host]
        peer.status = _status(peer, now)
        self._changed = self._dirty = True
        age_ms = max(0, round((now - peer.heard_at) * 1000))
        known = len(self._peers) + 1
        self._outbox.emit(HostStatusChanged(host, peer.status, age_ms, known))

    # Time

    def tick(self, now: float) -> None:
        """Send what is due, and follow hosts that fall silent."""
        if now - self._aged_at >= AGING_SECONDS:
            self._aged_at = now
            for host, peer in list(self._peers.items()):
                self._age(host, peer, now)
            if self._sizes(now) != (self._view.known_count, self._view.heard_count):
                self._dirty = True
        self._choose_hubs(now)
        self._send_heartbeats(now)
        if self._dirty:
            self._refresh(now)
        self._send_rosters(now)

    def resume(self, gap: float, now: float) -> None:
        """Shift all times, since no message could arrive during the pause."""
        for peer in self._peers.values():
            peer.asked_at = None
            peer.heard_at = max(peer.heard_at, now - SILENT_SECONDS / 2)

    def drain(self, now: float) -> None:
        """Announce that the host leaves."""
        self._record = evolve(self._record, leaving=True)
        self._dirty = True
        self._heartbeat_at = float("-inf")
        self._choose_hubs(now)
        beat = Heartbeat(self._record, hub_index=None)
        for host in {*self._view.followers, *self._view.hubs, *self._view.remote_hubs}:
            if host != self._record.id:
                self._outbox.send(host, beat)
        self._refresh(now)

    def _age(self, host: HostId, peer: _Peer, now: float) -> None:
        age = now - peer.heard_at
        limit = FORGET_SECONDS
        if peer.record.data_centre != self._record.data_centre:
            limit = REMOTE_FORGET_SECONDS
        if peer.record.leaving:
            limit = LEFT_FORGET_SECONDS
        if age > limit:
            del self._peers[host]
            self._changed = self._dirty = True
            return
        if peer.place >= 0 and peer.follows_until <= now:
            peer.place = -1
            self._dirty = True
        if _status(peer, now) is not peer.status:
            self._note(host, now)

    def _choose_hubs(self, now: float) -> None:
        """Use the first candidates that answer or were not asked for long."""
        for hub in self._hubs:
            peer = self._peers.get(hub)
            if peer is None or peer.asked_at is None:
                continue
            if now - peer.asked_at > HUB_SILENT_SECONDS:
                peer.avoided_until = self._avoidance_ends = now + HUB_RETRY_SECONDS
                peer.asked_at = None
                self._dirty = True
        if self._avoidance_ends <= now:
            self._avoidance_ends = float("inf")
            self._dirty = True
        if not self._dirty:
            return
        chosen = [
            host
            for host in self._candidates(self._record.data_centre, now)
            if host == self._record.id or self._peers[host].avoided_until <= now
        ][:HUBS_PER_DATA_CENTRE]
        hubs = tuple(chosen) or (self._record.id,)
        if hubs == self._hubs:
            return
        self._hubs = hubs
        self._dirty = True
        self._heartbeat_at = float("-inf")
        rank = self._rank(now)
        self._outbox.emit(HubsChanged(hubs, rank))

    def _candidates(self, data_centre: DataCentre, now: float) -> list[HostId]:
        """Return the hosts of a data centre that may be hubs, the first one first."""
        hosts = [
            host
            for host, peer in self._peers.items()
            if peer.record.data_centre == data_centre
            and _status(peer, now) is HostStatus.ALIVE
        ]
        own = self._record
        if own.data_centre == data_centre and not own.leaving:
            hosts.append(own.id)
        return sorted(hosts, key=lambda host: (-weight(_RANKING, host), host))

    def _rank(self, now: float) -> int:
        candidates = self._candidates(self._record.data_centre, now)
        own = self._record.id
        return candidates.index(own) if own in candidates else len(candidates)

    def _send_heartbeats(self, now: float) -> None:
        if now - self._heartbeat_at >= HEARTBEAT_SECONDS:
            self._heartbeat_at = now
            for place, hub in enumerate(self._hubs):
                self._ask_hub(hub, place, now)
        lost = not self.has_hub(now)
        interval = HEARTBEAT_SECONDS if lost else SEED_SECONDS
        if now - self._seeds_at >= interval:
            self._seeds_at = now
            for seed in self._seeds:
                self._outbox.send(seed, Heartbeat(self._record, None, lost))

    def _ask_hub(self, hub: HostId, place: int, now: float) -> None:
        peer = self._peers.get(hub)
        if peer is None:
            return
        if peer.asked_at is None:
            peer.asked_at = now
        self._outbox.send(hub, Heartbeat(self._record, place))

    # Rosters

    def _send_rosters(self, now: float) -> None:
        """Tell followers and remote hubs of changes, and of all now and then."""
        changed = self._changed and now - self._roster_at >= CHANGED_ROSTER_SECONDS
        if changed:
            self._changed = False
        # A roster grows with the data centre, so that its interval does too.
        interval = ROSTER_SECONDS * max(1.0, len(self._peers) / ROSTER_HOSTS)
        if changed or now - self._roster_at >= interval:
            self._roster_at = now
            roster = self._roster_for(self._record.data_centre, now)
            for host in self._view.followers:
                self._outbox.send(host, roster)
        if changed or now - self._remote_roster_at >= REMOTE_ROSTER_SECONDS:
            self._remote_roster_at = now
            for host in self._view.remote_hubs:
                place = self._peers[host].record.data_centre
                self._outbox.send(host, self._roster_for(place, now))

    def _roster_for(self, data_centre: DataCentre, now: float) -> Roster:
        """Return the hosts of a data centre and the hub candidates of the others."""
        places = {peer.record.data_centre for peer in self._peers.values()}
        named = {
            host
            for place in places - {data_centre}
            for host in self._candidates(place, now)[:REMOTE_CANDIDATES]
        }
        entries = [
            RosterEntry(peer.record, max(0, round((now - peer.heard_at) * 1000)))
            for host, peer in self._peers.items()
            if peer.record.data_centre == data_centre or host in named
        ]
        entries.append(RosterEntry(self._record, 0))
        return Roster(tuple(entries), self._zone_sizes(now))

    def _zone_sizes(self, now: float) -> tuple[DataCentreSize, ...]:
        own = self._own_zone(now)
        others = (
            DataCentreSize(
                zone.data_centre,
                zone.known_count,
                zone.heard_count,
                max(0, round((now - counted_at) * 1000)),
            )
            for zone, counted_at in self._zones.values()
        )
        return (own, *others)

    def _own_zone(self, now: float) -> DataCentreSize:
        place = self._record.data_centre
        peers = [p for p in self._peers.values() if p.record.data_centre == place]
        staying = [peer for peer in peers if not peer.record.leaving]
        heard = sum(_status(peer, now) is HostStatus.ALIVE for peer in staying)
        own = 0 if self._record.leaving else 1
        return DataCentreSize(place, len(staying) + own, heard + own, 0)

    def _sizes(self, now: float) -> tuple[int, int]:
        """Return how many hosts the fleet has, and how many of them are heard."""
        own = self._own_zone(now)
        known, heard = own.known_count, own.heard_count
        for place, (zone, counted_at) in list(self._zones.items()):
            if now - counted_at > FORGET_SECONDS:
                del self._zones[place]
                continue
            known += zone.known_count
            if self._hears_zone(place, now):
                heard += zone.heard_count
        return max(1, known), max(1, heard)

    def _hears_zone(self, place: DataCentre, now: float) -> bool:
        """Return whether a hub of another data centre sends messages.

        Hosts that are no hubs get none from there; they use what their hubs count.
        """
        if self._record.id not in self._hubs:
            return True
        return any(
            peer.record.data_centre == place
            and now - peer.direct_at <= ZONE_SILENT_SECONDS
            for peer in self._peers.values()
        )

    # View

    def _refresh(self, now: float) -> None:
        self._dirty = False
        view = self._new_view(now)
        if view != self._view:
            self._view = view

    def _new_view(self, now: float) -> FleetView:
        own = self._record
        known, heard = self._sizes(now)
        hosts = {host: peer.record for host, peer in self._peers.items()}
        hosts[own.id] = own
        alive = [
            host
            for host, peer in self._peers.items()
            if _status(peer, now) is HostStatus.ALIVE
        ]
        followers = [
            host for host, peer in self._peers.items() if peer.follows_until > now
        ]
        led = [host for host in followers if self._peers[host].place == 0]
        remote = self._remote_hubs(now)
        return FleetView(
            self_id=own.id,
            self_data_centre=own.data_centre,
            hosts=hosts,
            usable=tuple(sorted([*alive, own.id])),
            hubs=self._hubs,
            followers=tuple(sorted(followers)),
            primary_followers=tuple(sorted(led)),
            remote_hubs=tuple(host for hubs in remote for host in hubs),
            primary_remote_hubs=tuple(host for hubs in remote for host in hubs[:1]),
            rank=self._rank(now),
            known_count=known,
            heard_count=heard,
        )

    def _remote_hubs(self, now: float) -> list[list[HostId]]:
        """Return the hubs of each other data centre, if this host is a hub."""
        if self._record.id not in self._hubs:
            return []
        places = {peer.record.data_centre for peer in self._peers.values()}
        places.discard(self._record.data_centre)
        return [
            self._candidates(place, now)[:HUBS_PER_DATA_CENTRE]
            for place in sorted(places)
        ]


def _status(peer: _Peer, now: float) -> HostStatus:
    if peer.record.leaving:
        return HostStatus.LEAVING
    if now - peer.heard_at > SILENT_SECONDS:
        return HostStatus.SILENT
    return HostStatus.ALIVE
