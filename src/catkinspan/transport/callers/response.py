"""The response of one attempt, buffered until it is forwarded."""

import asyncio

import h11
from attrs import define, field

from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.models import Assigned
from catkinspan.transport.upstreams.attempt import AttemptTask

_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_EVENT_STREAM_TYPE = b"text/event-stream"


@define
class RunningAttempt:
    """A running attempt and the part of its response received so far.

    Owned by one exchange.
    """

    attempt: AttemptTask
    task: "asyncio.Task[None]"
    assigned: Assigned
    response: h11.Response | None = None
    buffer: bytearray = field(factory=bytearray)
    """Joined, since a server may send many chunks of few bytes."""

    buffered_bytes: int = 0
    buffer_deadline: float = 0.0
    """Monotonic time in seconds at which the buffered part is forwarded."""

    is_complete: bool = False
    outcome_reported: bool = False
    """Whether the host task already has the outcome.

    A 5xx response is reported at its head.
    """

    @property
    def is_event_stream(self) -> bool:
        """Return whether the response is an event stream, which has no set end."""
        if self.response is None:
            return False
        headers = dict(self.response.headers)
        return headers.get(b"content-type", b"").startswith(_EVENT_STREAM_TYPE)

    @property
    def must_stream(self) -> bool:
        """Return whether the response must be forwarded without buffering.

        This holds for event streams and for announced lengths over the buffer limit.
        """
        if self.response is None:
            return False
        if self.is_event_stream:
            return True
        headers = dict(self.response.headers)
        length = headers.get(b"content-length")
        return length is not None and int(length) > self.assigned.hold_bytes

    def append_to_buffer(self, data: bytes) -> bool:
        """Buffer a chunk; return whether the buffer is over its limit."""
        self.buffer += data
        self.buffered_bytes += len(data)
        return self.buffered_bytes > self.assigned.hold_bytes

    def content_length_for(self, method: str) -> int | None:
        """Return the Content-Length for a response that is buffered completely."""
        if not self.is_complete or self.response is None or method == "HEAD":
            return None
        if self.response.status_code in _STATUSES_WITHOUT_BODY:
            return None
        return self.buffered_bytes

    def seconds_to_follow(self, now: float) -> float:
        """Return the seconds in which the rest of the response may still follow.

        The attempt ends at its deadline; a complete response may be forwarded later.
        """
        if self.is_complete:
            return float("inf")
        return max(0.0, self.assigned.deadline - now)

    def cancelled_outcome(self) -> AttemptOutcome:
        """Return the outcome of an attempt that the exchange cancelled."""
        return self.assigned.outcome(OutcomeKind.CANCELLED, 0.0, bytes_written=True)
