"""A hub's account of what the fleet admitted."""

from collections.abc import Iterable, Iterator, Mapping
from math import exp

from attrs import define

from catkinspan.coordination.rates.bucket import Bucket
from catkinspan.coordination.rates.const import (
    DEMAND_SECONDS,
    FRESH_SECONDS,
    HORIZON_SECONDS,
    IDLE_SECONDS,
    RECENT_SECONDS,
    SCARCE_SHARE,
)
from catkinspan.coordination.rates.models import WorkspaceLevel, WorkspaceUsage
from catkinspan.coordination.rates.policy import RatePolicy
from catkinspan.coordination.reporters import RemoteHubs, Reporter, Reporters
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import Workspace


@define
class _Account:
    """One workspace."""

    bucket: Bucket
    zone_total: int = 0
    """Requests admitted in the own data centre since the account was opened."""

    zone_used_at: float = float("-inf")
    used_at: float = 0.0
    zone_asked: int = 0
    demand: float = 0.0
    """Requests a second over the whole fleet, refused ones included."""

    demand_at: float = 0.0

    def ask(self, count: int, now: float) -> None:
        """Add requests to the moving average of the demand."""
        left = exp(-max(0.0, now - self.demand_at) / DEMAND_SECONDS)
        self.demand = self.demand * left + count / DEMAND_SECONDS
        self.demand_at = now


class Ledger:
    """Keeps one bucket for each workspace in use, from counters that only grow.

    Counters make a lost or repeated report harmless. Of several hubs of a data centre
    only one is counted at a time, since they report the same use.
    """

    def __init__(self, policy: RatePolicy) -> None:
        self._policy = policy
        self._accounts: dict[WorkspaceId, _Account] = {}
        self._hosts: Reporters[WorkspaceId, WorkspaceUsage] = Reporters()
        self._remote: RemoteHubs[WorkspaceId, WorkspaceUsage] = RemoteHubs(
            FRESH_SECONDS
        )
        self._limits: Mapping[WorkspaceId, Workspace] = {}
        self._share = 1.0

    def apply_limits(self, limits: Mapping[WorkspaceId, Workspace], now: float) -> None:
        """Take over changed rates."""
        self._limits = limits
        for name in self._accounts.keys() - limits.keys():
            del self._accounts[name]
        self._set_limits(now)

    def apply_share(self, share: float, now: float) -> None:
        """Use only a share of each rate, as long as the rest of the fleet is unheard.

        The unheard hosts may be cut off and admit their own share.
        """
        if share == self._share:
            return
        self._share = share
        self._set_limits(now)

    def _set_limits(self, now: float) -> None:
        for name, account in self._accounts.items():
            rate, cap = self._limits_of(self._limits[name])
            if (account.bucket.rate, account.bucket.cap) != (rate, cap):
                account.bucket.limit(rate, cap, now)

    def _limits_of(self, workspace: Workspace) -> tuple[float, float]:
        limits = self._policy.limits(workspace)
        return limits.rate * self._share, max(1.0, limits.cap * self._share)

    def count_host(
        self, host: HostId, incarnation: int, uses: Iterable[WorkspaceUsage], now: float
    ) -> None:
        """Count what a host of the own data centre reports."""
        for use in _growth(self._hosts.record_report(host, incarnation, now), uses):
            account = self._account(use.workspace, now)
            if account is not None:
                account.bucket.charge(use.admitted)
                account.ask(use.requested, now)
                account.zone_total += use.admitted
                account.zone_asked += use.requested
                account.zone_used_at = now

    def count_zone(
        self,
        hub: HostId,
        place: DataCentre,
        incarnation: int,
        uses: Iterable[WorkspaceUsage],
        now: float,
    ) -> None:
        """Count what a hub of another data centre reports."""
        is_counted = self._remote.is_selected(hub, place, now)
        reporter = self._remote.record_report(hub, incarnation, now)
        grown = _growth(reporter, uses)
        # The first sums of a hub say nothing of when their growth was.
        if not is_counted or reporter.is_first_report:
            return
        for use in grown:
            account = self._account(use.workspace, now)
            if account is not None:
                account.bucket.charge(use.admitted)
                account.ask(use.requested, now)

    def _account(self, name: WorkspaceId, now: float) -> _Account | None:
        account = self._accounts.get(name)
        if account is None:
            limit = self._limits.get(name)
            if limit is None:
                return None
            bucket = Bucket.full(*self._limits_of(limit), now)
            account = self._accounts[name] = _Account(bucket)
        account.used_at = now
        return account

    def scarce(self, now: float) -> Iterator[WorkspaceLevel]:
        """Yield the workspaces that run short."""
        for name, account in self._accounts.items():
            level = account.bucket.refill(now)
            if self._limits[name].is_limited and level < (
                account.bucket.cap * SCARCE_SHARE
            ):
                account.ask(0, now)
                wanted = max(1.0, account.demand * HORIZON_SECONDS)
                share = min(1.0, max(0.0, level) / wanted)
                yield WorkspaceLevel(name, round(level, 1), round(share, 3))

    def zone_uses(self, now: float) -> tuple[WorkspaceUsage, ...]:
        """Return what the own data centre admitted lately, for the other ones."""
        return tuple(
            WorkspaceUsage(name, account.zone_total, account.zone_asked)
            for name, account in self._accounts.items()
            if now - account.zone_used_at <= RECENT_SECONDS
        )

    def forget_idle(self, now: float) -> None:
        """Drop reporters and accounts without news."""
        self._hosts.remove_stale(IDLE_SECONDS, now)
        self._remote.remove_stale(IDLE_SECONDS, now)
        for name, account in list(self._accounts.items()):
            if now - account.used_at > IDLE_SECONDS:
                del self._accounts[name]


def _growth(
    reporter: Reporter[WorkspaceId, WorkspaceUsage], uses: Iterable[WorkspaceUsage]
) -> list[WorkspaceUsage]:
    """Return by how much the counters of a reporter grew, and remember them."""
    grown = []
    for use in uses:
        nothing = WorkspaceUsage(use.workspace, 0, 0)
        before = reporter.latest_reports.get(use.workspace, nothing)
        if use.requested < before.requested:
            # A hub dropped an idle account and began to count anew.
            before = nothing
        reporter.latest_reports[use.workspace] = use
        if use.requested > before.requested:
            admitted = max(0, use.admitted - before.admitted)
            grown.append(
                WorkspaceUsage(
                    use.workspace, admitted, use.requested - before.requested
                )
            )
    return grown
