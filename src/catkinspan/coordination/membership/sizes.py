"""Numbers of hosts in each data centre, as counted by the hubs."""

from collections.abc import Iterable
from itertools import islice

from catkinspan.coordination.membership.const import (
    DATA_CENTRE_SILENT_SECONDS,
    HOST_EXPIRY_SECONDS,
    HOST_SILENT_SECONDS,
    HUB_SILENT_SECONDS,
    MAX_DATA_CENTRES,
)
from catkinspan.coordination.membership.models import DataCentreSize
from catkinspan.coordination.membership.peers import PeerTable
from catkinspan.state.hosts import HostStatus
from catkinspan.state.ids import DataCentre


class ReportedSizes:
    """Latest reported size of each data centre with the time of its count."""

    def __init__(self) -> None:
        self._sizes: dict[DataCentre, tuple[DataCentreSize, float]] = {}

    def merge(self, size: DataCentreSize, now: float) -> bool:
        """Keep a size that is newer; return whether the number of hosts changed."""
        counted_at = now - size.age_ms / 1000
        known = self._sizes.get(size.data_centre)
        if known is None and len(self._sizes) >= MAX_DATA_CENTRES:
            return False
        if known is not None and known[1] >= counted_at:
            return False
        self._sizes[size.data_centre] = (size, counted_at)
        return known is None or (known[0].known_count, known[0].alive_count) != (
            size.known_count,
            size.alive_count,
        )

    def get(self, data_centre: DataCentre, now: float) -> DataCentreSize | None:
        """Return a data centre's size with its current age; None if it is too old."""
        found = self._sizes.get(data_centre)
        if found is None or now - found[1] > HOST_EXPIRY_SECONDS:
            return None
        size, counted_at = found
        age_ms = max(0, round((now - counted_at) * 1000))
        return DataCentreSize(data_centre, size.known_count, size.alive_count, age_ms)

    def others(self, data_centre: DataCentre, now: float) -> list[DataCentreSize]:
        """Return the sizes of all data centres but one."""
        sizes = (self.get(name, now) for name in self._sizes if name != data_centre)
        return [size for size in sizes if size is not None]


class SizeCounter:
    """Counts the hosts of the fleet.

    A hub counts the hosts of its data centre by their heartbeats; the other hosts use
    its count. A new hub uses the count of its predecessor, if it is larger, until its
    followers have had time to report to it, and reserves the share of those that do not
    report.
    """

    def __init__(self, table: PeerTable) -> None:
        self._table = table
        self._reported = ReportedSizes()
        self._unheard: frozenset[DataCentre] = frozenset()
        """Data centres that the hub of this host does not hear."""

        self._hub_since: float | None = None
        self._inherited: DataCentreSize | None = None
        """Size of the data centre when this host became a hub."""

    def set_hub_role(self, is_hub: bool, now: float) -> None:
        """Begin or end counting the own data centre by heartbeats."""
        if not is_hub:
            self._hub_since = self._inherited = None
        elif self._hub_since is None:
            self._hub_since = now
            self._inherited = self._reported.get(self._table.own.data_centre, now)

    def merge(self, size: DataCentreSize, now: float) -> bool:
        """Keep a reported size; return whether it changed a count."""
        return self._reported.merge(size, now)

    def apply_unheard(self, data_centres: Iterable[DataCentre]) -> bool:
        """Keep the data centres that the hub does not hear; return whether they are
        others than before."""
        unheard = frozenset(islice(data_centres, MAX_DATA_CENTRES))
        previous, self._unheard = self._unheard, unheard
        return self._unheard != previous

    def unheard(self, now: float) -> tuple[DataCentre, ...]:
        """Return the other data centres that neither this host nor its hub hears."""
        own = self._table.own.data_centre
        others = (size.data_centre for size in self._reported.others(own, now))
        return tuple(n for n in others if not self._is_data_centre_alive(n, now))

    def own_size(self, now: float) -> DataCentreSize:
        """Return the size of this host's data centre."""
        data_centre = self._table.own.data_centre
        reported = self._reported.get(data_centre, now)
        if self._hub_since is None and reported is not None:
            return reported
        known, alive = self._count(now)
        if not self._is_settled(now) and reported is not None:
            known = max(known, reported.known_count)
            alive = max(alive, reported.alive_count)
        inherited = self._inherited
        if inherited is not None and self._hub_since is not None:
            age = inherited.age_ms / 1000 + now - self._hub_since
            if age <= HOST_EXPIRY_SECONDS:
                known = max(known, inherited.known_count)
        return DataCentreSize(data_centre, known, alive, 0)

    def all_sizes(self, now: float) -> tuple[DataCentreSize, ...]:
        """Return the sizes of all data centres, as hubs counted them."""
        data_centre = self._table.own.data_centre
        own: DataCentreSize | None = self._reported.get(data_centre, now)
        if self._hub_since is not None:
            own = self.own_size(now)
        others = self._reported.others(data_centre, now)
        return tuple(others) if own is None else (own, *others)

    def count_fleet(self, now: float) -> tuple[int, int]:
        """Return the number of known hosts and of hosts that are heard from."""
        own = self.own_size(now)
        known, alive = own.known_count, own.alive_count
        for size in self._reported.others(own.data_centre, now):
            known += size.known_count
            if self._is_data_centre_alive(size.data_centre, now):
                alive += size.alive_count
        return max(1, known), max(1, alive)

    def _is_settled(self, now: float) -> bool:
        """Return whether this host counts by the reports that it gets as a hub.

        A new hub gives the others time to report, unless it hears no host at all: it
        then may be cut off, and the count of its predecessor does not hold for it.
        """
        since = self._hub_since
        if since is None:
            return False
        return now - since >= HOST_SILENT_SECONDS or not self._hears_any_host(now)

    def _hears_any_host(self, now: float) -> bool:
        return any(
            now - peer.last_message_at <= HUB_SILENT_SECONDS
            for _, peer in self._table.items()
        )

    def _count(self, now: float) -> tuple[int, int]:
        peers = [
            peer
            for peer in self._table.in_data_centre(self._table.own.data_centre)
            if not peer.record.leaving
            and (peer.reports_here or self._hub_since is None)
        ]
        alive = sum(peer.status_at(now) is HostStatus.ALIVE for peer in peers)
        own = 0 if self._table.own.leaving else 1
        return len(peers) + own, alive + own

    def _is_data_centre_alive(self, data_centre: DataCentre, now: float) -> bool:
        """Return whether a hub of another data centre sends messages.

        A host that is not a hub receives none from there and relies on its hub, and so
        does a new hub.
        """
        if not self._is_settled(now):
            return data_centre not in self._unheard
        return any(
            now - peer.last_message_at <= DATA_CENTRE_SILENT_SECONDS
            for peer in self._table.in_data_centre(data_centre)
        )
