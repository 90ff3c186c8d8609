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
        self._known_count = 0
        """Known hosts when the host was isolated; 0 while it is not. Hosts that it lost
        are forgotten after a while, which must not end the isolation."""

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
        known_count = max(view.known_count, self._known_count)
        without_peers = (
            known_count == 1 or view.alive_count <= MIN_ALIVE_SHARE * known_count
        )
        isolated = self._limit is not None and age > self._limit and without_peers
        if isolated == self._isolated:
            return
        self._isolated = isolated
        self._known_count = view.known_count if isolated else 0
        if isolated and self._limit is not None:
            event: Event = HostIsolated(view.alive_share, age, self._limit)
        else:
            event = IsolationEnded(age)
        self._outbox.emit(event)
