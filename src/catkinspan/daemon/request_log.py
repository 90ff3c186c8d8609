"""Rate-limited log lines for the decisions on requests."""

from math import isinf

from attrs import define, frozen
from loguru import logger

from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.models import Assigned, Refused
from catkinspan.state.ids import HostId, Revision
from catkinspan.transport.callers.messages import RequestRecord

LINES_PER_SECOND = 200.0
"""Enough to log about 70 requests per second, with three lines each. Hosts currently
serve about 5 per second; at the design target of 280, one request in four is logged."""

BURST_LINES = 600.0


@frozen
class HostKnowledge:
    """What a host knew of the fleet when it refused a request."""

    revision: Revision
    """Revision of the settings in force."""

    store_age: float
    """Seconds since the host or a peer last reached the store, as far as it heard."""

    copy_age: float
    """Seconds since the settings were last confirmed as the newest."""

    hub: HostId | None
    """Hub whose rate levels are in use; None without recent levels."""


@define
class _TokenBucket:
    tokens: float = BURST_LINES
    refilled_at: float = 0.0
    suppressed: int = 0

    def take(self, now: float) -> bool:
        """Take a token, or count a suppressed line and return False."""
        refill = max(0.0, now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


class RequestLog:
    """Logs each decision on one line, with the inputs that led to it."""

    def __init__(self) -> None:
        self._bucket = _TokenBucket()

    def log_assignment(self, assigned: Assigned, store_age: float, now: float) -> None:
        """Log the assignment of a server to an attempt."""
        if not self._admit_line(now):
            return
        logger.bind(
            event="attempt",
            request_id=assigned.request_id,
            attempt=assigned.attempt,
            route=assigned.route,
            workspace=assigned.workspace,
            service=assigned.service,
            server=assigned.server,
            risk=assigned.risk,
            in_flight=assigned.in_flight,
            state_age_ms=_to_ms(assigned.state_age),
            trial=assigned.is_trial,
            usual_ms=round(assigned.usual * 1000),
            left_ms=round((assigned.deadline - now) * 1000),
            revision=assigned.revision,
            store_age_ms=round(store_age * 1000),
        ).info("attempt {} assigned to {}", assigned.attempt, assigned.server)

    def log_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Log an attempt that ended without a response to pass on."""
        if outcome.kind is OutcomeKind.OK or not self._admit_line(now):
            return
        logger.bind(
            event="outcome",
            request_id=outcome.request_id,
            attempt=outcome.attempt,
            service=outcome.service,
            server=outcome.server,
            kind=outcome.kind,
            ms=round(outcome.latency * 1000, 1),
            bytes_written=outcome.bytes_written,
        ).info("attempt {} ended with {}", outcome.attempt, outcome.kind)

    def log_refusal(self, refused: Refused, known: HostKnowledge, now: float) -> None:
        """Log a refusal with its reason and what the host knew."""
        if not self._admit_line(now):
            return
        refusal = refused.refusal
        logger.bind(
            event="refused",
            request_id=refused.request_id,
            service=refused.service or "",
            workspace=refused.workspace or "",
            kind=refusal.kind,
            ran=refusal.ran,
            retry_after=refusal.retry_after,
            evidence=refusal.evidence,
            revision=known.revision,
            store_age_ms=round(known.store_age * 1000),
            copy_age_ms=_to_ms(known.copy_age),
            hub=known.hub or "",
        ).info("request refused: {}", refusal)

    def log_end(self, record: RequestRecord, now: float) -> None:
        """Log the end of a request."""
        if not self._admit_line(now):
            return
        logger.bind(
            event="request",
            request_id=record.request_id,
            service=record.service,
            workspace=record.workspace,
            status=record.status,
            kind=record.kind,
            ms=round(record.seconds * 1000, 1),
            attempts=record.attempts,
        ).info("request ended with status {} ({})", record.status, record.kind)

    def _admit_line(self, now: float) -> bool:
        """Return whether a line may be written.

        The first line after suppressed ones is preceded by a line with their number.
        """
        suppressed = self._bucket.suppressed
        if not self._bucket.take(now):
            return False
        if suppressed:
            self._bucket.suppressed = 0
            logger.bind(event="log_lines_suppressed", count=suppressed).warning(
                "suppressed {} log lines about requests", suppressed
            )
        return True


def _to_ms(seconds: float | None) -> int | None:
    if seconds is None or isinf(seconds):
        return None
    return round(seconds * 1000)
