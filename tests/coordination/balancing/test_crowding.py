"""Waits at busy servers, of which hosts know the load as of the latest report."""

from collections import Counter, deque
from heapq import heappop, heappush
from random import Random
from typing import Any

import pytest
from attrs import define, field

from catkinspan.coordination.balancing import balancer as balancer_module
from catkinspan.coordination.balancing.balancer import Balancer
from catkinspan.coordination.balancing.models import ServerRequest
from catkinspan.coordination.health.models import ServerView
from catkinspan.state.ids import DataCentre, HostId, Revision, ServerId, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Address, Service, SettingsTree, Upstream

SERVICE = ServiceId("s")
HOSTS = 116
SERVERS = 168
SLOTS = 2
DATA_CENTRES = [DataCentre(f"d{number}") for number in range(4)]
LOAD = 0.9
REPORT_SECONDS = 0.2
SERVICE_SECONDS = 0.25
LATE_SECONDS = 1.5 * SERVICE_SECONDS
SECONDS = 6.0


@define
class ReportedViews:
    """A host's view: the reported load, and its own requests since the report."""

    reported: dict[ServerId, int]
    own: Counter[ServerId] = field(factory=Counter)
    included: Counter[ServerId] = field(factory=Counter)

    def server_view(self, server_id: ServerId, now: float) -> ServerView:
        others = self.reported.get(server_id, 0) - self.included[server_id]
        return ServerView(self.own[server_id] + max(0, others), 0.05)


@define
class BusyServers:
    """Servers that run two requests at a time, first come, first served."""

    rng: Random
    reported: dict[ServerId, int] = field(factory=dict)
    views: list[ReportedViews] = field(factory=list)
    balancers: list[Balancer] = field(factory=list)
    in_flight: Counter[ServerId] = field(factory=Counter)
    busy: Counter[ServerId] = field(factory=Counter)
    queues: dict[ServerId, deque[tuple[int, float]]] = field(factory=dict)
    events: list[tuple[float, float, Any]] = field(factory=list)
    waits: list[float] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        upstreams = tuple(
            Upstream(
                ServerId(f"s{number}"),
                Address("10.0.0.1", 80),
                DATA_CENTRES[number % len(DATA_CENTRES)],
                SLOTS,
            )
            for number in range(SERVERS)
        )
        service = Service(SERVICE, upstreams, Policy())
        tree = SettingsTree(Revision(1), services={SERVICE: service})
        for number in range(HOSTS):
            view = ReportedViews(self.reported)
            balancer = Balancer(
                HostId(f"host-{number}"),
                DATA_CENTRES[number % len(DATA_CENTRES)],
                view,
                Random(number),
            )
            balancer.apply_tree(tree, 0.0)
            self.views.append(view)
            self.balancers.append(balancer)

    def run(self) -> float:
        """Return the share of the requests that wait for long."""
        at = 0.0
        while (at := at + self.rng.expovariate(self._rate())) < SECONDS:
            self._add(at, self._arrive)
        for number in range(round(SECONDS / REPORT_SECONDS)):
            self._add(number * REPORT_SECONDS, self._report)
        while self.events and self.events[0][0] < SECONDS:
            now, _, action = heappop(self.events)
            action(now)
        return sum(wait > LATE_SECONDS for wait in self.waits) / len(self.waits)

    def _rate(self) -> float:
        return LOAD * SERVERS * SLOTS / SERVICE_SECONDS

    def _add(self, at: float, action: Any) -> None:
        heappush(self.events, (at, self.rng.random(), action))

    def _report(self, now: float) -> None:
        self.reported.clear()
        self.reported.update(self.in_flight)
        for view in self.views:
            view.included = Counter(view.own)

    def _arrive(self, now: float) -> None:
        host = self.rng.randrange(HOSTS)
        request = ServerRequest(
            SERVICE, False, frozenset(), SERVICE_SECONDS, 10 * SERVICE_SECONDS, False
        )
        server = self.balancers[host].choose(request, now).unwrap().upstream.id
        self.in_flight[server] += 1
        self.views[host].own[server] += 1
        self.queues.setdefault(server, deque()).append((host, now))
        self._start_next(server, now)

    def _start_next(self, server: ServerId, now: float) -> None:
        if self.busy[server] == SLOTS or not self.queues[server]:
            return
        host, arrived_at = self.queues[server].popleft()
        self.busy[server] += 1
        self.waits.append(now - arrived_at)
        seconds = SERVICE_SECONDS * self.rng.uniform(0.6, 1.4)
        self._add(now + seconds, lambda end: self._end(server, host, end))

    def _end(self, server: ServerId, host: int, now: float) -> None:
        self.busy[server] -= 1
        self.in_flight[server] -= 1
        self.views[host].own[server] -= 1
        self._start_next(server, now)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_old_loads_do_not_make_hosts_crowd(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against comparisons of loads that cause longer waits than none within a
    data centre would."""
    late = BusyServers(Random(seed)).run()
    for name in ("MAX_COMPARED_SERVERS", "MAX_EXAMINED_SERVERS"):
        monkeypatch.setattr(balancer_module, name, 1)
    assert late <= BusyServers(Random(seed)).run()
