"""Placement of workspaces in shards and of shards at grantors."""

from functools import lru_cache

import xxhash

from catkinspan.coordination.rendezvous import owner, weight
from catkinspan.state.ids import HostId, WorkspaceId

_CACHED_WORKSPACES = 1 << 14


@lru_cache(maxsize=_CACHED_WORKSPACES)
def shard_of(workspace: WorkspaceId, shards: int) -> int:
    """Return the shard of a workspace."""
    return xxhash.xxh64_intdigest(workspace.encode()) % shards


def role_name(shard: int) -> str:
    """Return the rendezvous name of a shard's grantor."""
    return f"rates/{shard}"


class Grantors:
    """The grantor of each shard in the own view.

    A changed view costs one comparison per shard for each host that joined, and a
    search of the fleet for the shards of each host that left.
    """

    def __init__(self) -> None:
        self._members: frozenset[HostId] = frozenset()
        self._owners: list[HostId | None] = []
        self._served: dict[HostId, tuple[int, ...]] = {}

    def of(self, shard: int) -> HostId | None:
        """Return the grantor of a shard."""
        return self._owners[shard] if shard < len(self._owners) else None

    def served_by(self, host: HostId) -> tuple[int, ...]:
        """Return the shards of a grantor."""
        return self._served.get(host, ())

    @property
    def hosts(self) -> tuple[HostId, ...]:
        """Return the hosts that serve a shard."""
        return tuple(self._served)

    def update(
        self, members: frozenset[HostId], shards: int, populated: set[int]
    ) -> None:
        """Take over the hosts that may serve and the shards that hold workspaces."""
        joined = members - self._members
        if shards != len(self._owners):
            self._owners = [None] * shards
            joined = members
        for shard, holder in enumerate(self._owners):
            self._owners[shard] = self._choose(shard, holder, members, joined)
        self._members = members
        self._served = {}
        for shard, holder in enumerate(self._owners):
            if holder is not None and shard in populated:
                self._served[holder] = (*self._served.get(holder, ()), shard)

    def _choose(
        self,
        shard: int,
        holder: HostId | None,
        members: frozenset[HostId],
        joined: frozenset[HostId],
    ) -> HostId | None:
        name = role_name(shard)
        if holder is None or holder not in members:
            return owner(name, members)
        best = holder
        for host in joined:
            if (weight(name, host), host) > (weight(name, best), best):
                best = host
        return best
