"""Claims of a host, and its promises to others."""

from collections import Counter, OrderedDict
from random import Random
from typing import ClassVar

from catkinspan.coordination.claims.ballot import Ballot, Phase
from catkinspan.coordination.claims.const import (
    ABSTAIN_PAUSE_SECONDS,
    ABSTAIN_SECONDS,
    ASK_AGAIN_SECONDS,
    CLAIM_TIMEOUT_SECONDS,
    MAX_OWN_CLAIMS_PER_WORKSPACE,
    PAUSE_GUARD_SECONDS,
    PROMISE_SECONDS,
    REFRESH_SECONDS,
    RELEASE_REPEATS,
    WINDOW_SECONDS,
)
from catkinspan.coordination.claims.errors import (
    AlreadyRan,
    AlreadyRunning,
    ClaimRefusal,
    KeyMisused,
    TooManyClaims,
    Undecided,
    UndecidedCause,
)
from catkinspan.coordination.claims.holders import HolderHistory, set_digest
from catkinspan.coordination.claims.models import (
    GRANTED,
    MESSAGES,
    PENDING,
    Answer,
    ClaimAnswer,
    ClaimDecision,
    ClaimFinished,
    ClaimKey,
    ClaimOwner,
    ClaimRequest,
    ClaimVerdict,
    Ran,
    SettledClaim,
)
from catkinspan.coordination.claims.promises import Promise, PromiseTable
from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.const import PAUSE_SECONDS
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, RequestId, WorkspaceId
from catkinspan.state.policy import Policy


def may_run_unclaimed(refusal: ClaimRefusal, policy: Policy) -> bool:
    """Return whether a route lets a refused request run without a claim.

    Only when the holders abstain after a start, as all do after a restart of the whole
    fleet, and only on routes whose upstream recognises the key by itself.
    """
    if not isinstance(refusal, Undecided) or not policy.run_unclaimed:
        return False
    return refusal.cause is UndecidedCause.HOLDERS_STARTED


def refused(refusal: ClaimRefusal) -> ClaimVerdict:
    """Return the verdict for a refusal."""
    return ClaimVerdict(ClaimDecision.REFUSED, refusal)


class ClaimCoordinator(BaseConcern):
    """Seeks claims for the own requests and holds claims for other hosts.

    Example::

        verdict = claims.begin(request_id, claim, deadline, now)
        ...                        # when PENDING: wait for take_settled()
        if claims.holds(request_id, now):
            ...                    # write the request to an upstream
        claims.finish(request_id, Ran.YES, now)
    """

    handles: ClassVar[tuple[type[PeerMessage], ...]] = MESSAGES

    def __init__(
        self, self_id: HostId, incarnation: int, outbox: Outbox, rng: Random
    ) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._outbox = outbox
        self._serial = rng.getrandbits(32)
        self._history = HolderHistory()
        self._promises = PromiseTable()
        self._incarnations: dict[HostId, int] = {}
        self._abstain_until: float | None = None
        self._guard_until = float("-inf")
        self._last_call = 0.0
        self._ballots: dict[int, Ballot] = {}
        self._by_request: dict[RequestId, Ballot] = {}
        self._by_digest: dict[bytes, Ballot] = {}
        self._steps: OrderedDict[int, Ballot] = OrderedDict()
        self._ended: OrderedDict[int, Ballot] = OrderedDict()
        self._by_workspace: Counter[WorkspaceId] = Counter()
        self._settled: list[SettledClaim] = []

    @property
    def promise_count(self) -> int:
        """Return the number of promises that this host holds."""
        return len(self._promises)

    @property
    def claim_count(self) -> int:
        """Return the number of own claims on record."""
        return len(self._ballots)

    def begin(
        self, request_id: RequestId, claim: ClaimKey, deadline: float, now: float
    ) -> ClaimVerdict:
        """Seek the claim of a request; a PENDING one ends in `take_settled`.

        `deadline` is the instant at which the caller's deadline ends.
        """
        self._observe(now)
        if (refusal := self._local_refusal(claim, now)) is not None:
            return refused(refusal)
        ballot = self._open_ballot(request_id, claim, deadline, now)
        self._ask(ballot, ballot.holders, now)
        verdict = self._verdict(ballot, now)
        if verdict is None:
            return PENDING
        self._conclude(ballot, verdict, now)
        return verdict

    def take_settled(self) -> tuple[SettledClaim, ...]:
        """Return and forget the verdicts on claims that were pending."""
        settled, self._settled = tuple(self._settled), []
        return settled

    def holds(self, request_id: RequestId, now: float) -> bool:
        """Return whether the claim still covers a request.

        Call it before the first byte goes to an upstream: after a long pause of the
        process the promises may have expired.
        """
        ballot = self._by_request.get(request_id)
        if ballot is None or ballot.phase is not Phase.RUNNING:
            return False
        return now < ballot.renewed_at + WINDOW_SECONDS

    def finish(self, request_id: RequestId, ran: Ran, now: float) -> None:
        """Note the end of a request; one that provably did not run is released."""
        self._observe(now)
        ballot = self._by_request.get(request_id)
        if ballot is None:
            return
        if ran is Ran.NO or ballot.phase is Phase.PENDING:
            self._release(ballot, now)
            return
        ballot.phase = Phase.ENDED
        ballot.expires = now + PROMISE_SECONDS
        del self._by_request[request_id]
        del self._steps[ballot.serial]
        self._ended[ballot.serial] = ballot
        self._notify(ballot, ran)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the published host list and the incarnations of the peers."""
        self._observe(now)
        self._history.apply_view(view, now)
        for host, record in view.hosts.items():
            self._note_incarnation(host, record.incarnation)

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Process a message of a claimant or a holder."""
        self._observe(now)
        if origin.incarnation < self._incarnations.get(origin.host, 0):
            return
        self._note_incarnation(origin.host, origin.incarnation)
        if isinstance(message, ClaimRequest):
            owner = ClaimOwner(origin.host, origin.incarnation, message.serial)
            self._outbox.send(origin.host, self._answer(message, owner, now))
        elif isinstance(message, ClaimAnswer):
            self._count_answer(message, origin.host, now)
        elif isinstance(message, ClaimFinished):
            owner = ClaimOwner(origin.host, origin.incarnation, message.serial)
            self._promises.finish(message.digest, owner, message.ran)

    def tick(self, now: float) -> None:
        """Time out, ask again, renew and repeat what is due."""
        self._observe(now)
        self._promises.expire(now)
        due = [ballot for ballot in self._steps.values() if ballot.next_step <= now]
        for ballot in due:
            self._step(ballot, now)
        while self._ended:
            ballot = next(iter(self._ended.values()))
            if ballot.expires > now:
                return
            self._forget(ballot)

    def resume(self, gap: float, now: float) -> None:
        """Give up the claims that are pending, and abstain after a long pause.

        A newer process may have taken the place of this host during the pause, and the
        host list may have changed.
        """
        self._last_call = now
        if gap > ABSTAIN_PAUSE_SECONDS or self._abstain_until is None:
            self._abstain_until = now + ABSTAIN_SECONDS
        self._guard_until = now + PAUSE_GUARD_SECONDS
        for ballot in list(self._by_request.values()):
            if ballot.phase is Phase.PENDING:
                self._settle(
                    ballot, refused(Undecided(0.0, UndecidedCause.PAUSED)), now
                )

    def _observe(self, now: float) -> None:
        """Detect the start and pauses, also before the host notices them."""
        if self._abstain_until is None:
            self._abstain_until = now + ABSTAIN_SECONDS
        elif now - self._last_call > PAUSE_SECONDS:
            self.resume(now - self._last_call, now)
        self._last_call = now

    def _note_incarnation(self, host: HostId, incarnation: int) -> None:
        if incarnation > self._incarnations.get(host, 0):
            self._incarnations[host] = incarnation

    def _local_refusal(self, claim: ClaimKey, now: float) -> ClaimRefusal | None:
        earlier = self._by_digest.get(claim.digest)
        if earlier is not None:
            return self._earlier_refusal(earlier, claim)
        if now < self._guard_until:
            return Undecided(self._guard_until - now, UndecidedCause.PAUSED)
        if self._by_workspace[claim.workspace] >= MAX_OWN_CLAIMS_PER_WORKSPACE:
            return TooManyClaims(0.0)
        if not self._history.is_settled(now):
            return Undecided(0.0, UndecidedCause.LIST_CHANGING)
        if not self._history.sets_of(claim.digest, now):
            return Undecided(0.0, UndecidedCause.NO_HOLDERS)
        return None

    def _earlier_refusal(self, earlier: Ballot, claim: ClaimKey) -> ClaimRefusal:
        if earlier.key.request_digest != claim.request_digest:
            return KeyMisused(0.0)
        if earlier.phase is Phase.ENDED:
            return AlreadyRan(max(0.0, earlier.expires - self._last_call))
        return AlreadyRunning(0.0)

    def _open_ballot(
        self, request_id: RequestId, claim: ClaimKey, deadline: float, now: float
    ) -> Ballot:
        self._serial += 1
        ballot = Ballot(
            request_id,
            claim,
            self._serial,
            self._history.sets_of(claim.digest, now),
            asked_at=now,
            expires=min(deadline, now + CLAIM_TIMEOUT_SECONDS),
            next_step=now + ASK_AGAIN_SECONDS,
        )
        self._ballots[ballot.serial] = ballot
        self._by_request[request_id] = ballot
        self._by_digest[claim.digest] = ballot
        self._steps[ballot.serial] = ballot
        self._by_workspace[claim.workspace] += 1
        return ballot

    def _ask(self, ballot: Ballot, holders: tuple[HostId, ...], now: float) -> None:
        request = ClaimRequest(
            ballot.serial,
            ballot.key.workspace,
            ballot.key.digest,
            ballot.key.request_digest,
            tuple(set_digest(holder_set) for holder_set in ballot.sets),
        )
        for host in holders:
            if host != self._self_id:
                self._outbox.send(host, request)
                continue
            owner = ClaimOwner(host, self._incarnation, ballot.serial)
            ballot.record(host, self._answer(request, owner, now))

    def _answer(
        self, request: ClaimRequest, owner: ClaimOwner, now: float
    ) -> ClaimAnswer:
        """Promise a claim or say why not."""
        sets = self._history.sets_of(request.digest, now)
        held = self._promises.held(request.digest, now)
        wait = 0.0
        unnamed: tuple[tuple[HostId, ...], ...] = ()
        if held is not None and held.owner != owner:
            answer = self._objection(held, request)
            wait = held.expires - now
        elif (wait := max(0.0, (self._abstain_until or now) - now)) > 0:
            answer = Answer.STARTED
        elif not self._history.is_settled(now):
            answer = Answer.LIST_DIFFERS
        elif any(set_digest(holders) not in request.holder_sets for holders in sets):
            answer = Answer.LIST_DIFFERS
            unnamed = sets
        else:
            has_room = self._promises.promise(
                request.digest, owner, request.workspace, request.request_digest, now
            )
            answer = Answer.PROMISED if has_room else Answer.FULL
        wait_ms = int(wait * 1000)
        return ClaimAnswer(request.serial, owner.incarnation, answer, wait_ms, unnamed)

    def _objection(self, held: Promise, request: ClaimRequest) -> Answer:
        if held.request_digest != request.request_digest:
            return Answer.MISUSED
        return Answer.ENDED if held.ended else Answer.RUNNING

    def _count_answer(self, answer: ClaimAnswer, holder: HostId, now: float) -> None:
        ballot = self._ballots.get(answer.serial)
        if ballot is None or answer.incarnation != self._incarnation:
            return
        if ballot.phase is Phase.RELEASED and answer.answer is Answer.PROMISED:
            self._outbox.send(holder, self._finished(ballot, Ran.NO))
            return
        if ballot.phase not in (Phase.PENDING, Phase.RUNNING):
            return
        if ballot.record(holder, answer):
            self._ask(ballot, tuple(ballot.unanswered), now)
        if ballot.phase is Phase.RUNNING:
            self._note_renewal(ballot)
            return
        if (verdict := self._verdict(ballot, now)) is not None:
            self._settle(ballot, verdict, now)

    def _note_renewal(self, ballot: Ballot) -> None:
        """Extend the cover; once lapsed it stays so, since another may have run."""
        if ballot.is_won and ballot.asked_at < ballot.renewed_at + WINDOW_SECONDS:
            ballot.renewed_at = ballot.asked_at

    def _verdict(self, ballot: Ballot, now: float) -> ClaimVerdict | None:
        if now >= ballot.expires or ballot.is_lost:
            return refused(ballot.refusal())
        return GRANTED if ballot.is_won else None

    def _settle(self, ballot: Ballot, verdict: ClaimVerdict, now: float) -> None:
        self._settled.append(SettledClaim(ballot.request_id, verdict))
        self._conclude(ballot, verdict, now)

    def _conclude(self, ballot: Ballot, verdict: ClaimVerdict, now: float) -> None:
        if verdict.decision is ClaimDecision.REFUSED:
            self._release(ballot, now)
            return
        ballot.phase = Phase.RUNNING
        ballot.renewed_at = ballot.asked_at
        ballot.next_step = now + REFRESH_SECONDS

    def _release(self, ballot: Ballot, now: float) -> None:
        """Let the holders forget a claim whose request did not run."""
        ballot.phase = Phase.RELEASED
        ballot.repeats = RELEASE_REPEATS
        ballot.next_step = now + ASK_AGAIN_SECONDS
        self._by_request.pop(ballot.request_id, None)
        if self._by_digest.get(ballot.key.digest) is ballot:
            del self._by_digest[ballot.key.digest]
        self._notify(ballot, Ran.NO)

    def _notify(self, ballot: Ballot, ran: Ran) -> None:
        message = self._finished(ballot, ran)
        for host in ballot.holders:
            if host != self._self_id:
                self._outbox.send(host, message)
                continue
            owner = ClaimOwner(host, self._incarnation, ballot.serial)
            self._promises.finish(ballot.key.digest, owner, ran)

    def _finished(self, ballot: Ballot, ran: Ran) -> ClaimFinished:
        key = ballot.key
        return ClaimFinished(ballot.serial, key.workspace, key.digest, ran)

    def _step(self, ballot: Ballot, now: float) -> None:
        if ballot.phase is Phase.PENDING:
            self._step_pending(ballot, now)
        elif ballot.phase is Phase.RUNNING:
            self._renew(ballot, now)
        elif ballot.repeats > 0:
            ballot.repeats -= 1
            ballot.next_step = now + ASK_AGAIN_SECONDS * 4
            self._notify(ballot, Ran.NO)
        else:
            self._forget(ballot)

    def _step_pending(self, ballot: Ballot, now: float) -> None:
        if (verdict := self._verdict(ballot, now)) is not None:
            self._settle(ballot, verdict, now)
            return
        ballot.next_step = min(now + ASK_AGAIN_SECONDS, ballot.expires)
        self._ask(ballot, tuple(ballot.unanswered), now)

    def _renew(self, ballot: Ballot, now: float) -> None:
        """Renew the promises of a request that still runs, at today's holders too."""
        current = self._history.sets_of(ballot.key.digest, now)
        ballot.sets = tuple(dict.fromkeys(current + ballot.sets[:1]))
        ballot.promised.clear()
        ballot.objections.clear()
        ballot.asked_at = now
        ballot.next_step = now + REFRESH_SECONDS
        self._ask(ballot, ballot.holders, now)
        self._note_renewal(ballot)

    def _forget(self, ballot: Ballot) -> None:
        self._ballots.pop(ballot.serial, None)
        self._steps.pop(ballot.serial, None)
        self._ended.pop(ballot.serial, None)
        if self._by_digest.get(ballot.key.digest) is ballot:
            del self._by_digest[ballot.key.digest]
        workspace = ballot.key.workspace
        self._by_workspace[workspace] -= 1
        if not self._by_workspace[workspace]:
            del self._by_workspace[workspace]
