"""Network links of hosts with a limited bandwidth, in virtual time."""

from collections.abc import Callable

from attrs import define, field

from catkinspan.coordination.models import PeerMessage
from catkinspan.state.ids import HostId

MAX_DATAGRAM_BYTES = 1_200
PACKET_OVERHEAD_BYTES = 66
"""Bytes of the Ethernet, IP and UDP headers, and of the head of the frame."""

MAX_QUEUE_SECONDS = 0.1
"""Longest queue of a link that still takes a datagram. Larger messages travel on
streams, which wait for the link instead."""


@define
class _Direction:
    """One direction of a host's link."""

    busy_until: float = 0.0
    sent_bytes: int = 0


@define
class HostLinks:
    """The links of all hosts; each direction carries one message at a time.

    `bandwidth` returns the bandwidth of a host's link in bytes per second, and `size`
    the encoded size of a message in bytes.
    """

    bandwidth: Callable[[HostId], float]
    size: Callable[[PeerMessage], int]
    dropped_datagrams: int = 0
    _outgoing: dict[HostId, _Direction] = field(factory=dict)
    _incoming: dict[HostId, _Direction] = field(factory=dict)

    def sent_bytes(self, host: HostId) -> int:
        """Return the bytes that a host has sent so far."""
        return self._outgoing.setdefault(host, _Direction()).sent_bytes

    def send(self, host: HostId, message: PeerMessage, now: float) -> float | None:
        """Return when a message has left a host; None if its link is full."""
        return self._transfer(self._outgoing, host, message, now)

    def receive(self, host: HostId, message: PeerMessage, now: float) -> float | None:
        """Return when a message has arrived at a host; None if its link is full."""
        return self._transfer(self._incoming, host, message, now)

    def _transfer(
        self,
        directions: dict[HostId, _Direction],
        host: HostId,
        message: PeerMessage,
        now: float,
    ) -> float | None:
        direction = directions.setdefault(host, _Direction())
        size = self.size(message)
        queue_seconds = direction.busy_until - now
        if size <= MAX_DATAGRAM_BYTES and queue_seconds > MAX_QUEUE_SECONDS:
            self.dropped_datagrams += 1
            return None
        total = size + PACKET_OVERHEAD_BYTES * (1 + size // MAX_DATAGRAM_BYTES)
        direction.sent_bytes += total
        start = max(now, direction.busy_until)
        direction.busy_until = start + total / self.bandwidth(host)
        return direction.busy_until
