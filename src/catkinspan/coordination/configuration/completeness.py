"""Whether a host's copy of the store has all changes that are known of."""

from math import ceil

from attrs import define

from catkinspan.state.ids import NO_REVISION, Revision


@define
class CopyCompleteness:
    """Tracks the newest revision heard of and when the copy last had all changes."""

    announced: Revision = NO_REVISION
    """Newest revision of the store of which this host has heard."""

    complete_at: float = float("-inf")
    """Time at which the copy was last known to have all changes."""

    confirmed_contact_at: float = float("-inf")
    """Latest contact with the store, of this host or reported by a peer; the delay of
    the report is subtracted."""

    def record_announcement(self, revision: Revision) -> None:
        """Record a revision that a peer has or knows of."""
        self.announced = max(self.announced, revision)

    def record_contact(self, at: float) -> None:
        """Record the time of a contact with the store, without a delay of messages."""
        self.confirmed_contact_at = max(self.confirmed_contact_at, at)

    def contact_age_ms(self, now: float) -> int | None:
        """Return the age of the confirmed contact; None without one."""
        age = now - self.confirmed_contact_at
        return None if age == float("inf") else max(0, ceil(age * 1000))

    def is_catching_up(self, revision: Revision) -> bool:
        """Return whether a copy of a revision lacks changes that are known of."""
        return revision < self.announced

    def update(self, revision: Revision) -> None:
        """Record that no newer change was known at the latest contact."""
        if not self.is_catching_up(revision):
            self.complete_at = max(self.complete_at, self.confirmed_contact_at)

    def add_pause(self, gap: float) -> None:
        """Add a pause of `gap` seconds to the ages."""
        self.complete_at -= gap
        self.confirmed_contact_at -= gap
