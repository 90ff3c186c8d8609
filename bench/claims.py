"""Prints figures of the claims, the quarantine and the routing, in virtual time."""

import tracemalloc
from collections.abc import Callable
from contextlib import ExitStack
from random import Random
from unittest.mock import patch

from attrs import define

from bench._claims_fleet import (
    DATA_CENTRES,
    DEADLINE_SECONDS,
    START,
    Fleet,
    ScheduleResult,
    Send,
    make_claim,
    run_schedule,
    view_of,
)
from catkinspan.coordination.claims.const import (
    ABSTAIN_SECONDS,
    CLAIM_GROUPS,
    MAX_PROMISES,
)
from catkinspan.coordination.claims.holders import HolderHistory
from catkinspan.coordination.claims.models import ClaimDecision, ClaimOwner, Ran
from catkinspan.coordination.claims.promises import PromiseTable
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.quarantine.coordinator import QuarantineCoordinator
from catkinspan.coordination.quarantine.models import (
    Fingerprint,
    RequestQuarantined,
    fingerprint,
)
from catkinspan.coordination.rendezvous import weight
from catkinspan.coordination.routing.index import RouteIndex
from catkinspan.state.ids import HostId, RouteId, ServerId, ServiceId, WorkspaceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Route, RouteMatch, SettingsTree
from catkinspan.testing.channel import FakeChannel

SCHEDULES = 240
ABLATION_SCHEDULES = 30
ROUTES = 17_000
ROUTE_DEPTH = 4

_CLAIMS = "catkinspan.coordination.claims."
ABLATIONS: dict[str, dict[str, object]] = {
    "without abstention": {f"{_CLAIMS}coordinator.ABSTAIN_SECONDS": 0.0},
    "replaced lists forgotten": {f"{_CLAIMS}holders.LIST_MEMORY_SECONDS": 0.0},
    "two promises of five": {
        f"{_CLAIMS}ballot.majority": lambda holders: max(1, len(holders) // 2)
    },
    "promises of 10 s": {f"{_CLAIMS}promises.PROMISE_SECONDS": 10.0},
    "without guard after a pause": {f"{_CLAIMS}coordinator.PAUSE_GUARD_SECONDS": 0.0},
}
"""Variants without one rule each; the schedules must find their double runs."""


def search(
    seeds: range, without: dict[str, object] | None = None, **settings: float
) -> ScheduleResult:
    """Run the schedules of some seeds, with parts of the claims replaced."""
    total = ScheduleResult()
    with ExitStack() as stack:
        for target, value in (without or {}).items():
            stack.enter_context(patch(target, value))
        for seed in seeds:
            total.add(run_schedule(seed, **settings))  # type: ignore[arg-type]
    return total


@define
class GrantShare:
    """Claims sought by hosts of one group, and those granted."""

    sought: int
    granted: int
    messages: float
    """Messages between hosts for each claim, its end included."""

    median_wait: float = 0.0
    """Seconds from the begin of a granted claim to its verdict."""

    p99_wait: float = 0.0

    @property
    def share(self) -> float:
        """Return the share of claims granted."""
        return self.granted / self.sought


def grants(
    seed: int, disturb: Callable[[Fleet], set[HostId]], count: int = 600
) -> GrantShare:
    """Send first requests to the hosts that `disturb` returns."""
    rng = Random(seed)
    channel = FakeChannel(rng)
    fleet = Fleet(rng, 40, channel)
    fleet.outcomes, fleet.run_seconds = (Ran.YES,), (0.02,)
    entries = sorted(disturb(fleet))
    sends: list[Send] = []
    for number in range(count):
        claim = make_claim(number)
        when = START + 1.0 + rng.random() * 5.0
        host = rng.choice(entries)
        channel.at(when, lambda h=host, c=claim: sends.append(fleet.send(h, c)))  # type: ignore[misc]
    channel.run(START + 6.0 + DEADLINE_SECONDS)
    waits = sorted(s.settled_at - (s.begun or 0.0) for s in sends if is_granted(s))
    messages = channel.sent_messages / count
    if not waits:
        return GrantShare(count, 0, messages)
    median, p99 = waits[len(waits) // 2], waits[len(waits) * 99 // 100]
    return GrantShare(count, len(waits), messages, median, p99)


def is_granted(send: Send) -> bool:
    verdict = send.verdict
    return verdict is not None and verdict.decision is ClaimDecision.GRANTED


def healthy(fleet: Fleet) -> set[HostId]:
    return set(fleet.hosts)


def cut_off(fleet: Fleet, inside: bool) -> set[HostId]:
    """Cut one of three data centres off; return the hosts inside or outside it."""
    lost = {host for host, name in fleet.published.items() if name == "dc0"}
    rest = set(fleet.published) - lost
    fleet.channel.partition(lost, rest)
    return lost if inside else rest


def restarted(fleet: Fleet, share: float, age: float = 0.0) -> set[HostId]:
    """Restart a share of the hosts at once, `age` seconds before the requests."""
    hosts = sorted(fleet.hosts)
    for host in fleet.rng.sample(hosts, round(len(hosts) * share)):
        fleet.restart(host)
    fleet.channel.run(fleet.channel.now + age)
    return set(fleet.hosts)


def grants_after_restart(seed: int, age: float) -> GrantShare:
    """Restart a whole fleet and send first requests `age` seconds later."""
    rng = Random(seed)
    channel = FakeChannel(rng)
    fleet = Fleet(rng, 40, channel)
    for host in sorted(fleet.hosts):
        fleet.restart(host)
    channel.run(START + age)
    sends = []
    for number in range(100):
        sends.append(fleet.send(rng.choice(sorted(fleet.hosts)), make_claim(number)))
    channel.run(START + age + 1.0)
    return GrantShare(100, sum(map(is_granted, sends)), 0.0)


def bytes_per_promise(count: int = MAX_PROMISES) -> float:
    """Return the memory of one promise at a holder, its digests included."""
    workspaces = [WorkspaceId(f"workspace-{number}") for number in range(100)]
    tracemalloc.start()
    table = PromiseTable()
    for number in range(count):
        workspace = workspaces[number % len(workspaces)]
        owner = ClaimOwner(HostId("host"), 1, number)
        claim = make_claim(number, workspace)
        table.promise(claim.digest, owner, workspace, claim.request_digest, 0.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if len(table) != count:
        raise AssertionError("the table refused a promise")
    return held / count


def hashes_per_list_change(hosts: int = 1_100) -> tuple[int, int]:
    """Return the weights computed for all groups: for a first list and a changed one.

    The change replaces one host.
    """
    first = {HostId(f"h{n}"): DATA_CENTRES[n % 3] for n in range(hosts)}
    changed = {**first, HostId("new"): first[HostId("h7")]}
    del changed[HostId("h7")]
    history = HolderHistory()
    digests = [group.to_bytes(4, "big") for group in range(CLAIM_GROUPS)]
    counts = []
    for now, listed in ((0.0, first), (1.0, changed)):
        with patch(f"{_CLAIMS}holders.weight", wraps=weight) as weigh:
            history.apply_view(view_of(HostId("h0"), listed), now)
            for digest in digests:
                history.sets_of(digest, now)
            counts.append(weigh.call_count)
    return counts[0], counts[1]


@define
class Spread:
    """When the hosts of a fleet came to refuse a request, after its second crash."""

    reached: int
    median: float
    last: float
    messages: float
    """Messages sent by each host for the two crashes."""


class Watch:
    """A host with a quarantine, and the instant at which it began to refuse."""

    def __init__(self, node: QuarantineCoordinator, outbox: Outbox) -> None:
        self.node = node
        self.outbox = outbox
        self.refused_at: float | None = None
        self.awaited: Fingerprint | None = None

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Pass a message on."""
        self.node.handle(message, origin, now)
        self.look(now)

    def tick(self, now: float) -> None:
        """Pass a tick on."""
        self.node.tick(now)

    def resume(self, gap: float, now: float) -> None:
        """Pass a pause on."""
        self.node.resume(gap, now)

    def look(self, now: float) -> None:
        """Note whether the host refuses the awaited request."""
        if self.awaited is None or self.refused_at is not None:
            return
        if self.node.check(self.awaited, now).is_err():
            self.refused_at = now


class QuarantineFleet:
    """Quarantine coordinators on a fake channel."""

    def __init__(self, seed: int, count: int = 40, loss: float = 0.0) -> None:
        rng = Random(seed)
        self.channel = FakeChannel(rng, loss=loss)
        self.hosts: dict[HostId, Watch] = {}
        self.listed = {
            HostId(f"h{n:04d}"): DATA_CENTRES[n % len(DATA_CENTRES)]
            for n in range(count)
        }
        for host in self.listed:
            outbox = Outbox()
            node = QuarantineCoordinator(host, outbox, Random(rng.random()))
            node.apply_view(view_of(host, self.listed), 0.0)
            self.hosts[host] = Watch(node, outbox)
            self.channel.attach(host, self.hosts[host], outbox)

    def crash(self, host: HostId, print_: Fingerprint, server: str) -> None:
        """Let an upstream connection of a host die."""
        now = self.channel.now
        self.hosts[host].node.record_crash(print_, ServerId(server), now)
        self.channel.flush(host)

    def success(self, host: HostId, print_: Fingerprint) -> None:
        """Let a request of a host succeed."""
        self.hosts[host].node.record_success(print_, self.channel.now)
        self.channel.flush(host)

    def refusing(self, print_: Fingerprint) -> int:
        """Return how many hosts refuse a request."""
        now = self.channel.now
        return sum(h.node.check(print_, now).is_err() for h in self.hosts.values())

    def quarantine_events(self) -> int:
        """Return and forget how many hosts reported a quarantine."""
        return sum(
            isinstance(event, RequestQuarantined)
            for host in self.hosts.values()
            for event in host.outbox.take_events()
        )


def make_print(path: str = "/crash", workspace: str = "workspace") -> Fingerprint:
    return fingerprint(WorkspaceId(workspace), RouteId("route"), "POST", path, b"")


def quarantine_spread(seed: int, count: int = 40, loss: float = 0.0) -> Spread:
    """Crash two servers through two hosts and watch the fleet in steps of 1 ms."""
    fleet = QuarantineFleet(seed, count, loss)
    fleet.channel.run(1.0)
    culprit = make_print()
    first, second = HostId("h0000"), HostId("h0001")
    fleet.crash(first, culprit, "server-1")
    fleet.channel.run(1.5)
    for watch in fleet.hosts.values():
        watch.awaited = culprit
    fleet.crash(second, culprit, "server-2")
    fleet.hosts[second].look(fleet.channel.now)
    begun = fleet.channel.now
    fleet.channel.run(begun + 1.0)
    instants = sorted(
        host.refused_at - begun
        for host in fleet.hosts.values()
        if host.refused_at is not None
    )
    messages = fleet.channel.sent_messages / count
    return Spread(len(instants), instants[len(instants) // 2], instants[-1], messages)


def make_tree(count: int) -> SettingsTree:
    """Build a tree of routes as of a large fleet: some for a host, some for methods.

    Prefixes have 1 to `ROUTE_DEPTH` segments.
    """
    policy = Policy()
    routes = {}
    for number in range(count):
        service = number % 180
        above = (f"/service-{service}", f"/area-{number % 37}", "/v2")
        prefix = "".join(above[: number // 7 % 4]) + f"/route-{number}"
        host = f"shop-{number % 50}.example" if number % 4 == 0 else None
        methods = frozenset({"GET", "HEAD"}) if number % 3 == 0 else frozenset()
        match = RouteMatch(prefix, methods, host)
        route_id = RouteId(f"route-{number}")
        service_id = ServiceId(f"service-{service}")
        routes[route_id] = Route(route_id, service_id, match, policy, {})
    return SettingsTree(routes=routes)


@define
class RoutingCost:
    """Costs of the route index."""

    lookups: float
    """Mean dictionary look-ups of one match."""

    most_lookups: int
    """Of any match, one without a route included."""

    bytes_per_route: float
    """Memory of the index alone; the routes belong to the settings tree."""


def routing_cost(count: int) -> RoutingCost:
    tree = make_tree(count)
    tracemalloc.start()
    index = RouteIndex(tree)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    costs = []
    for route in list(tree.routes.values())[:: max(1, count // 2000) | 1]:
        before = index.lookups
        host = route.match.host or "other.example"
        found = index.match("GET", host, route.match.path_prefix + "/item/7?size=a5")
        if found.ok() is not route:
            raise AssertionError(f"{route.id} was not found")
        costs.append(index.lookups - before)
    before = index.lookups
    index.match("GET", "shop-0.example", "/no/such/route/of/this/host/and/any")
    costs.append(index.lookups - before)
    return RoutingCost(sum(costs) / len(costs), max(costs), held / count)


def run() -> None:
    """Print the tables."""
    _print_search()
    _print_grants()
    _print_quarantine()
    _print_routing()


def _print_search() -> None:
    print("Claims: runs of the same claim above one (target 0)")
    print(f"{'variant':40} schedules claims  sends  runs  above one")
    rows = [("as built", search(range(SCHEDULES)), SCHEDULES)]
    for name, without in ABLATIONS.items():
        result = search(range(ABLATION_SCHEDULES), without)
        rows.append((f"{name} (ablation)", result, ABLATION_SCHEDULES))
    outside = search(range(ABLATION_SCHEDULES), spread=90.0, change_interval=5.0)
    rows.append(("lists spread in 90 s (not assumed)", outside, ABLATION_SCHEDULES))
    for name, result, count in rows:
        print(
            f"{name:40} {count:9} {result.claims:6} {result.sends:6} "
            f"{result.ran:5} {result.excess:10}"
        )


def _print_grants() -> None:
    print("\nClaims granted to first requests, 40 hosts in 3 data centres")
    print(f"{'condition':48} granted  messages  wait p50 ms  p99 ms")
    cases: list[tuple[str, Callable[[Fleet], set[HostId]]]] = [
        ("healthy", healthy),
        ("one data centre cut off, hosts outside it", lambda f: cut_off(f, False)),
        ("one data centre cut off, hosts inside it", lambda f: cut_off(f, True)),
        ("5% of the hosts just restarted", lambda f: restarted(f, 0.05)),
        ("10% of the hosts just restarted", lambda f: restarted(f, 0.1)),
        ("25% of the hosts just restarted", lambda f: restarted(f, 0.25)),
        ("33% of the hosts just restarted", lambda f: restarted(f, 0.33)),
    ]
    for name, disturb in cases:
        result = grants(1, disturb)
        print(
            f"{name:48} {result.share:7.1%} {result.messages:9.1f} "
            f"{result.median_wait * 1000:12.1f} {result.p99_wait * 1000:7.1f}"
        )
    for age in (1.0, ABSTAIN_SECONDS - 2.0, ABSTAIN_SECONDS + 2.0):
        share = grants_after_restart(1, age).share
        print(f"{f'{age:.0f} s after the restart of all hosts':48} {share:7.1%}")
    print(f"\nbytes per promise at a holder: {bytes_per_promise():.0f}")
    first, changed = hashes_per_list_change()
    print(f"hashes for all holders of 1,100 hosts: {first}")
    print(f"hashes after one of them was replaced: {changed}")


def _print_quarantine() -> None:
    print("\nQuarantine: time from the second crash until hosts refuse, 10 seeds")
    print("hosts  loss  median ms  last host ms  hosts missed  messages per host")
    for count, loss in ((40, 0.0), (40, 0.1), (400, 0.0)):
        spreads = [quarantine_spread(seed, count, loss) for seed in range(10)]
        median = sorted(s.median for s in spreads)[5] * 1000
        last = max(s.last for s in spreads) * 1000
        missed = sum(count - s.reached for s in spreads)
        messages = sum(s.messages for s in spreads) / len(spreads)
        print(
            f"{count:5} {loss:5.0%} {median:10.0f} {last:13.0f} {missed:13} "
            f"{messages:18.1f}"
        )


def _print_routing() -> None:
    print("\nRouting: cost of the index")
    print("routes  mean look-ups  most look-ups  bytes per route")
    for count in (170, 1_700, ROUTES):
        cost = routing_cost(count)
        print(
            f"{count:6} {cost.lookups:14.2f} {cost.most_lookups:14} "
            f"{cost.bytes_per_route:16.0f}"
        )
