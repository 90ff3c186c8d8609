"""Chooses servers by load, risk and place."""

from collections.abc import Sequence
from random import Random
from typing import Protocol

from attrs import frozen
from result import Err, Ok, Result

from catkinspan.coordination.balancing.const import (
    COLD_COST,
    IDEMPOTENT_RISK_COST,
    LOAD_COST,
    RANDOM_NOISE_COST,
    REMOTE_COST,
    RISK_COST,
    STABLE_NOISE_COST,
    TRIAL_IN_FLIGHT,
    TRIAL_RISK,
    TRIAL_SHARE,
    USUAL_RISK,
)
from catkinspan.coordination.balancing.models import (
    NoServerAvailable,
    NoServerReason,
    ServerChoice,
    ServerRequest,
)
from catkinspan.coordination.concern import BaseCoordinator
from catkinspan.coordination.health.models import ServerView
from catkinspan.coordination.rendezvous import weight
from catkinspan.state.ids import DataCentre, HostId, ServerId
from catkinspan.state.tree import SettingsTree, Upstream

_LARGEST_WEIGHT = 2.0**64


class ServerViews(Protocol):
    """Tells what is believed of servers."""

    def view_of(self, server_id: ServerId, now: float) -> ServerView:
        """Return what is believed of a server now."""


@frozen
class _Candidate:
    upstream: Upstream
    view: ServerView

    @property
    def rounds(self) -> float:
        """Return how many requests the next one waits for, by slot."""
        slots = max(1, self.upstream.slots)
        return max(0, self.view.in_flight + 1 - slots) / slots


class Balancer(BaseCoordinator):
    """Chooses the server with the least expected cost.

    The cost of a failure depends on the request: one that may run only once is lost
    with a bad server, an idempotent one is answered by another. Some idempotent
    requests go to doubtful servers on purpose, since only requests show whether a
    server's bad phase is over.
    """

    def __init__(
        self,
        self_id: HostId,
        data_centre: DataCentre,
        views: ServerViews,
        rng: Random,
    ) -> None:
        self._self_id = self_id
        self._data_centre = data_centre
        self._views = views
        self._rng = rng
        self._tree = SettingsTree()

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the published servers."""
        self._tree = tree

    def choose(
        self, request: ServerRequest, now: float
    ) -> Result[ServerChoice, NoServerAvailable]:
        """Return the server for an attempt, or why there is none."""
        candidates = self._candidates(request, now)
        if not candidates:
            return Err(
                NoServerAvailable(
                    NoServerReason.NONE_PUBLISHED, request.expected_latency
                )
            )
        trial = self._trial(request, candidates)
        if trial is not None:
            return Ok(_choice(trial, candidates, is_trial=True))
        chosen = min(candidates, key=lambda c: self._cost(c, request))
        wait = chosen.rounds * request.expected_latency
        if wait + request.expected_latency / 2 > request.remaining_seconds:
            return Err(NoServerAvailable(NoServerReason.FULL, wait))
        return Ok(_choice(chosen, candidates, is_trial=False))

    def _candidates(self, request: ServerRequest, now: float) -> list[_Candidate]:
        """Return the servers that take new work, untried ones if there are any."""
        service = self._tree.services.get(request.service)
        if service is None:
            return []
        usable = [
            _Candidate(upstream, view)
            for upstream in service.upstreams
            if not upstream.leaving
            and not (view := self._views.view_of(upstream.id, now)).is_misdirected
        ]
        staying = [c for c in usable if not c.view.is_draining] or usable
        untried = [c for c in staying if c.upstream.id not in request.tried_servers]
        return untried or staying

    def _trial(
        self, request: ServerRequest, candidates: Sequence[_Candidate]
    ) -> _Candidate | None:
        if not (request.idempotent and request.allows_trial):
            return None
        if self._rng.random() >= TRIAL_SHARE:
            return None
        doubtful = [
            c
            for c in candidates
            if c.view.risk >= TRIAL_RISK and c.view.in_flight < TRIAL_IN_FLIGHT
        ]
        return self._rng.choice(doubtful) if doubtful else None

    def _cost(self, candidate: _Candidate, request: ServerRequest) -> float:
        upstream, view = candidate.upstream, candidate.view
        risk_cost = IDEMPOTENT_RISK_COST if request.idempotent else RISK_COST
        cost = candidate.rounds + risk_cost * max(0.0, view.risk - USUAL_RISK)
        cost += LOAD_COST * view.in_flight / max(1, upstream.slots)
        if upstream.data_centre != self._data_centre:
            cost += REMOTE_COST
        if view.is_cold:
            cost += COLD_COST
        preference = weight(self._self_id, upstream.id) / _LARGEST_WEIGHT
        cost += STABLE_NOISE_COST * preference
        return cost + RANDOM_NOISE_COST * self._rng.random()


def _choice(
    candidate: _Candidate, candidates: Sequence[_Candidate], is_trial: bool
) -> ServerChoice:
    view = candidate.view
    return ServerChoice(
        candidate.upstream, view.risk, view.in_flight, is_trial, len(candidates)
    )
