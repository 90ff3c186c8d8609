"""Knowledge of whether a replica of the store is complete."""

from collections.abc import Iterable
from math import ceil, floor

from catkinspan.coordination.configuration.const import MAX_TOLD_AGE_SECONDS
from catkinspan.coordination.configuration.models import Freshness
from catkinspan.state.ids import NO_REVISION, HostId, Revision


class CopyConfirmation:
    """Tracks when a replica was last known to have all changes of the store.

    A message may wait for seconds before a congested link, so its arrival does not tell
    when it was sent. Hosts send their clock to those that tell them about the store,
    who return it with the time since its arrival.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._contact_at = float("-inf")
        """Time of the latest contact with the store, less the delay of the news."""

        self._complete_at = float("-inf")
        """Time at which the replica was last known to have all changes."""

        self._announced_revision = NO_REVISION
        """Newest store revision of which this host has heard."""

        self._stamps: dict[HostId, tuple[int, float]] = {}
        """Latest clock stamp of each host, and the time at which it arrived."""

        self._min_echo_ms = 0
        """Own clock stamps below it are from before a pause."""

    @property
    def announced_revision(self) -> Revision:
        """Return the newest store revision of which this host has heard."""
        return self._announced_revision

    def copy_age(self, now: float) -> float:
        """Return the seconds since the replica was last known to have all changes.

        It is infinite before the first contact with the store.
        """
        return now - self._complete_at

    def contact_age_ms(self, now: float) -> int:
        """Return the age of the latest confirmed contact, to tell it to peers."""
        return max(0, ceil(min(now - self._contact_at, MAX_TOLD_AGE_SECONDS) * 1000))

    def clock_ms(self, now: float) -> int:
        """Return the clock stamp to send to peers."""
        return floor((now - self._started_at) * 1000)

    def record_stamp(self, host: HostId, stamp_ms: int, now: float) -> None:
        """Keep a host's clock stamp for the next message to it."""
        self._stamps[host] = (stamp_ms, now)

    def keep_stamps(self, hosts: Iterable[HostId]) -> None:
        """Drop the stamps of all other hosts."""
        kept = set(hosts)
        self._stamps = {h: s for h, s in self._stamps.items() if h in kept}

    def echo_for(self, host: HostId, now: float) -> tuple[int | None, int]:
        """Return a host's latest stamp, if any, and its age in milliseconds."""
        stamp_ms, arrived_at = self._stamps.get(host, (None, now))
        return stamp_ms, floor((now - arrived_at) * 1000)

    def record_announcement(self, revision: Revision) -> None:
        """Record that a peer has heard of a revision of the store."""
        self._announced_revision = max(self._announced_revision, revision)

    def record_own_contact(self, replica_revision: Revision, now: float) -> None:
        """Record that the store answered this host."""
        self._contact_at = max(self._contact_at, now)
        self.record_replica(replica_revision)

    def record_freshness(
        self, message: Freshness, replica_revision: Revision, now: float
    ) -> None:
        """Record the contact that a peer reports."""
        self.record_announcement(message.revision)
        sent_at = self._earliest_send_time(message, now)
        contact_at = sent_at - message.store_contact_age_ms / 1000
        self._contact_at = max(self._contact_at, contact_at)
        self.record_replica(replica_revision)

    def record_replica(self, revision: Revision) -> None:
        """Record the revision of the replica."""
        if revision >= self._announced_revision:
            self._complete_at = max(self._complete_at, self._contact_at)

    def resume(self, gap: float, now: float) -> None:
        """Add a pause to all ages."""
        self._contact_at -= gap
        self._complete_at -= gap
        self._min_echo_ms = self.clock_ms(now)

    def _earliest_send_time(self, message: Freshness, now: float) -> float:
        """Return the time after which a message was certainly sent."""
        if message.echo_ms is None or message.echo_ms < self._min_echo_ms:
            return float("-inf")
        sent_at = self._started_at + (message.echo_ms + message.echo_age_ms) / 1000
        # A stamp of an earlier process of this host lies in the future.
        return sent_at if sent_at <= now else float("-inf")
