"""Bounded answers to peers that lack documents."""

from catkinspan.coordination.configuration.const import (
    SERVED_CHUNKS_BURST,
    SERVED_CHUNKS_PER_SECOND,
    SERVED_FETCHES,
    SERVED_IDLE_SECONDS,
)
from catkinspan.state.ids import HostId


class ServingBudget:
    """Bounds the answers that a host sends to peers.

    A token bucket bounds patches, manifests and chunks. Fetches by chunks have few
    places besides: peers that are served one after the other become sources early,
    while many served at once would all finish late. What exceeds the bounds is not
    answered; the peer times out and asks another host.
    """

    def __init__(self) -> None:
        self._tokens = SERVED_CHUNKS_BURST
        self._filled_at: float | None = None
        self._served_at: dict[HostId, float] = {}

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

    def admit(self, host: HostId, now: float) -> bool:
        """Return whether a peer has, or gets, a place for a fetch by chunks."""
        limit = now - SERVED_IDLE_SECONDS
        self._served_at = {h: at for h, at in self._served_at.items() if at > limit}
        if host not in self._served_at and len(self._served_at) >= SERVED_FETCHES:
            return False
        self._served_at[host] = now
        return True
