"""Messages, events and snapshots of fleet membership."""

from collections.abc import Mapping

from attrs import frozen

from catkinspan.coordination.models import Event, Millis, PeerMessage
from catkinspan.state.hosts import FleetView, HostRecord, HostStatus
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.tree import Address


@frozen
class Heartbeat(PeerMessage):
    """Announces the sender to a hub or a seed."""

    record: HostRecord
    hub_index: int | None = 0
    """Index of the receiver among the sender's hubs; None if it is none of them."""

    needs_roster: bool = False
    """Whether the sender has no responding hub and requests a roster."""

    hubs: tuple[HostId, ...] = ()
    """Hubs of the sender, if the receiver may not be one of them."""


@frozen
class RosterEntry:
    """A host with the time since it was last heard from."""

    record: HostRecord
    age_ms: Millis


@frozen
class DataCentreSize:
    """Number of hosts of a data centre as counted by its hubs."""

    data_centre: DataCentre
    known_count: int
    alive_count: int
    """Hosts that were heard from recently."""

    age_ms: Millis


@frozen
class Roster(PeerMessage):
    """Hub candidates of the receiver's data centre, hubs of some others, and the sizes
    of all data centres. Its size does not depend on the number of hosts."""

    entries: tuple[RosterEntry, ...]
    data_centres: tuple[DataCentreSize, ...] = ()
    contacts: tuple[Address, ...] = ()
    """Addresses of further hosts of the receiver's data centre, in rotation. A host
    that loses all hub candidates at once finds the others through them."""

    unheard: tuple[DataCentre, ...] = ()
    """Data centres that the sender does not hear, for hosts of its own data centre."""


@frozen
class HostStatusChanged(Event):
    """A host was discovered, became silent, returned or is leaving."""

    host: HostId
    status: HostStatus
    heard_age_ms: int
    """Time since the host was last heard from."""

    known: int
    """Number of known hosts after the change."""


@frozen
class HubsChanged(Event):
    """This host changed its hubs."""

    hubs: tuple[HostId, ...]
    rank: int
    """Rank of this host among the hub candidates of its data centre."""


@frozen
class MembershipSnapshot:
    """State of the membership on one host, for operators."""

    view: FleetView
    last_seen_at: Mapping[HostId, float]
    """Monotonic seconds at which each other host was last heard from."""

    last_hub_message_at: float | None
    """Monotonic seconds of the last message from a hub; None without one."""
