"""Choice of the holders of a claim from the published host lists."""

from collections import Counter

import xxhash
from attrs import define, field

from catkinspan.coordination.claims.const import (
    CLAIM_GROUPS,
    HOLDERS,
    LIST_MEMORY_SECONDS,
    MAX_LISTS,
)
from catkinspan.coordination.rendezvous import weight
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId

HolderSet = tuple[HostId, ...]
Listed = tuple[tuple[HostId, DataCentre], ...]


def set_digest(holders: HolderSet) -> int:
    """Return a 64-bit digest of a holder set."""
    return xxhash.xxh64_intdigest("\x00".join(holders).encode())


def majority(holders: HolderSet) -> int:
    """Return how many promises decide in a holder set."""
    return len(holders) // 2 + 1


def choose_holders(group: int, listed: Listed) -> HolderSet:
    """Return the holders of a group: highest weights, spread over data centres.

    No data centre gets more than its even share, rounded up, so that the loss of one
    of three leaves a majority.
    """
    name = f"claims/{group}"
    by_weight = sorted(listed, key=lambda host: (-weight(name, host[0]), host[0]))
    data_centres = {data_centre for _, data_centre in listed}
    share = -(-HOLDERS // max(1, len(data_centres)))
    taken: Counter[DataCentre] = Counter()
    chosen: list[HostId] = []
    spare: list[HostId] = []
    for host, data_centre in by_weight:
        if len(chosen) == HOLDERS:
            break
        if taken[data_centre] < share:
            taken[data_centre] += 1
            chosen.append(host)
        else:
            spare.append(host)
    chosen += spare[: HOLDERS - len(chosen)]
    return tuple(sorted(chosen))


@define
class _ListInForce:
    listed: Listed
    replaced_at: float | None = None
    holders: dict[int, HolderSet] = field(factory=dict)

    def holders_of(self, group: int) -> HolderSet:
        """Return the holders of a group."""
        if group not in self.holders:
            self.holders[group] = choose_holders(group, self.listed)
        return self.holders[group]


class HolderHistory:
    """The host lists in force during the last `LIST_MEMORY_SECONDS`.

    A claim needs a majority in the holder set of each of them. Holders come from the
    published list alone, never from what a host observes of its peers.
    """

    def __init__(self) -> None:
        self._lists: list[_ListInForce] = []
        self._unsettled_until = float("-inf")

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the published list of a view."""
        listed = tuple(
            (host, view.hosts[host].data_centre)
            for host in view.listed
            if host in view.hosts
        )
        if self._lists and self._lists[-1].listed == listed:
            return
        self._forget(now)
        if self._lists:
            self._lists[-1].replaced_at = now
        self._lists.append(_ListInForce(listed))
        if len(self._lists) > MAX_LISTS:
            self._lists.pop(0)
            self._unsettled_until = now + LIST_MEMORY_SECONDS

    def is_settled(self, now: float) -> bool:
        """Return whether every list of the memory time is known."""
        return now >= self._unsettled_until

    def sets_of(self, digest: bytes, now: float) -> tuple[HolderSet, ...]:
        """Return the distinct holder sets of a claim, the newest first."""
        self._forget(now)
        group = int.from_bytes(digest[:4], "big") % CLAIM_GROUPS
        sets = (entry.holders_of(group) for entry in reversed(self._lists))
        return tuple(dict.fromkeys(holders for holders in sets if holders))

    def _forget(self, now: float) -> None:
        oldest = now - LIST_MEMORY_SECONDS
        while len(self._lists) > 1:
            replaced_at = self._lists[0].replaced_at
            if replaced_at is None or replaced_at > oldest:
                return
            self._lists.pop(0)
