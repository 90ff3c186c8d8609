"""Latest reports of hosts and of the hubs of other data centres."""

from collections.abc import Iterator
from typing import Generic, TypeVar

from attrs import define, field

from catkinspan.state.ids import DataCentre, HostId

K = TypeVar("K")
R = TypeVar("R")


@define
class Reporter(Generic[K, R]):
    """One process and what it reported last, by key."""

    incarnation: int
    last_report_at: float
    latest_reports: dict[K, R] = field(factory=dict)
    is_first_report: bool = True
    """Whether its first report is being read."""


class Reporters(Generic[K, R]):
    """Processes that report; a new incarnation starts from nothing."""

    def __init__(self) -> None:
        self._reporters: dict[HostId, Reporter[K, R]] = {}

    def record_report(
        self, host: HostId, incarnation: int, now: float
    ) -> Reporter[K, R]:
        """Return the reporter whose report has just arrived."""
        reporter = self._reporters.get(host)
        if reporter is None or reporter.incarnation != incarnation:
            reporter = self._reporters[host] = Reporter(incarnation, now)
        else:
            reporter.is_first_report = False
        reporter.last_report_at = now
        return reporter

    def recent(self, max_age: float, now: float) -> Iterator[Reporter[K, R]]:
        """Yield the reporters that were heard within `limit` seconds."""
        for reporter in self._reporters.values():
            if now - reporter.last_report_at <= max_age:
                yield reporter

    def last_report_at(self, host: HostId | None) -> float:
        """Return when a host reported last; minus infinity if never."""
        reporter = None if host is None else self._reporters.get(host)
        return float("-inf") if reporter is None else reporter.last_report_at

    def get(self, host: HostId) -> Reporter[K, R] | None:
        """Return a reporter, None for an unknown one."""
        return self._reporters.get(host)

    def remove_stale(self, max_age: float, now: float) -> None:
        """Drop reporters that were not heard for `limit` seconds."""
        for host, reporter in list(self._reporters.items()):
            if now - reporter.last_report_at > max_age:
                del self._reporters[host]


class RemoteHubs(Reporters[K, R]):
    """Hubs of other data centres; of each data centre one is counted at a time.

    The hubs of a data centre report the same requests.
    """

    def __init__(self, silent_seconds: float) -> None:
        super().__init__()
        self._silent_seconds = silent_seconds
        self._selected: dict[DataCentre, HostId] = {}

    def is_selected(self, hub: HostId, data_centre: DataCentre, now: float) -> bool:
        """Return whether a hub's report counts; call it before `hear`."""
        chosen = self._selected.get(data_centre)
        if now - self.last_report_at(chosen) > self._silent_seconds:
            chosen = self._selected[data_centre] = hub
        return chosen == hub

    def recent_selected(self, max_age: float, now: float) -> Iterator[Reporter[K, R]]:
        """Yield the counted hubs that were heard within `limit` seconds."""
        for host in self._selected.values():
            reporter = self.get(host)
            if reporter is not None and now - reporter.last_report_at <= max_age:
                yield reporter
