"""Invariants of whole hosts in virtual time, under seeded schedules of faults.

Each schedule crashes, restarts, pauses and partitions hosts, takes the platform away,
loses and doubles messages, lets servers fail in every way, withdraws a key, and
resends non-idempotent requests through other hosts. Every violation is counted; the
target is 0 for each.
"""

from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from hashlib import sha256
from random import Random
from typing import Any

from attrs import define, field, frozen

from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.errors import Ran
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.protocol.settings.tree import TreeParser, split_documents
from catkinspan.state.hosts import ListedHost
from catkinspan.state.ids import DataCentre, HostId, RequestId, ServerId
from catkinspan.state.tree import Address
from catkinspan.testing.hosts import VirtualAttempt, VirtualFleet

HOSTS = 9
SERVERS = 6
WORKSPACES = 4
SETTLE_SECONDS = 90.0
"""Claim holders abstain after a start of the fleet; requests begin afterwards."""

LOAD_SECONDS = 40.0
TAIL_SECONDS = 15.0
RATE_PER_HOST = 3.0
WITHDRAWN = "workspace-3"
WITHDRAWAL_AT = SETTLE_SECONDS + LOAD_SECONDS / 2
READABLE_SECONDS = 3.0
"""Time after the withdrawal in which the platform stays: a watch of the virtual
readers returns each 2 s."""

KEY_BOUND_SECONDS = 8.0
"""Seconds in which a withdrawn key must stop on a host that is cut off: the isolation
limit of 5 s, the 2 s of a watch, and 1 s for a pause to be noticed."""

SCHEDULES = 200
WORKERS = 4

OUTCOMES = (
    (OutcomeKind.RESET, 0.4),
    (OutcomeKind.TIMEOUT, 0.4),
    (OutcomeKind.SHED, 0.3),
    (OutcomeKind.SERVER_ERROR, 0.4),
    (OutcomeKind.CONNECT_ERROR, 0.5),
    (OutcomeKind.TRUNCATED, 0.3),
)
"""Faults of servers, and the share of requests that each fault hits."""

NEVER_RUN = frozenset({OutcomeKind.CONNECT_ERROR, OutcomeKind.SHED})
MAY_RUN = frozenset({OutcomeKind.RESET, OutcomeKind.TIMEOUT})


@frozen
class SentRequest:
    """A request that a caller sent, and through which host."""

    id: RequestId
    host: HostId
    workspace: str
    idempotent: bool
    idempotency_key: str | None


@define
class Violations:
    """Broken invariants of one schedule; each should be 0."""

    ran_twice: int = 0
    resend_ran_twice: int = 0
    false_not_run: int = 0
    withdrawn_key_ran: int = 0
    wrong_workspace: int = 0
    revision_went_back: int = 0
    requests: int = 0
    answered: int = 0
    details: list[str] = field(factory=list)

    @property
    def total(self) -> int:
        """Return the number of violations."""
        return (
            self.ran_twice
            + self.resend_ran_twice
            + self.false_not_run
            + self.withdrawn_key_ran
            + self.wrong_workspace
            + self.revision_went_back
        )


class Schedule:
    """One seeded run of a fleet under faults."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)
        self._servers: dict[ServerId, tuple[OutcomeKind, float]] = {}
        self._runs: Counter[RequestId] = Counter()
        self._sent: dict[RequestId, SentRequest] = {}
        self._revisions: dict[tuple[HostId, int], int] = {}
        self._violations = Violations()
        self._tree = settings_tree()
        self._fleet = VirtualFleet(
            listings(),
            split_documents(self._tree).unwrap(),
            TreeParser,
            self._rng,
            self._respond,
        )

    def run(self) -> Violations:
        """Run the schedule and return what was broken."""
        channel = self._fleet.channel
        channel.run(SETTLE_SECONDS)
        self._plan_load()
        self._plan_faults()
        channel.at(WITHDRAWAL_AT, self._withdraw)
        end = SETTLE_SECONDS + LOAD_SECONDS
        when = SETTLE_SECONDS
        while when < end + TAIL_SECONDS:
            when += 0.25
            channel.run(when)
            self._check_revisions()
        self._check()
        return self._violations

    # The upstream servers

    def _respond(
        self, attempt: VirtualAttempt, rng: Random
    ) -> tuple[OutcomeKind, float]:
        assigned = attempt.assigned
        kind, share = self._servers.get(assigned.server, (OutcomeKind.OK, 0.0))
        if rng.random() >= share:
            kind = OutcomeKind.OK
        ran = kind not in NEVER_RUN
        if kind in MAY_RUN:
            ran = rng.random() < 0.5
        if ran:
            self._runs[assigned.request_id] += 1
        self._check_assignment(attempt)
        latency = 3.0 if kind is OutcomeKind.TIMEOUT else rng.uniform(0.005, 0.05)
        return kind, latency

    def _check_assignment(self, attempt: VirtualAttempt) -> None:
        sent = self._sent[attempt.assigned.request_id]
        if attempt.assigned.workspace != sent.workspace:
            self._violations.wrong_workspace += 1
        late = attempt.at > WITHDRAWAL_AT + KEY_BOUND_SECONDS
        if sent.workspace == WITHDRAWN and late:
            self._violations.withdrawn_key_ran += 1
            self._note(f"withdrawn key ran on {attempt.host} at {attempt.at:.2f}")

    # The load

    def _plan_load(self) -> None:
        number = 0
        for host in list(self._fleet.hosts):
            when = SETTLE_SECONDS + self._rng.expovariate(RATE_PER_HOST)
            while when < SETTLE_SECONDS + LOAD_SECONDS:
                number += 1
                self._plan_request(host, number, when)
                when += self._rng.expovariate(RATE_PER_HOST)

    def _plan_request(self, host: HostId, number: int, when: float) -> None:
        workspace = f"workspace-{self._rng.randrange(WORKSPACES)}"
        if self._rng.random() < 0.5:
            self._send(host, f"r{number}", workspace, when, None, idempotent=True)
            return
        key = f"key-{number}" if self._rng.random() < 0.8 else None
        self._send(host, f"r{number}", workspace, when, key, idempotent=False)
        if key is None:
            return
        for copy in range(self._rng.randrange(3)):
            other = self._rng.choice(list(self._fleet.hosts))
            later = when + self._rng.choice((0.0, 0.02, 0.5, 3.0, 8.0))
            name = f"r{number}-{copy}"
            self._send(other, name, workspace, later, key, idempotent=False)

    def _send(
        self,
        host: HostId,
        name: str,
        workspace: str,
        when: float,
        key: str | None,
        idempotent: bool,
    ) -> None:
        request_id = RequestId(name)
        sent = SentRequest(request_id, host, workspace, idempotent, key)
        self._sent[request_id] = sent
        self._violations.requests += 1
        arrived = RequestArrived(
            request_id=request_id,
            method="GET" if idempotent else "POST",
            host="fleet.example",
            path=f"/work/{name if key is None else key}",
            presented_key=f"secret-{workspace}",
            idempotency_key=key,
            content_length=0 if idempotent else 10,
        )
        self._fleet.channel.at(when, lambda: self._fleet.arrive(host, arrived))

    # The faults

    def _plan_faults(self) -> None:
        actions: list[Callable[[], None]] = [
            self._crash_host,
            self._pause_host,
            self._cut_one_way,
            self._partition,
            self._platform_away,
            self._server_fault,
            self._server_fault,
            self._server_fault,
        ]
        for _ in range(24):
            when = SETTLE_SECONDS + self._rng.uniform(0.0, LOAD_SECONDS)
            self._fleet.channel.at(when, self._rng.choice(actions))

    def _later(self, low: float, high: float, action: Callable[[], Any]) -> None:
        channel = self._fleet.channel
        channel.at(channel.now + self._rng.uniform(low, high), action)

    def _any_host(self) -> HostId:
        return self._rng.choice(sorted(self._fleet.hosts))

    def _crash_host(self) -> None:
        if len(self._fleet.hosts) <= HOSTS // 2:
            return
        host = self._any_host()
        self._fleet.crash(host)
        self._later(0.1, 5.0, lambda: self._fleet.start(host))

    def _pause_host(self) -> None:
        host = self._any_host()
        member = self._fleet.channel.members[host]
        if member.paused_since is not None:
            return
        self._fleet.channel.pause(host)
        self._later(0.2, 6.0, lambda: self._wake(host, member))

    def _wake(self, host: HostId, member: object) -> None:
        if self._fleet.channel.members.get(host) is member:
            self._fleet.channel.wake(host)

    def _cut_one_way(self) -> None:
        source, target = self._rng.sample(sorted(self._fleet.hosts), 2)
        self._fleet.channel.cut(source, target)
        self._later(0.5, 8.0, lambda: self._fleet.channel.heal(source, target))

    def _partition(self) -> None:
        names = [listing.id for listing in listings()]
        self._rng.shuffle(names)
        part = self._rng.randrange(1, HOSTS // 2 + 1)
        self._fleet.channel.partition(names[:part], names[part:])
        self._later(1.0, 10.0, self._fleet.channel.heal_all)

    def _platform_away(self) -> None:
        since = self._fleet.channel.now - WITHDRAWAL_AT
        if 0.0 <= since < READABLE_SECONDS:
            # A withdrawal that no host could read yet is known to nobody, and the
            # fleet rightly goes on while the service is away for all.
            return
        self._fleet.platform.is_down = True
        self._later(1.0, 10.0, self._platform_back)

    def _platform_back(self) -> None:
        self._fleet.platform.is_down = False

    def _server_fault(self) -> None:
        server = ServerId(f"server-{self._rng.randrange(SERVERS)}")
        self._servers[server] = self._rng.choice(OUTCOMES)
        self._later(1.0, 10.0, lambda: self._servers.pop(server, None))

    def _withdraw(self) -> None:
        self._tree["workspaces"][WITHDRAWN]["keys"] = []
        self._fleet.platform.publish(split_documents(self._tree).unwrap())
        # The bound counts from the moment at which a reader can learn of it.
        self._fleet.platform.is_down = False

    # The checks

    def _check_revisions(self) -> None:
        for host, member in self._fleet.channel.members.items():
            revision = self._fleet.hosts[host].coordinator.tree.revision
            life = (host, member.incarnation)
            if revision < self._revisions.get(life, 0):
                self._violations.revision_went_back += 1
            self._revisions[life] = revision

    def _check(self) -> None:
        by_key: Counter[tuple[str, str]] = Counter()
        for sent in self._sent.values():
            runs = self._runs[sent.id]
            if not sent.idempotent and runs > 1:
                self._violations.ran_twice += 1
                self._note(f"{sent.id} ran {runs} times")
            if sent.idempotency_key is not None:
                by_key[sent.workspace, sent.idempotency_key] += runs
        for (workspace, key), runs in by_key.items():
            if runs > 1:
                self._violations.resend_ran_twice += 1
                self._note(f"{workspace} {key} ran {runs} times")
        for host in self._fleet.hosts.values():
            self._violations.answered += len(host.finished) + len(host.refusals)
            for request_id, refusal in host.refusals.items():
                if refusal.ran is Ran.NO and self._runs[request_id]:
                    self._violations.false_not_run += 1
                    self._note(f"{request_id} ran, but was answered: {refusal}")

    def _note(self, text: str) -> None:
        self._violations.details.append(text)


def listings() -> list[ListedHost]:
    """Return the hosts, spread over three data centres."""
    return [
        ListedHost(
            HostId(f"host-{i}"),
            DataCentre(f"dc-{i % 3}"),
            Address("127.0.0.1", 10_000 + i),
        )
        for i in range(HOSTS)
    ]


def settings_tree() -> dict[str, Any]:
    """Return the settings at the start of a schedule."""
    return {
        "fleet": {"max_hosts": HOSTS},
        "services": {
            "press": {
                "upstreams": [
                    {
                        "id": f"server-{n}",
                        "address": f"127.0.0.1:{20_000 + n}",
                        "data_centre": f"dc-{n % 3}",
                        "slots": 3,
                    }
                    for n in range(SERVERS)
                ],
                "routes": {"work": {"match": {"path_prefix": "/work"}}},
            }
        },
        "workspaces": {
            f"workspace-{n}": {
                "keys": [{"id": "k", "sha256": _digest(f"secret-workspace-{n}")}],
                "rate": 50.0,
                "burst": 100.0,
            }
            for n in range(WORKSPACES)
        },
        "hosts": [
            {
                "id": host.id,
                "data_centre": host.data_centre,
                "peer_address": str(host.peer_address),
            }
            for host in listings()
        ],
    }


def _digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


def run_schedule(seed: int) -> Violations:
    """Run the schedule of a seed."""
    return Schedule(seed).run()


def run() -> None:
    """Run all schedules and print the sums."""
    total = Violations()
    with ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run_schedule, range(SCHEDULES)))
    for seed, result in enumerate(results):
        total.requests += result.requests
        total.answered += result.answered
        total.ran_twice += result.ran_twice
        total.resend_ran_twice += result.resend_ran_twice
        total.false_not_run += result.false_not_run
        total.withdrawn_key_ran += result.withdrawn_key_ran
        total.wrong_workspace += result.wrong_workspace
        total.revision_went_back += result.revision_went_back
        for detail in result.details:
            print(f"  seed {seed}: {detail}")
    print(f"invariants of whole hosts, {SCHEDULES} schedules, target 0 each")
    print(f"  requests {total.requests}, with an answer {total.answered}")
    print(f"  non-idempotent request ran twice   {total.ran_twice}")
    print(f"  resend with the same key ran twice {total.resend_ran_twice}")
    print(f"  'not run' that ran                 {total.false_not_run}")
    print(f"  withdrawn key ran after 8 s        {total.withdrawn_key_ran}")
    print(f"  ran for another workspace          {total.wrong_workspace}")
    print(f"  revision went back                 {total.revision_went_back}")


if __name__ == "__main__":
    run()
