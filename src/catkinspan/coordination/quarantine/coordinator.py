"""Coordinator of crash reports and request quarantine."""

from collections import Counter, OrderedDict, deque
from random import Random
from typing import ClassVar

from attrs import define
from result import Err, Ok, Result

from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.quarantine.const import (
    CRASH_RETENTION_SECONDS,
    CRASHES_TO_QUARANTINE,
    MAX_CLEARANCES,
    MAX_CRASHES_PER_FINGERPRINT,
    MAX_FINGERPRINTS,
    MAX_FINGERPRINTS_PER_WORKSPACE,
    MAX_QUARANTINE_SECONDS,
    MAX_QUEUED_REPORTS,
    MAX_REPORT_BURST,
    MAX_REPORTS_FOR_NEW_HOST,
    MAX_REPORTS_PER_MESSAGE,
    MAX_SEEN_REPORTS,
    MIN_CLEARANCE_INTERVAL_SECONDS,
    QUARANTINE_SECONDS,
    REPORT_ROUNDS,
    REPORTS_PER_SECOND,
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
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, ServerId, WorkspaceId


@define
class _QueuedItem:
    item: Crash | Success
    rounds_left: int = REPORT_ROUNDS


class QuarantineCoordinator(BaseCoordinator):
    """Refuses requests that crashed two upstream connections anywhere in the fleet.

    Every host receives all crash reports and decides by itself, so that there is no
    role to fail over when a host fails. A host sends its own reports to its hubs; hubs
    forward them to their followers and to the other hubs.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = MESSAGES

    def __init__(self, self_id: HostId, outbox: Outbox, rng: Random) -> None:
        self._self_id = self_id
        self._outbox = outbox
        self._rng = rng
        self._instance_id = rng.getrandbits(48)
        self._last_serial = 0
        self._peers: tuple[HostId, ...] = ()
        self._forwards = False
        """Whether this host forwards the reports of others, as a hub does."""

        self._incarnations: dict[HostId, int] = {}
        self._incident_log = IncidentLog()
        self._suspects: OrderedDict[Fingerprint, FingerprintState] = OrderedDict()
        self._by_workspace: Counter[WorkspaceId] = Counter()
        self._seen_crashes: OrderedDict[CrashId, None] = OrderedDict()
        self._last_successes: OrderedDict[Fingerprint, float] = OrderedDict()
        self._new_item_count = 0
        self._report_tokens = MAX_REPORT_BURST
        self._last_round_at = 0.0
        self._queue: deque[_QueuedItem] = deque(maxlen=MAX_QUEUED_REPORTS)

    @property
    def suspect_count(self) -> int:
        """Return the number of fingerprints with recorded crashes."""
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
        """Record that an upstream connection failed while running the request.

        Must be called once per attempt, and not for connections that the host closed.
        """
        self._last_serial += 1
        crash_id = CrashId(self._self_id, self._instance_id, self._last_serial)
        crash = Crash(crash_id, fingerprint, server, now)
        self._add_crash(crash, now, is_own=True)
        self._send_round(now)

    def record_success(self, fingerprint: Fingerprint, now: float) -> None:
        """Record a success of the request, which clears its earlier crashes.

        This keeps a popular request, which runs on every server, out of quarantine when
        servers fail by themselves. It costs one lookup for a request without crashes.
        """
        if fingerprint in self._suspects:
            self._apply_success(Success(fingerprint, now), is_own=True)
            self._send_round(now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Apply the list of peers, and send crash reports to newly started ones."""
        reachable = {*view.hubs, *view.followers, *view.remote_hubs} - {self._self_id}
        self._peers = tuple(sorted(reachable))
        self._forwards = view.is_hub or bool(view.followers)
        for host in self._peers:
            incarnation = view.hosts[host].incarnation if host in view.hosts else 0
            if self._incarnations.get(host) == incarnation:
                continue
            self._incarnations[host] = incarnation
            if self._forwards:
                self._sync_new_host(host, now)
        for host in self._incarnations.keys() - reachable:
            del self._incarnations[host]

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Record crash reports and clearances, and forward new ones immediately."""
        if not isinstance(message, CrashNews):
            return
        items_before = self._new_item_count
        for report in message.reports:
            at = now - report.age_ms / 1000
            crash = Crash(report.id, report.fingerprint, report.server, at)
            self._add_crash(crash, now, is_own=False)
        for clearance in message.clearances:
            at = now - clearance.age_ms / 1000
            self._apply_success(Success(clearance.fingerprint, at), is_own=False)
        if self._new_item_count != items_before:
            self._send_round(now)

    def tick(self, now: float) -> None:
        """Send queued reports, end due quarantines and drop expired crashes."""
        self._send_round(now)
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.quarantined_until and suspect.quarantined_until <= now:
                self._end_quarantine(fingerprint, suspect)
            if suspect.crashes[-1].at + CRASH_RETENTION_SECONDS <= now:
                self._remove(fingerprint)

    def _add_crash(self, crash: Crash, now: float, is_own: bool) -> None:
        if crash.id in self._seen_crashes or crash.at + CRASH_RETENTION_SECONDS <= now:
            return
        self._seen_crashes[crash.id] = None
        if len(self._seen_crashes) > MAX_SEEN_REPORTS:
            self._seen_crashes.popitem(last=False)
        self._incident_log.add(crash)
        if not self._incident_log.is_server_noisy(crash):
            self._enqueue(crash, is_own)
        if crash.at > self._last_successes.get(crash.fingerprint, float("-inf")):
            self._add_to_suspect(crash)
        for fingerprint in self._affected_suspects(crash, now):
            self._evaluate(fingerprint, now)

    def _affected_suspects(self, crash: Crash, now: float) -> list[Fingerprint]:
        """Return the suspects whose incident count may change with a new crash."""
        return [
            fingerprint
            for fingerprint in dict.fromkeys(
                c.fingerprint
                for c in self._incident_log.crashes_near(crash)
                if c.server == crash.server or self._is_quarantined(c.fingerprint, now)
            )
            if fingerprint in self._suspects
        ]

    def _is_quarantined(self, fingerprint: Fingerprint, now: float) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.quarantined_until > now

    def _apply_success(self, success: Success, is_own: bool) -> None:
        """Drop the crashes of a request that precede its success."""
        fingerprint = success.fingerprint
        last_success_at = self._last_successes.get(fingerprint, float("-inf"))
        if success.at <= last_success_at + MIN_CLEARANCE_INTERVAL_SECONDS:
            return
        self._last_successes[fingerprint] = success.at
        self._last_successes.move_to_end(fingerprint)
        if len(self._last_successes) > MAX_CLEARANCES:
            self._last_successes.popitem(last=False)
        self._enqueue(success, is_own)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.crashes = [c for c in suspect.crashes if c.at > success.at]
        self._end_or_remove(fingerprint, suspect)

    def _enqueue(self, item: Crash | Success, is_own: bool) -> None:
        """Queue an item for the peers; only hubs forward those of other hosts."""
        if not (is_own or self._forwards):
            return
        self._new_item_count += 1
        self._queue.append(_QueuedItem(item))

    def _add_to_suspect(self, crash: Crash) -> None:
        suspect = self._suspects.get(crash.fingerprint)
        if suspect is None:
            self._evict_if_full(crash.fingerprint.workspace)
            suspect = self._suspects[crash.fingerprint] = FingerprintState()
            self._by_workspace[crash.fingerprint.workspace] += 1
        self._suspects.move_to_end(crash.fingerprint)
        suspect.crashes.append(crash)
        suspect.crashes.sort(key=lambda c: c.at)
        del suspect.crashes[:-MAX_CRASHES_PER_FINGERPRINT]

    def _evict_if_full(self, workspace: WorkspaceId) -> None:
        """Evict the least recently crashed fingerprint if a limit is reached.

        A workspace at its own limit evicts one of its own fingerprints.
        """
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
        """Start, extend or end the quarantine of a request after a new crash."""
        suspect = self._suspects[fingerprint]
        suspect.crashes = self._incident_log.distinct_incidents(suspect.crashes)
        incidents = len(suspect.crashes)
        if incidents < CRASHES_TO_QUARANTINE:
            self._end_or_remove(fingerprint, suspect)
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

    def _end_or_remove(
        self, fingerprint: Fingerprint, suspect: FingerprintState
    ) -> None:
        if suspect.quarantined_until and len(suspect.crashes) < CRASHES_TO_QUARANTINE:
            self._end_quarantine(fingerprint, suspect)
        if not suspect.crashes:
            self._remove(fingerprint)

    def _end_quarantine(
        self, fingerprint: Fingerprint, suspect: FingerprintState
    ) -> None:
        suspect.quarantined_until = 0.0
        self._outbox.emit(
            QuarantineEnded(fingerprint.workspace, fingerprint.digest.hex())
        )

    def _send_round(self, now: float) -> None:
        """Send queued reports to all peers, within the rate limit."""
        if not self._queue or not self._peers:
            return
        new_tokens = max(0.0, now - self._last_round_at) * REPORTS_PER_SECOND
        self._report_tokens = min(MAX_REPORT_BURST, self._report_tokens + new_tokens)
        self._last_round_at = now
        count = min(
            len(self._queue),
            MAX_REPORTS_PER_MESSAGE,
            int(self._report_tokens * REPORT_ROUNDS),
        )
        if count == 0:
            return
        self._report_tokens -= count / REPORT_ROUNDS
        batch = [self._queue.popleft() for _ in range(count)]
        items = [queued.item for queued in batch]
        reports = tuple(_report(i, now) for i in items if isinstance(i, Crash))
        cleared = tuple(_clearance(i, now) for i in items if isinstance(i, Success))
        news = CrashNews(reports, cleared)
        for host in self._peers:
            self._outbox.send(host, news)
        for queued in batch:
            queued.rounds_left -= 1
            if queued.rounds_left > 0:
                self._queue.append(queued)

    def _sync_new_host(self, host: HostId, now: float) -> None:
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
