"""What the own host sees of each server."""

from attrs import define, field

from catkinspan.coordination.health.belief import Belief
from catkinspan.coordination.health.const import OWN_FAILURE_FACTOR
from catkinspan.coordination.health.models import ServerCounts
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.state.ids import RequestId, ServerId

FAILURES = frozenset(
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
"""Outcomes that speak against a server. A shed speaks of load only."""

AttemptKey = tuple[RequestId, int]


@define
class _Running:
    overdue_at: float
    is_overdue: bool = False


@define
class OwnServer:
    """Attempts of the own host at one server."""

    belief: Belief
    running: dict[AttemptKey, _Running] = field(factory=dict)
    overdue: int = 0
    succeeded: int = 0
    failed: int = 0
    reported: int = 0
    """Requests in flight in the last report."""

    changed_at: float = float("-inf")
    """When the counts changed last."""

    @property
    def is_used(self) -> bool:
        """Return whether the host has sent requests there."""
        return bool(self.running or self.succeeded or self.failed)

    def report(self, server: ServerId) -> ServerCounts:
        """Return the counts for a report, and remember what it says."""
        self.reported = len(self.running)
        return ServerCounts(
            server, self.reported, self.overdue, self.succeeded, self.failed
        )


class Observer:
    """Counts attempts by server; an overdue one counts before it has ended.

    A hang shows in no outcome until its timeout, which is seconds away.
    """

    def __init__(self) -> None:
        self._servers: dict[ServerId, OwnServer] = {}

    def server(self, server: ServerId, now: float) -> OwnServer:
        """Return the counts of a server."""
        known = self._servers.get(server)
        if known is None:
            known = self._servers[server] = OwnServer(Belief(at=now))
        return known

    def report(self, since: float, is_full: bool) -> tuple[ServerCounts, ...]:
        """Return the counts changed since a time; a full report has all used ones."""
        return tuple(
            own.report(server)
            for server, own in self._servers.items()
            if own.changed_at >= since or (is_full and own.is_used)
        )

    def keep_only(self, servers: set[ServerId]) -> None:
        """Forget servers that are gone and have no attempt in flight."""
        for name, own in list(self._servers.items()):
            if name not in servers and not own.running:
                del self._servers[name]

    def start(
        self, server: ServerId, key: AttemptKey, overdue_after: float, now: float
    ) -> None:
        """Note an attempt that is sent now."""
        own = self.server(server, now)
        own.running[key] = _Running(now + overdue_after)
        own.changed_at = now

    def finish(self, outcome: AttemptOutcome, now: float) -> bool:
        """Note the end of an attempt; return whether it was a success in time."""
        own = self.server(outcome.server, now)
        running = own.running.pop((outcome.request_id, outcome.attempt), None)
        if running is None:
            return False
        own.changed_at = now
        if running.is_overdue:
            own.overdue -= 1
        if outcome.kind is OutcomeKind.OK and not running.is_overdue:
            own.succeeded += 1
            own.belief.succeed(1, now)
            return True
        if outcome.kind in FAILURES and not running.is_overdue:
            self._fail(own, now)
        return False

    def next_overdue(self) -> float:
        """Return when the next attempt becomes overdue, in monotonic seconds."""
        return min(
            (
                running.overdue_at
                for own in self._servers.values()
                for running in own.running.values()
                if not running.is_overdue
            ),
            default=float("inf"),
        )

    def note_overdue(self, now: float) -> bool:
        """Count attempts that have become overdue; return whether there were any."""
        found = False
        for own in self._servers.values():
            for running in own.running.values():
                if not running.is_overdue and now >= running.overdue_at:
                    running.is_overdue = True
                    own.overdue += 1
                    own.changed_at = now
                    self._fail(own, now)
                    found = True
        return found

    def _fail(self, own: OwnServer, now: float) -> None:
        own.failed += 1
        own.belief.fail(1, OWN_FAILURE_FACTOR, now)
