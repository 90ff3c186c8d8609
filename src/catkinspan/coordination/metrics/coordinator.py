"""Owner of a host's counts."""

from collections import Counter
from typing import TypeVar

from catkinspan.coordination.keys.models import KeyWithdrawn
from catkinspan.coordination.metrics.const import (
    FAILURE_RUN_SECONDS,
    IDLE_SECONDS,
    KEY_NEWS_SECONDS,
    LATEST_SECONDS,
    LEAST_REQUESTS,
    MAX_TRACKED,
    OTHER,
    RECENT_SECONDS,
)
from catkinspan.coordination.metrics.endings import (
    IN_RATE_KINDS,
    NOT_REFUSALS,
    ending_of,
)
from catkinspan.coordination.metrics.latencies import Latencies
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
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.state.ids import ANONYMOUS_WORKSPACE, ServerId, ServiceId, WorkspaceId

K = TypeVar("K", ServiceId, WorkspaceId)

_NO_EVIDENCE = frozenset({OutcomeKind.OK, OutcomeKind.CANCELLED, OutcomeKind.DRAINING})


class MetricsCoordinator:
    """Counts finished requests, attempts and events of one host.

    All sizes are bounded: what exceeds them is counted under one common label.
    """

    def __init__(self) -> None:
        self._latencies = Latencies()
        self._requests: Counter[tuple[str, str]] = Counter()
        self._refusals: Counter[str] = Counter()
        self._in_rate: Counter[str] = Counter()
        self._attempts: Counter[tuple[str, str]] = Counter()
        self._retries: Counter[str] = Counter()
        self._events: Counter[str] = Counter()
        self._ejections: Counter[str] = Counter()
        self._returns: Counter[str] = Counter()
        self._detection: dict[str, DetectionStats] = {}
        self._services: dict[ServiceId, RecentCounts] = {}
        self._workspaces: dict[WorkspaceId, RecentCounts] = {}
        self._failing: dict[ServerId, tuple[float, float]] = {}
        """First and last failed attempt of the current run, by server."""

        self._withdrawn: dict[WorkspaceId, WithdrawnKey] = {}
        self._clean_at = 0.0

    def record(self, request: FinishedRequest, now: float) -> None:
        """Count a finished request."""
        ending = ending_of(request)
        self._requests[(request.service, request.kind)] += 1
        if request.kind not in NOT_REFUSALS:
            self._refusals[request.kind] += 1
        if request.kind in IN_RATE_KINDS:
            self._in_rate[request.kind] += 1
        if request.attempts > 1:
            self._retries[request.service] += request.attempts - 1
        if request.service:
            _recent(self._services, request.service).count(ending, now)
        if request.workspace != ANONYMOUS_WORKSPACE:
            _recent(self._workspaces, request.workspace).count(ending, now)
        if ending is ResultCategory.SERVED:
            workspace = request.workspace
            self._latencies.record(request.service, workspace, request.seconds)

    def record_attempt(self, outcome: AttemptOutcome, now: float) -> None:
        """Count an attempt at an upstream."""
        self._attempts[(outcome.service, outcome.kind)] += 1
        if outcome.kind in _NO_EVIDENCE:
            return
        first, last = self._failing.get(outcome.server, (now, now))
        if now - last > FAILURE_RUN_SECONDS:
            first = now
        if len(self._failing) < MAX_TRACKED or outcome.server in self._failing:
            self._failing[outcome.server] = (first, now)

    def count_event(self, event: Event, now: float) -> None:
        """Count an audit event, and remember a withdrawn key for a while."""
        self._events[event_kind(event)] += 1
        if isinstance(event, KeyWithdrawn):
            self._withdrawn[event.workspace] = WithdrawnKey(event.key, now)

    def record_ejection(self, service: ServiceId, server: ServerId, at: float) -> None:
        """Count an ejection, and the time since the first failure seen here."""
        self._ejections[service] += 1
        first, last = self._failing.pop(server, (at, float("-inf")))
        if first >= at or at - last > FAILURE_RUN_SECONDS:
            return
        held = self._detection.get(service, DetectionStats())
        seconds = at - first
        self._detection[service] = DetectionStats(
            held.count + 1,
            held.seconds_sum + seconds,
            max(held.seconds_max, seconds),
        )

    def record_return(self, service: ServiceId) -> None:
        """Count a server that is back in use."""
        self._returns[service] += 1

    def tick(self, now: float) -> None:
        """Forget recent counts without requests."""
        if now < self._clean_at:
            return
        self._clean_at = now + RECENT_SECONDS
        _forget_idle(self._services, now)
        _forget_idle(self._workspaces, now)
        limit = now - IDLE_SECONDS
        self._withdrawn = self.withdrawn_keys(now)
        self._failing = {s: run for s, run in self._failing.items() if run[1] >= limit}

    def recent_of_service(self, service: ServiceId, now: float) -> ResultCounts:
        """Return the recent requests of a service."""
        recent = self._services.get(service)
        return recent.counts(now) if recent else ResultCounts()

    def judged_of_service(self, service: ServiceId, now: float) -> ResultCounts:
        """Return the requests to judge a service by: the latest if these are enough."""
        recent = self._services.get(service)
        if recent is None:
            return ResultCounts()
        latest = recent.latest(LATEST_SECONDS, now)
        return latest if latest.eligible >= LEAST_REQUESTS else recent.counts(now)

    def recent_of_workspaces(self, now: float) -> dict[WorkspaceId, ResultCounts]:
        """Return the recent requests of all workspaces that sent any."""
        return {name: recent.counts(now) for name, recent in self._workspaces.items()}

    def withdrawn_keys(self, now: float) -> dict[WorkspaceId, WithdrawnKey]:
        """Return the last key that was withdrawn from each workspace lately."""
        oldest = now - KEY_NEWS_SECONDS
        return {w: key for w, key in self._withdrawn.items() if key.at >= oldest}

    def worst_served(self, now: float) -> WorstServed | None:
        """Return the workspace with the least served share of its recent requests."""
        worst: WorstServed | None = None
        for name, counts in self.recent_of_workspaces(now).items():
            asked = counts.eligible
            if asked < LEAST_REQUESTS:
                continue
            share = counts.served / asked
            if worst is None or share < worst.share:
                worst = WorstServed(name, share, asked)
        return worst

    def latencies(self, start: int, count: int) -> tuple[LatencySeries, ...]:
        """Return some of the latency series; one takes 0.15 ms to encode."""
        return self._latencies.snapshot(start, count)

    def snapshot(self, now: float) -> MetricsSnapshot:
        """Return all counts without the latencies, immutable."""
        return MetricsSnapshot(
            dict(self._requests),
            dict(self._refusals),
            dict(self._in_rate),
            dict(self._attempts),
            dict(self._retries),
            dict(self._events),
            dict(self._ejections),
            dict(self._returns),
            dict(self._detection),
            self.worst_served(now),
        )


def _recent(table: dict[K, RecentCounts], name: K) -> RecentCounts:
    if name not in table and len(table) >= MAX_TRACKED:
        name = type(name)(OTHER)
    return table.setdefault(name, RecentCounts(RECENT_SECONDS))


def _forget_idle(table: dict[K, RecentCounts], now: float) -> None:
    for name in [n for n, recent in table.items() if recent.is_idle(IDLE_SECONDS, now)]:
        del table[name]
