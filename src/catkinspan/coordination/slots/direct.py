"""Choice of a server without a lease."""

from collections.abc import Mapping, Sequence
from random import Random

from catkinspan.coordination.outcomes import Candidate
from catkinspan.state.ids import ServerId


def choose(
    candidates: Sequence[Candidate],
    direct: Mapping[ServerId, int],
    load: Mapping[ServerId, int],
    rng: Random,
) -> Candidate | None:
    """Choose the less loaded of two random servers (Mitzenmacher, 2001).

    `direct` counts this host's running requests without a lease, `load` all of them.
    A server with a direct request is left out: with few slots for each host, a second
    one would more often be shed than run.
    """
    free = [c for c in candidates if not direct.get(c.upstream.id, 0)]
    if not free:
        return None
    weights = [max(c.share, 0.01) for c in free]
    pair = rng.choices(free, weights=weights, k=2)
    return min(pair, key=lambda c: load.get(c.upstream.id, 0))
