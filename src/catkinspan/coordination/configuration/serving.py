"""Bounded answers to peers that lack documents."""

from catkinspan.coordination.configuration.const import (
    SERVED_CHUNKS_BURST,
    SERVED_CHUNKS_PER_SECOND,
)


class ServingBudget:
    """Token bucket over chunks and manifests that a host sends to peers.

    What exceeds it is not answered; the peer times out and asks another host, so a
    new revision spreads over more sources.
    """

    def __init__(self) -> None:
        self._tokens = SERVED_CHUNKS_BURST
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Return whether one more answer may be sent."""
        elapsed = now - self._filled_at if self._filled_at is not None else 0.0
        self._filled_at = now
        filled = self._tokens + elapsed * SERVED_CHUNKS_PER_SECOND
        self._tokens = min(SERVED_CHUNKS_BURST, filled)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
