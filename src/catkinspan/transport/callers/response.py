"""The response of one attempt, held until it is passed on."""

import asyncio

import h11
from attrs import define, field

from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.models import Assigned
from catkinspan.transport.upstreams.attempt import AttemptTask

_NO_BODY_STATUS = frozenset({204, 304})
_EVENT_STREAM = b"text/event-stream"


@define
class RunningAttempt:
    """An attempt with what it has delivered so far; owned by its exchange."""

    attempt: AttemptTask
    task: "asyncio.Task[None]"
    assigned: Assigned
    response: h11.Response | None = None
    held: list[bytes] = field(factory=list)
    held_bytes: int = 0
    hold_until: float = 0.0
    """Monotonic seconds at which the held part is passed on."""

    whole: bool = False
    reported: bool = False
    """Whether the host task has the outcome already, as for a 5xx response."""

    @property
    def is_live(self) -> bool:
        """Return whether the response is a stream of events without an end."""
        if self.response is None:
            return False
        headers = dict(self.response.headers)
        return headers.get(b"content-type", b"").startswith(_EVENT_STREAM)

    @property
    def must_stream(self) -> bool:
        """Return whether the response is too large or too live to be held."""
        if self.response is None:
            return False
        if self.is_live:
            return True
        headers = dict(self.response.headers)
        length = headers.get(b"content-length")
        return length is not None and int(length) > self.assigned.hold_bytes

    def hold(self, data: bytes) -> bool:
        """Keep a piece; return whether the held part is over its bound."""
        self.held.append(data)
        self.held_bytes += len(data)
        return self.held_bytes > self.assigned.hold_bytes

    def length_for(self, method: str) -> int | None:
        """Return the length to announce for a response that is held whole."""
        if not self.whole or self.response is None or method == "HEAD":
            return None
        if self.response.status_code in _NO_BODY_STATUS:
            return None
        return self.held_bytes

    def cancelled_outcome(self) -> AttemptOutcome:
        """Return the outcome of an attempt that the exchange gave up."""
        return self.assigned.outcome(OutcomeKind.CANCELLED, 0.0, bytes_written=True)
