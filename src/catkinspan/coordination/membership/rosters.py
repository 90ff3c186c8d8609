"""Rosters for followers, for hubs of other data centres and for hosts that start."""

from catkinspan.coordination.membership.const import (
    HUB_CANDIDATES,
    HUBS_PER_DATA_CENTRE,
    REMOTE_DATA_CENTRES,
    ROSTER_CONTACTS,
)
from catkinspan.coordination.membership.models import Roster, RosterEntry
from catkinspan.coordination.membership.peers import PeerTable
from catkinspan.coordination.membership.sizes import SizeCounter
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import DataCentre
from catkinspan.state.tree import Address


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
        sizes = self._sizes.all_sizes(now)
        if receiver != own:
            return Roster(entries, sizes)
        return Roster(entries, sizes, self._contacts(), self._sizes.unheard(now))

    def _contacts(self) -> tuple[Address, ...]:
        addresses = [
            peer.record.peer_address
            for peer in self._table.in_data_centre(self._table.own.data_centre)
            if peer.reports_here and not peer.record.leaving
        ]
        start = self._rotation * ROSTER_CONTACTS % max(1, len(addresses))
        return tuple([*addresses[start:], *addresses[:start]][:ROSTER_CONTACTS])

    def _entry(self, record: HostRecord, now: float) -> RosterEntry:
        peer = self._table.get(record.id)
        age = 0.0 if peer is None else now - peer.last_seen_at
        return RosterEntry(record, max(0, round(age * 1000)))
