"""The coordinator of the rates concern."""

from random import Random
from typing import ClassVar

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.asker import Asker
from catkinspan.coordination.rates.const import (
    EVICT_SECONDS,
    HOUSEKEEPING_SECONDS,
    REFUSAL_SECONDS,
    SPARE_INCARNATIONS,
)
from catkinspan.coordination.rates.grantor import Grantor
from catkinspan.coordination.rates.lending import Lending
from catkinspan.coordination.rates.models import (
    MESSAGES,
    IncarnationQuery,
    IncarnationReply,
    LeaseRelease,
    LendingUpdate,
    RateSettled,
    RatesSnapshot,
    RateVerdict,
    TokenAsk,
    TokenGrant,
    WorkspaceRates,
)
from catkinspan.coordination.rates.refusals import RefusalCounter
from catkinspan.coordination.rates.right import MintingRight
from catkinspan.coordination.rates.shards import shard_of
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, RequestId, WorkspaceId
from catkinspan.state.tree import SettingsTree


class RateCoordinator(BaseConcern):
    """Admits requests within each workspace's rate and burst over the whole fleet.

    Example::

        verdict = rates.take(request_id, workspace, now)
        if verdict is RateVerdict.PENDING:
            ...  # the end is in take_settled() within WAIT_SECONDS and one tick
    """

    handles: ClassVar[tuple[type[PeerMessage], ...]] = MESSAGES

    def __init__(
        self, self_id: HostId, incarnation: int, outbox: Outbox, rng: Random
    ) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._outbox = outbox
        self._tree = SettingsTree()
        self._view: FleetView | None = None
        self._right = MintingRight(self_id, incarnation, outbox, rng)
        self._grantor = Grantor()
        self._lending = Lending(
            self_id, incarnation, outbox, rng, self._right, self._grantor
        )
        self._asker = Asker(incarnation, outbox)
        self._refusals = RefusalCounter(REFUSAL_SECONDS)
        self._incarnations: dict[HostId, int] = {}
        self._clean_at = float("-inf")
        self._housekeeping_at = float("-inf")

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over rates and bursts."""
        self._tree = tree
        self._grantor.apply_limits(tree.workspaces, now)
        self._lending.apply_tree(tree, now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the host list and the grantors of the shards."""
        self._view = view
        self._forget_departed(view)
        self._right.apply_view(view, now)
        self._lending.apply_view(view, now)
        self._lending.release_idle(now)

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Process a message from a peer."""
        if origin.host == self._self_id:
            self._right.note_incarnation(origin.incarnation)
            return
        if origin.incarnation < self._incarnations.get(origin.host, 0):
            self._answer_query(origin)
            return
        self._incarnations[origin.host] = origin.incarnation
        match message:
            case TokenAsk():
                self._answer_ask(message, origin, now)
            case TokenGrant():
                self._asker.handle_grant(message, origin.host, now)
            case LendingUpdate():
                self._lending.handle_update(message, origin, now)
            case LeaseRelease():
                self._lending.handle_release(message, origin, now)
            case IncarnationQuery():
                self._answer_query(origin)
            case IncarnationReply():
                self._right.handle_reply(message, origin.host)

    def tick(self, now: float) -> None:
        """Renew leases, end what is due and forget what is idle."""
        self._right.tick(now)
        self._lending.tick(now)
        self._asker.tick(now)
        for workspace in self._asker.take_refused():
            self._refusals.count(workspace, now)
        if now >= self._housekeeping_at:
            self._housekeeping_at = now + HOUSEKEEPING_SECONDS
            self._grantor.tick(now)
            self._lending.use_at_home(now)
            self._lending.release_idle(now)
        if now >= self._clean_at:
            self._clean_at = now + EVICT_SECONDS
            self._asker.forget_idle(now)
            self._refusals.forget_old(now)

    def resume(self, gap: float, now: float) -> None:
        """Start over as a new process does: no leases, no tokens."""
        self._right.resume()
        self._grantor.restart(now)
        self._lending.resume()
        self._asker.clear()

    def drain(self, now: float) -> None:
        """Stop lending and minting, and give borrowed rights back."""
        self._right.drain()
        self._lending.drain(now)

    def take(
        self, request_id: RequestId, workspace_id: WorkspaceId, now: float
    ) -> RateVerdict:
        """Take one token for a request; PENDING ends in `take_settled`."""
        verdict = self._take(request_id, workspace_id, now)
        if verdict is RateVerdict.REFUSED:
            self._refusals.count(workspace_id, now)
        return verdict

    def cancel(self, request_id: RequestId, now: float) -> None:
        """Forget a pending request; its end is not reported."""
        self._asker.cancel(request_id)

    def take_settled(self) -> list[RateSettled]:
        """Return the pending requests that have ended since the last call."""
        return self._asker.take_settled()

    def snapshot(self, now: float) -> RatesSnapshot:
        """Return the state for operators."""
        obstacle = self._right.obstacle(now)
        lent = {
            shard: loan.borrower
            for shard, loan in self._lending.loans.items()
            if loan.until > now
        }
        lenders = {
            shard_id: tuple(sorted(shard.table.current(now)))
            for shard_id, shard in self._grantor.shards.items()
        }
        names = set(self._asker.pockets()) | set(self._refusals.names(now))
        for shard in self._grantor.shards.values():
            names.update(shard.buckets)
        known = sorted(names & self._tree.workspaces.keys())
        return RatesSnapshot(
            obstacle is None,
            obstacle,
            lent,
            lenders,
            tuple(self._workspace_rates(name, now) for name in known),
        )

    def _forget_departed(self, view: FleetView) -> None:
        if len(self._incarnations) <= 2 * len(view.hosts) + SPARE_INCARNATIONS:
            return
        known = self._incarnations.items()
        self._incarnations = {h: n for h, n in known if h in view.hosts}
        self._grantor.forget_departed(view.hosts.keys())

    def _take(
        self, request_id: RequestId, workspace: WorkspaceId, now: float
    ) -> RateVerdict:
        if workspace not in self._tree.workspaces:
            return RateVerdict.REFUSED
        shard = shard_of(workspace, self._lending.shards)
        grantor = self._lending.grantor_of(shard)
        remote = grantor is not None and grantor != self._self_id
        if remote and grantor and self._asker.take_held(grantor, workspace, now):
            return RateVerdict.ADMITTED
        if self._grantor.take(shard, workspace, now):
            return RateVerdict.ADMITTED
        if not remote or grantor is None:
            return RateVerdict.REFUSED
        return self._asker.wait(request_id, grantor, workspace, now)

    def _answer_ask(self, ask: TokenAsk, origin: Origin, now: float) -> None:
        shards = self._lending.shards
        if not shards:
            # The host has no configuration yet.
            return
        holder = (origin.host, origin.incarnation)
        grant = self._grantor.answer(ask, holder, shards, now)
        if grant is not None:
            self._outbox.send(origin.host, grant)

    def _answer_query(self, origin: Origin) -> None:
        highest = self._incarnations.get(origin.host, 0)
        record = None if self._view is None else self._view.hosts.get(origin.host)
        if record is not None:
            highest = max(highest, record.incarnation)
        self._outbox.send(origin.host, IncarnationReply(origin.incarnation, highest))

    def _workspace_rates(self, name: WorkspaceId, now: float) -> WorkspaceRates:
        shard_id = shard_of(name, self._lending.shards)
        grantor = self._lending.grantor_of(shard_id)
        pocket = None if grantor is None else self._asker.pocket(grantor, name)
        shard = self._grantor.shards.get(shard_id)
        bucket = None if shard is None else shard.buckets.get(name)
        share = 0.0 if shard is None else shard.table.total
        return WorkspaceRates(
            name,
            shard_id,
            grantor,
            0 if pocket is None else pocket.held(now),
            0 if pocket is None else len(pocket.waiting),
            None if bucket is None else bucket.tokens,
            share * self._tree.workspaces[name].burst,
            {} if bucket is None else bucket.ledger.by_host(),
            self._refusals.recent(name, now),
        )
