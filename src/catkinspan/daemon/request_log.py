"""Log lines of the decisions about requests, bounded under load."""

from attrs import define
from loguru import logger

from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.models import Assigned, Refused
from catkinspan.transport.callers.messages import RequestRecord

LINES_PER_SECOND = 200.0
BURST_LINES = 600.0
"""Three lines for each of 70 requests a second; a host of today serves about 5, one of
the size to design for 280, of which every fourth is then logged."""


@define
class _Budget:
    left: float = BURST_LINES
    at: float = 0.0
    suppressed: int = 0

    def take(self, now: float) -> bool:
        """Return whether another line may be written."""
        earned = max(0.0, now - self.at) * LINES_PER_SECOND
        self.left = min(BURST_LINES, self.left + earned)
        self.at = now
        if self.left < 1.0:
            self.suppressed += 1
            return False
        self.left -= 1.0
        return True


class RequestLog:
    """Writes one line for each decision, with the inputs that decided it."""

    def __init__(self) -> None:
        self._budget = _Budget()

    def assigned(self, assigned: Assigned, store_age: float, now: float) -> None:
        """Log the choice of a server."""
        if not self._may_write(now):
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
            trial=assigned.is_trial,
            usual_ms=round(assigned.usual * 1000),
            left_ms=round((assigned.deadline - now) * 1000),
            revision=assigned.revision,
            store_age_ms=round(store_age * 1000),
        ).info("attempt {} at {}", assigned.attempt, assigned.server)

    def outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Log an attempt that brought no answer to pass on."""
        if outcome.kind is OutcomeKind.OK or not self._may_write(now):
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
        ).info("attempt {} ended: {}", outcome.attempt, outcome.kind)

    def refused(self, refused: Refused, now: float) -> None:
        """Log a refusal with its reason."""
        if not self._may_write(now):
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
        ).info("refused: {}", refusal)

    def ended(self, record: RequestRecord, now: float) -> None:
        """Log the end of a request."""
        if not self._may_write(now):
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
        ).info("request ended with {} ({})", record.status, record.kind)

    def _may_write(self, now: float) -> bool:
        suppressed = self._budget.suppressed
        if not self._budget.take(now):
            return False
        if suppressed:
            self._budget.suppressed = 0
            logger.bind(event="log_lines_suppressed", count=suppressed).warning(
                "{} lines about requests were left out", suppressed
            )
        return True
