"""Record kept by a hub of what the fleet admitted."""

from collections.abc import Iterable, Iterator, Mapping
from math import exp

from attrs import define, evolve, field

from catkinspan.coordination.rates.bucket import TokenBucket
from catkinspan.coordination.rates.const import (
    DEMAND_AVERAGING_SECONDS,
    HUB_REPORT_MAX_AGE_SECONDS,
    IDLE_EXPIRY_SECONDS,
    LEVEL_HORIZON_SECONDS,
    LOW_LEVEL_SHARE,
    REMOTE_USE_BYTES_PER_SECOND,
    SILENT_HOST_WEIGHT,
)
from catkinspan.coordination.rates.models import (
    Levels,
    UsageIncrement,
    WorkspaceLevel,
    WorkspaceUsage,
)
from catkinspan.coordination.rates.policy import BucketLimits, RatePolicy
from catkinspan.coordination.rates.use_reports import UseReports
from catkinspan.coordination.rates.workspace_state import recent_use_count
from catkinspan.coordination.recent_count import RecentCount
from catkinspan.coordination.reporters import RemoteHubs, Reporter, Reporters
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import Workspace


@define
class _WorkspaceAccount:
    """Token bucket and usage counters of one workspace."""

    bucket: TokenBucket
    requests: TokenBucket
    """Bucket of the published rate for all requests, admitted or not. It tells whether
    the callers are within the rate while `bucket` has a part of it."""

    local_admitted: int = 0
    """Requests admitted in this data centre since these counters were created."""

    local_recent: RecentCount = field(factory=recent_use_count)
    last_used_at: float = 0.0
    local_requested: int = 0
    demand: float = 0.0
    """Requests per second across the whole fleet, including refused ones."""

    demand_updated_at: float = 0.0

    @property
    def is_short(self) -> bool:
        """Return whether the hosts need to know the level."""
        return self.bucket.level < self.bucket.capacity * LOW_LEVEL_SHARE

    def record(self, usage: UsageIncrement, now: float) -> None:
        """Count requests of any host."""
        self.bucket.debit(usage.admitted)
        self.requests.refill(now)
        self.requests.debit_request(usage.requested)
        self.record_demand(usage.requested, now)

    def record_demand(self, count: int, now: float) -> None:
        """Add requests to the exponential moving average of the demand."""
        decay = exp(-max(0.0, now - self.demand_updated_at) / DEMAND_AVERAGING_SECONDS)
        self.demand = self.demand * decay + count / DEMAND_AVERAGING_SECONDS
        self.demand_updated_at = now


class UsageLedger:
    """Keeps one bucket per workspace in use, fed by counters that only increase.

    Cumulative counters make a lost or repeated report harmless. The total of a sender
    that is new here, or that was not heard for long, has use that another hub counted.
    So a report adds at most the sender's recent use, and a first total with older use
    adds only what no other hub may have counted. Of the hubs of a remote data centre
    only one is counted at a time, since they report the same usage.
    """

    def __init__(self, policy: RatePolicy) -> None:
        self._policy = policy
        self._counts_since: float | None = None
        """Time of the first report of a host, which may be this host; the use before it
        is not known."""

        self._accounts: dict[WorkspaceId, _WorkspaceAccount] = {}
        self._hosts: Reporters[WorkspaceId, WorkspaceUsage] = Reporters()
        self._remote: RemoteHubs[WorkspaceId, WorkspaceUsage] = RemoteHubs(
            HUB_REPORT_MAX_AGE_SECONDS
        )
        self._remote_reports = UseReports(REMOTE_USE_BYTES_PER_SECOND)
        self._workspaces: Mapping[WorkspaceId, Workspace] = {}
        self._share = 1.0

    def apply_limits(
        self, workspaces: Mapping[WorkspaceId, Workspace], now: float
    ) -> None:
        """Apply changed rates."""
        self._workspaces = workspaces
        for name in self._accounts.keys() - workspaces.keys():
            del self._accounts[name]
        self._update_buckets(now)

    def apply_alive_share(self, share: float, now: float) -> None:
        """Reduce each rate to what the hosts that are heard from may use.

        The other hosts may be partitioned and go on with their own use.
        """
        share /= share + SILENT_HOST_WEIGHT * (1.0 - share)
        if share == self._share:
            return
        self._share = share
        self._update_buckets(now)

    def mark_reserved(self, message: Levels, now: float) -> Levels:
        """Add which workspaces are short only for what is kept for other hosts."""
        if self._share >= 1.0:
            return message
        reserved = [
            index
            for index, level in enumerate(message.levels)
            if self._accounts[level.workspace].requests.refill(now) >= 0.0
        ]
        return evolve(message, reserved=tuple(reserved))

    def _update_buckets(self, now: float) -> None:
        for name, account in self._accounts.items():
            published = self._workspaces[name]
            if (account.requests.rate, account.requests.capacity) != (
                published.rate,
                published.burst,
            ):
                account.requests.set_limits(published.rate, published.burst, now)
            limits = self._bucket_limits(self._workspaces[name])
            rate, capacity = limits.rate, limits.capacity
            if (account.bucket.rate, account.bucket.capacity) != (rate, capacity):
                account.bucket.set_limits(rate, capacity, now)

    def _bucket_limits(self, workspace: Workspace) -> BucketLimits:
        limits = self._policy.limits(workspace)
        return BucketLimits(
            limits.rate * self._share,
            max(1.0, limits.capacity * self._share),
            max(1.0, limits.initial * self._share),
        )

    def forget_reporters(self) -> None:
        """Take the next totals as first ones, since another hub counted meanwhile."""
        self._hosts = Reporters()
        self._remote = RemoteHubs(HUB_REPORT_MAX_AGE_SECONDS)

    def count_host_report(
        self,
        host: HostId,
        incarnation: int,
        usages: Iterable[WorkspaceUsage],
        now: float,
    ) -> None:
        """Count the usage reported by a host of this data centre."""
        if self._counts_since is None:
            self._counts_since = now
        for usage in _take_increments(
            self._hosts.record_report(host, incarnation, now), usages
        ):
            account = self._account_for(usage.workspace, now)
            if account is not None:
                account.record(usage, now)
                account.local_admitted += usage.admitted
                account.local_recent.record(usage.admitted, now)
                account.local_requested += usage.requested
                self._remote_reports.record(
                    usage.workspace, usage.admitted, usage.requested, now
                )

    def count_remote_report(
        self,
        hub: HostId,
        data_centre: DataCentre,
        incarnation: int,
        usages: Iterable[WorkspaceUsage],
        now: float,
    ) -> None:
        """Count the usage reported by a hub of another data centre."""
        is_selected = self._remote.is_selected(hub, data_centre, now)
        reporter = self._remote.record_report(hub, incarnation, now)
        increments = _take_increments(reporter, usages)
        if not is_selected:
            return
        for usage in increments:
            account = self._account_for(usage.workspace, now)
            if account is not None:
                account.record(usage, now)

    def _account_for(self, name: WorkspaceId, now: float) -> _WorkspaceAccount | None:
        account = self._accounts.get(name)
        if account is None:
            workspace = self._workspaces.get(name)
            if workspace is None:
                return None
            account = _WorkspaceAccount(
                self._new_bucket(workspace, now),
                TokenBucket.full(workspace.rate, workspace.burst, now),
            )
            self._accounts[name] = account
        account.last_used_at = now
        return account

    def _new_bucket(self, workspace: Workspace, now: float) -> TokenBucket:
        """Return the bucket of a workspace without use since the first report."""
        limits = self._bucket_limits(workspace)
        since = now if self._counts_since is None else self._counts_since
        bucket = TokenBucket(limits.rate, limits.capacity, limits.initial, since)
        bucket.refill(now)
        return bucket

    def low_levels(self, now: float) -> Iterator[WorkspaceLevel]:
        """Yield the levels of workspaces that are below `LOW_LEVEL_SHARE`, or below the
        requests that are expected until the next report."""
        for name, account in self._accounts.items():
            level = account.bucket.refill(now)
            expected = account.demand * LEVEL_HORIZON_SECONDS
            is_low = account.is_short or level < expected
            if self._workspaces[name].is_limited and is_low:
                account.record_demand(0, now)
                expected_requests = max(1.0, account.demand * LEVEL_HORIZON_SECONDS)
                share = min(1.0, max(0.0, level) / expected_requests)
                yield WorkspaceLevel(name, round(level, 1), round(share, 3))

    def reduce_levels(self, levels: Iterable[WorkspaceLevel], now: float) -> None:
        """Reduce levels to those of another hub, which has counted earlier use."""
        for level in levels:
            account = self._account_for(level.workspace, now)
            if account is not None:
                current = account.bucket.refill(now)
                account.bucket.level = min(current, level.level)

    def local_usages(self, receivers: int, now: float) -> tuple[WorkspaceUsage, ...]:
        """Return the usage of this data centre to report to a number of remote hubs."""
        selected = self._remote_reports.select(receivers, self._is_short, now)
        return tuple(
            WorkspaceUsage(
                name,
                account.local_admitted,
                account.local_requested,
                max(unreported, account.local_recent.total(now)),
            )
            for name, unreported in selected.items()
            if (account := self._accounts.get(name)) is not None
        )

    def _is_short(self, name: WorkspaceId) -> bool:
        account = self._accounts.get(name)
        return account is not None and account.is_short

    def forget_idle(self, now: float) -> None:
        """Drop reporters and workspaces without recent reports."""
        self._hosts.remove_stale(IDLE_EXPIRY_SECONDS, now)
        self._remote.remove_stale(IDLE_EXPIRY_SECONDS, now)
        for name, account in list(self._accounts.items()):
            if now - account.last_used_at > IDLE_EXPIRY_SECONDS:
                del self._accounts[name]


def _take_increments(
    reporter: Reporter[WorkspaceId, WorkspaceUsage], usages: Iterable[WorkspaceUsage]
) -> list[UsageIncrement]:
    """Return the increments of a reporter's counters and store the new values."""
    increments = []
    for usage in usages:
        previous = reporter.latest_reports.get(usage.workspace)
        reporter.latest_reports[usage.workspace] = usage
        increment = _increment(previous, usage)
        if increment.requested > 0:
            increments.append(increment)
    return increments


def _increment(
    previous: WorkspaceUsage | None, usage: WorkspaceUsage
) -> UsageIncrement:
    """Return what a report adds, without older use that was counted elsewhere."""
    name, admitted, requested = usage.workspace, usage.admitted, usage.requested
    if previous is None:
        if usage.recent is None:
            return UsageIncrement(name, 0, 0)
        if admitted <= usage.recent:
            return UsageIncrement(name, admitted, requested)
        uncounted = min(usage.unconfirmed, usage.recent)
        return UsageIncrement(name, uncounted, uncounted)
    if requested >= previous.requested:
        # Otherwise a hub dropped the counters of an idle workspace and restarted.
        admitted = max(0, admitted - previous.admitted)
        requested -= previous.requested
    if usage.recent is None or admitted <= usage.recent:
        return UsageIncrement(name, admitted, requested)
    scaled = max(1, requested * usage.recent // admitted)
    return UsageIncrement(name, usage.recent, scaled)
