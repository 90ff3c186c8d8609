"""Detection of a host that cannot learn of a key withdrawal."""

from datetime import timedelta

from attrs import frozen

from catkinspan.coordination.membership.const import ISOLATION_CHECK_SECONDS
from catkinspan.coordination.membership.models import (
    HostIsolated,
    IsolationEnded,
    PeerContact,
    PlatformContact,
)
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.tree import FleetSettings

MAJORITY = 0.5
ENDANGERED_FRACTION = 0.5
"""Part of the limit after which an isolated host starts to read the platform."""


@frozen
class _Result:
    at: float
    has_contact: bool


class IsolationMonitor:
    """Tells whether the host is cut off from both the platform and its peers.

    A host is isolated when, within `FleetSettings.isolation`, it neither reached the
    platform nor had acks from at least half of the peers that it probed. A host that
    just started has the whole limit for its first contact.
    """

    def __init__(
        self,
        peers: PeerContact,
        platform: PlatformContact,
        outbox: Outbox,
        started_at: float,
    ) -> None:
        self._peers = peers
        self._platform = platform
        self._outbox = outbox
        self._started_at = started_at
        self._limit = FleetSettings().isolation
        self._reported = False
        self._held: dict[float, _Result] = {}

    def apply_limit(self, limit: timedelta | None) -> None:
        """Take over `FleetSettings.isolation`."""
        self._limit = limit
        self._held.clear()

    def is_isolated(self, now: float) -> bool:
        """Return whether keyed requests must be refused."""
        if self._limit is None:
            return False
        return not self._has_contact(self._limit.total_seconds(), now)

    def is_endangered(self, now: float) -> bool:
        """Return whether the host must look for another way to the configuration.

        This comes before isolation, so that a fallback read can prevent it.
        """
        limit = self._limit or FleetSettings().isolation or timedelta()
        return not self._has_contact(limit.total_seconds() * ENDANGERED_FRACTION, now)

    def tick(self, now: float) -> None:
        """Emit an event when the state changed."""
        isolated = self.is_isolated(now)
        if isolated == self._reported:
            return
        self._reported = isolated
        if not isolated:
            self._outbox.emit(IsolationEnded())
            return
        limit = self._limit.total_seconds() if self._limit else 0.0
        share = self._peers.acked_share(limit, now)
        self._outbox.emit(HostIsolated(share, limit))

    def _has_contact(self, limit: float, now: float) -> bool:
        """Return whether there was contact, reusing a result for a short time.

        The window is shorter by that time, so that the limit holds all the same.
        """
        if now - self._started_at < limit:
            return True
        held = self._held.get(limit)
        if held and held.at <= now < held.at + ISOLATION_CHECK_SECONDS:
            return held.has_contact
        has_contact = self._look(limit - ISOLATION_CHECK_SECONDS, now)
        self._held[limit] = _Result(now, has_contact)
        return has_contact

    def _look(self, window: float, now: float) -> bool:
        contact = self._platform.platform_contact_at
        if contact is not None and now - contact <= window:
            return True
        return self._peers.acked_share(window, now) >= MAJORITY
