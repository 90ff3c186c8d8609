"""A hub's view of the servers, from what all hosts report."""

from collections.abc import Iterable

from attrs import define, field

from catkinspan.coordination.health.belief import Belief
from catkinspan.coordination.health.const import (
    FAILURE_FACTOR,
    RISK_STEP,
    STALE_SECONDS,
)
from catkinspan.coordination.health.models import ServerCount, ServerState
from catkinspan.state.ids import DataCentre, HostId, ServerId

_FORGET_SECONDS = 30.0


@define
class _Reporter:
    """A host, or the hub of another data centre."""

    incarnation: int
    heard_at: float
    counts: dict[ServerId, ServerCount] = field(factory=dict)


@define
class _Sum:
    """Counts of the own data centre that only grow."""

    succeeded: int = 0
    failed: int = 0
    changed_at: float = float("-inf")


class Assessor:
    """Pools the counts of hosts and judges each server by them.

    Counters that only grow make a lost or repeated report harmless. Of several hubs
    of a data centre only one is counted at a time.
    """

    def __init__(self) -> None:
        self._hosts: dict[HostId, _Reporter] = {}
        self._remote: dict[HostId, _Reporter] = {}
        self._hub_of: dict[DataCentre, HostId] = {}
        self._beliefs: dict[ServerId, Belief] = {}
        self._zone: dict[ServerId, _Sum] = {}
        self._changed_at: dict[ServerId, float] = {}

    def count_host(
        self,
        host: HostId,
        incarnation: int,
        counts: Iterable[ServerCount],
        now: float,
    ) -> bool:
        """Take over the counts of a host; return whether they hold new failures."""
        reporter = self._reporter(self._hosts, host, incarnation, now)
        failures = 0
        for count in counts:
            good, bad = _growth(reporter.counts.get(count.server), count)
            reporter.counts[count.server] = count
            total = self._zone.setdefault(count.server, _Sum())
            total.succeeded += good
            total.failed += bad
            total.changed_at = now
            failures += bad
            self._judge(count.server, good, bad, now)
        return failures > 0

    def count_zone(
        self,
        hub: HostId,
        place: DataCentre,
        incarnation: int,
        counts: Iterable[ServerCount],
        now: float,
    ) -> bool:
        """Take over another data centre's sums; return whether failures are new."""
        chosen = self._hub_of.get(place)
        known = self._remote.get(chosen) if chosen is not None else None
        if known is None or now - known.heard_at > STALE_SECONDS:
            chosen = self._hub_of[place] = hub
        reporter = self._reporter(self._remote, hub, incarnation, now)
        failures = 0
        for count in counts:
            before = reporter.counts.get(count.server)
            reporter.counts[count.server] = count
            # The first sums of a hub say nothing of when their growth was.
            good, bad = (0, 0) if before is None else _growth(before, count)
            if hub == chosen:
                failures += bad
                self._judge(count.server, good, bad, now)
        return failures > 0

    def _reporter(
        self,
        reporters: dict[HostId, _Reporter],
        host: HostId,
        incarnation: int,
        now: float,
    ) -> _Reporter:
        reporter = reporters.get(host)
        if reporter is None or reporter.incarnation != incarnation:
            reporter = reporters[host] = _Reporter(incarnation, now)
        reporter.heard_at = now
        return reporter

    def _judge(self, server: ServerId, good: int, bad: int, now: float) -> None:
        self._changed_at[server] = now
        belief = self._beliefs.get(server)
        if belief is None:
            belief = self._beliefs[server] = Belief(at=now)
        if good:
            belief.succeed(good, now)
        if bad:
            belief.fail(bad, FAILURE_FACTOR, now)

    def states(self, servers: Iterable[ServerId], now: float) -> list[ServerState]:
        """Return the states of servers, for followers."""
        load = self._load(now)
        return [self._state(server, load, now) for server in servers]

    def changed_since(self, at: float) -> list[ServerId]:
        """Return the servers with news since a moment."""
        return [name for name, changed in self._changed_at.items() if changed >= at]

    def known(self) -> list[ServerId]:
        """Return all servers with news lately."""
        return list(self._changed_at)

    def zone_counts(self, since: float, now: float) -> tuple[ServerCount, ...]:
        """Return the sums of the own data centre that changed since a moment."""
        fresh = [r for r in self._hosts.values() if now - r.heard_at <= STALE_SECONDS]
        found = []
        for server, total in self._zone.items():
            if total.changed_at < since:
                continue
            own = [r.counts[server] for r in fresh if server in r.counts]
            found.append(
                ServerCount(
                    server,
                    sum(count.in_flight for count in own),
                    sum(count.overdue for count in own),
                    total.succeeded,
                    total.failed,
                )
            )
        return tuple(found)

    def _load(self, now: float) -> dict[ServerId, int]:
        """Return the requests in flight by server over the whole fleet."""
        hubs = [self._remote[h] for h in self._hub_of.values() if h in self._remote]
        load: dict[ServerId, int] = {}
        for reporter in (*self._hosts.values(), *hubs):
            if now - reporter.heard_at > STALE_SECONDS:
                continue
            for server, count in reporter.counts.items():
                if count.in_flight:
                    load[server] = load.get(server, 0) + count.in_flight
        return load

    def _state(
        self, server: ServerId, load: dict[ServerId, int], now: float
    ) -> ServerState:
        belief = self._beliefs.get(server)
        risk = Belief(at=now).risk if belief is None else belief.drift(now)
        steps = round(risk / RISK_STEP) * RISK_STEP
        return ServerState(server, load.get(server, 0), round(steps, 2))

    def forget(self, servers: set[ServerId], now: float) -> None:
        """Forget servers that are gone, and reporters without news."""
        for table in (self._beliefs, self._zone, self._changed_at):
            for server in table.keys() - servers:
                del table[server]
        for reporters in (self._hosts, self._remote):
            for host, reporter in list(reporters.items()):
                if now - reporter.heard_at > _FORGET_SECONDS:
                    del reporters[host]
                    continue
                for server in reporter.counts.keys() - servers:
                    del reporter.counts[server]


def _growth(before: ServerCount | None, after: ServerCount) -> tuple[int, int]:
    if before is None:
        return after.succeeded, after.failed
    good = max(0, after.succeeded - before.succeeded)
    return good, max(0, after.failed - before.failed)
