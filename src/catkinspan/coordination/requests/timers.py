"""Next due times of requests."""

import heapq

from catkinspan.state.ids import RequestId


class RequestTimers:
    """The next due time of each request, ordered by time.

    Replaced and removed times stay in the heap until they are due.
    """

    def __init__(self) -> None:
        self._due_times: dict[RequestId, float] = {}
        self._heap: list[tuple[float, RequestId]] = []

    def set(self, request_id: RequestId, due_at: float) -> None:
        """Replace the due time of a request, in monotonic seconds."""
        if self._due_times.get(request_id) == due_at:
            return
        self._due_times[request_id] = due_at
        heapq.heappush(self._heap, (due_at, request_id))

    def remove(self, request_id: RequestId) -> None:
        """Remove the due time of a request."""
        self._due_times.pop(request_id, None)

    def next_due(self) -> float:
        """Return the earliest due time; infinity if there is none."""
        while self._heap:
            due_at, request_id = self._heap[0]
            if self._due_times.get(request_id) == due_at:
                return due_at
            heapq.heappop(self._heap)
        return float("inf")

    def take_due(self, now: float) -> list[RequestId]:
        """Remove and return the requests that are due, the earliest first."""
        due: list[RequestId] = []
        while self.next_due() <= now:
            _, request_id = heapq.heappop(self._heap)
            del self._due_times[request_id]
            due.append(request_id)
        return due
