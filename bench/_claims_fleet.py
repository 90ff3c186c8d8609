"""A fleet of claim coordinators under seeded faults, for the bench and the tests."""

from collections import Counter
from random import Random

from attrs import define, field

from catkinspan.coordination.claims.const import (
    ABSTAIN_SECONDS,
    LIST_SPREAD_SECONDS,
    WINDOW_SECONDS,
)
from catkinspan.coordination.claims.coordinator import ClaimCoordinator
from catkinspan.coordination.claims.models import (
    ClaimDecision,
    ClaimKey,
    ClaimVerdict,
    Ran,
    claim_key,
)
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, RequestId, RouteId, WorkspaceId
from catkinspan.state.tree import Address
from catkinspan.testing.channel import FakeChannel

START = 200.0
"""Virtual second at which the hosts of a healthy fleet are older than a window."""

DATA_CENTRES = tuple(DataCentre(name) for name in ("dc0", "dc1", "dc2"))
DEADLINE_SECONDS = 10.0
ALL_FAULTS = ("restart", "crash", "pause", "one-way", "split", "replace", "delist")
LIST_FAULTS = ("delist", "delist", "split", "pause")


def make_claim(number: int, workspace: str = "workspace") -> ClaimKey:
    return claim_key(
        WorkspaceId(workspace), RouteId("deposit"), f"key-{number}", "POST", "/d", b""
    )


def view_of(
    self_id: HostId,
    listed: dict[HostId, DataCentre],
    incarnations: dict[HostId, int] | None = None,
) -> FleetView:
    numbers = incarnations or {}
    records = {
        host: HostRecord(
            host, data_centre, Address("127.0.0.1", 1), incarnation=numbers.get(host, 1)
        )
        for host, data_centre in listed.items()
    }
    ids = tuple(sorted(listed))
    own = listed.get(self_id, DATA_CENTRES[0])
    return FleetView(self_id, own, records, usable=ids, listed=ids)


@define(eq=False)
class Send:
    """One request of a caller, as its entry host sees it."""

    claim: ClaimKey
    number: int
    begun: float | None = None
    verdict: ClaimVerdict | None = None
    settled_at: float = 0.0
    ran_at: float | None = None


@define(eq=False)
class Host:
    """An entry host: its claims and the requests that it runs."""

    id: HostId
    claims: ClaimCoordinator
    outbox: Outbox
    fleet: "Fleet"
    sends: dict[RequestId, Send] = field(factory=dict)
    waiting: list[Send] = field(factory=list)
    """Requests that wait unread in a socket while the process is paused."""

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        self.claims.handle(message, origin, now)
        self.collect()

    def tick(self, now: float) -> None:
        self.claims.tick(now)
        self.collect()

    def resume(self, gap: float, now: float) -> None:
        self.claims.resume(gap, now)

    def collect(self) -> None:
        for settled in self.claims.take_settled():
            self.fleet.settled(self, settled.request_id, settled.verdict)


class Fleet:
    """Hosts on a fake channel, a published host list and the upstream's run log."""

    def __init__(self, rng: Random, count: int, channel: FakeChannel) -> None:
        self.rng = rng
        self.channel = channel
        self.hosts: dict[HostId, Host] = {}
        self.published: dict[HostId, DataCentre] = {}
        self.incarnations: Counter[HostId] = Counter()
        self.sends: list[Send] = []
        self.runs: Counter[bytes] = Counter()
        self.last_change = START
        self.outcomes = (Ran.YES, Ran.YES, Ran.MAYBE, Ran.NO)
        self.waits = (0.0, 0.0, 0.01, 0.5, 2.0, 8.0)
        self.run_seconds = (0.02, 0.02, 1.0, 30.0)
        self.faults = rng.choice([ALL_FAULTS, ALL_FAULTS, LIST_FAULTS])
        self._next_id = count
        self.data_centres: dict[HostId, DataCentre] = {}
        for number in range(count):
            self.published[_host_id(number)] = DATA_CENTRES[number % 3]
        self.data_centres.update(self.published)
        self.channel.run(START)
        for host in list(self.published):
            self._start(host, age=ABSTAIN_SECONDS + 1.0)

    def crash(self, host: HostId) -> None:
        """Stop a host at once; its running requests may have run."""
        if host in self.hosts:
            self.channel.detach(host)
            del self.hosts[host]

    def restart(self, host: HostId) -> None:
        """Start a new process on a host's address."""
        self.crash(host)
        self._start(host, age=0.0)

    def pause(self, host: HostId, seconds: float) -> None:
        """Pause a host; messages and requests wait for it."""
        member = self.channel.members.get(host)
        if member is None or member.paused_since is not None:
            return
        self.channel.pause(host)
        self.channel.at(self.channel.now + seconds, lambda: self._wake(host, member))

    def replace(self, count: int, spread: float = LIST_SPREAD_SECONDS) -> None:
        """Replace hosts by others with new ids, and publish the new list."""
        for host in self.rng.sample(sorted(self.published), count):
            del self.published[host]
            self.crash(host)
            new = _host_id(self._next_id)
            self._next_id += 1
            self.data_centres[new] = self.published[new] = self.data_centres[host]
            self._start(new, age=0.0)
        self.publish(spread)

    def delist(self, count: int, spread: float = LIST_SPREAD_SECONDS) -> None:
        """Publish a list without some hosts that still run, or with all again."""
        running = set(self.hosts) - set(self.published)
        for host in running:
            self.published[host] = self.data_centres[host]
        if not running:
            for host in self.rng.sample(sorted(self.published), count):
                del self.published[host]
        self.publish(spread)

    def publish(self, spread: float) -> None:
        """Publish the list.

        Each host puts it in force at an instant of its own within `spread`.
        """
        self.last_change = self.channel.now
        listed = dict(self.published)
        for host in self.hosts.values():
            when = self.channel.now + self.rng.uniform(0.0, spread * 0.95)
            self.channel.at(when, lambda h=host: self._apply(h, listed))  # type: ignore[misc]

    def send(self, host: HostId, claim: ClaimKey) -> Send:
        """Let a caller send a request to a host."""
        send = Send(claim, len(self.sends))
        self.sends.append(send)
        if host in self.hosts:
            if self.channel.members[host].paused_since is not None:
                self.hosts[host].waiting.append(send)
            else:
                self._begin(self.hosts[host], send)
        return send

    def settled(self, host: Host, request_id: RequestId, verdict: ClaimVerdict) -> None:
        send = host.sends[request_id]
        send.verdict = verdict
        send.settled_at = self.channel.now
        if verdict.decision is not ClaimDecision.GRANTED:
            return
        wait = self.rng.choice(self.waits)
        self.channel.at(
            self.channel.now + wait, lambda: self._run(host, request_id, send)
        )

    def _start(self, host: HostId, age: float) -> None:
        self.incarnations[host] += 1
        incarnation = self.incarnations[host]
        outbox = Outbox()
        rng = Random(self.rng.random())
        claims = ClaimCoordinator(host, incarnation, outbox, rng)
        node = Host(host, claims, outbox, self)
        self.hosts[host] = node
        rate = self.rng.uniform(0.995, 1.005)
        offset = self.rng.uniform(500.0, 5000.0)
        now = self.channel.now
        steps = int(age / 0.9)
        for step in range(steps, 0, -1):
            then = (now - step * 0.9) * rate + offset
            claims.tick(then)
            if step == steps:
                claims.apply_view(view_of(host, self.published), then)
        self.channel.attach(host, node, outbox, incarnation, rate, offset)
        if not steps:
            self._apply(node, dict(self.published))

    def _apply(self, host: Host, listed: dict[HostId, DataCentre]) -> None:
        if self.hosts.get(host.id) is not host:
            return
        member = self.channel.members[host.id]
        if member.paused_since is not None:
            later = self.channel.now + 0.1
            self.channel.at(later, lambda: self._apply(host, listed))
            return
        now = member.local_time(self.channel.now)
        host.claims.apply_view(view_of(host.id, listed, dict(self.incarnations)), now)

    def _wake(self, host: HostId, member: object) -> None:
        if self.channel.members.get(host) is not member:
            return
        self.channel.wake(host)
        node = self.hosts[host]
        waiting, node.waiting = node.waiting, []
        for send in waiting:
            self._begin(node, send)

    def _begin(self, host: Host, send: Send) -> None:
        member = self.channel.members[host.id]
        now = member.local_time(self.channel.now)
        request_id = RequestId(f"{host.id}/{send.number}")
        host.sends[request_id] = send
        send.begun = self.channel.now
        verdict = host.claims.begin(request_id, send.claim, now + DEADLINE_SECONDS, now)
        send.verdict = verdict
        if verdict.decision is ClaimDecision.GRANTED:
            self.settled(host, request_id, verdict)
        self.channel.flush(host.id)

    def _run(self, host: Host, request_id: RequestId, send: Send) -> None:
        """Write the request to the upstream, which runs it or sheds it."""
        if self.hosts.get(host.id) is not host:
            return
        member = self.channel.members[host.id]
        if member.paused_since is not None:
            later = self.channel.now + 0.2
            self.channel.at(later, lambda: self._run(host, request_id, send))
            return
        now = member.local_time(self.channel.now)
        ran = self.rng.choice(self.outcomes)
        if not host.claims.holds(request_id, now):
            ran = Ran.NO
        if ran is not Ran.NO:
            send.ran_at = self.channel.now
            self.runs[send.claim.digest] += 1
        end = self.channel.now + self.rng.choice(self.run_seconds)
        self.channel.at(end, lambda: self._finish(host, request_id, ran))

    def _finish(self, host: Host, request_id: RequestId, ran: Ran) -> None:
        member = self.channel.members.get(host.id)
        if self.hosts.get(host.id) is not host or member is None:
            return
        if member.paused_since is not None:
            later = self.channel.now + 0.2
            self.channel.at(later, lambda: self._finish(host, request_id, ran))
            return
        host.claims.finish(request_id, ran, member.local_time(self.channel.now))
        self.channel.flush(host.id)


def _host_id(number: int) -> HostId:
    return HostId(f"host-{number:04d}")


@define
class ScheduleResult:
    """What one schedule led to."""

    claims: int = 0
    sends: int = 0
    ran: int = 0
    excess: int = 0
    """Runs of the same claim above one."""

    def add(self, other: "ScheduleResult") -> None:
        self.claims += other.claims
        self.sends += other.sends
        self.ran += other.ran
        self.excess += other.excess


def run_schedule(
    seed: int,
    hosts: int = 12,
    seconds: float = 130.0,
    claims: int = 25,
    spread: float = LIST_SPREAD_SECONDS,
    change_interval: float = 2 * LIST_SPREAD_SECONDS,
) -> ScheduleResult:
    """Run one seeded schedule of faults and resends.

    Each caller sends its request 2 to 6 times within the window, at random hosts.
    """
    rng = Random(seed)
    slowest = rng.choice([0.004, 0.05, 0.4, 3.0])
    channel = FakeChannel(
        rng,
        delay=(0.001, slowest),
        loss=rng.choice([0.0, 0.02, 0.2]),
        duplication=rng.choice([0.0, 0.1]),
    )
    fleet = Fleet(rng, hosts, channel)
    for number in range(claims):
        _plan_sends(fleet, rng, make_claim(number), START + rng.uniform(0.0, seconds))
    for _ in range(rng.randint(4, 14)):
        when = START + rng.uniform(0.0, seconds)
        channel.at(when, lambda: _inject_fault(fleet, rng, spread, change_interval))
    channel.run(START + seconds + WINDOW_SECONDS + 60.0)
    runs = fleet.runs.values()
    return ScheduleResult(
        claims, len(fleet.sends), sum(runs), sum(n - 1 for n in runs if n > 1)
    )


def _plan_sends(fleet: Fleet, rng: Random, claim: ClaimKey, first: float) -> None:
    instants = [first, first + rng.choice([0.0, 0.001, 0.02])]
    for _ in range(rng.randint(0, 4)):
        instants.append(first + rng.uniform(0.0, WINDOW_SECONDS * 0.99))
    for when in instants:
        fleet.channel.at(when, lambda: _send_somewhere(fleet, rng, claim))


def _send_somewhere(fleet: Fleet, rng: Random, claim: ClaimKey) -> None:
    if fleet.hosts:
        fleet.send(rng.choice(sorted(fleet.hosts)), claim)


def _inject_fault(
    fleet: Fleet, rng: Random, spread: float, change_interval: float
) -> None:
    now = fleet.channel.now
    known = sorted(fleet.published)
    host = rng.choice(known)
    kind = rng.choice(fleet.faults)
    if kind == "restart":
        fleet.restart(host)
    elif kind == "crash":
        fleet.crash(host)
        fleet.channel.at(now + rng.uniform(1.0, 20.0), lambda: _revive(fleet, host))
    elif kind == "pause":
        fleet.pause(host, rng.choice([0.3, 2.0, 20.0, 70.0]))
    elif kind == "one-way":
        other = rng.choice(known)
        fleet.channel.cut(host, other)
        fleet.channel.at(now + 20.0, lambda: fleet.channel.heal(host, other))
    elif kind == "split":
        one = set(rng.sample(known, len(known) // 2))
        fleet.channel.partition(one, set(known) - one)
        fleet.channel.at(now + rng.uniform(2.0, 40.0), fleet.channel.heal_all)
    elif now >= fleet.last_change + change_interval:
        change = fleet.replace if kind == "replace" else fleet.delist
        change(rng.randint(1, max(1, len(known) // 2)), spread)


def _revive(fleet: Fleet, host: HostId) -> None:
    if host in fleet.published and host not in fleet.hosts:
        fleet.restart(host)
