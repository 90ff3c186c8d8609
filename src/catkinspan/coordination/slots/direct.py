"""Choice of a server without a lease."""

from collections.abc import Mapping, Sequence
from random import Random

from attrs import frozen

from catkinspan.coordination.outcomes import Candidate
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, ServerId


@frozen
class Locality:
    """The data centre of the host, and its part of the fleet."""

    centre: DataCentre
    host_share: float
    """Share of the fleet's hosts in the data centre."""

    @classmethod
    def of(cls, view: FleetView) -> "Locality":
        """Return the locality of a view's host."""
        hosts = view.in_data_centre(view.self_data_centre)
        return cls(view.self_data_centre, len(hosts) / max(1, len(view.usable)))


def choose(
    candidates: Sequence[Candidate],
    direct: Mapping[ServerId, int],
    load: Mapping[ServerId, int],
    locality: Locality,
    rng: Random,
) -> Candidate | None:
    """Choose the less loaded of two random servers (Mitzenmacher, 2001).

    `direct` counts this host's running requests without a lease, `load` all of them.
    A server with a direct request is left out: with few slots for each host, a second
    one would more often be shed than run. Servers of the own data centre come first,
    as far as their slots are the hosts' part of all slots.
    """
    free = [c for c in candidates if not direct.get(c.upstream.id, 0)]
    local = [c for c in free if c.upstream.data_centre == locality.centre]
    if local and len(local) < len(free):
        slots = _slots(local) / max(1e-9, _slots(candidates))
        stays = rng.random() * locality.host_share < slots
        free = local if stays else [c for c in free if c not in local]
    if not free:
        return None
    weights = [max(c.share, 0.01) for c in free]
    pair = rng.choices(free, weights=weights, k=2)
    return min(pair, key=lambda c: load.get(c.upstream.id, 0))


def _slots(candidates: Sequence[Candidate]) -> float:
    return sum(c.upstream.slots * c.share for c in candidates)
