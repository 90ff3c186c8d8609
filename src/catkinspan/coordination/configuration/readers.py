"""Choice of the hosts that read the platform."""

from random import Random

from catkinspan.coordination.configuration.const import (
    FALLBACK_FIRST_READ_SECONDS,
    FALLBACK_READ_SECONDS,
    READERS_PER_DATA_CENTRE,
)
from catkinspan.coordination.rendezvous import ranked
from catkinspan.state.hosts import FleetView

_ROLE = "configuration-reader"


def is_elected(view: FleetView) -> bool:
    """Return whether the host is a reader of its data centre."""
    hosts = view.in_data_centre(view.self_data_centre)
    name = f"{_ROLE}/{view.self_data_centre}"
    return view.self_id in ranked(name, hosts, READERS_PER_DATA_CENTRE)


class FallbackReads:
    """Spaces the reads of a host that is no reader but needs the platform.

    The spacing has jitter, so that hosts that are cut off together do not read at
    the same moment.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._next_at: float | None = None

    def is_due(self, wanted: bool, now: float) -> bool:
        """Return whether to read now; each True counts as a read."""
        if not wanted:
            self._next_at = None
            return False
        if self._next_at is None:
            self._next_at = now + FALLBACK_FIRST_READ_SECONDS * self._rng.random()
        if now < self._next_at:
            return False
        self._next_at = now + FALLBACK_READ_SECONDS * self._rng.uniform(0.75, 1.25)
        return True
