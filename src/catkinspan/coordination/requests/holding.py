"""Requests held until the host knows enough to decide on them."""

from collections.abc import Iterator
from datetime import timedelta

from attrs import evolve, frozen

from catkinspan.coordination.requests.const import (
    MAX_HOLD_DEADLINE_SHARE,
    MAX_HOLD_SECONDS,
    MAX_HOLD_SECONDS_WITHOUT_DEADLINE,
)
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.state.ids import RequestId


@frozen
class HeldRequest:
    """A request held until an event or a time."""

    arrived: RequestArrived
    arrived_at: float
    hold_until: float

    @classmethod
    def of(
        cls,
        arrived: RequestArrived,
        now: float,
        max_seconds: float = MAX_HOLD_SECONDS,
    ) -> "HeldRequest":
        """Return a request held from now on, for at most `max_seconds`."""
        wait = MAX_HOLD_SECONDS_WITHOUT_DEADLINE
        if arrived.deadline is not None:
            wait = MAX_HOLD_DEADLINE_SHARE * arrived.deadline.total_seconds()
        return cls(arrived, now, now + min(max_seconds, wait))

    def with_remaining_time(self, now: float) -> RequestArrived:
        """Return the request with its deadline reduced by the time held."""
        deadline = self.arrived.deadline
        if deadline is None:
            return self.arrived
        return evolve(
            self.arrived, deadline=deadline - timedelta(seconds=now - self.arrived_at)
        )


class HeldRequests:
    """Held requests, oldest first."""

    def __init__(self) -> None:
        self._held: dict[RequestId, HeldRequest] = {}

    def __len__(self) -> int:
        """Return the number of held requests."""
        return len(self._held)

    @property
    def next_due(self) -> float:
        """Return the monotonic time at which the next hold ends."""
        return min((h.hold_until for h in self._held.values()), default=float("inf"))

    def add(self, held: HeldRequest) -> None:
        """Hold a request."""
        self._held[held.arrived.request_id] = held

    def discard(self, request_id: RequestId) -> None:
        """Drop a request whose caller no longer waits."""
        self._held.pop(request_id, None)

    def take(self, releases_all: bool, now: float) -> Iterator[HeldRequest]:
        """Remove and yield the requests whose hold has ended, or all of them."""
        for request_id, held in list(self._held.items()):
            if releases_all or now >= held.hold_until:
                del self._held[request_id]
                yield held
