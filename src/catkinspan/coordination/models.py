"""Message and event bases that all concerns share."""

from datetime import datetime
from typing import Annotated

from attrs import field, frozen

from catkinspan.state.ids import HostId
from catkinspan.state.tree import Address


@frozen
class Bounds:
    """Bounds, both included, of a number in a peer message."""

    low: float
    high: float

    def contains(self, value: float) -> bool:
        """Return whether a value is within the bounds; NaN is not."""
        return self.low <= value <= self.high


INTEGER_BOUNDS = Bounds(0, 2**53)
"""Integers that stay exact as a float, such as times in milliseconds."""

FLOAT_BOUNDS = Bounds(0.0, 1e12)
"""Counts, rates and seconds; sums of them stay far from the ends of a float."""

Millis = Annotated[int, Bounds(0, 10**12)]
"""A duration in milliseconds; a workspace of the lowest rate gets a token within it."""


@frozen
class PeerMessage:
    """Base of the messages between hosts.

    The codec drops a message that holds an integer outside of `WHOLE` or a float
    outside of `NUMBER`, so that no concern has to expect one. A field that needs other
    bounds says so by an annotation with `Between`.
    """


@frozen
class Sender:
    """Sender of a peer message."""

    host: HostId
    incarnation: int


@frozen
class Event:
    """Base of the events that go to the audit trail and the log."""


@frozen
class HostPaused(Event):
    """The process or its machine stood still; old beliefs are dropped."""

    suspended_seconds: float
    """Time that the steady clock does not show; 0 if only the process was held up."""


@frozen
class AuditEntry:
    """An event with the instant and the host of its record."""

    at: datetime
    host: HostId
    event: Event


@frozen
class Envelope:
    """A peer message with its destination."""

    to: HostId | Address
    message: PeerMessage = field()
