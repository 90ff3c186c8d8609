"""What one host sees of the servers it uses."""

from heapq import heappop, heappush
from math import exp
from typing import NamedTuple

from attrs import Factory, define

from catkinspan.coordination.health.const import (
    COLD_STALL_FACTOR,
    DIGEST_BURST,
    DIGEST_SECONDS,
    DIGESTS_PER_SECOND,
    LOCAL_THRESHOLD,
    MAX_DIGEST_ENTRIES,
    MAX_OPEN_ATTEMPTS,
    RATE_SECONDS,
    SLOW_RATIO,
    STALL_MIN_SECONDS,
    STALL_RATIO,
    STALL_REPEAT_SECONDS,
    STALL_UNKNOWN_SECONDS,
    TRIAL_REPORT_SECONDS,
)
from catkinspan.coordination.health.models import HealthDigest, ServerEvidence, Signal
from catkinspan.coordination.health.references import References
from catkinspan.coordination.outcomes import (
    AttemptOutcome,
    AttemptStarted,
    OutcomeKind,
)
from catkinspan.state.ids import RequestId, ServerId, ServiceId

ANSWERED = frozenset({OutcomeKind.SERVER_ERROR, OutcomeKind.CROSSED})
"""Failures that the server itself answered with, which no path can cause."""

FAILURES = frozenset(
    {
        OutcomeKind.CONNECT_ERROR,
        OutcomeKind.RESET,
        OutcomeKind.SERVER_ERROR,
        OutcomeKind.TRUNCATED,
        OutcomeKind.CROSSED,
    }
)
LOCAL_FAILURE = 3.7
LOCAL_SUCCESS = 0.25
"""Steps of the host's own score, as those of the pooled failure score."""

_Attempt = tuple[RequestId, int]


class _Due(NamedTuple):
    """When an open attempt counts as slow or stalled."""

    at: float
    key: _Attempt


@define
class _OpenAttempt:
    started: AttemptStarted
    at: float
    is_slow: bool = False
    is_stalled: bool = False


@define
class _ServiceObservation:
    """Evidence of a service that was not yet sent."""

    references: References = Factory(References)
    rate: float = 0.0
    rated_at: float = 0.0
    pending: dict[tuple[ServerId, Signal], float] = Factory(dict)
    trials: dict[ServerId, int] = Factory(dict)
    next_digest: float = 0.0

    def count_attempt(self, now: float) -> None:
        """Add an attempt to the decayed rate."""
        self.rate = self.rate_at(now) + 1.0 / RATE_SECONDS
        self.rated_at = now

    def rate_at(self, now: float) -> float:
        """Return the attempts per second."""
        return self.rate * exp((self.rated_at - now) / RATE_SECONDS)


class Observer:
    """Turns outcomes and open attempts into evidence and digests.

    A host keeps a score of its own as well, from which it avoids servers that it
    reaches badly, whatever others see.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceId, _ServiceObservation] = {}
        self._open: dict[_Attempt, _OpenAttempt] = {}
        self._due: list[_Due] = []
        self._scores: dict[tuple[ServiceId, ServerId], float] = {}
        self._dirty: dict[ServiceId, None] = {}
        """Services with something to send, the longest waiting first."""

        self._credit = DIGEST_BURST
        self._credited_at = 0.0
        self.bad_paths: set[tuple[ServiceId, ServerId]] = set()
        """Servers that the host's own attempts reach badly; taken by the owner."""

        self.returning: dict[ServiceId, frozenset[ServerId]] = {}
        """Servers whose successes are reported too."""

        self.watched: dict[tuple[ServiceId, ServerId], float] = {}
        """Suspects whose successes are reported, with the end of the watch."""

        self.cold: dict[ServiceId, frozenset[ServerId]] = {}
        """Servers that are not judged by their latency."""

    def rate(self, service: ServiceId, now: float) -> float:
        """Return the attempts per second of the host at a service."""
        seen = self._services.get(service)
        return seen.rate_at(now) if seen else 0.0

    def rates(self, now: float) -> dict[ServiceId, float]:
        """Return the attempts per second of all services."""
        return {name: seen.rate_at(now) for name, seen in self._services.items()}

    def excuse(self, service: ServiceId, server: ServerId) -> None:
        """Let the next attempt decide about an avoided server."""
        if (service, server) in self._scores:
            self._scores[service, server] = LOCAL_THRESHOLD - LOCAL_SUCCESS

    def forget(self, service: ServiceId, server: ServerId) -> None:
        """Drop the own score of a server."""
        self._scores.pop((service, server), None)

    def resume(self) -> None:
        """Watch no attempt across a pause, in which it looks older than it is."""
        self._open.clear()
        self._due.clear()

    def start(self, started: AttemptStarted, now: float) -> None:
        """Watch an attempt until it ends."""
        if len(self._open) >= MAX_OPEN_ATTEMPTS:
            return
        key = (started.request_id, started.attempt)
        self._open[key] = _OpenAttempt(started, now)
        slow_after = self._slow_after(started.service, started.request_class)
        heappush(self._due, _Due(now + slow_after, key))

    def finish(self, outcome: AttemptOutcome, now: float) -> None:
        """Take in how an attempt ended."""
        seen = self._seen(outcome.service)
        seen.count_attempt(now)
        open_attempt = self._open.pop((outcome.request_id, outcome.attempt), None)
        reference = seen.references.of(outcome.request_class)
        kind = outcome.kind
        if kind is OutcomeKind.OK:
            is_slow = self._is_slow(outcome, reference.median)
            reference.add_success(outcome.latency)
            self._finish_answered(outcome, open_attempt, is_slow, now)
        elif kind is OutcomeKind.TIMEOUT:
            if open_attempt is None or not open_attempt.is_stalled:
                self.add(outcome.service, outcome.server, Signal.STALL)
        elif kind is OutcomeKind.SHED:
            self.add(outcome.service, outcome.server, Signal.SHED)
        elif kind in FAILURES and reference.add_failure(outcome.server):
            signal = Signal.ERROR if kind in ANSWERED else Signal.FAILURE
            self.add(outcome.service, outcome.server, signal)

    def add(
        self,
        service: ServiceId,
        server: ServerId,
        signal: Signal,
        counts_locally: bool = True,
    ) -> None:
        """Keep evidence for the next digest."""
        pending = self._seen(service).pending
        pending[server, signal] = pending.get((server, signal), 0.0) + 1.0
        self._dirty.setdefault(service)
        if signal not in (Signal.FAILURE, Signal.STALL) or not counts_locally:
            return
        key = (service, server)
        score = min(self._scores.get(key, 0.0) + LOCAL_FAILURE, 2.0 * LOCAL_THRESHOLD)
        self._scores[key] = score
        if score >= LOCAL_THRESHOLD:
            self.bad_paths.add(key)

    def prune(self, now: float) -> None:
        """Drop the watches that have ended."""
        for key in [key for key, until in self.watched.items() if now >= until]:
            del self.watched[key]

    def check_open(self, now: float) -> None:
        """Find the open attempts that have become slow or stalled."""
        while self._due and self._due[0].at <= now:
            key = heappop(self._due).key
            attempt = self._open.get(key)
            if attempt is not None:
                self._overdue(key, attempt, now)

    def digests(self, now: float) -> dict[ServiceId, HealthDigest]:
        """Return the digests that are due and within the host's budget."""
        if not self._dirty:
            return {}
        elapsed = max(0.0, now - self._credited_at)
        self._credit = min(DIGEST_BURST, self._credit + elapsed * DIGESTS_PER_SECOND)
        self._credited_at = now
        due = {}
        for service in list(self._dirty):
            if self._credit < 1.0:
                break
            seen = self._services[service]
            if now < seen.next_digest:
                continue
            del self._dirty[service]
            due[service] = self._digest(service, seen, now)
            self._credit -= 1.0
            if seen.pending:
                self._dirty[service] = None
        return due

    def _seen(self, service: ServiceId) -> _ServiceObservation:
        seen = self._services.get(service)
        if seen is None:
            seen = self._services[service] = _ServiceObservation()
        return seen

    def _is_cold(self, service: ServiceId, server: ServerId) -> bool:
        return server in self.cold.get(service, ())

    def _digest(
        self, service: ServiceId, seen: _ServiceObservation, now: float
    ) -> HealthDigest:
        # Kept in order of arrival, not by count: the largest alone would make them
        # outliers among servers that the digest leaves out.
        keys = list(seen.pending)[:MAX_DIGEST_ENTRIES]
        entries = tuple(ServerEvidence(*key, seen.pending.pop(key)) for key in keys)
        trials, seen.trials = seen.trials, {}
        wait = DIGEST_SECONDS if entries else TRIAL_REPORT_SECONDS
        seen.next_digest = now + wait
        return HealthDigest(service, seen.rate_at(now), entries, trials)

    def _slow_after(self, service: ServiceId, request_class: str) -> float:
        median = self._seen(service).references.of(request_class).median
        return STALL_UNKNOWN_SECONDS if median is None else SLOW_RATIO * median

    def _stall_after(self, service: ServiceId, request_class: str) -> float:
        reference = self._seen(service).references.of(request_class)
        if reference.median is None:
            # A rare and slow class must not look stalled while little is known of it.
            return max(STALL_UNKNOWN_SECONDS, 2.0 * STALL_RATIO * reference.estimate)
        return max(STALL_MIN_SECONDS, STALL_RATIO * reference.median)

    def _is_slow(self, outcome: AttemptOutcome, median: float | None) -> bool:
        return median is not None and outcome.latency > SLOW_RATIO * median

    def _finish_answered(
        self,
        outcome: AttemptOutcome,
        attempt: _OpenAttempt | None,
        is_slow: bool,
        now: float,
    ) -> None:
        key = (outcome.service, outcome.server)
        if is_slow:
            if not (self._is_cold(*key) or (attempt and attempt.is_slow)):
                self.add(*key, Signal.SLOW)
            return
        if key in self._scores:
            self._scores[key] -= LOCAL_SUCCESS
            if self._scores[key] <= 0.0:
                del self._scores[key]
        is_watched = bool(self.watched) and now < self.watched.get(key, 0.0)
        if is_watched or outcome.server in self.returning.get(outcome.service, ()):
            trials = self._seen(outcome.service).trials
            trials[outcome.server] = trials.get(outcome.server, 0) + 1
            self._dirty.setdefault(outcome.service)

    def _overdue(self, key: _Attempt, attempt: _OpenAttempt, now: float) -> None:
        started = attempt.started
        place = (started.service, started.server)
        if not attempt.is_slow:
            attempt.is_slow = True
            if not self._is_cold(*place):
                self.add(*place, Signal.SLOW)
        stall_after = self._stall_after(*_class_of(started))
        if self._is_cold(*place):
            stall_after = max(STALL_UNKNOWN_SECONDS, COLD_STALL_FACTOR * stall_after)
        stall_at = attempt.at + stall_after
        if now < stall_at:
            heappush(self._due, _Due(stall_at, key))
            return
        self.add(*place, Signal.STALL, counts_locally=not attempt.is_stalled)
        attempt.is_stalled = True
        heappush(self._due, _Due(now + STALL_REPEAT_SECONDS, key))


def _class_of(started: AttemptStarted) -> tuple[ServiceId, str]:
    return started.service, started.request_class
