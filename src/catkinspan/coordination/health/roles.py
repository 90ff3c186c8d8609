"""Which hosts assess a service."""

from attrs import frozen

from catkinspan.coordination.health.const import ARBITERS
from catkinspan.coordination.health.permits import voters_of
from catkinspan.coordination.rendezvous import owner, ranked
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, ServiceId


@frozen
class Roles:
    """Holders of the roles for one service, in one host's view."""

    assessors: dict[DataCentre, HostId]
    arbiters: tuple[HostId, ...]
    """Assessors that pool the evidence of all data centres, the first one acting."""


class RoleTable:
    """Finds the roles of services and keeps them until the view changes."""

    def __init__(self, view: FleetView) -> None:
        self.view = view
        self._places: dict[DataCentre, tuple[HostId, ...]] = {}
        for host in view.usable:
            place = view.hosts[host].data_centre
            self._places[place] = (*self._places.get(place, ()), host)
        self._roles: dict[ServiceId, Roles] = {}
        self._voters: dict[ServiceId, tuple[HostId, ...]] = {}
        self._own: dict[ServiceId, HostId | None] = {}

    def hosts_in(self, place: DataCentre) -> tuple[HostId, ...]:
        """Return the usable hosts of a data centre."""
        return self._places.get(place, ())

    def assessor(self, service: ServiceId) -> HostId | None:
        """Return the assessor of a service for the own data centre."""
        if service not in self._own:
            hosts = self.hosts_in(self.view.self_data_centre)
            self._own[service] = owner(f"health:{service}", hosts)
        return self._own[service]

    def of(self, service: ServiceId) -> Roles:
        """Return the roles of a service."""
        roles = self._roles.get(service)
        if roles is None:
            roles = self._roles[service] = self._find(service)
        return roles

    def voters(self, service: ServiceId) -> tuple[HostId, ...]:
        """Return the voters on the permits of a service."""
        if service not in self._voters:
            self._voters[service] = voters_of(service, self.view)
        return self._voters[service]

    def _find(self, service: ServiceId) -> Roles:
        assessors = {
            place: holder
            for place, hosts in sorted(self._places.items())
            if (holder := owner(f"health:{service}", hosts)) is not None
        }
        name = f"health-arbiter:{service}"
        arbiters = ranked(name, list(assessors.values()), ARBITERS)
        return Roles(assessors, tuple(arbiters))
