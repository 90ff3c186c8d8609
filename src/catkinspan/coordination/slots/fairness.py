"""Fair queues and fair division of capacity."""

from collections import deque
from collections.abc import Callable, Hashable, Iterator, Mapping
from itertools import islice
from typing import Generic, Protocol, TypeVar

from attrs import define, field

from catkinspan.state.ids import WorkspaceId

WorkspaceT = TypeVar("WorkspaceT", bound=Hashable)


class Queueable(Protocol):
    """What the queue needs of an item."""

    @property
    def workspace(self) -> WorkspaceId:
        """Return the workspace that the item is queued under."""

    @property
    def weight(self) -> float:
        """Return the workspace's weight."""


Item = TypeVar("Item", bound=Queueable)


@define
class _Lane(Generic[Item]):
    """The queue of one workspace."""

    weight: float
    items: deque[Item] = field(factory=deque)
    deficit: float = 0.0


class FairQueue(Generic[Item]):
    """Deficit round robin over workspaces (Shreedhar and Varghese, 1996).

    Each item costs one unit. The quantum of a workspace is its weight divided by the
    largest weight that waits, so each round serves at least one item.
    """

    def __init__(self) -> None:
        self._lanes: dict[WorkspaceId, _Lane[Item]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Item]:
        for lane in list(self._lanes.values()):
            yield from list(lane.items)

    def first(self, count: int) -> Iterator[Item]:
        """Return the first items of each workspace."""
        for lane in list(self._lanes.values()):
            yield from list(islice(lane.items, count))

    @property
    def lengths(self) -> dict[WorkspaceId, int]:
        """Return the number of waiting items by workspace."""
        return {name: len(lane.items) for name, lane in self._lanes.items()}

    def length(self, workspace: WorkspaceId) -> int:
        """Return the number of waiting items of a workspace."""
        lane = self._lanes.get(workspace)
        return len(lane.items) if lane else 0

    def total_weight(self, besides: WorkspaceId) -> float:
        """Return the weights that wait, without one workspace."""
        lanes = self._lanes.items()
        return sum(lane.weight for name, lane in lanes if name != besides)

    def push(self, item: Item) -> None:
        """Append an item to its workspace's queue."""
        lane = self._lanes.get(item.workspace)
        if lane is None:
            lane = self._lanes[item.workspace] = _Lane(max(item.weight, 1e-3))
        lane.items.append(item)
        self._size += 1

    def remove(self, item: Item) -> bool:
        """Remove an item; return whether it was waiting."""
        lane = self._lanes.get(item.workspace)
        if lane is None or item not in lane.items:
            return False
        lane.items.remove(item)
        self._shrunk(item.workspace, lane)
        return True

    def pop(self, fits: Callable[[Item], bool]) -> Item | None:
        """Return the next item whose turn it is, among the first that fit."""
        for workspace, lane in list(self._lanes.items()):
            if lane.deficit >= 1.0 and (item := self._take(workspace, lane, fits)):
                return item
        waiting = [
            (w, lane)
            for w, lane in self._lanes.items()
            if any(fits(item) for item in lane.items)
        ]
        return self._next_round(waiting, fits) if waiting else None

    def newest_of_longest(self) -> Item:
        """Return the last item of the longest queue; the queue must not be empty."""
        lanes = self._lanes.values()
        lane = max(lanes, key=lambda lane: len(lane.items) / lane.weight)
        return lane.items[-1]

    def _next_round(
        self,
        waiting: list[tuple[WorkspaceId, _Lane[Item]]],
        fits: Callable[[Item], bool],
    ) -> Item | None:
        largest = max(lane.weight for _, lane in waiting)
        for _, lane in waiting:
            lane.deficit = min(lane.deficit + lane.weight / largest, 2.0)
        for workspace, lane in waiting:
            if lane.deficit >= 1.0 and (item := self._take(workspace, lane, fits)):
                return item
        return None

    def _take(
        self, workspace: WorkspaceId, lane: _Lane[Item], fits: Callable[[Item], bool]
    ) -> Item | None:
        for position, item in enumerate(lane.items):
            if fits(item):
                del lane.items[position]
                lane.deficit -= 1.0
                self._shrunk(workspace, lane)
                return item
        return None

    def _shrunk(self, workspace: WorkspaceId, lane: _Lane[Item]) -> None:
        self._size -= 1
        if not lane.items:
            del self._lanes[workspace]


def water_fill(
    capacity: float, demands: Mapping[WorkspaceT, tuple[float, float]]
) -> dict[WorkspaceT, float]:
    """Divide a capacity by weighted max-min fairness (Bertsekas and Gallager).

    `demands` maps each workspace to its weight and its demand. No workspace gets more
    than its demand, and what it leaves goes to the others by weight::

        water_fill(10, {"a": (1, 2), "b": (1, 20)})  # {"a": 2, "b": 8}
    """
    shares = dict.fromkeys(demands, 0.0)
    open_ones = {name for name, (_, demand) in demands.items() if demand > 0}
    left = capacity
    while open_ones and left > 1e-9:
        level = left / sum(demands[name][0] for name in open_ones)
        full = {
            name
            for name in open_ones
            if demands[name][1] - shares[name] <= level * demands[name][0] + 1e-12
        }
        for name in full or open_ones:
            weight, demand = demands[name]
            given = demand - shares[name] if full else level * weight
            shares[name] += given
            left -= given
        open_ones = open_ones - full if full else set()
    return shares
