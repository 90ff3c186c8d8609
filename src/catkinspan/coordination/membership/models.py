"""Messages, events and snapshots of the membership."""

from collections.abc import Mapping

from attrs import frozen

from catkinspan.coordination.models import Event, Millis, PeerMessage
from catkinspan.state.hosts import FleetView, HostRecord, HostStatus
from catkinspan.state.ids import DataCentre, HostId


@frozen
class Heartbeat(PeerMessage):
    """Tells a hub or a seed that the sender is there."""

    record: HostRecord
    hub_index: int | None = 0
    """Place of the receiver among the sender's hubs; None for a seed."""

    needs_roster: bool = False
    """Whether the sender hears no hub and asks for a roster."""


@frozen
class RosterEntry:
    """A host with the time since it was heard."""

    record: HostRecord
    age_ms: Millis


@frozen
class DataCentreSize:
    """Hosts of a data centre as its hub counts them."""

    data_centre: DataCentre
    known_count: int
    heard_count: int
    """Hosts of which there was news lately."""

    age_ms: Millis


@frozen
class Roster(PeerMessage):
    """The hosts that the sender knows, and the sizes of all data centres."""

    entries: tuple[RosterEntry, ...]
    data_centres: tuple[DataCentreSize, ...] = ()


@frozen
class HostStatusChanged(Event):
    """A host was found, fell silent, came back or leaves."""

    host: HostId
    status: HostStatus
    heard_age_ms: int
    """Time since the last news of the host."""

    known: int
    """Hosts known after the change."""


@frozen
class HubsChanged(Event):
    """The host uses other hubs from now on."""

    hubs: tuple[HostId, ...]
    rank: int
    """Place of the own host among the candidates of its data centre."""


@frozen
class MembershipSnapshot:
    """State of the membership on one host, for operators."""

    view: FleetView
    heard_at: Mapping[HostId, float]
    """Monotonic seconds of the last news of each other host."""

    hub_heard_at: float | None
    """Monotonic seconds of the last message from a hub; None without one."""
