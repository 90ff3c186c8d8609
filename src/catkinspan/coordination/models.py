"""Message and event bases that all concerns share."""

from datetime import datetime

from attrs import field, frozen

from catkinspan.state.ids import HostId


@frozen
class PeerMessage:
    """Base of the messages between hosts."""


@frozen
class Origin:
    """Sender of a peer message."""

    host: HostId
    incarnation: int


@frozen
class Event:
    """Base of the events that go to the audit trail and the log."""


@frozen
class AuditEntry:
    """An event with the instant and the host of its record."""

    at: datetime
    host: HostId
    event: Event


@frozen
class Envelope:
    """A peer message with its destination."""

    to: HostId
    message: PeerMessage = field()
