"""The arbiter of one service: ejections and returns over all data centres."""

from random import Random
from typing import Any

from attrs import Factory, define

from catkinspan.coordination.health.const import (
    FORGIVE_SECONDS,
    HELD_EVENT_SECONDS,
    JUDGE_SECONDS,
    MAX_HOLD_SECONDS,
    MAX_REPORTED_HOSTS,
    MAX_TRIAL_SECONDS,
    PERMIT_RETRY_SECONDS,
    PERMIT_SECONDS,
    QUIET_SECONDS,
    REFRESH_SECONDS,
    RESEND_SECONDS,
    SLOW_START_SECONDS,
    TAKEOVER_SECONDS,
    TRIAL_FAILURES,
    TRIAL_SUCCESSES,
    WATCH_RENEW_SECONDS,
    WATCH_SECONDS,
)
from catkinspan.coordination.health.models import (
    EjectionHeld,
    PermitRelease,
    PermitReply,
    PermitRequest,
    Phase,
    PooledEvidence,
    ServerEjected,
    ServerReturned,
    Signal,
    Verdict,
)
from catkinspan.coordination.health.permits import Permit, jitter
from catkinspan.coordination.health.pool import Judgement, Pool
from catkinspan.coordination.models import Event
from catkinspan.state.ids import DataCentre, HostId, ServerId, ServiceId

TRIAL_SIGNALS = (Signal.FAILURE, Signal.ERROR, Signal.STALL, Signal.SLOW, Signal.SHED)
RELAPSE_SCORE = 0.5
"""Part of the threshold that ends a slow start."""

MAX_REQUESTS = 4
"""Requests for one slot before the next one is tried."""


@define
class Case:
    """A server that is being ejected, is ejected, or returns."""

    permit: Permit
    judgement: Judgement
    since: float
    phase: Phase | None = None
    """None until a quorum has promised the slot."""

    level: int = 1
    hold: float = 0.0
    trial_successes: int = 0
    trial_failures: float = 0.0
    next_verdict: float = 0.0
    resend: bool = False
    retry_at: float = 0.0
    slots_tried: int = 0

    def enter(self, phase: Phase, now: float) -> None:
        """Change the phase; a verdict is due at once."""
        self.phase = phase
        self.since = now
        self.trial_successes = 0
        self.trial_failures = 0.0
        self.next_verdict = now
        self.resend = True


@define
class Output:
    """What an arbiter wants sent."""

    requests: list[PermitRequest] = Factory(list)
    releases: list[PermitRelease] = Factory(list)
    verdicts: list[Verdict] = Factory(list)
    events: list[Event] = Factory(list)


@define
class _Seen:
    """Last verdict of another arbiter."""

    verdict: Verdict
    at: float


@define
class _Watch:
    """A suspect whose successes the hosts report."""

    quiet_since: float
    renew_at: float = 0.0


class Arbiter:
    """Decides on ejections and returns of a service's servers.

    Two arbiters may act at once: each ejection needs a permit, so that both together
    keep the floor, and the one with the lower rank drops a case that the other has.
    """

    def __init__(
        self, service: ServiceId, pool: Pool, hold: float, rng: Random
    ) -> None:
        self.service = service
        self.pool = pool
        self.hold = hold
        self.slots = 0
        """Slots by the own settings: published servers above the floor."""

        self._rng = rng
        self._next_judgement = 0.0
        self._cases: dict[ServerId, Case] = {}
        self._levels: dict[ServerId, tuple[int, float]] = {}
        self._faulty_since: dict[ServerId, float] = {}
        self._seen: dict[ServerId, _Seen] = {}
        self._held: dict[ServerId, float] = {}
        self._watches: dict[ServerId, _Watch] = {}

    @property
    def cases(self) -> dict[ServerId, Case]:
        """Return the servers on their way out or back."""
        return self._cases

    @property
    def is_active(self) -> bool:
        """Return whether there is anything to judge or to advance."""
        return bool(self._cases or self._seen or self.pool.suspects)

    def is_held(self, server: ServerId, now: float) -> bool:
        """Return whether the floor lately prevented an ejection."""
        return now - self._held.get(server, float("-inf")) < HELD_EVENT_SECONDS

    def take_evidence(self, evidence: PooledEvidence, now: float) -> None:
        """Add the evidence of a data centre and judge it on the next tick."""
        if evidence.entries:
            self._next_judgement = now
        for entry in evidence.entries:
            case = self._cases.get(entry.server)
            if case is not None and case.phase is Phase.EJECTED:
                continue
            if case is not None and case.phase is Phase.TRIAL:
                if entry.signal in TRIAL_SIGNALS:
                    case.trial_failures += entry.count
                continue
            place = evidence.data_centre
            signal, host = entry.signal, entry.host
            self.pool.add(entry.server, signal, host, place, entry.count, now)
        for server, count in evidence.trials.items():
            case = self._cases.get(server)
            if case is not None and case.phase is Phase.TRIAL:
                case.trial_successes += count
            if server in self._watches:
                self._watches[server].quiet_since = now

    def take_reply(self, voter: HostId, reply: PermitReply, now: float) -> None:
        """Count a voter's answer."""
        case = self._cases.get(reply.server)
        if case is not None:
            case.permit.take_reply(voter, reply, now)

    def take_bad_path(self, server: ServerId, place: DataCentre, now: float) -> None:
        """Learn that one data centre alone reaches a server badly."""
        self.pool.note_bad_path(server, place, now)

    def take_verdict(self, verdict: Verdict, outranks: bool, now: float) -> None:
        """Learn of another arbiter's decision; `outranks` if it goes first."""
        if verdict.phase is Phase.RETURNED:
            self._seen.pop(verdict.server, None)
            self._levels[verdict.server] = (verdict.level, now)
            return
        self._seen[verdict.server] = _Seen(verdict, now)
        if outranks:
            self._cases.pop(verdict.server, None)

    def tick(self, rank: int, voters: tuple[HostId, ...], now: float) -> Output:
        """Judge the servers and advance the cases."""
        output = Output()
        self._adopt(rank, now)
        if now >= self._next_judgement:
            self._next_judgement = now + JUDGE_SECONDS
            self.pool.advance(now)
            self._open_cases(rank, now, output)
        for server, case in list(self._cases.items()):
            self._advance(server, case, voters, now, output)
        return output

    def retain(self, published: frozenset[ServerId]) -> None:
        """Forget the servers that are no longer published."""
        tables: tuple[dict[ServerId, Any], ...] = (
            self._cases,
            self._levels,
            self._seen,
            self._faulty_since,
            self._held,
            self._watches,
        )
        for table in tables:
            for server in table.keys() - published:
                del table[server]

    def reset(self) -> None:
        """Drop permits after a pause; other arbiters or evidence open new cases."""
        self._cases.clear()
        self._faulty_since.clear()

    def _open_cases(self, rank: int, now: float, output: Output) -> None:
        faulty = {}
        outliers = self.pool.outliers
        for server in outliers:
            if server in self._cases:
                continue
            judgement = self.pool.judge(server, self._quiet_attempts(server, now))
            if judgement.faulty:
                faulty[server] = judgement
            elif judgement.score >= 1.0:
                self._watch(server, now, output)
        for server in self._watches.keys() - set(outliers):
            del self._watches[server]
        for server in self._faulty_since.keys() - faulty.keys():
            del self._faulty_since[server]
        for server in sorted(faulty, key=lambda name: -faulty[name].score):
            since = self._faulty_since.setdefault(server, now)
            if now - since >= rank * TAKEOVER_SECONDS and not self._known(server, now):
                self._open_case(server, faulty[server], now, output)

    def _quiet_attempts(self, server: ServerId, now: float) -> float:
        """Return the attempts expected since a watched server's last success."""
        watch = self._watches.get(server)
        if watch is None or now - watch.quiet_since < QUIET_SECONDS:
            return 0.0
        return (now - watch.quiet_since) * self.pool.rate

    def _watch(self, server: ServerId, now: float, output: Output) -> None:
        """Ask the hosts for the successes of a server under one-sided evidence."""
        watch = self._watches.setdefault(server, _Watch(now))
        if now < watch.renew_at:
            return
        watch.renew_at = now + WATCH_RENEW_SECONDS
        until = now + WATCH_SECONDS
        output.verdicts.append(Verdict(self.service, server, Phase.WATCHED, until))

    def _known(self, server: ServerId, now: float) -> bool:
        seen = self._seen.get(server)
        return seen is not None and now < seen.verdict.valid_until

    def _open_case(
        self, server: ServerId, judgement: Judgement, now: float, output: Output
    ) -> None:
        slot = self._free_slot(now)
        if slot is None:
            self._hold_back(server, judgement, now, output)
            return
        level, ended = self._levels.get(server, (0, now))
        level = 1 if now - ended > FORGIVE_SECONDS else level + 1
        permit = Permit(self.service, server, slot)
        self._cases[server] = Case(permit, judgement, now, level=level)

    def _free_slot(self, now: float) -> int | None:
        used = {case.permit.slot for case in self._cases.values()}
        used |= {
            seen.verdict.slot
            for seen in self._seen.values()
            if now < seen.verdict.valid_until
        }
        free = [slot for slot in range(self.slots) if slot not in used]
        return free[0] if free else None

    def _hold_back(
        self, server: ServerId, judgement: Judgement, now: float, output: Output
    ) -> None:
        if not self.is_held(server, now):
            output.events.append(EjectionHeld(self.service, server, judgement.reason))
            self._held[server] = now

    def _adopt(self, rank: int, now: float) -> None:
        """Take over the cases of an arbiter that no longer refreshes its verdicts."""
        patience = REFRESH_SECONDS * 1.5 + rank * TAKEOVER_SECONDS
        for server, seen in list(self._seen.items()):
            verdict = seen.verdict
            if now > seen.at + PERMIT_SECONDS:
                del self._seen[server]
                self._levels[server] = (verdict.level, now)
            elif now > seen.at + patience and server not in self._cases:
                permit = Permit(self.service, server, verdict.slot)
                judgement = Judgement(
                    1.0, True, verdict.reason, verdict.hosts, verdict.data_centres
                )
                case = Case(permit, judgement, now, level=verdict.level)
                case.hold = max(RESEND_SECONDS, verdict.hold_left - (now - seen.at))
                self._cases[server] = case
                del self._seen[server]

    def _advance(
        self,
        server: ServerId,
        case: Case,
        voters: tuple[HostId, ...],
        now: float,
        output: Output,
    ) -> None:
        if case.phase is None:
            self._seek_permit(server, case, voters, now, output)
            return
        if case.permit.valid_until <= now:
            self._end(server, case, now)
            return
        self._change_phase(server, case, now, output)
        # A slow start is shorter than a permit. Without renewal the slot is free
        # soon after the server has returned.
        renews = case.phase in (Phase.EJECTED, Phase.TRIAL)
        if renews and now >= case.permit.asked_at + REFRESH_SECONDS:
            output.requests.append(case.permit.ask(voters, now))
        if server in self._cases and now >= case.next_verdict:
            output.verdicts.append(self._verdict(server, case, now))
            case.next_verdict = now + (
                RESEND_SECONDS if case.resend else REFRESH_SECONDS
            )
            case.resend = False

    def _seek_permit(
        self,
        server: ServerId,
        case: Case,
        voters: tuple[HostId, ...],
        now: float,
        output: Output,
    ) -> None:
        permit = case.permit
        if permit.valid_until > now:
            self._eject(server, case, now, output)
            output.verdicts.append(self._verdict(server, case, now))
            case.next_verdict = now + RESEND_SECONDS
            case.resend = False
            return
        if now < case.retry_at:
            return
        if permit.voters and permit.is_refused or permit.attempts >= MAX_REQUESTS:
            self._try_next_slot(server, case, now, output)
            return
        output.requests.append(permit.ask(voters, now))
        case.retry_at = now + jitter(self._rng, PERMIT_RETRY_SECONDS)

    def _try_next_slot(
        self, server: ServerId, case: Case, now: float, output: Output
    ) -> None:
        case.slots_tried += 1
        case.retry_at = now + jitter(self._rng, PERMIT_RETRY_SECONDS)
        if case.slots_tried < self.slots:
            slot = (case.permit.slot + 1) % self.slots
            output.releases.append(case.permit.move(slot, now))
            return
        output.releases.append(case.permit.release(now))
        self._hold_back(server, case.judgement, now, output)
        del self._cases[server]

    def _eject(self, server: ServerId, case: Case, now: float, output: Output) -> None:
        if not case.hold:
            case.hold = min(MAX_HOLD_SECONDS, self.hold * 2.0 ** (case.level - 1))
        case.enter(Phase.EJECTED, now)
        self.pool.forget(server)
        self._held.pop(server, None)
        judgement = case.judgement
        event = ServerEjected(
            self.service,
            server,
            judgement.reason,
            judgement.hosts[:MAX_REPORTED_HOSTS],
            judgement.data_centres,
            case.hold,
        )
        output.events.append(event)

    def _change_phase(
        self, server: ServerId, case: Case, now: float, output: Output
    ) -> None:
        age = now - case.since
        if case.phase is Phase.EJECTED and age >= case.hold:
            case.enter(Phase.TRIAL, now)
        elif case.phase is Phase.TRIAL:
            self._judge_trial(server, case, age, now, output)
        elif case.phase is Phase.SLOW_START:
            judgement = self.pool.judge(server)
            if judgement.score >= RELAPSE_SCORE and len(judgement.hosts) > 1:
                case.judgement = judgement
                self._eject_again(server, case, now, output)
            elif age >= SLOW_START_SECONDS:
                case.enter(Phase.RETURNED, now)
                output.events.append(ServerReturned(self.service, server))
                output.verdicts.append(self._verdict(server, case, now))
                self._end(server, case, now)

    def _judge_trial(
        self, server: ServerId, case: Case, age: float, now: float, output: Output
    ) -> None:
        if case.trial_failures >= TRIAL_FAILURES:
            self._eject_again(server, case, now, output)
            return
        passed = case.trial_successes >= TRIAL_SUCCESSES + case.trial_failures
        if passed or (age >= MAX_TRIAL_SECONDS and not case.trial_failures):
            self.pool.forget(server)
            case.enter(Phase.SLOW_START, now)

    def _eject_again(
        self, server: ServerId, case: Case, now: float, output: Output
    ) -> None:
        case.level += 1
        case.hold = 0.0
        self._eject(server, case, now, output)

    def _end(self, server: ServerId, case: Case, now: float) -> None:
        self._levels[server] = (case.level, now)
        del self._cases[server]

    def _verdict(self, server: ServerId, case: Case, now: float) -> Verdict:
        phase = case.phase or Phase.EJECTED
        judgement = case.judgement
        left = case.since + case.hold - now
        return Verdict(
            self.service,
            server,
            phase,
            case.permit.valid_until,
            slot=case.permit.slot,
            level=case.level,
            age=round(now - case.since, 1),
            hold_left=round(max(0.0, left), 1) if phase is Phase.EJECTED else 0.0,
            reason=judgement.reason,
            hosts=judgement.hosts[:MAX_REPORTED_HOSTS],
            data_centres=judgement.data_centres,
        )
