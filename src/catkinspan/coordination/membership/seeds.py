"""Contacts of a host to seeds, and to others while it has no hub."""

from collections import deque
from collections.abc import Iterable

from catkinspan.coordination.membership.const import (
    CONTACT_JITTER,
    FIRST_CONTACT_INTERVAL_SECONDS,
    FOLLOWER_SEED_INTERVAL_SECONDS,
    MAX_CONTACT_INTERVAL_SECONDS,
    MAX_CONTACTS,
    ROSTER_CONTACTS,
    SEED_HEARTBEAT_INTERVAL_SECONDS,
)
from catkinspan.coordination.rendezvous import weight
from catkinspan.state.hosts import HostRecord
from catkinspan.state.tree import Address

_MAX_WEIGHT = 2.0**64


class SeedContacts:
    """Decides when a host sends heartbeats to seeds, and to which other addresses.

    A host without a hub contacts them at intervals that double, and other hosts of its
    data centre that rosters named, as it may have lost all hub candidates and seeds.
    """

    def __init__(self, own: HostRecord, seeds: Iterable[Address]) -> None:
        self._own = own
        self._seeds: tuple[Address, ...] = ()
        self._contacts: deque[Address] = deque(maxlen=MAX_CONTACTS)
        self._attempts = 0
        """Heartbeats to seeds since a hub answered last."""

        self._next_at = float("-inf")
        self.replace(seeds)

    def replace(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds, which are due at once."""
        self._seeds = tuple(a for a in seeds if a != self._own.peer_address)
        self._next_at = float("-inf")

    def keep(self, contacts: Iterable[Address]) -> None:
        """Keep addresses of other hosts of the data centre."""
        for address in contacts:
            if address not in self._contacts and address != self._own.peer_address:
                self._contacts.append(address)

    def take_due(self, has_hub: bool, is_hub: bool, now: float) -> list[Address]:
        """Return the addresses that are due, and plan the next heartbeats."""
        if has_hub:
            self._attempts = 0
        elif self._attempts == 0:
            self._next_at = now
        if now < self._next_at:
            return []
        due = list(self._seeds)
        if not has_hub:
            self._attempts += 1
            due += list(self._contacts)[:ROSTER_CONTACTS]
            self._contacts.rotate(-ROSTER_CONTACTS)
        self._next_at = now + self._interval(has_hub, is_hub)
        return due

    def _interval(self, has_hub: bool, is_hub: bool) -> float:
        interval = FOLLOWER_SEED_INTERVAL_SECONDS
        if not has_hub:
            doublings = min(self._attempts - 1, 8)
            interval = min(
                MAX_CONTACT_INTERVAL_SECONDS,
                FIRST_CONTACT_INTERVAL_SECONDS * 2.0**doublings,
            )
        elif is_hub:
            interval = SEED_HEARTBEAT_INTERVAL_SECONDS
        name = f"contact {self._attempts}"
        deviation = 2 * weight(name, self._own.id) / _MAX_WEIGHT - 1
        return interval * (1 + CONTACT_JITTER * deviation)
