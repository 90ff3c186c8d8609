"""Detection, false ejections, floor and cost of the health concern.

Every case runs twice with one seed: with `HealthCoordinator`, and with the baseline, in
which each host ejects a server by itself after consecutive errors.
"""

from collections import Counter
from random import Random

import orjson
from attrs import Factory, define, frozen
from cattrs import Converter

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.health.coordinator import HealthCoordinator
from catkinspan.coordination.health.profiles import floor_of
from catkinspan.coordination.models import Event, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import (
    AttemptOutcome,
    AttemptStarted,
    Candidate,
    OutcomeKind,
)
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, ServerId, ServiceId
from catkinspan.state.policy import HealthProfile, Policy
from catkinspan.state.tree import Address, Service, SettingsTree, Upstream
from catkinspan.testing.channel import FakeChannel
from catkinspan.testing.servers import (
    Fault,
    FaultKind,
    HealthNode,
    SimulatedService,
)

SERVICE = ServiceId("service")
PLACES = (DataCentre("a"), DataCentre("b"), DataCentre("c"))
HOSTS = 40
WARM_UP = 40.0
"""Seconds before a fault: voters abstain for 24 s after their start."""

CONSECUTIVE_ERRORS = 5
LOCAL_EJECTION_SECONDS = 10.0
FRAME_BYTES = 12
REACHED_SHARE = 0.9
"""Share of the hosts that must have stopped using a server for its detection."""

DETECTION_LIMIT = 30.0
FAULTS = (
    Fault(FaultKind.SLOW, 10.0),
    Fault(FaultKind.ERRORS, 0.2),
    Fault(FaultKind.HANG),
)


@frozen
class Deployment:
    """One service as one of the two users runs it."""

    name: str
    servers: int
    slots: int


DEPLOYMENTS = (
    Deployment("Valtellina accettazione", 25, 3),
    Deployment("Valtellina laboratorio", 6, 3),
    Deployment("Paperbark catalogue", 20, 2),
    Deployment("Paperbark print-desk", 6, 2),
)


class CountingOutbox(Outbox):
    """Counts messages and the bytes of their JSON form, and keeps events."""

    converter = Converter()

    def __init__(self) -> None:
        super().__init__()
        self.messages = 0
        self.bytes = 0
        self.by_type: Counter[str] = Counter()

    def send(self, to: HostId, message: PeerMessage) -> None:
        """Queue a message to a peer and count it."""
        super().send(to, message)
        size = len(orjson.dumps(self.converter.unstructure(message))) + FRAME_BYTES
        self.messages += 1
        self.bytes += size
        self.by_type[type(message).__name__] += size


class LocalEjection(BaseConcern):
    """Baseline: a host alone ejects a server after consecutive errors."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._errors: dict[ServerId, int] = {}
        self._until: dict[ServerId, float] = {}
        self._levels: dict[ServerId, int] = {}
        published = len(service.upstreams)
        self._room = published - floor_of(published, service.policy.healthy_floor)
        self.ejections: list[tuple[float, ServerId]] = []

    def available(self, service: ServiceId, now: float) -> tuple[Candidate, ...]:
        """Return the servers that this host has not ejected."""
        return tuple(
            Candidate(upstream)
            for upstream in self._service.upstreams
            if now >= self._until.get(upstream.id, 0.0)
        )

    def record_start(self, started: AttemptStarted, now: float) -> None:
        """Ignore the start."""

    def record(self, outcome: AttemptOutcome, now: float) -> None:
        """Count consecutive errors."""
        server = outcome.server
        if outcome.kind in (OutcomeKind.OK, OutcomeKind.SHED):
            self._errors[server] = 0
            return
        self._errors[server] = self._errors.get(server, 0) + 1
        out = sum(1 for until in self._until.values() if until > now)
        if self._errors[server] >= CONSECUTIVE_ERRORS and out < self._room:
            level = self._levels[server] = self._levels.get(server, 0) + 1
            self._until[server] = now + LOCAL_EJECTION_SECONDS * level
            self._errors[server] = 0
            self.ejections.append((now, server))


@define
class Fleet:
    """Hosts, their channel and one simulated service."""

    channel: FakeChannel
    nodes: dict[HostId, HealthNode]
    outboxes: dict[HostId, CountingOutbox]
    places: dict[HostId, DataCentre]
    service: Service
    load: SimulatedService
    events: list[tuple[float, Event]] = Factory(list)

    def collect(self) -> None:
        """Take the events of all hosts."""
        for outbox in self.outboxes.values():
            self.events += [(self.channel.now, event) for event in outbox.take_events()]

    def run(self, until: float, step: float = 0.05) -> None:
        """Run to a virtual time."""
        while self.channel.now < until - 1e-9:
            self.channel.run(min(until, self.channel.now + step))

    def coordinators(self) -> list[HealthCoordinator]:
        """Return the coordinators of all hosts."""
        return [n for n in self.nodes.values() if isinstance(n, HealthCoordinator)]

    def users_of(self, server: ServerId) -> int:
        """Return how many hosts have the server as an ordinary candidate."""
        return sum(
            1
            for host, node in self.nodes.items()
            if host in self.channel.members
            for candidate in node.available(
                SERVICE, self.channel.members[host].local_time(self.channel.now)
            )
            if candidate.upstream.id == server
            and not (candidate.avoided or candidate.trial)
        )


def make_service(deployment: Deployment, policy: Policy) -> Service:
    upstreams = tuple(
        Upstream(
            ServerId(f"s{index:02}"),
            Address(f"127.0.1.{index + 1}", 8080),
            PLACES[index % 3],
            deployment.slots,
            350,
        )
        for index in range(deployment.servers)
    )
    return Service(SERVICE, upstreams, policy)


def make_view(host: HostId, places: dict[HostId, DataCentre]) -> FleetView:
    records = {
        name: HostRecord(name, place, Address("127.0.0.1", 9000))
        for name, place in places.items()
    }
    ids = tuple(sorted(records))
    return FleetView(host, places[host], records, ids, len(ids), ids)


def make_fleet(
    deployment: Deployment,
    seed: int,
    profile: HealthProfile = HealthProfile.BALANCED,
    hosts: int = HOSTS,
    baseline: bool = False,
    load: float = 1 / 3,
    loss: float = 0.0,
    skewed_clocks: bool = False,
) -> Fleet:
    rng = Random(seed)
    channel = FakeChannel(Random(rng.random()), delay=(0.0015, 0.003), loss=loss)
    service = make_service(deployment, Policy(health_profile=profile))
    places = {HostId(f"h{i:03}"): PLACES[i % 3] for i in range(hosts)}
    nodes: dict[HostId, HealthNode] = {}
    outboxes = {}
    for host in places:
        outbox = outboxes[host] = CountingOutbox()
        rate = rng.uniform(0.999, 1.001) if skewed_clocks else 1.0
        offset = rng.uniform(0.0, 1e5) if skewed_clocks else 0.0
        node: HealthCoordinator | LocalEjection
        if baseline:
            node = LocalEjection(service)
        else:
            node = HealthCoordinator(host, places[host], outbox, Random(rng.random()))
        nodes[host] = node
        channel.attach(host, node, outbox, clock_rate=rate, clock_offset=offset)
        node.apply_tree(SettingsTree(services={SERVICE: service}), offset)
        node.apply_view(make_view(host, places), offset)
        channel.flush(host)
    slots = {upstream.id: upstream.slots for upstream in service.upstreams}
    simulated = SimulatedService(
        SERVICE, slots, channel, nodes, places, Random(rng.random())
    )
    rate = simulated.capacity * load
    simulated.rate = lambda now: rate
    simulated.start()
    return Fleet(channel, nodes, outboxes, places, service, simulated)


def detection_time(
    deployment: Deployment,
    fault: Fault,
    seed: int,
    profile: HealthProfile = HealthProfile.BALANCED,
    baseline: bool = False,
    load: float = 1 / 3,
    limit: float = DETECTION_LIMIT,
) -> float:
    """Return the seconds until nine tenths of the hosts no longer use the server."""
    fleet = make_fleet(deployment, seed, profile, baseline=baseline, load=load)
    rng = Random(seed)
    fleet.run(WARM_UP + rng.random())
    server = rng.choice(list(fleet.load.servers))
    fleet.load.servers[server].fault = fault
    began = fleet.channel.now
    while fleet.channel.now < began + limit:
        fleet.run(fleet.channel.now + 0.05)
        if fleet.users_of(server) <= HOSTS * (1.0 - REACHED_SHARE):
            return fleet.channel.now - began
    return float("inf")
