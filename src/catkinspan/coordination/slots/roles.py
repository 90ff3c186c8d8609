"""Which host dispatches which servers."""

from catkinspan.coordination.rendezvous import owner, ranked
from catkinspan.coordination.slots.const import MAX_PARTNERS
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, ServiceId
from catkinspan.state.tree import Upstream


class Roles:
    """Holders of the dispatcher roles in one view of the fleet.

    A server belongs to the dispatcher of its own data centre. Without hosts there, it
    belongs to a data centre chosen by rendezvous hashing.
    """

    def __init__(self, view: FleetView) -> None:
        self._own = view.self_data_centre
        by_centre: dict[DataCentre, list[HostId]] = {}
        for host in view.usable:
            by_centre.setdefault(view.hosts[host].data_centre, []).append(host)
        self._hosts = by_centre
        self._centres = sorted(by_centre)
        self._dispatchers: dict[tuple[ServiceId, DataCentre], HostId | None] = {}

    @property
    def hosts_here(self) -> int:
        """Return the number of usable hosts in the own data centre."""
        return len(self._hosts.get(self._own, ()))

    def dispatcher(self, service: ServiceId, centre: DataCentre) -> HostId | None:
        """Return the host that dispatches a service in a data centre."""
        key = (service, centre)
        if key not in self._dispatchers:
            hosts = self._hosts.get(centre, ())
            self._dispatchers[key] = owner(f"slots/{service}/{centre}", hosts)
        return self._dispatchers[key]

    def predecessor(self, service: ServiceId, host: HostId) -> HostId | None:
        """Return the dispatcher of the own data centre as it was without a host."""
        hosts = [h for h in self._hosts.get(self._own, ()) if h != host]
        return owner(f"slots/{service}/{self._own}", hosts)

    def partners(self, service: ServiceId) -> tuple[HostId, ...]:
        """Return the dispatchers of other data centres to borrow from.

        The relation is symmetric, so that each of a pair accepts the other's asks.
        """
        others = [centre for centre in self._centres if centre != self._own]
        chosen = [c for c in others if self._are_partners(service, self._own, c)]
        hosts = [self.dispatcher(service, centre) for centre in chosen]
        return tuple(host for host in hosts if host)

    def home(self, upstream: Upstream) -> DataCentre | None:
        """Return the data centre whose dispatcher leases the server's slots."""
        if upstream.data_centre in self._hosts:
            return upstream.data_centre
        return owner(f"home/{upstream.id}", self._centres)

    def _are_partners(
        self, service: ServiceId, one: DataCentre, other: DataCentre
    ) -> bool:
        if len(self._centres) <= MAX_PARTNERS + 1:
            return True
        return other in self._chosen(service, one) or one in self._chosen(
            service, other
        )

    def _chosen(self, service: ServiceId, centre: DataCentre) -> list[DataCentre]:
        others = [c for c in self._centres if c != centre]
        return ranked(f"partners/{service}/{centre}", others, MAX_PARTNERS)
