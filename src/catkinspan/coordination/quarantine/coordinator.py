"""Coordinator of crash reports and request quarantine."""

from collections import Counter, OrderedDict
from collections.abc import Sequence
from random import Random
from typing import ClassVar

from result import Err, Ok, Result

from catkinspan.coordination.budget import ByteBudget
from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.quarantine.const import (
    BURST_SECONDS,
    CRASH_RETENTION_SECONDS,
    CRASHES_TO_QUARANTINE,
    FOLLOWER_BYTES_PER_SECOND,
    FOLLOWER_REPORT_ROUNDS,
    HUB_BURST_SECONDS,
    HUB_BYTES_PER_SECOND,
    MAX_CLEARANCES,
    MAX_CRASHES_PER_FINGERPRINT,
    MAX_FINGERPRINTS,
    MAX_FINGERPRINTS_PER_WORKSPACE,
    MAX_QUARANTINE_SECONDS,
    MAX_REPORTS_FOR_NEW_HOST,
    MAX_REPORTS_PER_MESSAGE,
    MAX_SEEN_REPORTS,
    MIN_CLEARANCE_INTERVAL_SECONDS,
    QUARANTINE_SECONDS,
    REMOTE_BYTES_PER_SECOND,
    SYNC_BYTES_PER_SECOND,
    URGENT_BURST_SECONDS,
    URGENT_FOLLOWER_BYTES_PER_SECOND,
    URGENT_REMOTE_BYTES_PER_SECOND,
)
from catkinspan.coordination.quarantine.errors import Quarantined
from catkinspan.coordination.quarantine.incidents import IncidentLog
from catkinspan.coordination.quarantine.models import (
    MESSAGES,
    Crash,
    CrashId,
    CrashNews,
    Fingerprint,
    FingerprintState,
    QuarantineEnded,
    RequestQuarantined,
    Success,
)
from catkinspan.coordination.quarantine.report_queue import (
    Item,
    ReportChannel,
    ReportQueue,
    news_size,
)
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, ServerId, WorkspaceId


class QuarantineCoordinator(BaseCoordinator):
    """Refuses requests that crashed two upstream connections anywhere in the fleet.

    Each host decides by itself, so that there is no role to fail over when a host
    fails. A host sends its own reports to its hubs; hubs forward them to the other hubs
    and, as far as a byte budget reaches, to their followers. Reports that start or end
    a quarantine have a budget of their own and go first.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = MESSAGES

    def __init__(self, self_id: HostId, outbox: Outbox, rng: Random) -> None:
        self._self_id = self_id
        self._outbox = outbox
        self._rng = rng
        self._instance_id = rng.getrandbits(48)
        self._last_serial = 0
        self._forwards = False
        """Whether this host forwards the reports of others, as a hub does."""

        self._incarnations: dict[HostId, int] = {}
        self._incident_log = IncidentLog()
        self._suspects: OrderedDict[Fingerprint, FingerprintState] = OrderedDict()
        self._by_workspace: Counter[WorkspaceId] = Counter()
        self._seen_crashes: OrderedDict[CrashId, None] = OrderedDict()
        self._last_successes: OrderedDict[Fingerprint, float] = OrderedDict()
        self._next_expiry_at = float("inf")
        """Time before which no quarantine ends and no crash expires."""

        self._to_hubs = ReportChannel(
            ReportQueue(ByteBudget(HUB_BYTES_PER_SECOND, HUB_BURST_SECONDS)),
            ReportQueue(ByteBudget(HUB_BYTES_PER_SECOND, HUB_BURST_SECONDS)),
        )
        self._to_remote_hubs = ReportChannel(
            ReportQueue(
                ByteBudget(URGENT_REMOTE_BYTES_PER_SECOND, URGENT_BURST_SECONDS)
            ),
            ReportQueue(ByteBudget(REMOTE_BYTES_PER_SECOND, BURST_SECONDS)),
        )
        self._to_followers = ReportChannel(
            ReportQueue(
                ByteBudget(URGENT_FOLLOWER_BYTES_PER_SECOND, URGENT_BURST_SECONDS)
            ),
            ReportQueue(
                ByteBudget(FOLLOWER_BYTES_PER_SECOND, BURST_SECONDS),
                FOLLOWER_REPORT_ROUNDS,
            ),
        )
        self._channels = (self._to_hubs, self._to_remote_hubs, self._to_followers)
        self._unsynced: dict[HostId, None] = {}
        """Hosts that are new to this one and have not got the reports yet."""

        self._sync_budget = ByteBudget(SYNC_BYTES_PER_SECOND, URGENT_BURST_SECONDS)

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
        self._add_crash(crash, None, now)
        self._send_reports(now)

    def record_success(self, fingerprint: Fingerprint, now: float) -> None:
        """Record a success of the request, which clears its earlier crashes.

        This keeps a popular request, which runs on every server, out of quarantine when
        servers fail by themselves. It costs one lookup for a request without crashes.
        """
        if fingerprint in self._suspects:
            self._apply_success(Success(fingerprint, now), None, now)
            self._send_reports(now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Apply the list of peers, and send crash reports to newly started ones."""
        own = {self._self_id}
        self._to_hubs.set_hosts(set(view.hubs) - own, view.hubs)
        self._to_remote_hubs.set_hosts(set(view.remote_hubs) - own, view.remote_hubs)
        followers = set(view.followers) - own - {*view.hubs, *view.remote_hubs}
        self._to_followers.set_hosts(followers, view.primary_followers)
        self._forwards = view.is_hub or bool(view.followers)
        peers = [host for channel in self._channels for host in channel.hosts]
        for host in peers:
            incarnation = view.hosts[host].incarnation if host in view.hosts else 0
            if self._incarnations.get(host) == incarnation:
                continue
            self._incarnations[host] = incarnation
            if self._forwards:
                self._unsynced[host] = None
        for host in self._incarnations.keys() - set(peers):
            del self._incarnations[host]
            self._unsynced.pop(host, None)
        self._sync_new_hosts(now)

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Record crash reports and clearances, and forward new ones immediately."""
        if not isinstance(message, CrashNews):
            return
        for report in message.reports:
            at = now - report.age_ms / 1000
            crash = Crash(report.id, report.fingerprint, report.server, at)
            self._add_crash(crash, sender.host, now)
        for clearance in message.clearances:
            at = now - clearance.age_ms / 1000
            success = Success(clearance.fingerprint, at)
            self._apply_success(success, sender.host, now)
        self._send_reports(now)

    def tick(self, now: float) -> None:
        """Send queued reports, end due quarantines and drop expired crashes."""
        self._send_reports(now, with_repeats=True)
        self._sync_new_hosts(now)
        if now >= self._next_expiry_at:
            self._expire(now)

    def _expire(self, now: float) -> None:
        self._next_expiry_at = float("inf")
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.quarantined_until and suspect.quarantined_until <= now:
                self._end_quarantine(fingerprint, suspect)
            if suspect.crashes[-1].at + CRASH_RETENTION_SECONDS <= now:
                self._remove(fingerprint)
            else:
                self._schedule_expiry(suspect)

    def _schedule_expiry(self, suspect: FingerprintState) -> None:
        """Check the suspects when this one's quarantine or latest crash expires."""
        expiry_at = suspect.crashes[-1].at + CRASH_RETENTION_SECONDS
        if suspect.quarantined_until:
            expiry_at = min(expiry_at, suspect.quarantined_until)
        self._next_expiry_at = min(self._next_expiry_at, expiry_at)

    def _add_crash(self, crash: Crash, source: HostId | None, now: float) -> None:
        """Record a crash that a peer reported, or this host if `source` is None."""
        if crash.id in self._seen_crashes or crash.at + CRASH_RETENTION_SECONDS <= now:
            return
        self._seen_crashes[crash.id] = None
        if len(self._seen_crashes) > MAX_SEEN_REPORTS:
            self._seen_crashes.popitem(last=False)
        self._incident_log.add(crash)
        if crash.at > self._last_successes.get(crash.fingerprint, float("-inf")):
            self._add_to_suspect(crash)
        urgent: list[Item] = []
        for fingerprint in self._affected_suspects(crash, now):
            was_quarantined = self._is_quarantined(fingerprint, now)
            self._evaluate(fingerprint, now)
            if self._is_quarantined(fingerprint, now):
                if not was_quarantined or fingerprint == crash.fingerprint:
                    urgent += self._suspects[fingerprint].crashes
            elif was_quarantined:
                # These show that servers failed by themselves.
                near = self._incident_log.crashes_near(crash)
                urgent += near[-MAX_REPORTS_PER_MESSAGE:]
        if not self._incident_log.is_server_noisy(crash):
            self._enqueue(crash, urgent, source)

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

    def _apply_success(
        self, success: Success, source: HostId | None, now: float
    ) -> None:
        """Drop the crashes of a request that precede its success."""
        fingerprint = success.fingerprint
        last_success_at = self._last_successes.get(fingerprint, float("-inf"))
        if success.at <= last_success_at + MIN_CLEARANCE_INTERVAL_SECONDS:
            return
        self._last_successes[fingerprint] = success.at
        self._last_successes.move_to_end(fingerprint)
        if len(self._last_successes) > MAX_CLEARANCES:
            self._last_successes.popitem(last=False)
        is_urgent = self._is_quarantined(fingerprint, now)
        self._enqueue(success, [success] if is_urgent else [], source)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.crashes = [c for c in suspect.crashes if c.at > success.at]
        self._end_or_remove(fingerprint, suspect)

    def _enqueue(
        self, item: Item, urgent: Sequence[Item], source: HostId | None
    ) -> None:
        """Queue a new item, and urgent ones, for the peers that may lack them.

        Only hubs forward those of other hosts.
        """
        if source is not None and not self._forwards:
            return
        for urgent_item in dict.fromkeys(urgent):
            for channel in self._channels:
                channel.urgent.add(urgent_item)
        if item in urgent:
            return
        for channel in self._channels_without(source):
            channel.other.add(item)

    def _channels_without(self, source: HostId | None) -> list[ReportChannel]:
        """Return the channels to peers that do not get an item from its source."""
        channels = [self._to_followers]
        if source not in self._to_hubs.hosts:
            channels.append(self._to_hubs)
            if source not in self._to_remote_hubs.hosts:
                channels.append(self._to_remote_hubs)
        return channels

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
        self._schedule_expiry(suspect)

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
        if suspect.crashes:
            self._schedule_expiry(suspect)
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
        self._schedule_expiry(suspect)
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

    def _send_reports(self, now: float, with_repeats: bool = False) -> None:
        """Send the reports that are due, within the byte budgets."""
        for channel in self._channels:
            for host, news in channel.take_messages(with_repeats, now):
                self._outbox.send(host, news)

    def _sync_new_hosts(self, now: float) -> None:
        """Send hosts that are new to this one what they need, within a byte budget.

        Followers decide by the crashes of quarantined requests; hubs need all of them
        to detect further ones, and come first. A host that starts does not wait for
        those that this host found earlier, as a hub that starts itself finds many.
        """
        followers = self._to_followers.hosts
        while self._unsynced and self._sync_budget.is_available(now):
            hubs = (host for host in self._unsynced if host not in followers)
            host = next(hubs, None) or next(reversed(self._unsynced))
            del self._unsynced[host]
            needs_all = host not in followers
            reports = [
                crash.report(now)
                for fingerprint, suspect in self._suspects.items()
                if needs_all or self._is_quarantined(fingerprint, now)
                for crash in suspect.crashes
            ][-MAX_REPORTS_FOR_NEW_HOST:]
            for first in range(0, len(reports), MAX_REPORTS_PER_MESSAGE):
                batch = tuple(reports[first : first + MAX_REPORTS_PER_MESSAGE])
                self._outbox.send(host, CrashNews(batch))
                self._sync_budget.charge(news_size(len(batch), 1), now)
