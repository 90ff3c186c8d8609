"""Record kept by a hub of what the fleet admitted."""

from collections.abc import Iterable, Iterator, Mapping
from math import exp

from attrs import define

from catkinspan.coordination.rates.bucket import TokenBucket
from catkinspan.coordination.rates.const import (
    DEMAND_AVERAGING_SECONDS,
    HUB_REPORT_MAX_AGE_SECONDS,
    IDLE_EXPIRY_SECONDS,
    LEVEL_HORIZON_SECONDS,
    LOW_LEVEL_SHARE,
    REPORT_AFTER_USE_SECONDS,
)
from catkinspan.coordination.rates.models import Use, WorkspaceLevel
from catkinspan.coordination.rates.policy import RatePolicy
from catkinspan.coordination.reporters import RemoteHubs, Reporter, Reporters
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import Workspace


@define
class _WorkspaceUsage:
    """Token bucket and usage counters of one workspace."""

    bucket: TokenBucket
    zone_admitted: int = 0
    """Requests admitted in this data centre since these counters were created."""

    zone_last_used_at: float = float("-inf")
    last_used_at: float = 0.0
    zone_requests: int = 0
    demand: float = 0.0
    """Requests per second across the whole fleet, including refused ones."""

    demand_updated_at: float = 0.0

    def record_demand(self, count: int, now: float) -> None:
        """Add requests to the exponential moving average of the demand."""
        decay = exp(-max(0.0, now - self.demand_updated_at) / DEMAND_AVERAGING_SECONDS)
        self.demand = self.demand * decay + count / DEMAND_AVERAGING_SECONDS
        self.demand_updated_at = now


class UsageLedger:
    """Keeps one bucket per workspace in use, fed by counters that only increase.

    Cumulative counters make a lost or repeated report harmless. Of the hubs of a remote
    data centre only one is counted at a time, since they report the same usage.
    """

    def __init__(self, policy: RatePolicy) -> None:
        self._policy = policy
        self._usages: dict[WorkspaceId, _WorkspaceUsage] = {}
        self._hosts: Reporters[WorkspaceId, Use] = Reporters()
        self._remote: RemoteHubs[WorkspaceId, Use] = RemoteHubs(
            HUB_REPORT_MAX_AGE_SECONDS
        )
        self._workspaces: Mapping[WorkspaceId, Workspace] = {}
        self._share = 1.0

    def apply_limits(
        self, workspaces: Mapping[WorkspaceId, Workspace], now: float
    ) -> None:
        """Apply changed rates."""
        self._workspaces = workspaces
        for name in self._usages.keys() - workspaces.keys():
            del self._usages[name]
        self._update_buckets(now)

    def apply_heard_share(self, share: float, now: float) -> None:
        """Reduce each rate to the share of the fleet's hosts that are heard of.

        The other hosts may be partitioned and admit their own share.
        """
        if share == self._share:
            return
        self._share = share
        self._update_buckets(now)

    def _update_buckets(self, now: float) -> None:
        for name, usage in self._usages.items():
            rate, capacity = self._bucket_limits(self._workspaces[name])
            if (usage.bucket.rate, usage.bucket.capacity) != (rate, capacity):
                usage.bucket.set_limits(rate, capacity, now)

    def _bucket_limits(self, workspace: Workspace) -> tuple[float, float]:
        limits = self._policy.limits(workspace)
        return limits.rate * self._share, max(1.0, limits.capacity * self._share)

    def count_host_report(
        self, host: HostId, incarnation: int, uses: Iterable[Use], now: float
    ) -> None:
        """Count the usage reported by a host of this data centre."""
        for use in _take_increments(self._hosts.hear(host, incarnation, now), uses):
            usage = self._usage_of(use.workspace, now)
            if usage is not None:
                usage.bucket.debit(use.admitted)
                usage.record_demand(use.asked, now)
                usage.zone_admitted += use.admitted
                usage.zone_requests += use.asked
                usage.zone_last_used_at = now

    def count_zone_report(
        self,
        hub: HostId,
        data_centre: DataCentre,
        incarnation: int,
        uses: Iterable[Use],
        now: float,
    ) -> None:
        """Count the usage reported by a hub of another data centre."""
        is_counted = self._remote.is_counted(hub, data_centre, now)
        reporter = self._remote.hear(hub, incarnation, now)
        increments = _take_increments(reporter, uses)
        # The first totals of a hub do not tell when the requests were admitted.
        if not is_counted or reporter.is_new:
            return
        for use in increments:
            usage = self._usage_of(use.workspace, now)
            if usage is not None:
                usage.bucket.debit(use.admitted)
                usage.record_demand(use.asked, now)

    def _usage_of(self, name: WorkspaceId, now: float) -> _WorkspaceUsage | None:
        usage = self._usages.get(name)
        if usage is None:
            workspace = self._workspaces.get(name)
            if workspace is None:
                return None
            bucket = TokenBucket.full(*self._bucket_limits(workspace), now)
            usage = self._usages[name] = _WorkspaceUsage(bucket)
        usage.last_used_at = now
        return usage

    def low_levels(self, now: float) -> Iterator[WorkspaceLevel]:
        """Yield the levels of workspaces that are below `LOW_LEVEL_SHARE`."""
        for name, usage in self._usages.items():
            level = usage.bucket.refill(now)
            if self._workspaces[name].is_limited and level < (
                usage.bucket.capacity * LOW_LEVEL_SHARE
            ):
                usage.record_demand(0, now)
                expected_requests = max(1.0, usage.demand * LEVEL_HORIZON_SECONDS)
                share = min(1.0, max(0.0, level) / expected_requests)
                yield WorkspaceLevel(name, round(level, 1), round(share, 3))

    def zone_usage(self, now: float) -> tuple[Use, ...]:
        """Return the recent usage of this data centre for remote hubs."""
        return tuple(
            Use(name, usage.zone_admitted, usage.zone_requests)
            for name, usage in self._usages.items()
            if now - usage.zone_last_used_at <= REPORT_AFTER_USE_SECONDS
        )

    def forget_idle(self, now: float) -> None:
        """Drop reporters and workspaces without recent reports."""
        self._hosts.forget_idle(IDLE_EXPIRY_SECONDS, now)
        self._remote.forget_idle(IDLE_EXPIRY_SECONDS, now)
        for name, usage in list(self._usages.items()):
            if now - usage.last_used_at > IDLE_EXPIRY_SECONDS:
                del self._usages[name]


def _take_increments(
    reporter: Reporter[WorkspaceId, Use], uses: Iterable[Use]
) -> list[Use]:
    """Return the increments of a reporter's counters and store the new values."""
    increments = []
    for use in uses:
        zero = Use(use.workspace, 0, 0)
        previous = reporter.latest.get(use.workspace, zero)
        if use.asked < previous.asked:
            # A hub dropped the counters of an idle workspace and restarted from zero.
            previous = zero
        reporter.latest[use.workspace] = use
        if use.asked > previous.asked:
            admitted = max(0, use.admitted - previous.admitted)
            increments.append(Use(use.workspace, admitted, use.asked - previous.asked))
    return increments
