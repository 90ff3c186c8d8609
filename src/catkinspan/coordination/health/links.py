"""Clocks of other hosts, and the posting of messages."""

from collections import deque
from collections.abc import Callable
from math import floor

from attrs import define

from catkinspan.coordination.health.const import MAX_REPORT_AGE_SECONDS
from catkinspan.coordination.health.models import HostReport
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import HostId

_KEPT_REPORTS = 256


@define
class _Sample:
    sent_at: float
    received_at: float


def round_down(seconds: float) -> float:
    """Return an instant rounded down to milliseconds.

    Rounding an expiry or the time of a report down can only shorten a lease.
    """
    return floor(seconds * 1000.0) / 1000.0


class Links:
    """Posts messages, also to the own host, and reads other hosts' clocks.

    An instant is translated to another clock by a report that the other host sent.
    The report's travel time makes the translated instant earlier, never later, so a
    lease that is handed on ends too early where a message is late.
    """

    def __init__(self, self_id: HostId, outbox: Outbox) -> None:
        self._self_id = self_id
        self._outbox = outbox
        self._samples: dict[HostId, _Sample] = {}
        self._sent: deque[float] = deque(maxlen=_KEPT_REPORTS)
        self._local: deque[PeerMessage] = deque()

    @property
    def has_local(self) -> bool:
        """Return whether messages to the own host wait."""
        return bool(self._local)

    def post(self, to: HostId, message: PeerMessage) -> None:
        """Send a message; one to the own host waits for `deliver_local`."""
        if to == self._self_id:
            self._local.append(message)
            return
        if isinstance(message, HostReport):
            self._sent.append(message.sent_at)
        self._outbox.send(to, message)

    def deliver_local(self, handle: Callable[[PeerMessage], None]) -> None:
        """Deliver the messages that the host sent to itself."""
        while self._local:
            handle(self._local.popleft())

    def take_report(self, report: HostReport, origin: Origin, now: float) -> None:
        """Read the sender's clock from a report."""
        self._samples[origin.host] = _Sample(report.sent_at, now)

    def translate(self, host: HostId, at: float, now: float) -> tuple[float, float]:
        """Return an instant on a host's clock, and the `sent_at` it was read from.

        Without a recent report the instant is minus infinity.
        """
        if host == self._self_id:
            return at, 0.0
        sample = self._samples.get(host)
        if sample is None or now - sample.received_at > MAX_REPORT_AGE_SECONDS:
            return float("-inf"), 0.0
        return at - sample.received_at + sample.sent_at, sample.sent_at

    def is_own_clock(self, echo: float, origin: Origin) -> bool:
        """Return whether a lease was translated by a report of this process."""
        return origin.host == self._self_id or echo in self._sent

    def prune(self, now: float) -> None:
        """Drop reports that are no longer used."""
        for host, sample in list(self._samples.items()):
            if now - sample.received_at > MAX_REPORT_AGE_SECONDS:
                del self._samples[host]

    def reset(self) -> None:
        """Forget all clocks, after a pause in which the own clock may have stopped."""
        self._samples.clear()
        self._sent.clear()
