"""Bounds on the age of messages, from clock stamps that peers return."""

from collections.abc import Iterable
from math import floor

from attrs import define

from catkinspan.coordination.configuration.models import ClockStamp, Freshness
from catkinspan.state.ids import HostId


@define
class _ReceivedStamp:
    stamp_ms: int
    arrived_at: float


class ClockEchoes:
    """Tells after which time a peer certainly sent a message.

    A host sends its clock to its hubs, which return the latest stamp with the time
    since its arrival. A message that waited before a congested network link is thus
    known to be old, without a clock that hosts share.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._received: dict[HostId, _ReceivedStamp] = {}
        self._min_stamp_ms = 0
        """Own stamps below it are from before a pause."""

    def own_stamp(self, now: float) -> ClockStamp:
        """Return the stamp of this host's clock, which counts from its start."""
        return ClockStamp(self._clock_ms(now))

    def record(self, host: HostId, stamp: ClockStamp, now: float) -> None:
        """Keep the stamp of a peer until the next one."""
        self._received[host] = _ReceivedStamp(stamp.stamp_ms, now)

    def keep_only(self, hosts: Iterable[HostId]) -> None:
        """Drop the stamps of all other hosts."""
        kept = set(hosts)
        self._received = {h: s for h, s in self._received.items() if h in kept}

    def echo_for(self, host: HostId, now: float) -> tuple[int | None, int]:
        """Return a peer's latest stamp and its age in milliseconds."""
        received = self._received.get(host)
        if received is None:
            return None, 0
        return received.stamp_ms, max(0, floor((now - received.arrived_at) * 1000))

    def earliest_send_time(self, message: Freshness, now: float) -> float:
        """Return the time after which a message was sent; minus infinity if unknown."""
        if message.echo_ms is None or message.echo_ms < self._min_stamp_ms:
            return float("-inf")
        sent_at = self._started_at + (message.echo_ms + message.echo_age_ms) / 1000
        # A stamp of an earlier process of this host lies in the future.
        return sent_at if sent_at <= now else float("-inf")

    def reset(self, now: float) -> None:
        """Reject stamps from before a pause, which this host's clock did not count."""
        self._min_stamp_ms = self._clock_ms(now)

    def _clock_ms(self, now: float) -> int:
        return max(0, floor((now - self._started_at) * 1000))
