"""Rosters for followers, for hubs of other data centres and for hosts that start."""

from catkinspan.coordination.membership.const import (
    HUB_CANDIDATES,
    HUBS_PER_DATA_CENTRE,
    REMOTE_DATA_CENTRES,
)
from catkinspan.coordination.membership.models import Roster, RosterEntry
from catkinspan.coordination.membership.peers import PeerTable
from catkinspan.coordination.membership.sizes import SizeCounter
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import DataCentre


class RosterBuilder:
    """Builds rosters whose size does not depend on the number of hosts."""

    def __init__(self, table: PeerTable, sizes: SizeCounter) -> None:
        self._table = table
        self._sizes = sizes
        self._rotation = 0

    def build(self, receiver: DataCentre, now: float) -> Roster:
        """Return a roster for a host of a data centre.

        It lists the hub candidates of the receiver's data centre, the hubs of the own
        one, and in rotation the hubs of others.
        """
        own = self._table.own.data_centre
        others = [
            name
            for name in self._table.remote_data_centres()
            if name not in (receiver, own)
        ]
        self._rotation += 1
        start = self._rotation * REMOTE_DATA_CENTRES % max(1, len(others))
        listed = [own, *others[start:], *others[:start]]
        listed = [name for name in listed if name != receiver][:REMOTE_DATA_CENTRES]
        records = self._table.candidates(receiver, now)[:HUB_CANDIDATES]
        for name in listed:
            records += self._table.candidates(name, now)[:HUBS_PER_DATA_CENTRE]
        entries = tuple(self._entry(record, now) for record in records)
        return Roster(entries, self._sizes.all_sizes(now))

    def _entry(self, record: HostRecord, now: float) -> RosterEntry:
        peer = self._table.get(record.id)
        age = 0.0 if peer is None else now - peer.last_seen_at
        return RosterEntry(record, max(0, round(age * 1000)))
