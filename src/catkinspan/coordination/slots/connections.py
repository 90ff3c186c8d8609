"""Division of a server's connections among the hosts."""

from collections.abc import Sequence

from catkinspan.coordination.rendezvous import weight
from catkinspan.coordination.slots.const import MIN_CONNECTIONS
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.tree import Upstream


class ConnectionShares:
    """Decides which hosts connect to a server, and with how many connections.

    When each host can have `MIN_CONNECTIONS`, all hosts use the server. Otherwise a
    subset does: the hosts of the server's data centre first, then others, both from a
    start that depends on the server, so that the subsets are spread evenly.
    """

    def __init__(self, view: FleetView) -> None:
        self._max_hosts = view.max_hosts
        self._all = view.usable
        self._local: dict[DataCentre, tuple[HostId, ...]] = {}
        for host in view.usable:
            centre = view.hosts[host].data_centre
            self._local[centre] = (*self._local.get(centre, ()), host)
        self._place: dict[HostId, tuple[DataCentre, int]] = {
            host: (centre, index)
            for centre, hosts in self._local.items()
            for index, host in enumerate(hosts)
        }
        self._index = {host: index for index, host in enumerate(self._all)}

    def limit(self, upstream: Upstream, host: HostId) -> int:
        """Return the connections that a host may open to a server."""
        count = max(len(self._all), self._max_hosts)
        if upstream.max_connections >= MIN_CONNECTIONS * count:
            return upstream.max_connections // count
        users = max(1, upstream.max_connections // MIN_CONNECTIONS)
        if host not in self._index or not self._is_user(upstream, host, users):
            return 0
        return min(MIN_CONNECTIONS, upstream.max_connections)

    def _is_user(self, upstream: Upstream, host: HostId, users: int) -> bool:
        local = self._local.get(upstream.data_centre, ())
        start = weight("connections", upstream.id)
        centre, index = self._place[host]
        if centre == upstream.data_centre:
            return _in_window(index, start, users, local)
        # Local hosts in the window of all hosts already count as users, so the
        # window for the others has what the local ones leave.
        others = users - len(local)
        return others > 0 and _in_window(self._index[host], start, others, self._all)


def _in_window(index: int, start: int, size: int, hosts: Sequence[HostId]) -> bool:
    return (index - start) % len(hosts) < size
