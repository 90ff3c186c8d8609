"""Crash reports of the fleet and the quarantine that follows from them."""

from collections import Counter, OrderedDict, deque
from random import Random
from typing import ClassVar

from attrs import define
from result import Err, Ok, Result

from catkinspan.coordination.concern import BaseCoordinator
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.quarantine.const import (
    CLEARANCE_SPREAD_SECONDS,
    COPIES_PER_SECOND,
    CRASH_MEMORY_SECONDS,
    CRASHES_TO_QUARANTINE,
    FANOUT,
    GREETERS,
    MAX_CLEARANCES,
    MAX_COPIES,
    MAX_CRASHES_PER_FINGERPRINT,
    MAX_FINGERPRINTS,
    MAX_FINGERPRINTS_PER_WORKSPACE,
    MAX_QUARANTINE_SECONDS,
    MAX_QUEUED_REPORTS,
    MAX_REPORTS_FOR_NEW_HOST,
    MAX_REPORTS_PER_MESSAGE,
    MAX_SEEN_REPORTS,
    QUARANTINE_SECONDS,
    ROUNDS,
)
from catkinspan.coordination.quarantine.errors import Quarantined
from catkinspan.coordination.quarantine.incidents import IncidentLog
from catkinspan.coordination.quarantine.models import (
    MESSAGES,
    Clearance,
    Crash,
    CrashId,
    CrashNews,
    CrashReport,
    Fingerprint,
    FingerprintState,
    QuarantineEnded,
    RequestQuarantined,
    Success,
)
from catkinspan.coordination.rendezvous import ranked
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, ServerId, WorkspaceId


@define
class _Queued:
    item: Crash | Success
    rounds: int = ROUNDS


class QuarantineCoordinator(BaseCoordinator):
    """Refuses requests that crashed two upstream connections anywhere in the fleet.

    Every host hears each crash report and decides by itself, so that no role has to
    move when a host fails.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = MESSAGES

    def __init__(self, self_id: HostId, outbox: Outbox, rng: Random) -> None:
        self._self_id = self_id
        self._outbox = outbox
        self._rng = rng
        self._life = rng.getrandbits(48)
        self._serial = 0
        self._peers: tuple[HostId, ...] = ()
        self._incarnations: dict[HostId, int] = {}
        self._log = IncidentLog()
        self._suspects: OrderedDict[Fingerprint, FingerprintState] = OrderedDict()
        self._by_workspace: Counter[WorkspaceId] = Counter()
        self._seen: OrderedDict[CrashId, None] = OrderedDict()
        self._cleared: OrderedDict[Fingerprint, float] = OrderedDict()
        self._news = 0
        self._copies = MAX_COPIES
        self._last_round = 0.0
        self._queue: deque[_Queued] = deque(maxlen=MAX_QUEUED_REPORTS)

    @property
    def suspect_count(self) -> int:
        """Return the number of fingerprints with crashes on record."""
        return len(self._suspects)

    def check(self, fingerprint: Fingerprint, now: float) -> Result[None, Quarantined]:
        """Return an error while the request is quarantined."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined_until <= now:
            return Ok(None)
        return Err(Quarantined(suspect.quarantined_until - now, len(suspect.crashes)))

    def record_crash(
        self, fingerprint: Fingerprint, server: ServerId, now: float
    ) -> None:
        """Record that an upstream connection died while it ran the request.

        Call it once for each attempt, and not for connections that the host closed.
        """
        self._serial += 1
        crash_id = CrashId(self._self_id, self._life, self._serial)
        self._add(Crash(crash_id, fingerprint, server, now), now)
        self._send_round(now)

    def record_success(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that the request succeeded, which clears it of earlier crashes.

        It keeps a popular request, which runs on every server, out of quarantine when
        servers die by themselves. For a request without crashes this is one look-up.
        """
        if fingerprint in self._suspects:
            self._clear(Success(fingerprint, now))
            self._send_round(now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the peers, and tell newly started ones what is known."""
        self._peers = tuple(host for host in view.usable if host != self._self_id)
        for host in self._peers:
            incarnation = view.hosts[host].incarnation if host in view.hosts else 0
            if self._incarnations.get(host) == incarnation:
                continue
            self._incarnations[host] = incarnation
            self._greet(host, incarnation, now)
        for host in self._incarnations.keys() - set(self._peers):
            del self._incarnations[host]

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Take over crash reports and pass new ones on at once."""
        if not isinstance(message, CrashNews):
            return
        known = self._news
        for report in message.reports:
            at = now - report.age_ms / 1000
            self._add(Crash(report.id, report.fingerprint, report.server, at), now)
        for clearance in message.clearances:
            at = now - clearance.age_ms / 1000
            self._clear(Success(clearance.fingerprint, at))
        if self._news != known:
            self._send_round(now)

    def tick(self, now: float) -> None:
        """Repeat young reports, and end quarantines and forget crashes when due."""
        self._send_round(now)
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.quarantined_until and suspect.quarantined_until <= now:
                self._end(fingerprint, suspect)
            if suspect.crashes[-1].at + CRASH_MEMORY_SECONDS <= now:
                self._remove(fingerprint)

    def _add(self, crash: Crash, now: float) -> None:
        if crash.id in self._seen or crash.at + CRASH_MEMORY_SECONDS <= now:
            return
        self._seen[crash.id] = None
        if len(self._seen) > MAX_SEEN_REPORTS:
            self._seen.popitem(last=False)
        self._log.add(crash)
        if not self._log.is_noisy(crash):
            self._enqueue(crash)
        if crash.at > self._cleared.get(crash.fingerprint, float("-inf")):
            self._suspect(crash)
        for fingerprint in self._concerned(crash, now):
            self._evaluate(fingerprint, now)

    def _concerned(self, crash: Crash, now: float) -> list[Fingerprint]:
        """Return the suspects whose evidence a new crash may change."""
        return [
            fingerprint
            for fingerprint in dict.fromkeys(
                c.fingerprint
                for c in self._log.near(crash)
                if c.server == crash.server or self._is_quarantined(c.fingerprint, now)
            )
            if fingerprint in self._suspects
        ]

    def _is_quarantined(self, fingerprint: Fingerprint, now: float) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.quarantined_until > now

    def _clear(self, success: Success) -> None:
        """Drop the crashes of a request before its success."""
        fingerprint = success.fingerprint
        known = self._cleared.get(fingerprint, float("-inf"))
        if success.at <= known + CLEARANCE_SPREAD_SECONDS:
            return
        self._cleared[fingerprint] = success.at
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_CLEARANCES:
            self._cleared.popitem(last=False)
        self._enqueue(success)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.crashes = [c for c in suspect.crashes if c.at > success.at]
        self._lift_or_remove(fingerprint, suspect)

    def _enqueue(self, item: Crash | Success) -> None:
        self._news += 1
        self._queue.append(_Queued(item))

    def _suspect(self, crash: Crash) -> None:
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            self._make_room(crash.fingerprint.workspace)
            suspect = self._suspects[crash.fingerprint] = FingerprintState()
            self._by_workspace[crash.fingerprint.workspace] += 1
        self._suspects.move_to_end(crash.fingerprint)
        suspect.crashes.append(crash)
        suspect.crashes.sort(key=lambda c: c.at)
        del suspect.crashes[:-MAX_CRASHES_PER_FINGERPRINT]

    def _make_room(self, workspace: WorkspaceId) -> None:
        """Evict the fingerprint that crashed longest ago, the workspace's own first."""
        if self._by_workspace[workspace] >= MAX_FINGERPRINTS_PER_WORKSPACE:
            own = (f for f in self._suspects if f.workspace == workspace)
            self._remove(next(own))
        elif len(self._suspects) >= MAX_FINGERPRINTS:
            self._remove(next(iter(self._suspects)))

    def _remove(self, fingerprint: Fingerprint) -> None:
        del self._suspects[fingerprint]
        self._by_workspace[fingerprint.workspace] -= 1
        if not self._by_workspace[fingerprint.workspace]:
            del self._by_workspace[fingerprint.workspace]

    def _evaluate(self, fingerprint: Fingerprint, now: float) -> None:
        """Start, extend or lift the quarantine of a request after a report."""
        suspect = self._suspects[fingerprint]
        suspect.crashes = self._log.incidents(suspect.crashes)
        incidents = len(suspect.crashes)
        if incidents < CRASHES_TO_QUARANTINE:
            self._lift_or_remove(fingerprint, suspect)
            return
        doublings = incidents - CRASHES_TO_QUARANTINE
        seconds = min(QUARANTINE_SECONDS * 2**doublings, MAX_QUARANTINE_SECONDS)
        until = suspect.crashes[-1].at + seconds
        if until <= now or until <= suspect.quarantined_until:
            return
        is_new = suspect.quarantined_until <= now
        suspect.quarantined_until = until
        if not is_new:
            return
        servers = tuple(sorted({crash.server for crash in suspect.crashes}))
        self._outbox.emit(
            RequestQuarantined(
                fingerprint.workspace,
                fingerprint.digest.hex(),
                servers,
                len(suspect.crashes),
                round(until - now, 3),
            )
        )

    def _lift_or_remove(
        self, fingerprint: Fingerprint, suspect: FingerprintState
    ) -> None:
        if suspect.quarantined_until and len(suspect.crashes) < CRASHES_TO_QUARANTINE:
            self._end(fingerprint, suspect)
        if not suspect.crashes:
            self._remove(fingerprint)

    def _end(self, fingerprint: Fingerprint, suspect: FingerprintState) -> None:
        suspect.quarantined_until = 0.0
        self._outbox.emit(
            QuarantineEnded(fingerprint.workspace, fingerprint.digest.hex())
        )

    def _send_round(self, now: float) -> None:
        """Send the queued reports to a few random peers, within the copies allowed."""
        if not self._queue or not self._peers:
            return
        earned = max(0.0, now - self._last_round) * COPIES_PER_SECOND
        self._copies = min(MAX_COPIES, self._copies + earned)
        self._last_round = now
        fanout = min(FANOUT, len(self._peers))
        count = min(
            len(self._queue), MAX_REPORTS_PER_MESSAGE, int(self._copies / fanout)
        )
        if count == 0:
            return
        self._copies -= count * fanout
        batch = [self._queue.popleft() for _ in range(count)]
        items = [queued.item for queued in batch]
        reports = tuple(_report(i, now) for i in items if isinstance(i, Crash))
        cleared = tuple(_clearance(i, now) for i in items if isinstance(i, Success))
        for host in self._rng.sample(self._peers, fanout):
            self._outbox.send(host, CrashNews(reports, cleared))
        for queued in batch:
            queued.rounds -= 1
            if queued.rounds > 0:
                self._queue.append(queued)

    def _greet(self, host: HostId, incarnation: int, now: float) -> None:
        if not self._suspects:
            return
        name = f"quarantine/{host}/{incarnation}"
        candidates = tuple(p for p in (*self._peers, self._self_id) if p != host)
        if self._self_id not in ranked(name, candidates, GREETERS):
            return
        crashes = [c for suspect in self._suspects.values() for c in suspect.crashes]
        reports = [_report(c, now) for c in crashes[-MAX_REPORTS_FOR_NEW_HOST:]]
        for first in range(0, len(reports), MAX_REPORTS_PER_MESSAGE):
            batch = tuple(reports[first : first + MAX_REPORTS_PER_MESSAGE])
            self._outbox.send(host, CrashNews(batch))


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * 1000))


def _report(crash: Crash, now: float) -> CrashReport:
    age_ms = _age_ms(crash.at, now)
    return CrashReport(crash.id, crash.fingerprint, crash.server, age_ms)


def _clearance(success: Success, now: float) -> Clearance:
    return Clearance(success.fingerprint, _age_ms(success.at, now))
