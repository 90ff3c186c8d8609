"""Whether a host's copy of the store has all changes that are known of."""

from attrs import define

from catkinspan.state.ids import NO_REVISION, Revision


@define
class CopyCompleteness:
    """Tracks the newest revision heard of and when the copy last had all changes."""

    announced: Revision = NO_REVISION
    """Newest revision of the store of which this host has heard."""

    complete_at: float = float("-inf")
    """Time at which the copy was last known to have all changes."""

    def record_announcement(self, revision: Revision) -> None:
        """Record a revision that a peer has or knows of."""
        self.announced = max(self.announced, revision)

    def is_catching_up(self, revision: Revision) -> bool:
        """Return whether a copy of a revision lacks changes that are known of."""
        return revision < self.announced

    def update(self, revision: Revision, contact_at: float) -> None:
        """Record that no newer change was known at the latest contact."""
        if not self.is_catching_up(revision):
            self.complete_at = max(self.complete_at, contact_at)

    def add_pause(self, gap: float) -> None:
        """Add a pause of `gap` seconds to the age of the copy."""
        self.complete_at -= gap
