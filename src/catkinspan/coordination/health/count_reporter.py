"""The reports of request counts that a host sends to its hubs, and a hub to others."""

from collections.abc import Collection

from catkinspan.coordination.budget import ByteBudget
from catkinspan.coordination.const import (
    STANDBY_REPORT_INTERVAL_SECONDS,
    TICK_INTERVAL_SECONDS,
)
from catkinspan.coordination.health.assessor import Assessor
from catkinspan.coordination.health.budget import counts_size
from catkinspan.coordination.health.const import (
    COUNT_BYTES_PER_SECOND,
    FULL_REPORT_SECONDS,
    HUB_REPORTS_PER_SECOND,
    LOAD_REPORT_SECONDS,
    REMOTE_COUNT_BYTES_PER_SECOND,
    REMOTE_LOAD_REPORT_SECONDS,
    REMOTE_STANDBY_COUNT_BYTES_PER_SECOND,
    REPEATED_COUNT_BYTES_PER_SECOND,
    REPEATED_SECONDS,
    URGENT_COUNT_BYTES_PER_SECOND,
)
from catkinspan.coordination.health.models import HostCounts, ZoneCounts
from catkinspan.coordination.health.observer import Observer
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId


class CountReporter:
    """Sends counts that changed, within byte budgets.

    The counters only grow, so that a later report makes up for one that was not sent
    or was lost. A host with a failure does not wait for the interval.
    """

    def __init__(
        self,
        self_id: HostId,
        incarnation: int,
        observer: Observer,
        assessor: Assessor,
        outbox: Outbox,
    ) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._observer = observer
        self._assessor = assessor
        self._outbox = outbox
        self._interval = LOAD_REPORT_SECONDS
        self._budget = ByteBudget(COUNT_BYTES_PER_SECOND)
        self._urgent_budget = ByteBudget(URGENT_COUNT_BYTES_PER_SECOND)
        self._remote_budget = ByteBudget(REMOTE_COUNT_BYTES_PER_SECOND)
        self._repeat_budget = ByteBudget(REPEATED_COUNT_BYTES_PER_SECOND)
        self._remote_standby_budget = ByteBudget(REMOTE_STANDBY_COUNT_BYTES_PER_SECOND)
        self._reported_at = float("-inf")
        self._repeated_at = float("-inf")
        self._standby_report_at = float("-inf")
        self._remote_report_at = float("-inf")
        self._remote_repeated_at = float("-inf")
        self._remote_standby_report_at = float("-inf")

    def apply_view(self, view: FleetView, has_new_hubs: bool) -> None:
        """Adapt the interval to the data centre; new hubs get recent changes at once.

        The interval bounds the number of reports that a hub receives.
        """
        if has_new_hubs:
            self._repeated_at = float("-inf")
        shortest = view.data_centre_count / HUB_REPORTS_PER_SECOND
        self._interval = max(LOAD_REPORT_SECONDS, shortest)

    def report_to_primary(self, view: FleetView, is_urgent: bool, now: float) -> bool:
        """Send counts to the primary hub and add them on this host, if it is time."""
        # Half a tick of tolerance, since ticks arrive late.
        earliest = self._reported_at + self._interval - TICK_INTERVAL_SECONDS / 2
        if now >= earliest and self._budget.is_available(now):
            budget = self._budget
        elif is_urgent and self._urgent_budget.is_available(now):
            budget = self._urgent_budget
        else:
            return False
        since, self._reported_at = self._reported_at, now
        if now - self._repeated_at >= FULL_REPORT_SECONDS:
            self._repeated_at = now
            counts = self._observer.report_active(now - REPEATED_SECONDS, now)
        else:
            counts = self._observer.report(since, now)
        if not counts:
            return True
        self._assessor.add_host_counts(self._self_id, self._incarnation, counts, now)
        if view.hubs[0] != self._self_id:
            budget.charge(counts_size(len(counts), 1), now)
            self._outbox.send(view.hubs[0], HostCounts(counts))
        return True

    def report_to_others(self, view: FleetView, now: float) -> None:
        """Send totals to other data centres, and counts to the standby hubs."""
        if view.hubs[0] == self._self_id:
            self._report_to_remote_hubs(view, now)
        if now - self._standby_report_at >= STANDBY_REPORT_INTERVAL_SECONDS:
            self._report_to_standby(view, self._standby_report_at, now)
            self._standby_report_at = now

    def _report_to_standby(self, view: FleetView, since: float, now: float) -> None:
        """Send changed counts to the standby hubs, so that they can take over."""
        counts = self._observer.report(since, now)
        for hub in view.hubs[1:]:
            if hub != self._self_id and counts:
                self._outbox.send(hub, HostCounts(counts))
        if view.hubs[0] == self._self_id:
            self._report_to_remote_standby(view, now)

    def _report_to_remote_standby(self, view: FleetView, now: float) -> None:
        """Report changed totals to the other hubs of other data centres."""
        if not self._remote_standby_budget.is_available(now):
            return
        since, self._remote_standby_report_at = self._remote_standby_report_at, now
        primary = view.primary_remote_hubs
        hubs = [hub for hub in view.remote_hubs if hub not in primary]
        self._send_data_centre_counts(hubs, self._remote_standby_budget, since, now)

    def _report_to_remote_hubs(self, view: FleetView, now: float) -> None:
        """Report changed totals to the primary hub of each other data centre."""
        hubs = view.primary_remote_hubs
        is_due = now - self._remote_report_at >= REMOTE_LOAD_REPORT_SECONDS
        if is_due and self._remote_budget.is_available(now):
            since, self._remote_report_at = self._remote_report_at, now
            self._send_data_centre_counts(hubs, self._remote_budget, since, now)
        is_due = now - self._remote_repeated_at >= FULL_REPORT_SECONDS
        if is_due and self._repeat_budget.is_available(now):
            since = min(self._remote_repeated_at, now - REPEATED_SECONDS)
            self._remote_repeated_at = now
            self._send_data_centre_counts(hubs, self._repeat_budget, since, now)

    def _send_data_centre_counts(
        self, hubs: Collection[HostId], budget: ByteBudget, since: float, now: float
    ) -> None:
        """Send totals that changed since a time to hubs of other data centres."""
        counts = self._assessor.data_centre_counts(since, now)
        if not counts:
            return
        budget.charge(counts_size(len(counts), len(hubs)), now)
        message = ZoneCounts(counts)
        for hub in hubs:
            self._outbox.send(hub, message)
