"""The servers that a host may use, and the choice of one without a lease."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from attrs import define, frozen

from catkinspan.coordination.outcomes import Candidate
from catkinspan.coordination.slots.const import (
    DIRECT_BACKOFF,
    DIRECT_STEP,
)
from catkinspan.coordination.slots.models import SlotRequest
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, ServerId

_TRIES = 4
"""Random picks before all servers are looked through."""


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


@define
class DirectLimit:
    """Requests without a lease that a host may run at once.

    Additive increase and multiplicative decrease (Chiu and Jain, 1989) by sheds. What
    exceeds the limit waits in the host's fair queue; without it, an overload would be
    shed from all workspaces alike, however much each of them sends.
    """

    value: float = float("inf")

    def note(self, shed: bool, running: int, least: float) -> None:
        """Take into account how a request ended, and how many ran with it."""
        if shed:
            self.value = max(least, min(self.value, running) * DIRECT_BACKOFF)
        else:
            self.value += DIRECT_STEP


class ServerSet:
    """Candidates of one service, sorted out once for many requests.

    Servers that the host avoids are used only when there is no other.
    """

    def __init__(self, candidates: Sequence[Candidate], locality: Locality) -> None:
        self._candidates = tuple(candidates)
        self._any = _preferred(self._candidates)
        proven = [c for c in self._candidates if not c.trial]
        self._proven = _preferred(proven)
        # Only a dispatcher can hold a server on trial to a trickle.
        direct = self._proven or self._any
        self._local = [c for c in direct if c.upstream.data_centre == locality.centre]
        self._remote = [c for c in direct if c.upstream.data_centre != locality.centre]
        slots = _slots(self._local) / max(1e-9, _slots(direct))
        self._stay = slots / max(1e-9, locality.host_share)
        self.unused = frozenset(
            c.upstream.id for c in self._candidates if c not in self._any
        )
        """Servers that the host avoids while there are others."""

    def usable(self, request: SlotRequest) -> Sequence[Candidate]:
        """Return the servers that a request may use."""
        if not request.exclude:
            return self._any if request.idempotent else self._proven
        return _preferred(
            [
                c
                for c in self._candidates
                if c.upstream.id not in request.exclude
                and (request.idempotent or not c.trial)
            ]
        )

    def choose(
        self,
        request: SlotRequest,
        direct: Mapping[ServerId, int],
        load: Mapping[ServerId, int],
        rng: Random,
    ) -> Candidate | None:
        """Choose the less loaded of two random servers (Mitzenmacher, 2001).

        `direct` counts this host's running requests without a lease, `load` all of
        them. A server with a direct request is left out: with few slots for each host,
        a second one would more often be shed than run. Servers of the own data centre
        come first, as far as their slots are the hosts' part of all slots.
        """

        def fits(candidate: Candidate) -> bool:
            id_ = candidate.upstream.id
            return id_ not in direct and id_ not in request.exclude

        first, second = self._local, self._remote
        if rng.random() >= self._stay:
            first, second = second, first
        group = first if any(map(fits, first)) else second
        one = _pick(group, fits, rng)
        if one is None:
            return self._last_resort(request, fits, rng)
        other = _pick(group, fits, rng) or one
        return min(one, other, key=lambda c: load.get(c.upstream.id, 0))

    def _last_resort(
        self, request: SlotRequest, fits: Callable[[Candidate], bool], rng: Random
    ) -> Candidate | None:
        """Choose among all servers when a retry has used up the preferred ones."""
        return _pick(self.usable(request), fits, rng) if request.exclude else None


def _preferred(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    return [c for c in candidates if not c.avoided] or list(candidates)


def _slots(candidates: Sequence[Candidate]) -> float:
    return sum(c.upstream.slots * c.share for c in candidates)


def _pick(
    group: Sequence[Candidate], fits: Callable[[Candidate], bool], rng: Random
) -> Candidate | None:
    """Return a random candidate that fits, by share."""
    for _ in range(_TRIES if group else 0):
        candidate = group[int(rng.random() * len(group))]
        if fits(candidate) and rng.random() < candidate.share:
            return candidate
    fitting = [c for c in group if fits(c)]
    return rng.choice(fitting) if fitting else None
