"""Whether a host is cut off from all that could tell it of withdrawn keys."""

from datetime import timedelta
from typing import Protocol

from attrs import frozen

from catkinspan.coordination.models import Event
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView

LEAST_HEARD_SHARE = 0.5
"""Share of the known hosts that must be heard of, the own one included."""


@frozen
class HostIsolated(Event):
    """The host refuses requests with a key from now on."""

    heard_share: float
    contact_age_seconds: float
    limit_seconds: float


@frozen
class IsolationEnded(Event):
    """The host serves requests with a key again."""

    contact_age_seconds: float


class ContactSource(Protocol):
    """Tells how old the news of the platform's store is."""

    def contact_age(self, now: float) -> float:
        """Return the seconds since anyone known reached the store."""


class IsolationMonitor:
    """Isolates a host without news of the store and without most of its peers.

    While the store is away for all, the peers still hear each other, and the fleet
    goes on.
    """

    def __init__(self, contact: ContactSource, outbox: Outbox) -> None:
        self._contact = contact
        self._outbox = outbox
        self._limit: float | None = None
        self._isolated = False

    @property
    def is_isolated(self) -> bool:
        """Return whether requests with a key must be refused."""
        return self._isolated

    def apply_limit(self, limit: timedelta | None) -> None:
        """Take over the time without contact that is allowed; None for any."""
        self._limit = None if limit is None else limit.total_seconds()

    def tick(self, view: FleetView, now: float) -> None:
        """Judge the contact."""
        age = self._contact.contact_age(now)
        without_peers = view.known_count == 1 or view.heard_share <= LEAST_HEARD_SHARE
        isolated = self._limit is not None and age > self._limit and without_peers
        if isolated == self._isolated:
            return
        self._isolated = isolated
        if isolated and self._limit is not None:
            event: Event = HostIsolated(view.heard_share, age, self._limit)
        else:
            event = IsolationEnded(age)
        self._outbox.emit(event)
