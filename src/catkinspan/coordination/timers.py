"""The next due time of each of many keys."""

import heapq
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT")


class Timers(Generic[KeyT]):
    """The next due time of each key, ordered by time.

    Replaced and removed times stay in the heap until they are due. Keys must be
    hashable and have an order, which decides between equal times.
    """

    def __init__(self) -> None:
        self._due_times: dict[KeyT, float] = {}
        self._heap: list[tuple[float, KeyT]] = []

    def set(self, key: KeyT, due_at: float) -> None:
        """Replace the due time of a key, in monotonic seconds."""
        if self._due_times.get(key) == due_at:
            return
        self._due_times[key] = due_at
        heapq.heappush(self._heap, (due_at, key))

    def remove(self, key: KeyT) -> None:
        """Remove the due time of a key."""
        self._due_times.pop(key, None)

    def next_due(self) -> float:
        """Return the earliest due time; infinity if there is none."""
        while self._heap:
            due_at, key = self._heap[0]
            if self._due_times.get(key) == due_at:
                return due_at
            heapq.heappop(self._heap)
        return float("inf")

    def take_due(self, now: float) -> list[KeyT]:
        """Remove and return the keys that are due, the earliest first."""
        due: list[KeyT] = []
        while self.next_due() <= now:
            _, key = heapq.heappop(self._heap)
            del self._due_times[key]
            due.append(key)
        return due
