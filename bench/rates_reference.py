"""Two simpler schemes for comparison: fixed shares, and one owner per bucket."""

from attrs import define

from bench.rates_fleet import Fleet, Tally
from catkinspan.coordination.rates.shards import role_name, shard_of
from catkinspan.coordination.rendezvous import owner
from catkinspan.state.ids import HostId, WorkspaceId
from catkinspan.state.tree import Workspace


@define
class PlainBucket:
    """A token bucket that starts full."""

    rate: float
    burst: float
    tokens: float
    updated: float

    def take(self, now: float) -> bool:
        """Take one token."""
        refilled = self.tokens + self.rate * (now - self.updated)
        self.tokens, self.updated = min(self.burst, refilled), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Scheme:
    """Buckets by host process and workspace, with the account of decisions."""

    share = 1.0

    def __init__(self, limits: dict[WorkspaceId, Workspace]) -> None:
        self.tallies = {name: Tally(item) for name, item in limits.items()}
        self._buckets: dict[tuple[HostId, int, WorkspaceId], PlainBucket] = {}

    def request(
        self, fleet: Fleet, host: HostId, name: WorkspaceId, in_rate: bool
    ) -> None:
        """Decide on a request that arrives at a host."""
        tally, now = self.tallies[name], fleet.channel.now
        admitted = self._decide(fleet, host, name, now)
        if admitted:
            tally.admit(now)
        tally.arrived += 1
        tally.admitted += admitted
        tally.wrongly_refused += in_rate and not admitted

    def _decide(
        self, fleet: Fleet, host: HostId, name: WorkspaceId, now: float
    ) -> bool:
        return self._take(fleet, host, name, now)

    def _take(self, fleet: Fleet, host: HostId, name: WorkspaceId, now: float) -> bool:
        process = fleet.hosts.get(host)
        if process is None or host in fleet.paused:
            return False
        key = (host, process.incarnation, name)
        bucket = self._buckets.get(key)
        if bucket is None:
            limits = self.tallies[name].limits
            rate, burst = limits.rate * self.share, limits.burst * self.share
            bucket = self._buckets[key] = PlainBucket(rate, burst, burst, now)
        return bucket.take(now)


class FixedShares(Scheme):
    """Each host has 1/slots of each rate and burst."""

    def __init__(self, limits: dict[WorkspaceId, Workspace], slots: int) -> None:
        super().__init__(limits)
        self.share = 1.0 / slots


class HashOwner(Scheme):
    """One full bucket at the host that the own view names as the owner."""

    def _decide(
        self, fleet: Fleet, host: HostId, name: WorkspaceId, now: float
    ) -> bool:
        process = fleet.hosts.get(host)
        if process is None or host in fleet.paused:
            return False
        shard = shard_of(name, fleet.tree.fleet.rate_shards)
        holder = owner(role_name(shard), process.listed - process.dead)
        if holder is None or not fleet.channel.connects(host, holder):
            return False
        return self._take(fleet, holder, name, now)
