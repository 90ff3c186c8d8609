"""Selection of servers by load, risk and location."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from random import Random
from typing import Protocol

from attrs import Factory, evolve, field, frozen
from result import Err, Ok, Result

from catkinspan.coordination.balancing.const import (
    BASELINE_RISK,
    COLD_START_COST,
    FAILURE_COST,
    FULL_LOAD_COST,
    IDEMPOTENT_FAILURE_COST,
    IDEMPOTENT_TRIAL_RISK_EXPONENT,
    MAX_AFFINITY_COST,
    MAX_COMPARED_SERVERS,
    MAX_COMPARED_TRIALS,
    MAX_EXAMINED_SERVERS,
    MAX_RANDOM_COST,
    MIN_CONNECTIONS_PER_HOST,
    MIN_TRIAL_RISK,
    REMOTE_DATA_CENTRE_COST,
    TRIAL_IN_FLIGHT_LIMIT,
    TRIAL_RISK_EXPONENT,
    TRIAL_SHARE,
    TRIAL_WAIT_SECONDS,
)
from catkinspan.coordination.balancing.models import (
    NoServerAvailable,
    NoServerReason,
    ServerChoice,
    ServerRequest,
)
from catkinspan.coordination.balancing.trials import TrialSchedule
from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.health.models import ServerView
from catkinspan.coordination.rendezvous import weight
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, ServerId, ServiceId
from catkinspan.state.tree import Service, SettingsTree, Upstream

_RENDEZVOUS_WEIGHT_RANGE = 2.0**64


class ServerViews(Protocol):
    """Provides estimates of server health and load."""

    def server_view(self, server_id: ServerId, now: float) -> ServerView:
        """Return the current estimates for a server."""


@frozen
class _Candidate:
    upstream: Upstream
    view: ServerView

    @property
    def queue_rounds(self) -> float:
        """Return the requests per slot that a new request waits for."""
        slots = max(1, self.upstream.slots)
        return max(0, self.view.in_flight + 1 - slots) / slots

    @property
    def is_open_to_trial(self) -> bool:
        """Return whether the server is high-risk and no trial of it is running."""
        if self.view.risk < MIN_TRIAL_RISK:
            return False
        is_idle = self.view.in_flight < TRIAL_IN_FLIGHT_LIMIT
        return is_idle or self.view.load_age >= TRIAL_WAIT_SECONDS


@frozen
class _Service:
    """The servers of a service that are not leaving, by location."""

    own: tuple[Upstream, ...]
    """Servers in this host's data centre."""

    others: tuple[Upstream, ...]
    upstreams: tuple[Upstream, ...] = field(
        init=False, default=Factory(lambda self: self.own + self.others, True)
    )


class Balancer(BaseCoordinator):
    """Chooses the server with the lowest expected cost.

    The cost of a failure depends on the request: a non-idempotent one is lost, while an
    idempotent one is answered by another server. Some requests are sent to high-risk
    servers as trials, since only requests show whether a server has recovered: a share
    of those that can be hedged, and others at a fixed rate for each server.
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
        self._services: dict[ServiceId, _Service] = {}
        self._schedules: dict[ServiceId, TrialSchedule] = {}
        self._host_count = 1

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Apply the published servers."""
        self._services = {
            service.id: self._group_upstreams(service)
            for service in tree.services.values()
        }
        for service_id in self._schedules.keys() - self._services.keys():
            del self._schedules[service_id]

    def _group_upstreams(self, service: Service) -> _Service:
        staying = [u for u in service.upstreams if not u.leaving]
        return _Service(
            tuple(u for u in staying if u.data_centre == self._data_centre),
            tuple(u for u in staying if u.data_centre != self._data_centre),
        )

    def apply_view(self, view: FleetView, now: float) -> None:
        """Apply the number of hosts that share the connections of a server."""
        self._host_count = view.known_count

    def choose(
        self, request: ServerRequest, now: float
    ) -> Result[ServerChoice, NoServerAvailable]:
        """Choose the server for an attempt, or return why there is none.

        Only if none of a few random servers is in time, all servers are compared.
        """
        service = self._services.get(request.service, _Service((), ()))
        trial = self._scheduled_trial(request, service, now)
        if trial is None:
            trial = self._hedged_trial(request, service, now)
        if trial is not None:
            return Ok(self._build_choice(trial, is_trial=True))
        chosen = self._cheapest(self._sample(service, request, now), request)
        if chosen is None or not _is_in_time(chosen, request):
            chosen = self._cheapest(self._fallback(service, request, now), request)
        if chosen is None:
            return Err(self._none_available(service, request, now))
        if not _is_in_time(chosen, request):
            wait = _expected_wait(chosen, request)
            return Err(NoServerAvailable(NoServerReason.FULL, wait))
        return Ok(self._build_choice(chosen, is_trial=False))

    def _usable(
        self, upstreams: Iterable[Upstream], request: ServerRequest, now: float
    ) -> Iterator[_Candidate]:
        """Return the servers that take requests, and were not tried by this one."""
        for upstream in upstreams:
            if upstream.id in request.tried_servers:
                continue
            view = self._views.server_view(upstream.id, now)
            if _takes_requests(view) and not view.pause_seconds:
                yield _Candidate(upstream, view)

    def _none_available(
        self, service: _Service, request: ServerRequest, now: float
    ) -> NoServerAvailable:
        """Return why no server takes requests, and when the first one does again."""
        views = (self._views.server_view(u.id, now) for u in service.upstreams)
        pauses = [view.pause_seconds for view in views if _takes_requests(view)]
        if pauses:
            return NoServerAvailable(NoServerReason.PAUSED, min(pauses))
        wait = request.expected_latency
        return NoServerAvailable(NoServerReason.NONE_PUBLISHED, wait)

    def _sample(
        self, service: _Service, request: ServerRequest, now: float
    ) -> list[_Candidate]:
        """Return random servers of the own data centre and of the others.

        Comparing few servers keeps hosts with the same old reports from choosing the
        same server (Mitzenmacher, "How useful is old information?", 2000), and keeps
        the cost of a choice independent of the size of the service.
        """
        compared = []
        for group in (service.own, service.others):
            examined = self._rng.sample(group, min(len(group), MAX_EXAMINED_SERVERS))
            compared += _first_of_low_risk(self._usable(examined, request, now))
        return compared

    def _fallback(
        self, service: _Service, request: ServerRequest, now: float
    ) -> list[_Candidate]:
        """Return all usable servers, with tried ones only if no other is left."""
        untried = list(self._usable(service.upstreams, request, now))
        if untried or not request.tried_servers:
            return untried
        first_try = evolve(request, tried_servers=frozenset())
        return list(self._usable(service.upstreams, first_try, now))

    def _scheduled_trial(
        self, request: ServerRequest, service: _Service, now: float
    ) -> _Candidate | None:
        """Return a random server if it is this request's turn to be a trial of it.

        The request cannot be hedged and may be lost, so that the probability falls with
        the risk and servers which surely fail get few.
        """
        servers = len(service.upstreams)
        is_hedged = request.idempotent and request.allows_trial
        if is_hedged or request.tried_servers or not servers:
            return None
        schedule = self._schedules.get(request.service)
        if schedule is None:
            schedule = self._schedules[request.service] = TrialSchedule(now)
        if not schedule.take(servers, self._host_count, now):
            return None
        examined = self._rng.choice(service.upstreams)
        candidate = next(self._usable((examined,), request, now), None)
        if candidate is None or not candidate.is_open_to_trial:
            return None
        exponent = (
            IDEMPOTENT_TRIAL_RISK_EXPONENT
            if request.idempotent
            else TRIAL_RISK_EXPONENT
        )
        if self._rng.random() >= (1.0 - candidate.view.risk) ** exponent:
            return None
        return candidate if _is_in_time(candidate, request) else None

    def _hedged_trial(
        self, request: ServerRequest, service: _Service, now: float
    ) -> _Candidate | None:
        """Return a high-risk server for some requests that can be hedged.

        Of a few random ones it is the one that was unused for longest, so that trials
        reach most servers before any gets a second one.
        """
        if not (request.idempotent and request.allows_trial):
            return None
        if self._rng.random() >= TRIAL_SHARE:
            return None
        upstreams = service.upstreams
        in_random_order = self._rng.sample(upstreams, len(upstreams))
        usable = self._usable(in_random_order, request, now)
        open_to_trial = (c for c in usable if c.is_open_to_trial)
        return max(
            islice(open_to_trial, MAX_COMPARED_TRIALS),
            key=lambda candidate: candidate.view.load_age,
            default=None,
        )

    def _cheapest(
        self, candidates: Sequence[_Candidate], request: ServerRequest
    ) -> _Candidate | None:
        """Return the candidate with the lowest cost, None without candidates."""
        return min(
            candidates,
            key=lambda candidate: self._cost(candidate, request),
            default=None,
        )

    def _cost(self, candidate: _Candidate, request: ServerRequest) -> float:
        upstream, view = candidate.upstream, candidate.view
        failure_cost = IDEMPOTENT_FAILURE_COST if request.idempotent else FAILURE_COST
        cost = candidate.queue_rounds + failure_cost * max(
            0.0, view.risk - BASELINE_RISK
        )
        cost += FULL_LOAD_COST * view.in_flight / max(1, upstream.slots)
        if upstream.data_centre != self._data_centre:
            cost += REMOTE_DATA_CENTRE_COST
        if view.is_cold:
            cost += COLD_START_COST
        preference = weight(self._self_id, upstream.id) / _RENDEZVOUS_WEIGHT_RANGE
        cost += MAX_AFFINITY_COST * preference
        return cost + MAX_RANDOM_COST * self._rng.random()

    def _build_choice(self, candidate: _Candidate, is_trial: bool) -> ServerChoice:
        upstream, view = candidate.upstream, candidate.view
        share = upstream.max_connections // max(1, self._host_count)
        return ServerChoice(
            upstream,
            view.risk,
            view.in_flight,
            is_trial,
            max(MIN_CONNECTIONS_PER_HOST, upstream.slots, share),
            view.state_age,
        )


def _takes_requests(view: ServerView) -> bool:
    return not view.is_misdirected and not view.is_draining


def _first_of_low_risk(examined: Iterable[_Candidate]) -> list[_Candidate]:
    """Return the first candidates of low risk, or all if these are too few."""
    candidates, of_low_risk = [], []
    for candidate in examined:
        candidates.append(candidate)
        if candidate.view.risk < BASELINE_RISK:
            of_low_risk.append(candidate)
        if len(of_low_risk) == MAX_COMPARED_SERVERS:
            return of_low_risk
    return candidates


def _expected_wait(candidate: _Candidate, request: ServerRequest) -> float:
    return candidate.queue_rounds * request.expected_latency


def _is_in_time(candidate: _Candidate, request: ServerRequest) -> bool:
    needed = _expected_wait(candidate, request) + request.expected_latency / 2
    return needed <= request.remaining_seconds
