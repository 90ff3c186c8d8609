"""Entry hosts, and one host's view of the fleet."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import Factory, frozen

from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.tree import Address


class HostStatus(StrEnum):
    """What a host knows of a peer."""

    ALIVE = "alive"
    SILENT = "silent"
    """Not heard by anyone for `SILENT_SECONDS`."""

    LEAVING = "leaving"


@frozen
class HostRecord:
    """An entry host as it announces itself."""

    id: HostId
    data_centre: DataCentre
    peer_address: Address
    incarnation: int = 0
    """Random number of the process life; another one is another process."""

    leaving: bool = False


@frozen
class FleetView:
    """What one host believes about the fleet; replaced whole on each change."""

    self_id: HostId
    self_data_centre: DataCentre
    hosts: Mapping[HostId, HostRecord] = Factory(dict)
    """Known hosts, the own one included."""

    usable: tuple[HostId, ...] = ()
    """Sorted ids of hosts that are heard of and not leaving, the own one included."""

    hubs: tuple[HostId, ...] = ()
    """Hubs of the own data centre in the order of preference; may hold the own id."""

    followers: tuple[HostId, ...] = ()
    """Other hosts that use the own host as a hub."""

    primary_followers: tuple[HostId, ...] = ()
    """Followers of which the own host is the first hub."""

    remote_hubs: tuple[HostId, ...] = ()
    """Hubs of the other data centres, if the own host is a hub."""

    primary_remote_hubs: tuple[HostId, ...] = ()
    """The one of them in each data centre to which most of its hosts report."""

    rank: int = 0
    """Place of the own host among the hub candidates of its data centre."""

    known_count: int = 1
    """Hosts of the whole fleet that have not announced that they leave."""

    heard_count: int = 1
    """Hosts of the whole fleet of which there was news lately."""

    @property
    def is_hub(self) -> bool:
        """Return whether the own host is a hub of its data centre."""
        return self.self_id in self.hubs

    @property
    def heard_share(self) -> float:
        """Return the share of the known hosts that are heard of."""
        return self.heard_count / max(1, self.known_count)
