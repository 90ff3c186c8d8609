"""A bounded fake of the servers of one service, under load, in virtual time."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from math import log
from random import Random
from typing import Protocol

from attrs import Factory, define, frozen

from catkinspan.coordination.outcomes import (
    AttemptOutcome,
    AttemptStarted,
    Candidate,
    OutcomeKind,
)
from catkinspan.state.ids import (
    DataCentre,
    HostId,
    RequestId,
    ServerId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.testing.channel import FakeChannel

ATTEMPT_TIMEOUT = 3.0
LATENCY_SIGMA = 0.5
HEALTHY_ERROR_RATE = 0.001
WORKSPACE = WorkspaceId("workspace")


class FaultKind(StrEnum):
    """What a simulated server does wrong."""

    SLOW = "slow"
    """Takes `amount` times as long."""

    ERRORS = "errors"
    """Answers a share of `amount` with 5xx."""

    HANG = "hang"
    """Accepts requests and never answers."""

    RESET = "reset"
    """Closes a share of `amount` of the connections."""

    CROSSED = "crossed"
    """Answers a share of `amount` with another request's id."""

    TRUNCATED = "truncated"
    """Ends a share of `amount` of the answers early."""

    SHED = "shed"
    """Refuses a share of `amount`, not run."""


_FAILED = {
    FaultKind.ERRORS: OutcomeKind.SERVER_ERROR,
    FaultKind.RESET: OutcomeKind.RESET,
    FaultKind.CROSSED: OutcomeKind.CROSSED,
    FaultKind.TRUNCATED: OutcomeKind.TRUNCATED,
    FaultKind.SHED: OutcomeKind.SHED,
}


@frozen
class Fault:
    """A fault and its size."""

    kind: FaultKind
    amount: float = 1.0


@frozen
class RequestClass:
    """A kind of request with its share of the traffic and its median latency."""

    name: str
    share: float
    median: float


DEFAULT_CLASSES = (
    RequestClass("browse", 0.9, 0.035),
    RequestClass("search", 0.1, 0.12),
)
MEAN_LATENCY = sum(c.share * c.median for c in DEFAULT_CLASSES) * 1.133
"""Mean of the default classes: exp(sigma ** 2 / 2) is 1.133."""


class HealthNode(Protocol):
    """What the load needs of a host's health coordination."""

    def available(self, service: ServiceId, now: float) -> tuple[Candidate, ...]:
        """Return the servers that may get new work."""

    def record_start(self, started: AttemptStarted, now: float) -> None:
        """Note an attempt that was just sent."""

    def record(self, outcome: AttemptOutcome, now: float) -> None:
        """Take in the outcome of an attempt."""


@define
class SimulatedServer:
    """A server with slots and at most one fault."""

    id: ServerId
    slots: int
    fault: Fault | None = None
    cold_until: float = 0.0
    """Until then it takes `COLD_FACTOR` times as long."""

    busy: int = 0
    received: int = 0
    unreachable: set[HostId] = Factory(set)
    """Hosts whose replies are lost, as on a path that is cut one way."""


COLD_FACTOR = 5.0


@define
class LoadCounts:
    """Totals of a run."""

    sent: int = 0
    refused: int = 0
    by_kind: dict[OutcomeKind, int] = Factory(dict)


class SimulatedService:
    """Servers of one service and Poisson load on them from many hosts.

    Requests go to the less loaded of two servers with a free slot, as behind a
    dispatcher of slots, so a slow server gets no more than its slots' worth.
    """

    def __init__(
        self,
        service: ServiceId,
        slots: Mapping[ServerId, int],
        channel: FakeChannel,
        nodes: Mapping[HostId, HealthNode],
        places: Mapping[HostId, DataCentre],
        rng: Random,
    ) -> None:
        self.service = service
        self.servers = {
            server: SimulatedServer(server, count) for server, count in slots.items()
        }
        self.counts = LoadCounts()
        self.classes: tuple[RequestClass, ...] = DEFAULT_CLASSES
        self.rate: Callable[[float], float] = lambda now: 0.0
        """Arrivals per second over all hosts at an instant."""

        self.slowdown: Callable[[float], float] = lambda now: 1.0
        """Factor on the latency of all servers alike."""

        self.class_for: Callable[[ServerId, Random], RequestClass] | None = None
        self._channel = channel
        self._nodes = nodes
        self._hosts = list(nodes)
        self._places = places
        self._rng = rng

    @property
    def capacity(self) -> float:
        """Return the requests per second that all slots can serve."""
        return sum(server.slots for server in self.servers.values()) / MEAN_LATENCY

    def draw(self) -> float:
        """Return a random number for functions that a test plugs in."""
        return self._rng.random()

    def start(self) -> None:
        """Begin with the arrivals."""
        self._schedule_arrival()

    def cut(self, server: ServerId, place: DataCentre | HostId) -> None:
        """Lose the replies of a server to one host or one data centre."""
        self.servers[server].unreachable |= {
            host for host in self._hosts if place in (host, self._places[host])
        }

    def heal(self, server: ServerId) -> None:
        """End the cuts of a server."""
        self.servers[server].unreachable.clear()

    def _schedule_arrival(self) -> None:
        now = self._channel.now
        rate = max(self.rate(now), 0.1)
        self._channel.at(now + self._rng.expovariate(rate), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        host = self._hosts[int(self._rng.random() * len(self._hosts))]
        if host not in self._channel.members:
            return
        candidates = self._nodes[host].available(self.service, self._local(host))
        server = self._pick(candidates)
        if server is None:
            self.counts.refused += 1
            return
        self._send(host, server)

    def _local(self, host: HostId) -> float:
        return self._channel.members[host].local_time(self._channel.now)

    def _pick(self, candidates: tuple[Candidate, ...]) -> SimulatedServer | None:
        """Return the less loaded of two servers; a trial comes first."""
        for candidate in candidates:
            if candidate.trial and self._has_slot(candidate):
                return self.servers[candidate.upstream.id]
        one, other = self._draw(candidates), self._draw(candidates)
        if one is None or other is None:
            return self._first_free(candidates)
        return min(one, other, key=lambda server: server.busy)

    def _draw(self, candidates: tuple[Candidate, ...]) -> SimulatedServer | None:
        for _ in range(4):
            candidate = candidates[int(self._rng.random() * len(candidates))]
            if not candidate.avoided and self._has_slot(candidate):
                return self.servers[candidate.upstream.id]
        return None

    def _first_free(self, candidates: tuple[Candidate, ...]) -> SimulatedServer | None:
        for avoided in (False, True):
            free = [
                candidate
                for candidate in candidates
                if candidate.avoided is avoided and self._has_slot(candidate)
            ]
            if free:
                return self.servers[self._rng.choice(free).upstream.id]
        return None

    def _has_slot(self, candidate: Candidate) -> bool:
        server = self.servers[candidate.upstream.id]
        if candidate.share < 1.0 and self._rng.random() > candidate.share:
            return False
        return server.busy < server.slots

    def _send(self, host: HostId, server: SimulatedServer) -> None:
        self.counts.sent += 1
        server.busy += 1
        server.received += 1
        request = RequestId(str(self.counts.sent))
        kind_of = self.class_for or self._any_class
        request_class = kind_of(server.id, self._rng)
        started = AttemptStarted(
            request, 1, self.service, server.id, request_class.name
        )
        self._nodes[host].record_start(started, self._local(host))
        kind, latency = self._serve(host, server, request_class)
        outcome = AttemptOutcome(
            request,
            1,
            self.service,
            server.id,
            WORKSPACE,
            kind,
            latency,
            bytes_written=True,
            request_class=request_class.name,
        )
        when = self._channel.now + latency
        self._channel.at(when, lambda: self._finish(host, server, outcome))

    def _any_class(self, server: ServerId, rng: Random) -> RequestClass:
        draw = rng.random()
        for request_class in self.classes:
            draw -= request_class.share
            if draw < 0.0:
                return request_class
        return self.classes[-1]

    def _serve(
        self, host: HostId, server: SimulatedServer, request_class: RequestClass
    ) -> tuple[OutcomeKind, float]:
        now = self._channel.now
        latency = self._rng.lognormvariate(log(request_class.median), LATENCY_SIGMA)
        latency *= self.slowdown(now)
        if now < server.cold_until:
            latency *= COLD_FACTOR
        kind = OutcomeKind.OK
        if self._rng.random() < HEALTHY_ERROR_RATE:
            kind = OutcomeKind.SERVER_ERROR
        fault = server.fault
        if fault is not None:
            if fault.kind is FaultKind.HANG or host in server.unreachable:
                return OutcomeKind.TIMEOUT, ATTEMPT_TIMEOUT
            if fault.kind is FaultKind.SLOW:
                latency *= fault.amount
            elif self._rng.random() < fault.amount:
                kind = _FAILED[fault.kind]
                latency = 0.002 if kind is OutcomeKind.SHED else latency
        if host in server.unreachable or latency > ATTEMPT_TIMEOUT:
            return OutcomeKind.TIMEOUT, ATTEMPT_TIMEOUT
        return kind, latency

    def _finish(
        self, host: HostId, server: SimulatedServer, outcome: AttemptOutcome
    ) -> None:
        server.busy -= 1
        kinds = self.counts.by_kind
        kinds[outcome.kind] = kinds.get(outcome.kind, 0) + 1
        if host in self._channel.members:
            self._nodes[host].record(outcome, self._local(host))
