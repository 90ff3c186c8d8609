"""The grantor's side: leases, buckets and grants of the shards that it serves."""

from collections.abc import Collection, Mapping
from math import ceil

from attrs import define, field

from catkinspan.coordination.rates.bucket import Bucket, saved_tokens
from catkinspan.coordination.rates.const import (
    DRIFT_MARGIN,
    EPSILON,
    EVICT_SECONDS,
    MAX_ASK_LIFE_SECONDS,
    MAX_HOLD_SECONDS,
    MIN_PREFETCH_CAP,
    PREFETCH_LIFE_SECONDS,
    PREFETCH_RESERVE,
)
from catkinspan.coordination.rates.leases import LeaseTable
from catkinspan.coordination.rates.ledger import Holder
from catkinspan.coordination.rates.models import (
    AskEntry,
    GrantEntry,
    TokenAsk,
    TokenGrant,
)
from catkinspan.coordination.rates.shards import shard_of
from catkinspan.state.ids import HostId, WorkspaceId
from catkinspan.state.tree import Workspace


def _hold_ms(seconds: float) -> int:
    return int(min(seconds, MAX_HOLD_SECONDS) * 1000) + 1


@define
class Shard:
    """Leases and buckets of one shard."""

    table: LeaseTable = field(factory=LeaseTable)
    buckets: dict[WorkspaceId, Bucket] = field(factory=dict)


class Grantor:
    """Mints with the rights at hand and grants tokens to hosts.

    A host without a grantor's role uses the same object for its own right, as the
    only lender.
    """

    def __init__(self) -> None:
        self._limits: Mapping[WorkspaceId, Workspace] = {}
        self._shards: dict[int, Shard] = {}
        self._last_asks: dict[HostId, tuple[int, int]] = {}
        self._evict_at = 0.0
        self._rest_until = float("-inf")

    @property
    def shards(self) -> Mapping[int, Shard]:
        """Return the shards with leases or buckets."""
        return self._shards

    def apply_limits(self, limits: Mapping[WorkspaceId, Workspace], now: float) -> None:
        """Take over rates and bursts.

        The bucket of a withdrawn workspace stays until it is idle, so that a
        workspace that is published again does not find its burst refilled.
        """
        self._limits = limits
        for shard in self._shards.values():
            for workspace, bucket in shard.buckets.items():
                bucket.settle(shard.table.total, now)
                bucket.limits = limits.get(workspace, bucket.limits)
                bucket.clamp(shard.table.total)

    def restart(self, now: float) -> None:
        """Drop all leases and buckets, and borrow no right until old grants end."""
        self._shards.clear()
        self._rest_until = now + PREFETCH_LIFE_SECONDS * DRIFT_MARGIN

    def forget_departed(self, known: Collection[HostId]) -> None:
        """Forget the sequence numbers of hosts that have left."""
        self._last_asks = {h: n for h, n in self._last_asks.items() if h in known}

    def lend(
        self,
        shard_id: int,
        lender: HostId,
        share: float,
        incarnation: int,
        expiry: float,
        now: float,
    ) -> None:
        """Take over a lent right or extend its lease."""
        if expiry <= now or now < self._rest_until:
            return
        shard = self._current(shard_id, now)
        if shard.table.changes(lender, share):
            self._settle_all(shard, now)
        shard.table.renew(lender, share, incarnation, expiry, now)

    def give_back(self, shard_id: int, lender: HostId, now: float) -> bool:
        """End a lease early; False while unspent grants depend on it."""
        shard = self._current(shard_id, now)
        lease = shard.table.leases.get(lender)
        if lease is None:
            return True
        self._settle_all(shard, now)
        rest = shard.table.total - lease.share
        for bucket in shard.buckets.values():
            if bucket.ledger.total > bucket.limits.burst * rest + EPSILON:
                return False
        self._remove(shard, lender)
        return True

    def take(self, shard_id: int, workspace: WorkspaceId, now: float) -> bool:
        """Spend one token of the stock for a request on this host."""
        if shard_id not in self._shards:
            return False
        shard = self._current(shard_id, now)
        bucket = self._bucket(shard, workspace, now)
        if bucket is None or bucket.tokens < 1 - EPSILON:
            return False
        bucket.tokens = max(0.0, bucket.tokens - 1)
        return True

    def answer(
        self, ask: TokenAsk, holder: Holder, shards: int, now: float
    ) -> TokenGrant | None:
        """Grant tokens; None for a late or repeated ask."""
        host, incarnation = holder
        if (incarnation, ask.sequence) <= self._last_asks.get(host, (0, 0)):
            return None
        self._last_asks[host] = (incarnation, ask.sequence)
        life = min(ask.life_ms / 1000, MAX_ASK_LIFE_SECONDS)
        entries = tuple(
            self._grant(entry, holder, ask.sequence, life, shards, now)
            for entry in ask.entries
        )
        return TokenGrant(ask.sequence, entries)

    def tick(self, now: float) -> None:
        """End leases that are due, and forget idle buckets now and then."""
        for shard_id in list(self._shards):
            self._current(shard_id, now)
        if now < self._evict_at:
            return
        self._evict_at = now + EVICT_SECONDS
        for shard_id, shard in list(self._shards.items()):
            self._evict(shard, now)
            if not shard.table.leases and not shard.buckets:
                del self._shards[shard_id]

    def _grant(
        self,
        entry: AskEntry,
        holder: Holder,
        sequence: int,
        life: float,
        shards: int,
        now: float,
    ) -> GrantEntry:
        shard = self._current(shard_of(entry.workspace, shards), now)
        bucket = self._bucket(shard, entry.workspace, now)
        if bucket is None:
            return GrantEntry(0, 0, _hold_ms(MAX_HOLD_SECONDS))
        table, ledger = shard.table, bucket.ledger
        accepted = sequence - entry.taken_ago
        back = ledger.report(holder, entry.held, accepted, entry.returned)
        bucket.add(back, table.total)
        bucket.pressure.note_asker(holder[0], now)
        expiry = now + life * DRIFT_MARGIN
        granted = min(entry.need, bucket.whole_tokens(table.share_until(expiry)))
        bucket.tokens -= granted
        ledger.issue(holder, granted, expiry, sequence)
        is_short = granted < entry.need
        bucket.pressure.note_answer(is_short)
        ahead = 0
        cap = bucket.limits.burst * table.total
        if not is_short and entry.ahead > 0 and cap >= MIN_PREFETCH_CAP:
            ahead = self._grant_ahead(entry, holder, sequence, shard, bucket, now)
        hold = 0
        if bucket.pressure.is_high:
            hold = _hold_ms(MAX_HOLD_SECONDS)
        elif is_short:
            hold = _hold_ms(bucket.seconds_to_token(table.total))
        return GrantEntry(granted, ahead, hold)

    def _grant_ahead(
        self,
        entry: AskEntry,
        holder: Holder,
        sequence: int,
        shard: Shard,
        bucket: Bucket,
        now: float,
    ) -> int:
        expiry = now + PREFETCH_LIFE_SECONDS * DRIFT_MARGIN
        share = shard.table.share_until(expiry)
        stock = bucket.whole_tokens(share)
        if bucket.pressure.is_high:
            minted = bucket.limits.rate * share * MAX_HOLD_SECONDS
            fair = min(stock, ceil(minted / bucket.pressure.askers(now)))
        else:
            reserve = bucket.limits.burst * share * PREFETCH_RESERVE
            fair = int((stock - reserve) / (bucket.ledger.holders + 1))
        amount = max(0, min(entry.ahead, fair))
        bucket.tokens -= amount
        bucket.ledger.issue(holder, amount, expiry, sequence)
        return amount

    def _bucket(
        self, shard: Shard, workspace: WorkspaceId, now: float
    ) -> Bucket | None:
        limits = self._limits.get(workspace)
        if limits is None:
            return None
        bucket = shard.buckets.get(workspace)
        if bucket is not None:
            bucket.settle(shard.table.total, now)
            bucket.touched = now
            return bucket
        if not shard.table.leases:
            return None
        bucket = Bucket(limits, saved_tokens(limits, shard.table, now), now, now)
        shard.buckets[workspace] = bucket
        return bucket

    def _current(self, shard_id: int, now: float) -> Shard:
        shard = self._shards.get(shard_id)
        if shard is None:
            shard = self._shards[shard_id] = Shard()
        for expiry, lender in shard.table.expired(now):
            self._settle_all(shard, expiry)
            self._remove(shard, lender)
        return shard

    def _settle_all(self, shard: Shard, now: float) -> None:
        for bucket in shard.buckets.values():
            bucket.settle(shard.table.total, now)

    def _remove(self, shard: Shard, lender: HostId) -> None:
        shard.table.remove(lender)
        for bucket in shard.buckets.values():
            bucket.clamp(shard.table.total)

    def _evict(self, shard: Shard, now: float) -> None:
        for workspace, bucket in list(shard.buckets.items()):
            if now - bucket.touched < EVICT_SECONDS:
                continue
            bucket.settle(shard.table.total, now)
            if bucket.is_idle(shard.table.total):
                del shard.buckets[workspace]
