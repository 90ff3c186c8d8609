"""Servers that announced in a response that they leave."""

from collections.abc import Mapping

from catkinspan.coordination.health.const import MAX_DEPARTURES
from catkinspan.state.ids import ServerId
from catkinspan.state.tree import Upstream


class Departures:
    """Remembers the announcements until another process of the server is published.

    An entry that lapsed and came back names the same process, which still leaves. An
    entry without a process number is a new one whenever it is published anew.
    """

    def __init__(self) -> None:
        self._processes: dict[ServerId, int] = {}
        """Announced processes by server, the latest announcement last."""

    def record(self, upstream: Upstream) -> bool:
        """Record an announcement; return whether it is the first one of the process."""
        if self.has_announced(upstream):
            return False
        self._processes.pop(upstream.id, None)
        self._processes[upstream.id] = upstream.process
        if len(self._processes) > MAX_DEPARTURES:
            del self._processes[next(iter(self._processes))]
        return True

    def has_announced(self, upstream: Upstream) -> bool:
        """Return whether the published process has announced that it leaves."""
        return self._processes.get(upstream.id) == upstream.process

    def apply_servers(self, published: Mapping[ServerId, Upstream]) -> None:
        """Forget servers of which another process is published."""
        for server, process in list(self._processes.items()):
            upstream = published.get(server)
            is_replaced = upstream is not None and upstream.process != process
            if is_replaced or (upstream is None and not process):
                del self._processes[server]
