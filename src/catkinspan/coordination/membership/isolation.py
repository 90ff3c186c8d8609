"""Detection of a host that cannot learn of withdrawn keys."""

from datetime import timedelta
from typing import Protocol

from attrs import frozen

from catkinspan.coordination.models import Event
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView

MIN_ALIVE_SHARE = 0.5
"""A host that hears from at most this share of the known hosts, itself included,
counts as cut off from its peers."""


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
    """Provides the age of the last known contact with the platform's store."""

    def contact_age(self, now: float) -> float:
        """Return the seconds since this host or a peer last reached the store."""


class IsolationMonitor:
    """Isolates a host that has lost both the store and most of its peers.

    During an outage of the store the peers still hear each other, so the fleet keeps
    serving.
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
        """Set the time allowed without contact; None disables isolation."""
        self._limit = None if limit is None else limit.total_seconds()

    def tick(self, view: FleetView, now: float) -> None:
        """Update the isolation state from the contact age and the fleet view."""
        age = self._contact.contact_age(now)
        without_peers = view.known_count == 1 or view.alive_share <= MIN_ALIVE_SHARE
        isolated = self._limit is not None and age > self._limit and without_peers
        if isolated == self._isolated:
            return
        self._isolated = isolated
        if isolated and self._limit is not None:
            event: Event = HostIsolated(view.alive_share, age, self._limit)
        else:
            event = IsolationEnded(age)
        self._outbox.emit(event)
