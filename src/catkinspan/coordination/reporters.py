"""Latest reports of hosts and of the hubs of other data centres."""

from collections.abc import Iterator
from typing import Generic, TypeVar

from attrs import define, field

from catkinspan.state.ids import DataCentre, HostId

K = TypeVar("K")
R = TypeVar("R")


@define
class Reporter(Generic[K, R]):
    """A reporting host process with its latest report for each key."""

    incarnation: int
    last_report_at: float
    latest_reports: dict[K, R] = field(factory=dict)


class Reporters(Generic[K, R]):
    """Reporting hosts; a new incarnation of a host starts with an empty state."""

    def __init__(self) -> None:
        self._reporters: dict[HostId, Reporter[K, R]] = {}

    def record_report(
        self, host: HostId, incarnation: int, now: float
    ) -> Reporter[K, R]:
        """Record the arrival of a report and return its reporter."""
        reporter = self._reporters.get(host)
        if reporter is None or reporter.incarnation != incarnation:
            reporter = self._reporters[host] = Reporter(incarnation, now)
        reporter.last_report_at = now
        return reporter

    def recent(self, max_age: float, now: float) -> Iterator[Reporter[K, R]]:
        """Yield the reporters that reported within the last `max_age` seconds."""
        for reporter in self._reporters.values():
            if now - reporter.last_report_at <= max_age:
                yield reporter

    def last_report_at(self, host: HostId | None) -> float:
        """Return when a host last reported; minus infinity if it never did."""
        reporter = None if host is None else self._reporters.get(host)
        return float("-inf") if reporter is None else reporter.last_report_at

    def get(self, host: HostId) -> Reporter[K, R] | None:
        """Return the reporter of a host, None if it is unknown."""
        return self._reporters.get(host)

    def remove_stale(self, max_age: float, now: float) -> None:
        """Remove reporters whose last report is older than `max_age` seconds."""
        for host, reporter in list(self._reporters.items()):
            if now - reporter.last_report_at > max_age:
                del self._reporters[host]


class RemoteHubs(Reporters[K, R]):
    """Hubs of other data centres, of which one per data centre is selected at a time.

    The hubs of a data centre report the same requests, so counting more than one would
    count requests twice.
    """

    def __init__(self, silent_seconds: float) -> None:
        super().__init__()
        self._silent_seconds = silent_seconds
        self._selected: dict[DataCentre, HostId] = {}

    def is_selected(self, hub: HostId, data_centre: DataCentre, now: float) -> bool:
        """Return whether a hub's report counts; call it before `record_report`."""
        selected = self._selected.get(data_centre)
        if now - self.last_report_at(selected) > self._silent_seconds:
            selected = self._selected[data_centre] = hub
        return selected == hub

    def recent_selected(self, max_age: float, now: float) -> Iterator[Reporter[K, R]]:
        """Yield the selected hubs that reported within the last `max_age` seconds."""
        for host in self._selected.values():
            reporter = self.get(host)
            if reporter is not None and now - reporter.last_report_at <= max_age:
                yield reporter
