"""Detection of a failing server by whole hosts in virtual time.

It joins health, slots, rates and the requests' stages, as a host does, and measures the
time until most hosts give the server no new work. The bench of the health concern
measures that concern alone.
"""

from collections.abc import Callable
from enum import StrEnum
from random import Random
from statistics import median
from typing import Any

from attrs import frozen

from bench.invariants import listings, settings_tree
from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.protocol.settings.tree import TreeParser, split_documents
from catkinspan.state.ids import RequestId, ServerId, ServiceId
from catkinspan.testing.hosts import VirtualAttempt, VirtualFleet

SERVICE = ServiceId("press")
FAULTY = ServerId("server-1")
SLOTS = 3
SERVERS = 6
MEAN_LOG_SECONDS = -3.2
SIGMA = 0.4
"""Log-normal service times with a median of 41 ms."""

MEAN_SECONDS = 0.044
SETTLE_SECONDS = 40.0
"""After a start of the fleet ejections wait for 24 s, until the voters vote."""

LIMIT_SECONDS = 20.0
STEP_SECONDS = 0.1
SEEDS = range(9)


class ServerFault(StrEnum):
    """What the faulty server does."""

    SLOW = "10 times slower"
    ERRORS = "20% errors"
    HANG = "hangs"


@frozen
class Detection:
    """Result of one run."""

    seconds: float
    """Time until most hosts gave no new work; the limit if they never did."""

    requests_hit: int
    """Requests that ran at the faulty server until then."""


class DetectionRun:
    """One seeded run with one faulty server."""

    def __init__(self, fault: ServerFault, load: float, seed: int) -> None:
        self._fault = fault
        self._rng = Random(seed)
        self._faulty = False
        self._hit = 0
        tree = settings_tree()
        for workspace in tree["workspaces"].values():
            workspace.update(rate=10_000.0, burst=10_000.0)
        texts = split_documents(tree).unwrap()
        self._fleet = VirtualFleet(
            listings(), texts, TreeParser, Random(seed), self._respond
        )
        self._rate = load * SERVERS * SLOTS / MEAN_SECONDS / len(self._fleet.hosts)

    def run(self) -> Detection:
        """Run until the fault is found or the limit is reached."""
        channel = self._fleet.channel
        self._plan_load()
        channel.run(SETTLE_SECONDS)
        self._faulty = True
        elapsed = 0.0
        while elapsed < LIMIT_SECONDS:
            elapsed += STEP_SECONDS
            channel.run(SETTLE_SECONDS + elapsed)
            if self._without_server() > len(self._fleet.hosts) / 2:
                break
        return Detection(round(elapsed, 1), self._hit)

    def _plan_load(self) -> None:
        end = SETTLE_SECONDS + LIMIT_SECONDS
        number = 0
        for host in self._fleet.hosts:
            when = SETTLE_SECONDS - 10.0 + self._rng.expovariate(self._rate)
            while when < end:
                number += 1
                arrived = RequestArrived(
                    request_id=RequestId(f"r{number}"),
                    method="GET",
                    host="fleet.example",
                    path="/work/1",
                    presented_key=f"secret-workspace-{number % 4}",
                )
                self._fleet.channel.at(when, self._arrival(host, arrived))
                when += self._rng.expovariate(self._rate)

    def _arrival(self, host: Any, arrived: RequestArrived) -> Callable[[], None]:
        return lambda: self._fleet.arrive(host, arrived)

    def _without_server(self) -> int:
        now = self._fleet.channel.now
        return sum(
            all(
                candidate.upstream.id != FAULTY
                for candidate in host.coordinator.health.available(SERVICE, now)
            )
            for host in self._fleet.hosts.values()
        )

    def _respond(
        self, attempt: VirtualAttempt, rng: Random
    ) -> tuple[OutcomeKind, float]:
        seconds = rng.lognormvariate(MEAN_LOG_SECONDS, SIGMA)
        if not self._faulty or attempt.assigned.server != FAULTY:
            return OutcomeKind.OK, seconds
        self._hit += 1
        if self._fault is ServerFault.SLOW:
            return OutcomeKind.OK, 10.0 * seconds
        if self._fault is ServerFault.HANG:
            return OutcomeKind.TIMEOUT, attempt.assigned.attempt_timeout
        if rng.random() < 0.2:
            return OutcomeKind.SERVER_ERROR, seconds
        return OutcomeKind.OK, seconds


def run() -> None:
    """Print detection times at a third and at a tenth of capacity."""
    print("detection by whole hosts, virtual time, 9 hosts, 6 servers, 3 slots")
    print("  fault             load   median s   worst s   requests hit")
    for load in (1 / 3, 0.1):
        for fault in ServerFault:
            results = [DetectionRun(fault, load, seed).run() for seed in SEEDS]
            seconds = [result.seconds for result in results]
            hit = median(result.requests_hit for result in results)
            print(
                f"  {fault:<16} {load:>5.2f} {median(seconds):>10.1f}"
                f" {max(seconds):>9.1f} {hit:>14.0f}"
            )


if __name__ == "__main__":
    run()
