"""Seeded schedules of faults for the rates concern.

The schedules keep the promise that the bound rests on: at most `max_hosts` processes
with a rank run at once, and a host is replaced only after its process has stopped.
Everything else may go wrong at once.
"""

from collections.abc import Callable
from random import Random

from bench.rates_fleet import Fleet, workspace
from catkinspan.state.ids import HostId, WorkspaceId

SCHEDULE_SECONDS = 60.0
SLOTS = 10
MAX_LIST_LAG_SECONDS = 20.0
LOADS = (
    workspace("small", 5, 10),
    workspace("medium", 40, 80),
    workspace("tight", 30, 10),
    workspace("deep", 20, 200),
)


class Schedule:
    """Random faults and uneven load on a small fleet."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(f"schedule/{seed}")
        rng = self.rng
        self.extra = rng.choice((0, 0, 2))
        self.fleet = Fleet(
            seed,
            LOADS,
            slots=SLOTS,
            shards=rng.choice((1, 4, 16)),
            loss=rng.choice((0.0, 0.02, 0.1)),
            duplication=rng.choice((0.0, 0.1)),
            drift=0.0005,
            late=rng.choice((0.0, 0.05)),
        )
        self.fault_gap = rng.choice((1.5, 5.0, 12.0))
        self.view_gap = rng.choice((2.0, 10.0, 30.0))
        self.suspicion = rng.choice((0.0, 0.02, 0.1))
        self.count = SLOTS + self.extra
        self.ids = self.fleet.start_all(self.count)
        self.published = frozenset(self.ids)
        self.history = [self.published]
        self.names = self.count
        self.faults: dict[str, int] = {}

    def run(self) -> float:
        """Run the schedule and return the largest excess over the bound."""
        for item in LOADS:
            self._offer(item.id, item.rate)
        self._every(self.fault_gap, self._fault)
        self._every(self.view_gap, self._change_view)
        self.fleet.channel.run(SCHEDULE_SECONDS)
        return self.fleet.excess

    def _every(self, mean: float, action: Callable[[], None]) -> None:
        def step() -> None:
            action()
            self._every(mean, action)

        when = self.fleet.channel.now + self.rng.expovariate(1 / mean)
        self.fleet.channel.at(when, step)

    def _offer(self, name: WorkspaceId, rate: float) -> None:
        """Offer phases of silence, load within the rate and floods, unevenly."""
        rng, channel = self.rng, self.fleet.channel
        phase_end = 0.0
        pace = rate
        targets = self.ids

        def step() -> None:
            nonlocal phase_end, pace, targets
            if channel.now >= phase_end:
                phase_end = channel.now + rng.uniform(0.5, 8.0)
                pace = rate * rng.choice((0.01, 0.5, 3.0, 12.0))
                running = sorted(self.fleet.hosts)
                targets = rng.sample(running, rng.randint(1, len(running)))
            self.fleet.request(rng.choice(targets), name)
            wait = min(rng.expovariate(pace), max(0.01, phase_end - channel.now))
            channel.at(channel.now + wait, step)

        channel.at(0.1, step)

    def _fault(self) -> None:
        faults = (
            self._cut_one_way,
            self._partition,
            self._pause,
            self._restart,
            self._replace,
            self._isolate,
        )
        fault = self.rng.choice(faults)
        self.faults[fault.__name__] = self.faults.get(fault.__name__, 0) + 1
        fault()

    def _running(self) -> list[HostId]:
        return sorted(self.fleet.hosts.keys() - self.fleet.paused.keys())

    def _later(self, low: float, high: float, action: Callable[[], None]) -> None:
        when = self.fleet.channel.now + self.rng.uniform(low, high)
        self.fleet.channel.at(when, action)

    def _cut_one_way(self) -> None:
        a, b = self.rng.sample(sorted(self.fleet.hosts), 2)
        self.fleet.channel.cut(a, b)
        self._later(0.5, 15, lambda: self.fleet.channel.heal(a, b))

    def _isolate(self) -> None:
        one = self.rng.choice(sorted(self.fleet.hosts))
        for other in sorted(self.fleet.hosts):
            self.fleet.channel.cut(one, other)
            if self.rng.random() < 0.5:
                self.fleet.channel.cut(other, one)
        self._later(0.5, 10, self.fleet.channel.heal_all)

    def _partition(self) -> None:
        hosts = sorted(self.fleet.hosts)
        side = set(self.rng.sample(hosts, len(hosts) // 2))
        self.fleet.channel.partition(side, set(hosts) - side)
        self._later(0.5, 12, self.fleet.channel.heal_all)

    def _pause(self) -> None:
        running = self._running()
        if len(running) < 3:
            return
        host = self.rng.choice(running)
        process = self.fleet.hosts[host]
        self.fleet.pause(host)

        def wake() -> None:
            if self.fleet.hosts.get(host) is process:
                self.fleet.wake(host)

        self._later(0.1, 8, wake)

    def _restart(self) -> None:
        host = self.rng.choice(sorted(self.fleet.hosts))
        listed = self.fleet.hosts[host].listed
        self.fleet.crash(host)

        def start() -> None:
            self.fleet.start(host, listed | {host})
            self._learn_incarnation(host)

        self._later(0.05, 0.5, start)

    def _replace(self) -> None:
        old = self.rng.choice(sorted(self.fleet.hosts))
        self.fleet.crash(old)
        new = HostId(f"{self.rng.choice('agz')}{self.names:04}")
        self.names += 1
        self.published = (self.published - {old}) | {new}
        self.history.append(self.published)
        listed = self.published
        self._later(0.05, 2, lambda: self.fleet.start(new, listed))

    def _learn_incarnation(self, host: HostId) -> None:
        for other in sorted(self.fleet.hosts):
            known = self.fleet.hosts[other].known
            if other != host and self.rng.random() < 0.7:
                known[host] = self.fleet.hosts[host].incarnation

    def _change_view(self) -> None:
        """Give some hosts another list, old or new, and wrong suspicions."""
        for host in sorted(self.fleet.hosts):
            if self.rng.random() < 0.6:
                continue
            if self.extra:
                listed = self.published
            else:
                listed = self.rng.choice(self.history[-3:])
            others = sorted(listed - {host})
            dead = frozenset(
                other
                for other in others
                if self.rng.random()
                < (self.suspicion if other in self.fleet.hosts else 0.8)
            )
            self.fleet.publish(host, listed=listed, dead=dead)


def run_schedule(seed: int) -> float:
    """Return the largest excess over the bound of one schedule."""
    return Schedule(seed).run()
