"""Coordinator of a host's metrics."""

from collections import Counter
from typing import TypeVar

from catkinspan.coordination.keys.models import KeyWithdrawn
from catkinspan.coordination.metrics.const import (
    ASSESSMENT_SPAN_SECONDS,
    IDLE_SECONDS,
    MAX_ENTRIES,
    MAX_FAILURE_GAP_SECONDS,
    MIN_ASSESSED_REQUESTS,
    OTHER_LABEL,
    RECENT_SECONDS,
    WITHDRAWN_KEY_SECONDS,
)
from catkinspan.coordination.metrics.endings import (
    IN_RATE_KINDS,
    NOT_REFUSALS,
    category_of,
)
from catkinspan.coordination.metrics.latencies import LatencyHistograms
from catkinspan.coordination.metrics.models import (
    DetectionStats,
    FinishedRequest,
    LatencySeries,
    MetricsSnapshot,
    ResultCategory,
    ResultCounts,
    WithdrawnKey,
    WorstServed,
)
from catkinspan.coordination.metrics.recent import RecentCounts
from catkinspan.coordination.models import Event
from catkinspan.coordination.naming import event_kind
from catkinspan.coordination.outcomes import (
    OWN_OUTCOMES,
    AttemptOutcome,
    OutcomeKind,
)
from catkinspan.state.ids import ANONYMOUS_WORKSPACE, ServerId, ServiceId, WorkspaceId

K = TypeVar("K", ServiceId, WorkspaceId)

_NOT_FAILURES = OWN_OUTCOMES | {OutcomeKind.OK, OutcomeKind.DRAINING}


class MetricsCoordinator:
    """Counts finished requests, attempts and events of one host.

    All tables are bounded; what exceeds a bound is counted under `OTHER_LABEL`.
    """

    def __init__(self) -> None:
        self._latencies = LatencyHistograms()
        self._requests: Counter[tuple[str, str]] = Counter()
        self._refusals: Counter[str] = Counter()
        self._in_rate_refusals: Counter[str] = Counter()
        self._attempts: Counter[tuple[str, str]] = Counter()
        self._retries: Counter[str] = Counter()
        self._events: Counter[str] = Counter()
        self._ejections: Counter[str] = Counter()
        self._returns: Counter[str] = Counter()
        self._detection: dict[str, DetectionStats] = {}
        self._services: dict[ServiceId, RecentCounts] = {}
        self._workspaces: dict[WorkspaceId, RecentCounts] = {}
        self._failure_runs: dict[ServerId, tuple[float, float]] = {}
        """Times of the first and last failed attempt of the current run, by server."""

        self._withdrawn: dict[WorkspaceId, WithdrawnKey] = {}
        self._next_cleanup_at = 0.0

    def record_request(self, request: FinishedRequest, now: float) -> None:
        """Count a finished request."""
        category = category_of(request)
        self._requests[(request.service, request.kind)] += 1
        if request.kind not in NOT_REFUSALS:
            self._refusals[request.kind] += 1
        if request.kind in IN_RATE_KINDS:
            self._in_rate_refusals[request.kind] += 1
        if request.attempts > 1:
            self._retries[request.service] += request.attempts - 1
        if request.service:
            _counts_for(self._services, request.service).count(category, now)
        if request.workspace != ANONYMOUS_WORKSPACE:
            _counts_for(self._workspaces, request.workspace).count(category, now)
        if category is ResultCategory.SERVED:
            workspace = request.workspace
            self._latencies.record(request.service, workspace, request.seconds)

    def record_attempt(self, outcome: AttemptOutcome, now: float) -> None:
        """Count an attempt at an upstream."""
        self._attempts[(outcome.service, outcome.kind)] += 1
        if outcome.kind in _NOT_FAILURES:
            return
        first, last = self._failure_runs.get(outcome.server, (now, now))
        if now - last > MAX_FAILURE_GAP_SECONDS:
            first = now
        if (
            len(self._failure_runs) < MAX_ENTRIES
            or outcome.server in self._failure_runs
        ):
            self._failure_runs[outcome.server] = (first, now)

    def record_event(self, event: Event, now: float) -> None:
        """Count an audit event, and store a withdrawn key for the reports."""
        self._events[event_kind(event)] += 1
        if isinstance(event, KeyWithdrawn):
            self._withdrawn[event.workspace] = WithdrawnKey(event.key, now)

    def record_ejection(self, service: ServiceId, server: ServerId, at: float) -> None:
        """Count an ejection, and the time since the first failure on this host."""
        self._ejections[service] += 1
        first, last = self._failure_runs.pop(server, (at, float("-inf")))
        if first >= at or at - last > MAX_FAILURE_GAP_SECONDS:
            return
        stats = self._detection.get(service, DetectionStats())
        seconds = at - first
        self._detection[service] = DetectionStats(
            stats.count + 1,
            stats.seconds_sum + seconds,
            max(stats.seconds_max, seconds),
        )

    def record_return(self, service: ServiceId) -> None:
        """Count a server that is back in use."""
        self._returns[service] += 1

    def tick(self, now: float) -> None:
        """Drop expired counts, failure runs and withdrawn keys."""
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + RECENT_SECONDS
        _drop_idle(self._services, now)
        _drop_idle(self._workspaces, now)
        oldest = now - IDLE_SECONDS
        self._withdrawn = self.withdrawn_keys(now)
        self._failure_runs = {
            s: run for s, run in self._failure_runs.items() if run[1] >= oldest
        }

    def recent_of_service(self, service: ServiceId, now: float) -> ResultCounts:
        """Return the recent requests of a service."""
        recent = self._services.get(service)
        return recent.counts(now) if recent else ResultCounts()

    def assessed_of_service(self, service: ServiceId, now: float) -> ResultCounts:
        """Return the requests by which a service is assessed: the latest if enough."""
        recent = self._services.get(service)
        if recent is None:
            return ResultCounts()
        latest = recent.latest(ASSESSMENT_SPAN_SECONDS, now)
        return (
            latest if latest.eligible >= MIN_ASSESSED_REQUESTS else recent.counts(now)
        )

    def recent_of_workspaces(self, now: float) -> dict[WorkspaceId, ResultCounts]:
        """Return the recent requests of all workspaces that have sent any."""
        return {name: recent.counts(now) for name, recent in self._workspaces.items()}

    def withdrawn_keys(self, now: float) -> dict[WorkspaceId, WithdrawnKey]:
        """Return the key that was withdrawn last from each workspace, if recent."""
        oldest = now - WITHDRAWN_KEY_SECONDS
        return {w: key for w, key in self._withdrawn.items() if key.at >= oldest}

    def worst_served(self, now: float) -> WorstServed | None:
        """Return the workspace with the lowest served share of recent requests."""
        worst: WorstServed | None = None
        for name, counts in self.recent_of_workspaces(now).items():
            eligible = counts.eligible
            if eligible < MIN_ASSESSED_REQUESTS:
                continue
            share = counts.served / eligible
            if worst is None or share < worst.share:
                worst = WorstServed(name, share, eligible)
        return worst

    def latencies(self, start: int, count: int) -> tuple[LatencySeries, ...]:
        """Return a page of the latency series; each takes 0.15 ms to encode."""
        return self._latencies.snapshot(start, count)

    def snapshot(self, now: float) -> MetricsSnapshot:
        """Return an immutable copy of all counts, without the latencies."""
        return MetricsSnapshot(
            dict(self._requests),
            dict(self._refusals),
            dict(self._in_rate_refusals),
            dict(self._attempts),
            dict(self._retries),
            dict(self._events),
            dict(self._ejections),
            dict(self._returns),
            dict(self._detection),
            self.worst_served(now),
        )


def _counts_for(table: dict[K, RecentCounts], name: K) -> RecentCounts:
    if name not in table and len(table) >= MAX_ENTRIES:
        name = type(name)(OTHER_LABEL)
    return table.setdefault(name, RecentCounts(RECENT_SECONDS))


def _drop_idle(table: dict[K, RecentCounts], now: float) -> None:
    for name in [n for n, recent in table.items() if recent.is_idle(IDLE_SECONDS, now)]:
        del table[name]
