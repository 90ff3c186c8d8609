"""The platform's list of entry hosts and a host's view of the fleet."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import NOTHING, Factory, frozen

from catkinspan.state.ids import NO_REVISION, DataCentre, HostId, Revision
from catkinspan.state.metadata import setting
from catkinspan.state.tree import Address


@frozen
class ListedHost:
    """An entry host in the platform's list."""

    id: HostId = setting(NOTHING, "", "Name of the host.")
    data_centre: DataCentre = setting(NOTHING, "", "Data centre of the host.")
    peer_address: Address = setting(
        NOTHING, "IP:PORT", "Where other hosts reach its peers' listener."
    )
    leaving: bool = setting(False, "", "Whether it gets no roles any more.")


@frozen
class HostList:
    """The platform's lagging list of entry hosts."""

    revision: Revision = NO_REVISION
    hosts: Mapping[HostId, ListedHost] = Factory(dict)


class HostStatus(StrEnum):
    """What a host knows of a peer."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@frozen
class HostRecord:
    """A peer in the fleet view."""

    id: HostId
    data_centre: DataCentre
    peer_address: Address
    status: HostStatus = HostStatus.ALIVE
    incarnation: int = 0
    """Number of the peer's process life; a higher one supersedes a lower one."""

    listed: bool = True
    """Whether the platform's list holds the host."""


@frozen
class FleetView:
    """What one host believes about the fleet; replaced whole on each change."""

    self_id: HostId
    self_data_centre: DataCentre
    hosts: Mapping[HostId, HostRecord] = Factory(dict)
    usable: tuple[HostId, ...] = ()
    """Sorted ids of hosts that may hold a role: listed, not leaving, not dead. The
    own id is included while the host itself may hold a role."""

    max_hosts: int = 40
    listed: tuple[HostId, ...] = ()
    """Sorted ids of all hosts in the platform's list."""

    def in_data_centre(self, data_centre: DataCentre) -> tuple[HostId, ...]:
        """Return the usable hosts of a data centre, sorted by id."""
        hosts = self.hosts
        return tuple(h for h in self.usable if hosts[h].data_centre == data_centre)
