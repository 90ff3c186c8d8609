"""A hub's state of the servers, computed from the reports of all hosts."""

from collections.abc import Iterable

from attrs import define

from catkinspan.coordination.health.const import (
    FAILURE_FACTOR,
    INITIAL_RISK,
    LOAD_RECOUNT_SECONDS,
    STALE_REPORT_SECONDS,
)
from catkinspan.coordination.health.models import ServerCounts
from catkinspan.coordination.health.risk import RiskEstimate
from catkinspan.coordination.reporters import RemoteHubs, Reporters
from catkinspan.state.ids import DataCentre, HostId, ServerId

_REPORTER_EXPIRY_SECONDS = 30.0


@define
class _Totals:
    """Monotonically increasing counts of a server in this hub's data centre."""

    succeeded: int = 0
    failed: int = 0
    changed_at: float = float("-inf")


class Assessor:
    """Aggregates the counts of all hosts and estimates each server's risk from them.

    The counters only grow, so a lost or repeated report does no harm. Of several hubs
    of a data centre only one is counted at a time.
    """

    def __init__(self) -> None:
        self._host_reporters: Reporters[ServerId, ServerCounts] = Reporters()
        self._remote_hubs: RemoteHubs[ServerId, ServerCounts] = RemoteHubs(
            STALE_REPORT_SECONDS
        )
        self._estimates: dict[ServerId, RiskEstimate] = {}
        self._data_centre_totals: dict[ServerId, _Totals] = {}
        self._in_flight: dict[ServerId, int] = {}
        """Requests of the whole fleet in flight, as of the latest reports."""

        self._recounted_at = float("-inf")
        self._changed: dict[ServerId, None] = {}
        self._failed: dict[ServerId, None] = {}

    @property
    def has_failed(self) -> bool:
        """Return whether servers had failures that `take_failed` has not returned."""
        return bool(self._failed)

    def add_host_counts(
        self,
        host: HostId,
        incarnation: int,
        counts: Iterable[ServerCounts],
        now: float,
    ) -> None:
        """Add the counts of a host."""
        reporter = self._host_reporters.record_report(host, incarnation, now)
        for count in counts:
            previous = reporter.latest_reports.get(count.server)
            succeeded, failed = _increase(previous, count)
            reporter.latest_reports[count.server] = count
            self._update_load(count.server, previous, count)
            total = self._data_centre_totals.setdefault(count.server, _Totals())
            total.succeeded += succeeded
            total.failed += failed
            total.changed_at = now
            self._update_risk(count.server, succeeded, failed, now)

    def add_data_centre_counts(
        self,
        hub: HostId,
        data_centre: DataCentre,
        incarnation: int,
        counts: Iterable[ServerCounts],
        now: float,
    ) -> None:
        """Add another data centre's totals."""
        is_counted = self._remote_hubs.is_selected(hub, data_centre, now)
        reporter = self._remote_hubs.record_report(hub, incarnation, now)
        for count in counts:
            previous = reporter.latest_reports.get(count.server)
            reporter.latest_reports[count.server] = count
            # The first totals of a hub do not tell when the counted requests ended.
            succeeded, failed = (
                (0, 0) if previous is None else _increase(previous, count)
            )
            if is_counted:
                self._update_load(count.server, previous, count)
                self._update_risk(count.server, succeeded, failed, now)

    def _update_load(
        self, server: ServerId, previous: ServerCounts | None, current: ServerCounts
    ) -> None:
        before = 0 if previous is None else previous.in_flight
        load = self._in_flight.get(server, 0) + current.in_flight - before
        self._in_flight[server] = max(0, load)
        self._changed[server] = None

    def _update_risk(
        self, server: ServerId, succeeded: int, failed: int, now: float
    ) -> None:
        estimate = self._estimates.get(server)
        if estimate is None:
            estimate = self._estimates[server] = RiskEstimate(updated_at=now)
        if succeeded:
            estimate.record_successes(succeeded, now)
        if failed:
            estimate.record_failures(failed, FAILURE_FACTOR, now)
            self._failed[server] = None

    def load_and_risk(self, server: ServerId, now: float) -> tuple[int, float]:
        """Return the fleet's requests in flight at a server, and its risk."""
        estimate = self._estimates.get(server)
        risk = INITIAL_RISK if estimate is None else estimate.decay_to(now)
        return self._in_flight.get(server, 0), risk

    def take_changed(self) -> Iterable[ServerId]:
        """Return the servers whose counts changed since the last call."""
        changed, self._changed = self._changed, {}
        return changed

    def take_failed(self) -> Iterable[ServerId]:
        """Return the servers that had failures since the last call."""
        failed, self._failed = self._failed, {}
        return failed

    def recount(self, now: float) -> None:
        """Count the load anew at times, without hosts that stopped reporting."""
        if now - self._recounted_at < LOAD_RECOUNT_SECONDS:
            return
        self._recounted_at = now
        counted = self._in_flight_by_server(now)
        for server in {**counted, **self._in_flight}:
            if counted.get(server, 0) != self._in_flight.get(server, 0):
                self._changed[server] = None
        self._in_flight = counted

    def data_centre_counts(self, since: float, now: float) -> tuple[ServerCounts, ...]:
        """Return the totals of this hub's data centre that changed since a time."""
        fresh = list(self._host_reporters.recent(STALE_REPORT_SECONDS, now))
        found = []
        for server, total in self._data_centre_totals.items():
            if total.changed_at < since:
                continue
            latest = [
                r.latest_reports[server] for r in fresh if server in r.latest_reports
            ]
            found.append(
                ServerCounts(
                    server,
                    sum(count.in_flight for count in latest),
                    sum(count.overdue for count in latest),
                    total.succeeded,
                    total.failed,
                )
            )
        return tuple(found)

    def _in_flight_by_server(self, now: float) -> dict[ServerId, int]:
        """Return the requests of the whole fleet in flight, by server."""
        in_flight: dict[ServerId, int] = {}
        for reporter in (
            *self._host_reporters.recent(STALE_REPORT_SECONDS, now),
            *self._remote_hubs.recent_selected(STALE_REPORT_SECONDS, now),
        ):
            for server, count in reporter.latest_reports.items():
                if count.in_flight:
                    in_flight[server] = in_flight.get(server, 0) + count.in_flight
        return in_flight

    def keep_only(self, servers: set[ServerId], now: float) -> None:
        """Drop all servers but the given ones, and hosts that stopped reporting."""
        for table in (
            self._estimates,
            self._data_centre_totals,
            self._in_flight,
            self._changed,
            self._failed,
        ):
            for server in table.keys() - servers:
                del table[server]
        self._host_reporters.remove_stale(_REPORTER_EXPIRY_SECONDS, now)
        self._remote_hubs.remove_stale(_REPORTER_EXPIRY_SECONDS, now)
        for reporter in (
            *self._host_reporters.recent(_REPORTER_EXPIRY_SECONDS, now),
            *self._remote_hubs.recent(_REPORTER_EXPIRY_SECONDS, now),
        ):
            for server in reporter.latest_reports.keys() - servers:
                del reporter.latest_reports[server]


def _increase(previous: ServerCounts | None, current: ServerCounts) -> tuple[int, int]:
    if previous is None:
        return (
            current.succeeded - current.earlier_succeeded,
            current.failed - current.earlier_failed,
        )
    succeeded = max(0, current.succeeded - previous.succeeded)
    return succeeded, max(0, current.failed - previous.failed)
