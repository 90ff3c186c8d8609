"""A fleet of rate coordinators on the fake channel, with load and faults.

Times are virtual. Every admission is checked against `rate * t + burst` over all
windows, and every refusal against an ideal single bucket.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

import orjson
from attrs import define, fields, has

from catkinspan.coordination.const import PAUSE_SECONDS
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.models import RateVerdict
from catkinspan.state.hosts import FleetView, HostRecord, HostStatus
from catkinspan.state.ids import DataCentre, HostId, RequestId, WorkspaceId
from catkinspan.state.tree import Address, FleetSettings, SettingsTree, Workspace
from catkinspan.testing.channel import FakeChannel

ADDRESS = Address("127.0.0.1", 1)
SLOTS = 40
EPOCH_MS = 1_767_225_600_000


def workspace(name: str, rate: float, burst: float) -> Workspace:
    return Workspace(WorkspaceId(name), (), rate, burst)


def message_bytes(message: PeerMessage) -> int:
    """Return the size as tagged JSON without default values and the batch's frame."""
    return len(orjson.dumps([type(message).__name__, _plain(message)]))


def _plain(value: object) -> object:
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    if not has(type(value)):
        return value
    return {
        item.name: _plain(getattr(value, item.name))
        for item in fields(type(value))
        if getattr(value, item.name) != item.default
    }


@define
class Tally:
    """Admissions and refusals of one workspace, with two reference buckets."""

    limits: Workspace
    scale: float = 1.0
    """Fraction of the rate and burst that the scaled reference bucket has."""

    level: float = 0.0
    level_at: float = 0.0
    excess: float = float("-inf")
    ideal: float = -1.0
    scaled: float = -1.0
    arrived_at: float = 0.0
    arrived: int = 0
    admitted: int = 0
    refused: int = 0
    wrongly_refused: int = 0
    scaled_refused: int = 0
    ideal_admitted: int = 0
    scaled_admitted: bool = False
    """Whether the scaled reference bucket admitted the last request."""

    def admit(self, now: float) -> None:
        """Record an admission; `excess` is the most any window is above its bound."""
        self.level = max(0.0, self.level - self.limits.rate * (now - self.level_at))
        self.level_at = now
        self.level += 1
        self.excess = max(self.excess, self.level - self.limits.burst)

    def arrive(self, now: float) -> bool:
        """Record an arrival and return whether the ideal bucket admits it."""
        gap = now - self.arrived_at
        self.arrived_at = now
        rate, burst = self.limits.rate, self.limits.burst
        if self.ideal < 0:
            self.ideal, self.scaled = burst, burst * self.scale
        self.ideal = min(burst, self.ideal + rate * gap)
        self.scaled = min(burst * self.scale, self.scaled + rate * self.scale * gap)
        in_rate = self.ideal >= 1
        self.scaled_admitted = by_scaled = self.scaled >= 1
        self.ideal -= in_rate
        self.scaled -= by_scaled
        self.ideal_admitted += in_rate
        self.scaled_refused += in_rate and not by_scaled
        return in_rate


class Reference(Protocol):
    """A simpler scheme that sees the same requests and faults."""

    tallies: dict[WorkspaceId, Tally]

    def request(
        self, fleet: "Fleet", host: HostId, name: WorkspaceId, in_rate: bool
    ) -> None:
        """Decide on a request that arrives at a host."""


class MeteredOutbox(Outbox):
    """Counts the bytes of the messages that a host sends."""

    def __init__(self, host: "Host") -> None:
        super().__init__()
        self._host = host

    def send(self, to: HostId, message: PeerMessage) -> None:
        """Count and queue a message."""
        if self._host.fleet.metered:
            self._host.bytes_out += message_bytes(message)
        super().send(to, message)


class Host:
    """One host: its coordinator, its view, and the requests that wait on it."""

    def __init__(
        self, fleet: "Fleet", host_id: HostId, centre: DataCentre, incarnation: int
    ) -> None:
        self.fleet = fleet
        self.id, self.centre, self.incarnation = host_id, centre, incarnation
        self.outbox = MeteredOutbox(self)
        rng = Random(f"{fleet.seed}/{host_id}/{incarnation}")
        self.rates = RateCoordinator(host_id, incarnation, self.outbox, rng)
        self.listed: frozenset[HostId] = frozenset()
        self.dead: frozenset[HostId] = frozenset()
        self.known: dict[HostId, int] = {}
        self.pending: dict[RequestId, tuple[WorkspaceId, bool, float]] = {}
        self.last_tick: float | None = None
        self.bytes_out = 0
        self.messages_in = 0

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Pass a message on."""
        self.messages_in += 1
        self.rates.handle(message, origin, now)
        self.settle()

    def tick(self, now: float) -> None:
        """Report a gap as a pause, as the host task does, then tick."""
        if self.last_tick is not None and now - self.last_tick > PAUSE_SECONDS:
            self.resume(now - self.last_tick, now)
        self.last_tick = now
        self.rates.tick(now)
        self.settle()

    def resume(self, gap: float, now: float) -> None:
        """Pass a pause on."""
        self.rates.resume(gap, now)

    def settle(self) -> None:
        """Book the ends of pending requests."""
        for settled in self.rates.take_settled():
            name, in_rate, _ = self.pending.pop(settled.request_id)
            self.fleet.end(name, in_rate, settled.admitted, self.id)

    def apply_view(self, now: float) -> None:
        """Pass on what this host knows of the fleet."""
        records = {
            host: HostRecord(
                host,
                self.fleet.centre_of(host),
                ADDRESS,
                HostStatus.DEAD if host in self.dead else HostStatus.ALIVE,
                self.known.get(host, 0),
            )
            for host in self.listed | {self.id}
        }
        usable = tuple(sorted(self.listed - self.dead))
        listed = tuple(sorted(self.listed))
        view = FleetView(
            self.id, self.centre, records, usable, self.fleet.slots, listed
        )
        self.rates.apply_view(view, now)


class Fleet:
    """Hosts, their load and the account of all decisions."""

    def __init__(
        self,
        seed: int,
        workspaces: Iterable[Workspace],
        slots: int = SLOTS,
        shards: int = 64,
        scale: float = 1.0,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: tuple[float, float] = (0.001, 0.003),
        drift: float = 0.0,
        centres: int = 3,
        late: float = 0.0,
    ) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.slots, self.drift = slots, drift
        self.channel = FakeChannel(
            Random(seed + 1), delay, loss, duplication, late=late
        )
        limits = {item.id: item for item in workspaces}
        self.tree = SettingsTree(
            fleet=FleetSettings(max_hosts=slots, rate_shards=shards), workspaces=limits
        )
        self.tallies = {name: Tally(item, scale) for name, item in limits.items()}
        self.hosts: dict[HostId, Host] = {}
        self.paused: dict[HostId, list[tuple[WorkspaceId, bool]]] = {}
        self.counting = True
        self.metered = False
        self.on_end: Callable[[HostId, bool, float], None] = lambda *_: None
        self.references: list[Reference] = []
        self._centres = centres
        self._requests = 0

    def centre_of(self, host: HostId) -> DataCentre:
        """Return the data centre, by the number in the id."""
        digits = "".join(c for c in host if c.isdigit())
        return DataCentre(f"dc{int(digits) % self._centres}")

    def start(self, host_id: HostId, listed: Iterable[HostId]) -> Host:
        """Start a process of a host; it begins without any state."""
        incarnation = EPOCH_MS + int(self.channel.now * 1000)
        host = Host(self, host_id, self.centre_of(host_id), incarnation)
        host.listed = frozenset(listed)
        self.hosts[host_id] = host
        rate = 1.0 + self.rng.uniform(-self.drift, self.drift)
        offset = self.rng.uniform(0, 1000) if self.drift else 0.0
        self.channel.attach(host_id, host, host.outbox, incarnation, rate, offset)
        now = self.local(host_id)
        host.rates.apply_tree(self.tree, now)
        host.apply_view(now)
        return host

    def start_all(self, count: int) -> list[HostId]:
        """Start hosts that all list one another."""
        ids = [HostId(f"host{n:04}") for n in range(count)]
        for host in ids:
            self.start(host, ids)
        return ids

    def local(self, host: HostId) -> float:
        """Return the time on a host's clock."""
        return self.channel.members[host].local_time(self.channel.now)

    def crash(self, host: HostId) -> None:
        """End a process; its pending requests end with it, not admitted."""
        self.channel.detach(host)
        self.paused.pop(host, None)
        for name, in_rate, _ in self.hosts.pop(host).pending.values():
            self.end(name, in_rate, False, host)

    def pause(self, host: HostId) -> None:
        """Stop a process; requests and messages to it wait."""
        self.channel.pause(host)
        self.paused[host] = []

    def wake(self, host: HostId) -> None:
        """Wake a host: its requests run first, then its messages, then its tick."""
        queued = self.paused.pop(host)
        self.channel.members[host].paused_since = None
        for name, in_rate in queued:
            self._take(self.hosts[host], name, in_rate)
        self.channel.members[host].paused_since = self.channel.now
        self.channel.wake(host)

    def publish(self, host_id: HostId, **changes: object) -> None:
        """Change what one host knows of the fleet."""
        host = self.hosts[host_id]
        for name, value in changes.items():
            setattr(host, name, value)
        host.apply_view(self.local(host_id))
        self.channel.flush(host_id)

    def request(self, host_id: HostId, name: WorkspaceId) -> None:
        """Let a request of a workspace arrive at a host."""
        tally = self.tallies[name]
        in_rate = tally.arrive(self.channel.now)
        if self.counting:
            tally.arrived += 1
        for reference in self.references:
            reference.request(self, host_id, name, in_rate)
        if host_id in self.paused:
            self.paused[host_id].append((name, in_rate))
            return
        host = self.hosts.get(host_id)
        if host is None:
            self.end(name, in_rate, False, host_id)
            return
        self._take(host, name, in_rate)

    def _take(self, host: Host, name: WorkspaceId, in_rate: bool) -> None:
        self._requests += 1
        request = RequestId(str(self._requests))
        verdict = host.rates.take(request, name, self.local(host.id))
        if verdict is RateVerdict.PENDING:
            host.pending[request] = (name, in_rate, self.channel.now)
        else:
            self.end(name, in_rate, verdict is RateVerdict.ADMITTED, host.id)
        self.channel.flush(host.id)

    def end(
        self, name: WorkspaceId, in_rate: bool, admitted: bool, host: HostId
    ) -> None:
        """Book the end of a request."""
        self.on_end(host, admitted, self.channel.now)
        tally = self.tallies[name]
        if admitted:
            tally.admit(self.channel.now)
        if not self.counting:
            return
        tally.admitted += admitted
        tally.refused += not admitted
        tally.wrongly_refused += in_rate and not admitted

    def reset_counts(self) -> None:
        """Start counting, after a warm-up."""
        tallies = list(self.tallies.values())
        for reference in self.references:
            tallies += reference.tallies.values()
        for tally in tallies:
            tally.arrived = tally.admitted = tally.refused = 0
            tally.wrongly_refused = tally.scaled_refused = tally.ideal_admitted = 0

    def reset_bytes(self) -> None:
        """Start counting sent bytes."""
        self.metered = True
        for host in self.hosts.values():
            host.bytes_out = 0

    def offer(
        self,
        name: WorkspaceId,
        rate: float,
        until: float,
        choose: Callable[[], HostId],
        start: float = 0.0,
    ) -> None:
        """Let requests arrive as a Poisson process between two virtual times."""
        rng = Random(f"{self.seed}/{name}/arrivals")

        def arrive() -> None:
            self.request(choose(), name)
            plan()

        def plan() -> None:
            when = max(start, self.channel.now) + rng.expovariate(rate)
            if when < until:
                self.channel.at(when, arrive)

        plan()

    @property
    def excess(self) -> float:
        """Return the most that any window of any workspace is above its bound."""
        return max(tally.excess for tally in self.tallies.values())


def even(rng: Random, hosts: list[HostId]) -> Callable[[], HostId]:
    return lambda: rng.choice(hosts)


def skewed(rng: Random, hosts: list[HostId]) -> Callable[[], HostId]:
    """Choose with Zipf weights: the first host gets about a quarter of 40."""
    order = rng.sample(hosts, len(hosts))
    weights = [1.0 / (n + 1) for n in range(len(order))]
    sums = []
    for weight in weights:
        sums.append(weight + (sums[-1] if sums else 0.0))
    return lambda: rng.choices(order, cum_weights=sums)[0]
