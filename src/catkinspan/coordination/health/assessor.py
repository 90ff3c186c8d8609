"""A hub's view of the servers, from what all hosts report."""

from collections.abc import Iterable

from attrs import define

from catkinspan.coordination.health.belief import Belief
from catkinspan.coordination.health.const import (
    FAILURE_FACTOR,
    RISK_STEP,
    STALE_SECONDS,
)
from catkinspan.coordination.health.models import ServerCounts, ServerState
from catkinspan.coordination.reporters import RemoteHubs, Reporters
from catkinspan.state.ids import DataCentre, HostId, ServerId

_FORGET_SECONDS = 30.0


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
        self._hosts: Reporters[ServerId, ServerCounts] = Reporters()
        self._remote: RemoteHubs[ServerId, ServerCounts] = RemoteHubs(STALE_SECONDS)
        self._beliefs: dict[ServerId, Belief] = {}
        self._zone: dict[ServerId, _Sum] = {}
        self._changed_at: dict[ServerId, float] = {}

    def count_host(
        self,
        host: HostId,
        incarnation: int,
        counts: Iterable[ServerCounts],
        now: float,
    ) -> bool:
        """Take over the counts of a host; return whether they hold new failures."""
        reporter = self._hosts.record_report(host, incarnation, now)
        failures = 0
        for count in counts:
            good, bad = _growth(reporter.latest_reports.get(count.server), count)
            reporter.latest_reports[count.server] = count
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
        counts: Iterable[ServerCounts],
        now: float,
    ) -> bool:
        """Take over another data centre's sums; return whether failures are new."""
        is_counted = self._remote.is_selected(hub, place, now)
        reporter = self._remote.record_report(hub, incarnation, now)
        failures = 0
        for count in counts:
            before = reporter.latest_reports.get(count.server)
            reporter.latest_reports[count.server] = count
            # The first sums of a hub say nothing of when their growth was.
            good, bad = (0, 0) if before is None else _growth(before, count)
            if is_counted:
                failures += bad
                self._judge(count.server, good, bad, now)
        return failures > 0

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

    def zone_counts(self, since: float, now: float) -> tuple[ServerCounts, ...]:
        """Return the sums of the own data centre that changed since a moment."""
        fresh = list(self._hosts.recent(STALE_SECONDS, now))
        found = []
        for server, total in self._zone.items():
            if total.changed_at < since:
                continue
            own = [
                r.latest_reports[server] for r in fresh if server in r.latest_reports
            ]
            found.append(
                ServerCounts(
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
        load: dict[ServerId, int] = {}
        for reporter in (
            *self._hosts.recent(STALE_SECONDS, now),
            *self._remote.recent_selected(STALE_SECONDS, now),
        ):
            for server, count in reporter.latest_reports.items():
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
        self._hosts.remove_stale(_FORGET_SECONDS, now)
        self._remote.remove_stale(_FORGET_SECONDS, now)
        for reporter in (
            *self._hosts.recent(_FORGET_SECONDS, now),
            *self._remote.recent(_FORGET_SECONDS, now),
        ):
            for server in reporter.latest_reports.keys() - servers:
                del reporter.latest_reports[server]


def _growth(before: ServerCounts | None, after: ServerCounts) -> tuple[int, int]:
    if before is None:
        return after.succeeded, after.failed
    good = max(0, after.succeeded - before.succeeded)
    return good, max(0, after.failed - before.failed)
