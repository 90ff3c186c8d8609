"""Contacts of the fleet with the store, and the choice of the hosts that read it."""

from collections import Counter
from collections.abc import Mapping

from catkinspan.coordination.configuration.const import (
    FAILING_READER_SECONDS,
    HUB_SILENCE_SECONDS,
    INITIAL_READ_DELAY_SECONDS,
    LONE_READ_DELAY_SECONDS,
    MAX_READING_CANDIDATES,
    READ_TAKEOVER_SECONDS,
    READ_TAKEOVER_STEP_SECONDS,
    READING_DATA_CENTRES,
    SUBSTITUTE_AGE_SECONDS,
    SUBSTITUTE_PERIOD_SECONDS,
    SUBSTITUTE_READERS,
)
from catkinspan.coordination.rendezvous import weight
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId

_NEVER = float("-inf")
_MAX_WEIGHT = 2.0**64
_READING_KEY = "reading data centre"


class StoreContacts:
    """Latest contacts of this host and of others with the store."""

    def __init__(self, self_id: HostId, now: float) -> None:
        self._self_id = self_id
        self._started_at = now
        self._own_contact_at = _NEVER
        self._peer_contact_at = _NEVER
        self._peer_reader = self_id
        self._hub_heard_at = now
        self._confirmed_at = _NEVER
        self._failures: dict[HostId, float] = {}
        """Time of the latest reported failure of each reader."""

        self._latest_failure_at = _NEVER

    @property
    def confirmed_at(self) -> float:
        """Return the latest contact, with the delay of its report subtracted."""
        return self._confirmed_at

    @property
    def latest_at(self) -> float:
        """Return the time of the latest known contact; minus infinity without one."""
        return max(self._own_contact_at, self._peer_contact_at)

    @property
    def was_reached(self) -> bool:
        """Return whether this host or a peer ever reached the store."""
        return self.latest_at > _NEVER

    @property
    def reader(self) -> HostId:
        """Return the host of the latest contact."""
        if self._own_contact_at >= self._peer_contact_at:
            return self._self_id
        return self._peer_reader

    def age(self, now: float) -> float:
        """Return the seconds since the latest contact, or since the start."""
        return now - max(self.latest_at, self._started_at)

    def record_own(self, now: float) -> None:
        """Record that the store answered this host."""
        self._own_contact_at = now

    def record_peer(self, at: float, reader: HostId) -> bool:
        """Record a contact that a peer reported; return whether it is news."""
        if reader == self._self_id or at <= self._peer_contact_at:
            return False
        self._peer_contact_at, self._peer_reader = at, reader
        return True

    def record_confirmed(self, at: float) -> None:
        """Record a contact that took place at a time or later."""
        self._confirmed_at = max(self._confirmed_at, at)

    def record_hub(self, now: float) -> None:
        """Record a message from a hub."""
        self._hub_heard_at = now

    def record_own_failure(self, now: float) -> None:
        """Record that the store did not answer this host."""
        self._latest_failure_at = now

    def record_failure(self, reader: HostId, now: float) -> None:
        """Record that the store did not answer another host."""
        self._failures[reader] = self._latest_failure_at = now

    def has_failed_since(self, at: float) -> bool:
        """Return whether a call to the store is known to have failed since a time."""
        return self._latest_failure_at > at

    def add_pause(self, gap: float) -> None:
        """Add a pause, which the clock did not count, to the age of the contacts."""
        self._own_contact_at -= gap
        self._confirmed_at -= gap
        self._peer_contact_at -= gap
        self._latest_failure_at -= gap

    def should_read(self, view: FleetView | None, has_copy: bool, now: float) -> bool:
        """Return whether this host reads the store.

        The first hub candidate of each data centre reads its first copy from the store,
        since a copy from another data centre would be billed traffic. Then those of
        `READING_DATA_CENTRES` data centres go on. If one reports that its calls fail,
        that of the next data centre reads too, and so do the next candidates of its
        own. If no other host reaches the store, the candidates of all data centres read
        it one by one, then a few further hosts. A host of any rank that hears no hub
        reads it as well.
        """
        if view is None:
            return False
        is_alone = view.hubs == (self._self_id,)
        delay = LONE_READ_DELAY_SECONDS if is_alone else INITIAL_READ_DELAY_SECONDS
        if now - self._started_at < delay:
            return False
        failing = self._failing_by_data_centre(view, now)
        if view.rank == 0 and (not has_copy or _is_reading_data_centre(view, failing)):
            return True
        age = now - max(self._peer_contact_at, self._started_at)
        if age > READ_TAKEOVER_SECONDS and self._lacks_hub(now):
            return True
        if view.rank < MAX_READING_CANDIDATES:
            if 0 < view.rank <= failing[view.self_data_centre]:
                return True
            steps = READ_TAKEOVER_STEP_SECONDS * max(0, view.rank - 1)
            return age > READ_TAKEOVER_SECONDS + steps
        is_old = age > SUBSTITUTE_AGE_SECONDS
        return is_old and self._is_substitute(view.known_count, age)

    def _lacks_hub(self, now: float) -> bool:
        return now - self._hub_heard_at > HUB_SILENCE_SECONDS

    def _failing_by_data_centre(
        self, view: FleetView, now: float
    ) -> Counter[DataCentre]:
        """Return the number of readers whose calls fail, by data centre."""
        if not self._failures:
            return Counter()
        self._failures = {
            host: at
            for host, at in self._failures.items()
            if now - at < FAILING_READER_SECONDS
        }
        records = (view.hosts.get(host) for host in self._failures)
        return Counter(record.data_centre for record in records if record is not None)

    def _is_substitute(self, known_count: int, age: float) -> bool:
        period = int(age / SUBSTITUTE_PERIOD_SECONDS)
        position = weight(f"reader {period}", self._self_id) / _MAX_WEIGHT
        return position * known_count < SUBSTITUTE_READERS


def _is_reading_data_centre(view: FleetView, failing: Mapping[DataCentre, int]) -> bool:
    """Return whether fewer than the intended data centres before this one read.

    All hubs order the data centres by the same hash. A hub that does not hear another
    data centre does not count it.
    """
    records = (view.hosts.get(hub) for hub in view.remote_hubs)
    remote = {record.data_centre for record in records if record is not None}
    own_weight = weight(_READING_KEY, view.self_data_centre)
    before = [
        name
        for name in remote
        if weight(_READING_KEY, name) > own_weight and not failing.get(name)
    ]
    return len(before) < READING_DATA_CENTRES
