"""Detection, false ejections, floor and cost of the health concern.

Every case runs twice with one seed: with `HealthCoordinator`, and with the baseline, in
which each host ejects a server by itself after consecutive errors.
"""

from collections import Counter
from functools import partial
from math import pi, sin
from random import Random

import orjson
from attrs import Factory, define, evolve, frozen
from cattrs import Converter

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.health.coordinator import HealthCoordinator
from catkinspan.coordination.health.models import ServerEjected
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
from catkinspan.testing.faulty_servers import (
    Fault,
    FaultKind,
    HealthNode,
    SimulatedServer,
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
        self._room = 0
        self.ejections: list[tuple[float, ServerId]] = []

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the published servers."""
        self._service = tree.services[SERVICE]
        published = len(self._service.upstreams)
        share = self._service.policy.healthy_floor
        self._room = published - floor_of(published, share)

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


@frozen
class HourResult:
    """Counts of a long run with healthy servers."""

    seconds: float
    ejections: int
    """Ejections of healthy servers; for the baseline, by single hosts."""

    servers: int
    """Different servers that were ejected."""

    floor_violations: int
    messages: float
    """Per host and second."""

    bytes: float
    """Per host and second."""

    requests: int


def swing(now: float) -> float:
    """Return the load factor: waves of ten minutes and sudden peaks."""
    wave = 1.0 + 0.7 * sin(now * 2.0 * pi / 600.0)
    return wave * (2.0 if 200.0 < now % 400.0 < 230.0 else 1.0)


def shared_slowdown(now: float) -> float:
    """Return by how much a peak of load slows all servers alike."""
    return 1.0 + 2.0 * max(0.0, swing(now) - 1.2)


def healthy_run(
    deployment: Deployment,
    seed: int,
    seconds: float,
    profile: HealthProfile = HealthProfile.BALANCED,
    baseline: bool = False,
    load: float = 1 / 3,
) -> HourResult:
    """Run healthy servers with swings, one-way cuts and a cold start.

    A cut loses a server's replies to one host or to one data centre, in turn, for 40 s
    of every 120 s. At half time a cold server is published.
    """
    fleet = make_fleet(deployment, seed, profile, baseline=baseline, load=load)
    base = fleet.load.rate(0.0)
    fleet.load.rate = lambda now: base * swing(now)
    fleet.load.slowdown = shared_slowdown
    rng = Random(seed + 1)
    for index, at in enumerate(range(60, int(seconds), 120)):
        server = rng.choice(list(fleet.load.servers))
        place: DataCentre | HostId = rng.choice(PLACES)
        if index % 2:
            place = rng.choice(list(fleet.places))
        fleet.channel.at(at, partial(fleet.load.cut, server, place))
        fleet.channel.at(at + 40.0, partial(fleet.load.heal, server))
    fleet.channel.at(seconds / 2.0, partial(publish_cold_server, fleet))
    violations = 0
    while fleet.channel.now < seconds:
        fleet.run(min(seconds, fleet.channel.now + 1.0), step=1.0)
        violations += floor_violations(fleet)
        fleet.collect()
    return summarize(fleet, seconds, violations)


def publish_cold_server(fleet: Fleet) -> None:
    """Publish one more server, which takes five times as long for 10 s."""
    now = fleet.channel.now
    last = fleet.service.upstreams[-1]
    new = evolve(last, id=ServerId("cold"), address=Address("127.0.2.1", 8080))
    service = evolve(fleet.service, upstreams=(*fleet.service.upstreams, new))
    fleet.service = service
    fleet.load.servers[new.id] = SimulatedServer(
        new.id, new.slots, cold_until=now + 10.0
    )
    tree = SettingsTree(services={SERVICE: service})
    for host, node in fleet.nodes.items():
        if host in fleet.channel.members:
            local = fleet.channel.members[host].local_time(now)
            if isinstance(node, HealthCoordinator | LocalEjection):
                node.apply_tree(tree, local)


def summarize(fleet: Fleet, seconds: float, violations: int) -> HourResult:
    """Return the counts of a run."""
    local = [
        server
        for node in fleet.nodes.values()
        if isinstance(node, LocalEjection)
        for _, server in node.ejections
    ]
    pooled = [e.server for _, e in fleet.events if isinstance(e, ServerEjected)]
    ejected = local + pooled
    spent = seconds * len(fleet.nodes)
    return HourResult(
        seconds,
        len(ejected),
        len(set(ejected)),
        violations,
        sum(outbox.messages for outbox in fleet.outboxes.values()) / spent,
        sum(outbox.bytes for outbox in fleet.outboxes.values()) / spent,
        fleet.load.counts.sent,
    )


def floor_violations(fleet: Fleet) -> int:
    """Return 1 if the floor is broken now, by the union of hosts or on one host.

    The union counts each server that any host leaves out by a verdict. A single host
    must keep the floor with all that it leaves out, its own avoidance included.
    """
    published = [u for u in fleet.service.upstreams if not u.leaving]
    floor = floor_of(len(published), fleet.service.policy.healthy_floor)
    union: set[ServerId] = set()
    broken = False
    for host, node in fleet.nodes.items():
        member = fleet.channel.members.get(host)
        if member is None or member.paused_since is not None:
            continue
        now = member.local_time(fleet.channel.now)
        candidates = node.available(SERVICE, now)
        plain = {
            c.upstream.id
            for c in candidates
            if not (c.trial or c.avoided) and c.share >= 1.0
        }
        out = {u.id for u in published} - plain
        if isinstance(node, HealthCoordinator):
            standing = node.standing(SERVICE, now)
            assert standing is not None
            union |= standing.ejected
            others = len(standing.draining | standing.cold)
            broken |= len(out) > max(len(published) - floor, others)
        else:
            broken |= len(out) > len(published) - floor
            union |= out
    return int(broken or len(published) - len(union) < floor)
