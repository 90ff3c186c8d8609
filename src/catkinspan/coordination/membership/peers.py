"""The other hosts that a host knows, and the ranking of hub candidates."""

from collections.abc import Iterable, Iterator

from attrs import define

from catkinspan.coordination.membership.const import (
    CANDIDATE_EXPIRY_SECONDS,
    HOST_EXPIRY_SECONDS,
    HOST_SILENT_SECONDS,
    HUB_EXCLUSION_SECONDS,
    HUB_SILENT_SECONDS,
    HUBS_PER_DATA_CENTRE,
    LEFT_HOST_EXPIRY_SECONDS,
    REMOTE_HOST_EXPIRY_SECONDS,
)
from catkinspan.coordination.rendezvous import weight
from catkinspan.state.hosts import HostRecord, HostStatus
from catkinspan.state.ids import DataCentre, HostId

_RANKING_KEY = "hub"
_NEVER = float("-inf")


@define
class Peer:
    """Another host and the times of the latest contact with it."""

    record: HostRecord
    last_seen_at: float
    """Time of the latest information about the host from any source, in monotonic
    seconds of this host."""

    last_message_at: float = _NEVER
    """Time of the latest message from the host itself."""

    unanswered_since: float | None = None
    """Time of the first message to this host as a hub that is still unanswered."""

    excluded_at: float = _NEVER
    """Time at which the host was excluded as a hub because it did not answer."""

    excluded_until: float = _NEVER
    """Time until which the host stays excluded even if it is heard from."""

    reports_here: bool = False
    """Whether the host uses this host as a hub, so that its silence has a meaning."""

    follower_until: float = _NEVER
    """Time until which the host counts as a follower."""

    hub_index: int = 0
    """Index of this host among the follower's hubs; -1 once it stopped following."""

    status: HostStatus = HostStatus.ALIVE

    def status_at(self, now: float) -> HostStatus:
        """Return whether the host is alive, by what is known of it."""
        if self.record.leaving:
            return HostStatus.LEAVING
        if self.reports_here and now - self.last_seen_at > HOST_SILENT_SECONDS:
            return HostStatus.SILENT
        if self.is_excluded(now):
            return HostStatus.SILENT
        return HostStatus.ALIVE

    def is_excluded(self, now: float) -> bool:
        """Return whether the host may not be selected as a hub."""
        if self.last_seen_at <= self.excluded_at:
            return True
        return now < self.excluded_until

    def exclude_if_unanswered(self, is_remote: bool, now: float) -> bool:
        """Exclude a hub, here or of another data centre, if it does not answer.

        A path between data centres returns for all hubs at once, so a remote hub that
        is heard from again is not excluded any more.
        """
        limit = HOST_SILENT_SECONDS if is_remote else HUB_SILENT_SECONDS
        if self.unanswered_since is None or now - self.unanswered_since <= limit:
            return False
        self.excluded_at = now
        self.excluded_until = now + (0.0 if is_remote else HUB_EXCLUSION_SECONDS)
        self.unanswered_since = None
        return True

    def record_message(self, now: float) -> None:
        """Record a message from the host."""
        self.last_seen_at = self.last_message_at = now
        self.unanswered_since = None

    def follow(self, hub_index: int, now: float) -> bool:
        """Record a heartbeat of a follower; return whether followers changed."""
        is_new = self.follower_until <= now or self.hub_index != hub_index
        self.follower_until = now + HOST_SILENT_SECONDS
        self.hub_index = hub_index
        self.reports_here = True
        return is_new

    def stop_following(self) -> None:
        """Record that the host has chosen other hubs."""
        self.follower_until = _NEVER
        self.hub_index = -1
        self.reports_here = False


class PeerTable:
    """Known hosts, and the hub candidates among them and this host."""

    def __init__(self, record: HostRecord) -> None:
        self.own = record
        self._peers: dict[HostId, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def __contains__(self, host: HostId) -> bool:
        return host in self._peers

    def get(self, host: HostId) -> Peer | None:
        """Return a known host."""
        return self._peers.get(host)

    def add(self, peer: Peer) -> None:
        """Add a host, or replace its earlier process."""
        self._peers[peer.record.id] = peer

    def remove(self, host: HostId) -> None:
        """Remove a host."""
        del self._peers[host]

    def items(self) -> Iterable[tuple[HostId, Peer]]:
        """Return all known hosts."""
        return self._peers.items()

    def in_data_centre(self, data_centre: DataCentre) -> Iterator[Peer]:
        """Return the known hosts of a data centre, without this host."""
        return (
            peer
            for peer in self._peers.values()
            if peer.record.data_centre == data_centre
        )

    def remote_data_centres(self) -> list[DataCentre]:
        """Return the other data centres of which a host is known, sorted."""
        found = {peer.record.data_centre for peer in self._peers.values()}
        return sorted(found - {self.own.data_centre})

    def candidates(self, data_centre: DataCentre, now: float) -> list[HostRecord]:
        """Return the hosts of a data centre that may be hubs, best ranked first."""
        records = [
            peer.record
            for peer in self.in_data_centre(data_centre)
            if peer.status_at(now) is HostStatus.ALIVE
        ]
        if self.own.data_centre == data_centre and not self.own.leaving:
            records.append(self.own)
        return sorted(records, key=_rank)

    def lost_hubs(self, now: float) -> list[HostId]:
        """Return the first hosts of each other data centre of which none is alive."""
        hubs: list[HostId] = []
        for name in self.remote_data_centres():
            if self.candidates(name, now):
                continue
            known = [peer.record for peer in self.in_data_centre(name)]
            present = sorted((r for r in known if not r.leaving), key=_rank)
            hubs += [record.id for record in present[:HUBS_PER_DATA_CENTRE]]
        return hubs

    def is_expired(self, peer: Peer, has_hub: bool, now: float) -> bool:
        """Return whether a host is to be removed."""
        age = now - peer.last_seen_at
        if peer.record.leaving:
            return age > LEFT_HOST_EXPIRY_SECONDS
        if peer.record.data_centre != self.own.data_centre:
            return age > REMOTE_HOST_EXPIRY_SECONDS
        # Without a hub no roster confirms the candidates, and one may return.
        if peer.reports_here or not has_hub:
            return age > HOST_EXPIRY_SECONDS
        return age > CANDIDATE_EXPIRY_SECONDS


def _rank(record: HostRecord) -> tuple[int, int, HostId]:
    """Return the sort key of a hub candidate.

    A hub sends to all hosts of its data centre, so hosts whose links are at least twice
    as wide come first; the others are ranked by highest random weight.
    """
    link_class = int(record.link_mbps).bit_length()
    return -link_class, -weight(_RANKING_KEY, record.id), record.id
