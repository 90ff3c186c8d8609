"""Base classes of peer messages and events, shared by all coordinators."""

from datetime import datetime
from typing import Annotated, ClassVar

from attrs import field, frozen

from catkinspan.state.ids import HostId
from catkinspan.state.tree import Address


@frozen
class Bounds:
    """Inclusive bounds of a number in a peer message."""

    low: float
    high: float

    def contains(self, value: float) -> bool:
        """Return whether a value is within the bounds; false for NaN."""
        return self.low <= value <= self.high


INTEGER_BOUNDS = Bounds(0, 2**53)
"""Integers that a float represents exactly, such as times in milliseconds."""

FLOAT_BOUNDS = Bounds(0.0, 1e12)
"""Counts, rates and seconds; their sums stay far below the largest float."""

Millis = Annotated[int, Bounds(0, 10**12)]
"""Duration in milliseconds. The bound exceeds the time in which a workspace with the
lowest rate gets a token."""


@frozen
class PeerMessage:
    """Base class of the messages between hosts.

    The codec drops messages with an integer outside `INTEGER_BOUNDS` or a float outside
    `FLOAT_BOUNDS`, so coordinators need not check for them. A field with other bounds
    declares them by annotating its type with `Bounds`.
    """

    expires_in_queue: ClassVar[bool] = True
    """Whether the sender drops the message once it has waited for long, since the next
    report replaces it."""


@frozen
class Sender:
    """Host process that sent a peer message."""

    host: HostId
    incarnation: int


@frozen
class Event:
    """Base class of the events written to the audit trail and the log."""


@frozen
class HostPaused(Event):
    """The process or its machine was paused; earlier state is discarded."""

    suspended_seconds: float
    """Time the monotonic clock did not count; 0 if only the process was paused."""


@frozen
class AuditEntry:
    """An event with the time and the host of its recording."""

    at: datetime
    host: HostId
    event: Event


@frozen
class Envelope:
    """A peer message with its destination."""

    to: HostId | Address
    message: PeerMessage = field()
