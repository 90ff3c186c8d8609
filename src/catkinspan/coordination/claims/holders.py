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


def group_name(group: int) -> str:
    """Return the name under which hosts are weighed for a group."""
    return f"claims/{group}"


def share_of_data_centre(count: int) -> int:
    """Return the most holders in each of a number of data centres."""
    return -(-HOLDERS // max(1, count))


def choose_holders(group: int, listed: Listed) -> HolderSet:
    """Return the holders of a group: highest weights, spread over data centres.

    No data centre gets more than its even share, rounded up, so that the loss of one
    of three leaves a majority.
    """
    name = group_name(group)
    by_weight = sorted(listed, key=lambda host: (-weight(name, host[0]), host[0]))
    data_centres = {data_centre for _, data_centre in listed}
    share = share_of_data_centre(len(data_centres))
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
    added: tuple[HostId, ...] = ()
    removed: frozenset[HostId] = frozenset()
    """Differences from the list before it."""

    is_regular: bool = False
    """Whether the data centres are those of the list before it, each with enough
    hosts for its share, so that a host of low weight cannot become a holder."""

    def follow(self, before: "_ListInForce") -> None:
        """Note the differences from the list before, for `inherit`."""
        old, new = set(before.listed), set(self.listed)
        self.added = tuple(host for host, _ in new - old)
        self.removed = frozenset(host for host, _ in old - new)
        sizes = Counter(data_centre for _, data_centre in self.listed)
        is_same = sizes.keys() == {data_centre for _, data_centre in before.listed}
        share = share_of_data_centre(len(sizes))
        self.is_regular = is_same and min(sizes.values(), default=0) >= share

    def inherit(self, group: int, earlier: HolderSet) -> HolderSet | None:
        """Return the holders of the list before, if they are the same in this one.

        It costs one hash for each added host instead of one for each listed host.
        """
        if not self.is_regular or len(earlier) < HOLDERS:
            return None
        if not self.removed.isdisjoint(earlier):
            return None
        name = group_name(group)
        least = min(weight(name, host) for host in earlier)
        if any(weight(name, host) >= least for host in self.added):
            return None
        return earlier


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
        entry = _ListInForce(listed)
        if self._lists:
            self._lists[-1].replaced_at = now
            entry.follow(self._lists[-1])
        self._lists.append(entry)
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
        sets = [self._holders(group, index) for index in range(len(self._lists))]
        return tuple(dict.fromkeys(holders for holders in reversed(sets) if holders))

    def _holders(self, group: int, index: int) -> HolderSet:
        entry = self._lists[index]
        holders = entry.holders.get(group)
        if holders is None and index > 0:
            earlier = self._lists[index - 1].holders.get(group)
            holders = entry.inherit(group, earlier) if earlier else None
        if holders is None:
            holders = choose_holders(group, entry.listed)
        entry.holders[group] = holders
        return holders

    def _forget(self, now: float) -> None:
        oldest = now - LIST_MEMORY_SECONDS
        while len(self._lists) > 1:
            replaced_at = self._lists[0].replaced_at
            if replaced_at is None or replaced_at > oldest:
                return
            self._lists.pop(0)
