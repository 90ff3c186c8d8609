"""Outages of the store, as this host knows of them."""

from catkinspan.coordination.configuration.const import OUTAGE_THRESHOLD_SECONDS
from catkinspan.coordination.configuration.contacts import StoreContacts
from catkinspan.coordination.configuration.models import (
    StoreContactLost,
    StoreContactRegained,
)
from catkinspan.coordination.outbox import Outbox


class StoreOutages:
    """Reports lost contact with the store, and tells it from an outage of the store.

    Contact is lost when no host is known to have reached the store for a while. It is
    an outage only if a call to the store has failed meanwhile; otherwise the hosts that
    read the store were silent, and no entry expired because of that.
    """

    def __init__(self, contacts: StoreContacts, outbox: Outbox) -> None:
        self._contacts = contacts
        self._outbox = outbox
        self._lost_since: float | None = None
        """Time of the last contact before it was lost; None while there is contact."""

    def tick(self, now: float) -> None:
        """Report that the latest contact has become too old."""
        age = self._contacts.age(now)
        is_lost = age > OUTAGE_THRESHOLD_SECONDS and self._contacts.was_reached
        if is_lost and self._lost_since is None:
            self._lost_since = now - age
            self._outbox.emit(StoreContactLost(round(age, 3)))

    def end_by_contact(
        self, at: float, previous_at: float, source: str, now: float
    ) -> bool:
        """Record a contact after an earlier one; return whether an outage has ended."""
        has_failed = self._contacts.has_failed_since(previous_at)
        # A contact that is already old does not end the loss of contact.
        if self._lost_since is not None and now - at < OUTAGE_THRESHOLD_SECONDS:
            seconds = round(at - self._lost_since, 3)
            self._lost_since = None
            self._outbox.emit(StoreContactRegained(seconds, source, has_failed))
        is_late = OUTAGE_THRESHOLD_SECONDS < at - previous_at < float("inf")
        return is_late and has_failed
