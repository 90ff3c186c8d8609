"""Piggybacked updates, each sent a bounded number of times."""

from itertools import islice
from math import ceil, log10

from catkinspan.coordination.membership.const import (
    TRANSMISSIONS_FACTOR,
    UPDATES_PER_MESSAGE,
)
from catkinspan.state.ids import HostId


class UpdateQueue:
    """Hosts whose latest statement is still to be passed on.

    The least transmitted ones go first, so that fresh news is not held up while many
    hosts fail at once (SWIM, section 4.1).
    """

    def __init__(self) -> None:
        self._levels: list[dict[HostId, None]] = []
        """Hosts by the number of transmissions, each level in order of arrival."""

    def __len__(self) -> int:
        """Return the number of hosts with news."""
        return sum(map(len, self._levels))

    def add(self, host: HostId) -> None:
        """Queue the latest statement about a host."""
        self.discard(host)
        self._level(0)[host] = None

    def discard(self, host: HostId) -> None:
        """Forget a host."""
        for level in self._levels:
            level.pop(host, None)

    def take(self, fleet_size: int) -> list[HostId]:
        """Return the hosts to tell of in the next message."""
        taken: list[tuple[int, HostId]] = []
        for transmissions, level in enumerate(self._levels):
            wanted = UPDATES_PER_MESSAGE - len(taken)
            taken.extend((transmissions, host) for host in islice(level, wanted))
        limit = TRANSMISSIONS_FACTOR * ceil(log10(fleet_size + 1))
        for transmissions, host in taken:
            del self._levels[transmissions][host]
            if transmissions + 1 < limit:
                self._level(transmissions + 1)[host] = None
        return [host for _, host in taken]

    def _level(self, transmissions: int) -> dict[HostId, None]:
        while len(self._levels) <= transmissions:
            self._levels.append({})
        return self._levels[transmissions]
