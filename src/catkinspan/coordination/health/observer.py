"""Counts of this host's attempts at each server."""

from attrs import define, field

from catkinspan.coordination.health.const import (
    OWN_FAILURE_FACTOR,
    RECENT_COUNTS_SECONDS,
)
from catkinspan.coordination.health.models import ServerCounts
from catkinspan.coordination.health.risk import RiskEstimate
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.recent_count import RecentCount
from catkinspan.coordination.timers import Timers
from catkinspan.state.ids import RequestId, ServerId

FAILURE_OUTCOMES = frozenset(
    {
        OutcomeKind.CONNECT_ERROR,
        OutcomeKind.RESET,
        OutcomeKind.TIMEOUT,
        OutcomeKind.SERVER_ERROR,
        OutcomeKind.TRUNCATED,
        OutcomeKind.CROSSED,
        OutcomeKind.INVALID,
    }
)
"""Outcomes that count as failures of a server. A shed request only indicates load."""

AttemptKey = tuple[RequestId, int]


@define
class _RunningAttempt:
    is_overdue: bool = False


def _recent_count() -> RecentCount:
    return RecentCount(RECENT_COUNTS_SECONDS)


@define
class ServerAttempts:
    """Attempts of this host at one server."""

    estimate: RiskEstimate
    running: dict[AttemptKey, _RunningAttempt] = field(factory=dict)
    overdue: int = 0
    succeeded: int = 0
    failed: int = 0
    recent_successes: RecentCount = field(factory=_recent_count)
    recent_failures: RecentCount = field(factory=_recent_count)
    reported_in_flight: int = 0
    """Requests in flight in the last report."""

    changed_at: float = float("-inf")
    """Monotonic seconds of the last change of the counts."""

    started_at: float = float("-inf")
    """Monotonic seconds of the start of the latest attempt."""

    paused_until: float = float("-inf")
    """Monotonic seconds until which the server wants no requests of this host."""

    @property
    def is_active(self) -> bool:
        """Return whether the server has a load of this host in the last report."""
        return bool(self.running) or self.reported_in_flight > 0

    def record_success(self, now: float) -> None:
        """Count a request that succeeded in time."""
        self.succeeded += 1
        self.recent_successes.record(1, now)
        self.estimate.record_successes(1, now)

    def record_failure(self, now: float) -> None:
        """Count a request that failed or became overdue."""
        self.failed += 1
        self.recent_failures.record(1, now)
        self.estimate.record_failures(1, OWN_FAILURE_FACTOR, now)

    def report(self, server: ServerId, now: float) -> ServerCounts:
        """Return the counts for a report, and store the reported load.

        A pause counts as one request in flight: the server is full for this host.
        """
        self.reported_in_flight = len(self.running) + (now < self.paused_until)
        return ServerCounts(
            server,
            self.reported_in_flight,
            self.overdue,
            self.succeeded,
            self.failed,
            self.succeeded - self.recent_successes.total(now),
            self.failed - self.recent_failures.total(now),
        )


class Observer:
    """Counts attempts by server; an overdue one counts as failed while it still runs.

    A hanging request has no outcome until its timeout, which is seconds away.
    """

    def __init__(self) -> None:
        self._servers: dict[ServerId, ServerAttempts] = {}
        self._changed: dict[ServerId, None] = {}
        """Servers whose counts have changed, the latest change last."""

        self._overdue_timers: Timers[tuple[ServerId, AttemptKey]] = Timers()
        self._pause_timers: Timers[ServerId] = Timers()

    def attempts_at(self, server: ServerId, now: float) -> ServerAttempts:
        """Return the attempts at a server; an unknown server gets an empty entry."""
        attempts = self._servers.get(server)
        if attempts is None:
            attempts = self._servers[server] = ServerAttempts(
                RiskEstimate(updated_at=now)
            )
        return attempts

    def report(self, since: float, now: float) -> tuple[ServerCounts, ...]:
        """Return the counts that changed since a time."""
        changed = []
        for server in reversed(self._changed):
            attempts = self._servers[server]
            if attempts.changed_at < since:
                break
            changed.append(attempts.report(server, now))
        return tuple(reversed(changed))

    def report_active(self, since: float, now: float) -> tuple[ServerCounts, ...]:
        """Return the counts that changed since a time or have requests in flight."""
        return tuple(
            attempts.report(server, now)
            for server, attempts in self._servers.items()
            if attempts.changed_at >= since or attempts.is_active
        )

    def follow(self, servers: set[ServerId], now: float) -> None:
        """Begin to estimate new servers, and drop those that are not published.

        A server with attempts in flight is dropped later.
        """
        for name in servers:
            self.attempts_at(name, now)
        for name, attempts in list(self._servers.items()):
            if name not in servers and not attempts.running:
                del self._servers[name]
                self._pause_timers.remove(name)
                self._changed.pop(name, None)

    def record_start(
        self, server: ServerId, key: AttemptKey, overdue_after: float, now: float
    ) -> None:
        """Add an attempt that is sent now."""
        attempts = self.attempts_at(server, now)
        attempts.running[key] = _RunningAttempt()
        attempts.started_at = now
        self._mark_changed(server, attempts, now)
        self._overdue_timers.set((server, key), now + overdue_after)

    def record_end(self, outcome: AttemptOutcome, now: float) -> bool:
        """Remove an attempt that has ended; return whether it succeeded in time."""
        attempts = self.attempts_at(outcome.server, now)
        key = (outcome.request_id, outcome.attempt)
        running = attempts.running.pop(key, None)
        if running is None:
            return False
        self._overdue_timers.remove((outcome.server, key))
        self._mark_changed(outcome.server, attempts, now)
        if running.is_overdue:
            attempts.overdue -= 1
        if outcome.kind is OutcomeKind.OK and not running.is_overdue:
            attempts.record_success(now)
            return True
        if outcome.kind in FAILURE_OUTCOMES and not running.is_overdue:
            attempts.record_failure(now)
        return False

    def record_departure(self, server: ServerId, now: float) -> None:
        """Count the announcement of a server that leaves as a failure for other hosts.

        They use it less until they get the announcement themselves. If it is wrong, the
        next successes show this.
        """
        attempts = self.attempts_at(server, now)
        attempts.record_failure(now)
        self._mark_changed(server, attempts, now)

    def record_pause(self, server: ServerId, until: float, now: float) -> bool:
        """Record a pause that a server asked for; return whether it is longer."""
        attempts = self.attempts_at(server, now)
        if until <= attempts.paused_until:
            return False
        attempts.paused_until = until
        self._pause_timers.set(server, until)
        self._mark_changed(server, attempts, now)
        return True

    def end_pauses(self, now: float) -> None:
        """Mark the loads of servers whose pause has ended as changed."""
        for server in self._pause_timers.take_due(now):
            self._mark_changed(server, self._servers[server], now)

    def next_overdue(self) -> float:
        """Return when the next attempt becomes overdue, in monotonic seconds."""
        return self._overdue_timers.next_due()

    def mark_overdue(self, now: float) -> bool:
        """Count attempts that have become overdue; return whether there were any."""
        overdue = self._overdue_timers.take_due(now)
        for server, key in overdue:
            attempts = self._servers[server]
            attempts.running[key].is_overdue = True
            attempts.overdue += 1
            self._mark_changed(server, attempts, now)
            attempts.record_failure(now)
        return bool(overdue)

    def _mark_changed(
        self, server: ServerId, attempts: ServerAttempts, now: float
    ) -> None:
        attempts.changed_at = now
        self._changed.pop(server, None)
        self._changed[server] = None
