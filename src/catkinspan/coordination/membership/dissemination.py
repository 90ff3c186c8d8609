"""Piggybacked updates, each sent a bounded number of times."""

from heapq import nsmallest
from math import ceil, log10

from attrs import define

from catkinspan.coordination.membership.const import (
    TRANSMISSIONS_FACTOR,
    UPDATES_PER_MESSAGE,
)
from catkinspan.state.ids import HostId


@define
class _Pending:
    host: HostId
    transmissions: int = 0


class UpdateQueue:
    """Hosts whose latest statement is still to be passed on.

    The least transmitted ones go first, so that fresh news is not held up while many
    hosts fail at once (SWIM, section 4.1).
    """

    def __init__(self) -> None:
        self._pending: dict[HostId, _Pending] = {}

    def __len__(self) -> int:
        """Return the number of hosts with news."""
        return len(self._pending)

    def add(self, host: HostId) -> None:
        """Queue the latest statement about a host."""
        self._pending[host] = _Pending(host)

    def discard(self, host: HostId) -> None:
        """Forget a host."""
        self._pending.pop(host, None)

    def take(self, fleet_size: int) -> list[HostId]:
        """Return the hosts to tell of in the next message."""
        if not self._pending:
            return []
        limit = TRANSMISSIONS_FACTOR * ceil(log10(fleet_size + 1))
        chosen = nsmallest(
            UPDATES_PER_MESSAGE,
            self._pending.values(),
            key=lambda pending: pending.transmissions,
        )
        for pending in chosen:
            pending.transmissions += 1
            if pending.transmissions >= limit:
                del self._pending[pending.host]
        return [pending.host for pending in chosen]
