"""Choice of the workspaces in a report of the use of rates."""

from collections.abc import Callable
from math import ceil

from attrs import define

from catkinspan.coordination.budget import ByteBudget
from catkinspan.coordination.const import (
    REPORT_INTERVAL_SECONDS,
    STANDBY_REPORT_INTERVAL_SECONDS,
)
from catkinspan.coordination.rates.const import REPORT_AFTER_USE_SECONDS, USAGE_BYTES
from catkinspan.state.ids import WorkspaceId


@define
class _Use:
    """Use of a workspace in reports to one group of receivers."""

    last_at: float
    waits_since: float
    admitted: int = 0
    """Admitted requests that no report has had yet."""

    requested: int = 0
    """The same for all requests."""


class UseReports:
    """Chooses the workspaces of each report, so that a byte budget is kept.

    All workspaces in use are reported while they fit, several times, so that the loss
    of one report does no harm. Otherwise those that are short of tokens come first,
    then those whose unreported requests have waited longest in sum. Counters only grow,
    so a workspace that waits is reported in full later.

    Example::

        reports = UseReports(bytes_per_second=2000.0)
        reports.record(workspace, 1, 1, now)
        names = reports.select(1, is_short, now)  # Each with its unreported use.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._budget = ByteBudget(bytes_per_second, STANDBY_REPORT_INTERVAL_SECONDS)
        self._uses: dict[WorkspaceId, _Use] = {}

    def record(
        self, workspace: WorkspaceId, admitted: int, requested: int, now: float
    ) -> None:
        """Count requests to report."""
        use = self._uses.get(workspace)
        if use is None:
            use = self._uses[workspace] = _Use(now, now)
        if not use.requested:
            use.waits_since = now
        use.last_at = now
        use.admitted += admitted
        use.requested += requested

    def select(
        self, receivers: int, is_short: Callable[[WorkspaceId], bool], now: float
    ) -> dict[WorkspaceId, int]:
        """Return the workspaces to report now, with the admissions not reported before.

        Without receivers nothing waits, since later ones count only recent use.
        """
        if not receivers:
            self._uses.clear()
            return {}
        room = self._room(receivers, now)
        names = list(self._uses)
        if len(names) > room:

            def order(name: WorkspaceId) -> tuple[bool, float]:
                use = self._uses[name]
                return not is_short(name), use.requested * (use.waits_since - now)

            waiting = (name for name, use in self._uses.items() if use.requested)
            names = sorted(waiting, key=order)[:room]
        self._budget.charge(USAGE_BYTES * len(names) * receivers, now)
        selected = {name: self._uses[name].admitted for name in names}
        for name in names:
            self._uses[name].admitted = self._uses[name].requested = 0
        self._forget_reported(now)
        return selected

    def _room(self, receivers: int, now: float) -> int:
        """Return the number of workspaces for which the budget pays now."""
        available = self._budget.spendable(REPORT_INTERVAL_SECONDS, now)
        return ceil(available / USAGE_BYTES / receivers)

    def _forget_reported(self, now: float) -> None:
        oldest = now - REPORT_AFTER_USE_SECONDS
        for name, use in list(self._uses.items()):
            if not use.requested and use.last_at < oldest:
                del self._uses[name]
