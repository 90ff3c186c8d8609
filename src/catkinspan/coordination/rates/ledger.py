"""A hub's account of what the fleet admitted."""

from collections.abc import Iterable, Iterator, Mapping
from math import exp

from attrs import define, field

from catkinspan.coordination.rates.bucket import Bucket
from catkinspan.coordination.rates.const import (
    DEMAND_SECONDS,
    FRESH_SECONDS,
    HORIZON_SECONDS,
    IDLE_SECONDS,
    RECENT_SECONDS,
    SCARCE_SHARE,
)
from catkinspan.coordination.rates.models import Use, WorkspaceLevel
from catkinspan.coordination.rates.policy import RatePolicy
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


@define
class _Reporter:
    """A host or a hub that reports counters."""

    incarnation: int
    counted: dict[WorkspaceId, Use] = field(factory=dict)
    heard_at: float = 0.0


class Ledger:
    """Keeps one bucket for each workspace in use, from counters that only grow.

    Counters make a lost or repeated report harmless. Of several hubs of a data centre
    only one is counted at a time, since they report the same use.
    """

    def __init__(self, policy: RatePolicy) -> None:
        self._policy = policy
        self._accounts: dict[WorkspaceId, _Account] = {}
        self._hosts: dict[HostId, _Reporter] = {}
        self._remote: dict[HostId, _Reporter] = {}
        self._hub_of: dict[DataCentre, HostId] = {}
        """Hub of each other data centre whose reports are counted."""

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
        self, host: HostId, incarnation: int, uses: Iterable[Use], now: float
    ) -> None:
        """Count what a host of the own data centre reports."""
        for use in self._news(self._hosts, host, incarnation, uses, now):
            account = self._account(use.workspace, now)
            if account is not None:
                account.bucket.charge(use.admitted)
                account.ask(use.asked, now)
                account.zone_total += use.admitted
                account.zone_asked += use.asked
                account.zone_used_at = now

    def count_zone(
        self,
        hub: HostId,
        place: DataCentre,
        incarnation: int,
        uses: Iterable[Use],
        now: float,
    ) -> None:
        """Count what a hub of another data centre reports."""
        chosen = self._hub_of.get(place)
        known = self._remote.get(chosen) if chosen is not None else None
        if known is None or now - known.heard_at > FRESH_SECONDS:
            chosen = self._hub_of[place] = hub
        for use in self._news(self._remote, hub, incarnation, uses, now):
            account = self._account(use.workspace, now)
            if account is not None and hub == chosen:
                account.bucket.charge(use.admitted)
                account.ask(use.asked, now)

    def _news(
        self,
        reporters: dict[HostId, _Reporter],
        host: HostId,
        incarnation: int,
        uses: Iterable[Use],
        now: float,
    ) -> list[Use]:
        """Return by how much the counters of a reporter grew."""
        reporter = reporters.get(host)
        # A hub's totals begin at an arbitrary number for a reader that missed some.
        is_new = reporter is None and reporters is self._remote
        if reporter is None or reporter.incarnation != incarnation:
            reporter = reporters[host] = _Reporter(incarnation)
        reporter.heard_at = now
        grown = []
        for use in uses:
            before = reporter.counted.get(use.workspace, Use(use.workspace, 0, 0))
            reporter.counted[use.workspace] = use
            if use.asked > before.asked and not is_new:
                admitted = max(0, use.admitted - before.admitted)
                grown.append(Use(use.workspace, admitted, use.asked - before.asked))
        return grown

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

    def zone_uses(self, now: float) -> tuple[Use, ...]:
        """Return what the own data centre admitted lately, for the other ones."""
        return tuple(
            Use(name, account.zone_total, account.zone_asked)
            for name, account in self._accounts.items()
            if now - account.zone_used_at <= RECENT_SECONDS
        )

    def forget_idle(self, now: float) -> None:
        """Drop reporters and accounts without news."""
        for reporters in (self._hosts, self._remote):
            for host, reporter in list(reporters.items()):
                if now - reporter.heard_at > IDLE_SECONDS:
                    del reporters[host]
        for name, account in list(self._accounts.items()):
            if now - account.used_at > IDLE_SECONDS:
                del self._accounts[name]
