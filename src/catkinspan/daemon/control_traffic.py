"""Counts of the messages that a host sends to its peers."""

from collections import Counter
from collections.abc import Mapping

from loguru import logger

from catkinspan.coordination.models import PeerMessage

LOG_INTERVAL_SECONDS = 5.0


class ControlTraffic:
    """Counts sent bytes by kind of message, and logs them at a fixed interval.

    A message to several peers counts once for each. The bytes are those of the encoded
    messages, without the heads of frames, datagrams and streams.
    """

    def __init__(self, now: float) -> None:
        self._bytes_by_kind: Counter[str] = Counter()
        self._logged_bytes_by_kind: Counter[str] = Counter()
        self._logged_at = now

    @property
    def bytes_by_kind(self) -> Mapping[str, int]:
        """Return a copy of the bytes sent since the start of the host, by kind."""
        return dict(self._bytes_by_kind)

    def record(self, message: PeerMessage, size: int) -> None:
        """Count a message of `size` bytes to one peer."""
        self._bytes_by_kind[type(message).__name__] += size

    def log_if_due(self, dropped_messages: int, now: float) -> None:
        """Log the rates since the last line once `LOG_INTERVAL_SECONDS` have passed."""
        seconds = now - self._logged_at
        if seconds < LOG_INTERVAL_SECONDS:
            return
        sent = self._bytes_by_kind - self._logged_bytes_by_kind
        rates = {kind: round(size / seconds) for kind, size in sent.most_common()}
        self._logged_bytes_by_kind = self._bytes_by_kind.copy()
        self._logged_at = now
        total = sum(rates.values())
        logger.bind(
            event="control_traffic",
            bytes_per_second=total,
            bytes_per_second_by_kind=rates,
            dropped_messages=dropped_messages,
        ).info("control traffic of {} bytes a second", total)
