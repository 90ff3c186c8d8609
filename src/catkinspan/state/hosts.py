"""Hosts of the fleet, and one host's view of it."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import Factory, frozen

from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.tree import Address


class HostStatus(StrEnum):
    """Liveness of a peer host."""

    ALIVE = "alive"
    SILENT = "silent"
    """It does not report to its hub, or does not answer as a hub."""

    LEAVING = "leaving"


@frozen
class HostRecord:
    """A host as it announces itself to its peers."""

    id: HostId
    data_centre: DataCentre
    peer_address: Address
    incarnation: int = 0
    """Random number drawn at process start; a restarted host has a different one."""

    leaving: bool = False
    link_mbps: float = 0.0
    """Bandwidth of the host's network link in Mbit/s; 0 if it is not known."""


@frozen
class FleetView:
    """One host's view of the fleet, replaced as a whole on each change."""

    self_id: HostId
    self_data_centre: DataCentre
    hosts: Mapping[HostId, HostRecord] = Factory(dict)
    """All known hosts, including this host. A hub knows its followers and the hubs of
    the other data centres; another host knows some hub candidates."""

    usable: tuple[HostId, ...] = ()
    """Sorted ids of known hosts that are alive and not leaving, this host included."""

    hubs: tuple[HostId, ...] = ()
    """Hubs of this host's data centre, primary hub first; may include this host."""

    followers: tuple[HostId, ...] = ()
    """Other hosts that use this host as a hub."""

    primary_followers: tuple[HostId, ...] = ()
    """Followers whose primary hub is this host."""

    remote_hubs: tuple[HostId, ...] = ()
    """Hubs of the other data centres; empty unless this host is a hub."""

    primary_remote_hubs: tuple[HostId, ...] = ()
    """For each other data centre, the primary hub of most of its hosts."""

    rank: int = 0
    """Rank of this host among the hub candidates of its data centre that it knows."""

    data_centre_count: int = 1
    """Number of hosts in this host's data centre, as its hubs count them."""

    known_count: int = 1
    """Number of hosts in the fleet that have not announced that they are leaving."""

    alive_count: int = 1
    """Number of hosts in the fleet that were heard from recently."""

    @property
    def is_hub(self) -> bool:
        """Return whether this host is a hub of its data centre."""
        return self.self_id in self.hubs

    @property
    def alive_share(self) -> float:
        """Return the share of the known hosts that were heard from recently."""
        return self.alive_count / max(1, self.known_count)
