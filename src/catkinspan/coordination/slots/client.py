"""The slots of one service as a host uses them."""

from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from catkinspan.coordination.const import TICK_SECONDS
from catkinspan.coordination.outcomes import Candidate
from catkinspan.coordination.slots.budget import AskBudget
from catkinspan.coordination.slots.const import (
    ANSWER_SECONDS,
    FALLBACK_SECONDS,
    FIRST_LEASE_SECONDS,
    IDLE_SECONDS,
    LEASE_SECONDS,
    LEAST_DIRECT,
    REASK_SECONDS,
    RENEW_SHARE,
    ROLE_RETRY_SECONDS,
    SILENCE_SECONDS,
    TICKETS_PER_WORKSPACE,
    UNANSWERED_LIMIT,
)
from catkinspan.coordination.slots.direct import DirectLimit, ServerSet
from catkinspan.coordination.slots.fairness import FairQueue
from catkinspan.coordination.slots.held import AttemptKey, HeldLease, Pending
from catkinspan.coordination.slots.mailbox import Mailbox
from catkinspan.coordination.slots.models import (
    QUEUED,
    Ask,
    Grant,
    Held,
    ServiceSlots,
    SlotAnswer,
    SlotAsk,
    SlotLease,
    SlotRefusal,
    SlotRenew,
    SlotRenewed,
    SlotRequest,
    SlotReturn,
    SlotSettled,
    SlotStatus,
    SlotVerdict,
)
from catkinspan.state.ids import HostId, ServerId, ServiceId, WorkspaceId


class SlotClient:
    """Obtains slots of one service for the requests of this host.

    A request takes an idle leased slot, else it waits for one from the dispatcher.
    Without an answer, or beyond the ask budget, a server is chosen directly.
    """

    def __init__(
        self,
        service: ServiceId,
        mailbox: Mailbox,
        rng: Random,
        budget: AskBudget,
        servers: Callable[[ServiceId, float], ServerSet],
    ) -> None:
        self._service = service
        self._mailbox = mailbox
        self._rng = rng
        self._budget = budget
        self._servers = servers
        self._queue: FairQueue[Pending] = FairQueue()
        self._pending: dict[AttemptKey, Pending] = {}
        self._tickets: dict[int, Pending] = {}
        self._asked: Counter[WorkspaceId] = Counter()
        self._leases: dict[int, HeldLease] = {}
        self._by_key: dict[AttemptKey, HeldLease] = {}
        self._direct: dict[AttemptKey, ServerId] = {}
        self._direct_limit = DirectLimit()
        self._load: Counter[ServerId] = Counter()
        self._direct_load: Counter[ServerId] = Counter()
        self._next_ticket = rng.getrandbits(24) << 6
        self._unanswered = 0
        self._heard_at = float("-inf")
        self._was_in_fallback = False
        self._fallback_until = float("-inf")
        self._dispatcher: HostId | None = None
        """The host that is asked now."""
        self._holder: HostId | None = None
        """The dispatcher in the view of the fleet."""
        self._former: HostId | None = None
        self._switch_back_at: float | None = None
        self._new_asks: list[Ask] = []
        self._new_returns: list[tuple[HostId, int]] = []
        self._withdrawn: list[int] = []
        self._new_sheds: list[int] = []
        self._checked: ServerSet | None = None
        self._settled: list[SlotSettled] = []
        self._refusals: Counter[SlotRefusal] = Counter()
        self._draining = False
        self._grant_gap: dict[WorkspaceId, tuple[float, float]] = {}
        self.max_queue = 0

    @property
    def idle(self) -> bool:
        """Return whether nothing is leased or waits, so that no tick is due."""
        waits = self._pending or self._switch_back_at is not None
        return not (self._leases or waits)

    def snapshot(self, now: float) -> ServiceSlots:
        """Return the state for operators."""
        idle = sum(1 for lease in self._leases.values() if lease.busy is None)
        return ServiceSlots(
            dispatcher=self._dispatcher,
            fallback=self._in_fallback(now),
            waiting=self._queue.lengths,
            leases=len(self._leases),
            idle_leases=idle,
            direct=len(self._direct),
            refusals=dict(self._refusals),
        )

    def take_settled(self) -> list[SlotSettled]:
        """Return and forget the ends of waits."""
        settled, self._settled = self._settled, []
        return settled

    def acquire(self, request: SlotRequest, now: float) -> SlotVerdict:
        """Grant, queue or refuse a request."""
        pending = Pending(request)
        usable = self._usable(request, now)
        if not usable:
            return self._refused(SlotRefusal.NO_SERVER)
        if not len(self._queue) and (lease := self._take_idle(pending, usable)):
            return self._granted(pending, lease, usable)
        if self._asks_dispatcher(now, request.attempt == 1):
            return self._wait(pending, now)
        chosen = self._choose(request, now)
        if chosen and not self._has_waiting_without_ticket():
            return self._run_direct(pending, chosen)
        return self._wait(pending, now)

    def release(self, key: AttemptKey, now: float, *, shed: bool = False) -> None:
        """End an attempt and use its slot for the next request, or hand it back."""
        if server := self._direct.pop(key, None):
            self._uncount(self._load, server)
            self._uncount(self._direct_load, server)
            least = 1.0 if self._in_fallback(now) else LEAST_DIRECT
            self._direct_limit.note(shed, len(self._direct) + 1, least)
        lease = self._by_key.pop(key, None)
        if lease is not None:
            self._uncount(self._load, lease.server)
            lease.busy = None
            lease.idle_since = now
            if shed:
                self._new_sheds.append(lease.id)
            if shed or not lease.keep or self._draining or lease.expires <= now:
                self._return(lease)
        self.pump(now)

    def cancel(self, key: AttemptKey, now: float) -> None:
        """Forget a waiting request, or end its attempt."""
        pending = self._pending.get(key)
        if pending is None:
            self.release(key, now)
            return
        self._forget(pending)
        self.pump(now)

    def answer(self, message: SlotAnswer, host: HostId, now: float) -> None:
        """Use granted slots, and settle denied requests."""
        if host != self._dispatcher:
            returns = ((host, grant.lease) for grant in message.grants)
            self._new_returns.extend(returns)
            return
        self._hear(now)
        for ticket in message.queued:
            if pending := self._tickets.get(ticket):
                pending.answered = True
        for denial in message.denials:
            if pending := self._tickets.get(denial.ticket):
                self._settle_refused(pending, denial.reason)
        for grant in message.grants:
            self._take_grant(grant, host, now)
        self.pump(now)

    def recall(self) -> None:
        """Hand back idle slots now and the others after their requests."""
        for lease in list(self._leases.values()):
            lease.keep = False
            if lease.busy is None:
                self._return(lease)

    def renewed(self, message: SlotRenewed, host: HostId) -> None:
        """Extend leases; their life counts from the request to renew."""
        for id_ in message.leases:
            if lease := self._leases.get(id_):
                lease.lender = host
                lease.life = LEASE_SECONDS
                lease.expires = lease.renewed_at + LEASE_SECONDS

    def use_dispatcher(self, dispatcher: HostId | None, now: float) -> None:
        """Report leases to a new dispatcher and ask it for the waiting requests."""
        if dispatcher == self._holder:
            return
        self._former = self._holder
        self._holder = dispatcher
        self._switch(dispatcher, now)

    def _switch(self, dispatcher: HostId | None, now: float) -> None:
        self.flush()
        self._switch_back_at = None
        self._dispatcher = dispatcher
        self._hear(now)
        self._renew(list(self._leases.values()), now)
        self._withdraw_tickets()
        self.pump(now)

    def not_dispatcher(self, host: HostId, now: float) -> None:
        """Ask the former dispatcher until the new one knows its role."""
        if host != self._dispatcher:
            return
        if host == self._holder and self._former:
            self._switch(self._former, now)
            self._switch_back_at = now + ROLE_RETRY_SECONDS
        else:
            self._fall_back(now)

    def forget_leases(self, now: float) -> None:
        """Drop all leases after a pause; running requests go on without one."""
        for lease in list(self._leases.values()):
            if lease.busy is not None:
                self._direct[lease.busy] = lease.server
                self._direct_load[lease.server] += 1
        self._leases.clear()
        self._by_key.clear()
        self._withdraw_tickets()
        self._drop_late(now)
        self.pump(now)

    def drain(self, now: float) -> None:
        """Hand back idle slots; the others follow as their requests end."""
        self._draining = True
        self.recall()

    def tick(self, now: float) -> None:
        """Renew, expire, ask again and refuse what cannot be served in time."""
        if self._switch_back_at is not None and now >= self._switch_back_at:
            self._switch(self._holder, now)
        self._drop_late(now)
        self._check_answers(now)
        self._check_leases(now)
        self.pump(now)

    def pump(self, now: float) -> None:
        """Serve waiting requests from idle slots or directly, and ask for the rest."""
        if len(self._queue):
            self._serve_idle(now)
        if len(self._queue):
            if self._asks_dispatcher(now):
                self._ask_more(now)
            else:
                self._serve_direct(now)

    def flush(self) -> None:
        """Put the collected asks and returns into the mailbox."""
        if not self._dispatcher:
            self._new_asks.clear()
        elif self._new_asks:
            asks, self._new_asks = tuple(self._new_asks), []
            self._mailbox.post(self._dispatcher, SlotAsk(self._service, asks))
        if self._new_returns or self._withdrawn:
            self._post_returns()
        self._new_returns.clear()
        self._withdrawn.clear()
        self._new_sheds.clear()

    def _post_returns(self) -> None:
        """Post returns to the dispatcher, and to a former one that granted leases."""
        former = {lender for lender, _ in self._new_returns}
        for host in sorted(
            former | ({self._dispatcher} if self._dispatcher else set())
        ):
            message = SlotReturn(
                self._service,
                tuple(
                    lease
                    for lender, lease in self._new_returns
                    if host in (lender, self._dispatcher)
                ),
                tuple(self._withdrawn) if host == self._dispatcher else (),
                tuple(self._new_sheds),
            )
            self._mailbox.post(host, message)

    def _usable(self, request: SlotRequest, now: float) -> Sequence[Candidate]:
        return self._servers(self._service, now).usable(request)

    def _hear(self, now: float) -> None:
        """Leave fallback, since the dispatcher answers."""
        self._heard_at = now
        self._unanswered = 0
        self._was_in_fallback = False
        self._fallback_until = float("-inf")

    def _in_fallback(self, now: float) -> bool:
        return self._dispatcher is None or now < self._fallback_until

    def _asks_dispatcher(self, now: float, first_attempt: bool = False) -> bool:
        if self._in_fallback(now) or (self._probes and self._tickets):
            return False
        return self._budget.available(first_attempt, now)

    @property
    def _probes(self) -> bool:
        """Return whether one ask at a time finds out if the dispatcher answers."""
        return self._unanswered >= UNANSWERED_LIMIT - 1 and self._was_in_fallback

    def _has_waiting_without_ticket(self) -> bool:
        return len(self._queue) > len(self._tickets)

    def _take_idle(
        self, pending: Pending, usable: Sequence[Candidate]
    ) -> HeldLease | None:
        if not self._leases:
            return None
        servers = {c.upstream.id for c in usable if not c.trial}
        for lease in self._leases.values():
            if lease.busy is None and lease.server in servers:
                return lease
        return None

    def _choose(self, request: SlotRequest, now: float) -> Candidate | None:
        if len(self._direct) + 1 > max(1.0, self._direct_limit.value):
            return None
        servers = self._servers(self._service, now)
        return servers.choose(request, self._direct_load, self._load, self._rng)

    def _granted(
        self, pending: Pending, lease: HeldLease, usable: Sequence[Candidate]
    ) -> SlotVerdict:
        upstream = next(c.upstream for c in usable if c.upstream.id == lease.server)
        lease.busy = pending.key
        self._by_key[pending.key] = lease
        self._load[lease.server] += 1
        slot = SlotLease(lease.id, lease.server, upstream)
        return SlotVerdict(SlotStatus.GRANTED, slot)

    def _run_direct(self, pending: Pending, chosen: Candidate) -> SlotVerdict:
        server = chosen.upstream.id
        self._direct[pending.key] = server
        self._load[server] += 1
        self._direct_load[server] += 1
        slot = SlotLease(0, server, chosen.upstream)
        return SlotVerdict(SlotStatus.GRANTED, slot)

    def _refused(self, reason: SlotRefusal) -> SlotVerdict:
        self._refusals[reason] += 1
        return SlotVerdict(SlotStatus.REFUSED, reason=reason)

    def _wait(self, pending: Pending, now: float) -> SlotVerdict:
        if self._too_late(pending, now) or self._expected_wait(pending) > (
            pending.request.wait_until - now
        ):
            return self._refused(SlotRefusal.NO_CAPACITY_BEFORE_DEADLINE)
        if len(self._queue) >= self.max_queue and not self._make_room(pending):
            return self._refused(SlotRefusal.QUEUE_FULL)
        self._queue.push(pending)
        self._pending[pending.key] = pending
        if self._asks_dispatcher(now):
            self._ask_more(now)
        return QUEUED

    def _make_room(self, pending: Pending) -> bool:
        longest = self._queue.newest_of_longest()
        length = self._queue.length
        if length(longest.workspace) <= length(pending.workspace) + 1:
            return False
        self._settle_refused(longest, SlotRefusal.QUEUE_FULL)
        return True

    def _too_late(self, pending: Pending, now: float) -> bool:
        # The next look is one tick away, and the refusal must come before the end.
        return pending.request.wait_until - now <= 1.5 * TICK_SECONDS

    def _expected_wait(self, pending: Pending) -> float:
        ahead = self._queue.length(pending.workspace)
        if ahead < TICKETS_PER_WORKSPACE:
            return 0.0
        gap = self._grant_gap.get(pending.workspace)
        return gap[1] * (ahead + 1) if gap else 0.0

    def _note_grant(self, workspace: WorkspaceId, now: float) -> None:
        """Average the time between grants while the workspace waits."""
        if self._queue.length(workspace) < TICKETS_PER_WORKSPACE:
            self._grant_gap.pop(workspace, None)
            return
        last = self._grant_gap.get(workspace)
        if last is None:
            self._grant_gap[workspace] = (now, 0.0)
            return
        at, gap = last
        gap = gap + 0.1 * (now - at - gap) if gap else now - at
        self._grant_gap[workspace] = (now, gap)

    def _ask_more(self, now: float) -> None:
        for pending in self._queue.first(TICKETS_PER_WORKSPACE):
            if pending.ticket or self._asked[pending.workspace] >= (
                TICKETS_PER_WORKSPACE
            ):
                continue
            if self._probes and self._tickets:
                break
            if not self._budget.take(pending.request.attempt == 1, now):
                break
            self._next_ticket += 1
            pending.ticket = self._next_ticket
            pending.asked_at = now
            pending.answered = False
            self._tickets[pending.ticket] = pending
            self._asked[pending.workspace] += 1
            self._send_ask(pending, now)

    def _send_ask(self, pending: Pending, now: float) -> None:
        request = pending.request
        pending.sent_at = now
        unused = self._servers(self._service, now).unused
        usable = {c.upstream.id for c in self._usable(request, now)} if unused else ()
        exclude = tuple(sorted(request.exclude.union(unused).difference(usable)))
        left_ms = int((request.wait_until - now) * 1000)
        ask = Ask(
            pending.ticket,
            request.workspace,
            request.weight,
            left_ms,
            request.idempotent,
            exclude,
        )
        self._new_asks.append(ask)

    def _take_grant(self, grant: Grant, host: HostId, now: float) -> None:
        if grant.lease in self._leases:
            return
        pending = self._tickets.get(grant.ticket)
        if pending is None:
            # The request was withdrawn, or the answer is from before a pause and the
            # lease may have expired.
            self._new_returns.append((host, grant.lease))
            return
        # The life counts from the ask, which is earlier than the grant; but a grant
        # after a wait in the queue must last until it is renewed.
        start = max(pending.asked_at, now - FIRST_LEASE_SECONDS / 2)
        expires = start + FIRST_LEASE_SECONDS
        lease = HeldLease(
            grant.lease,
            grant.server,
            host,
            expires,
            FIRST_LEASE_SECONDS,
            grant.keep,
        )
        lease.idle_since = now
        self._leases[lease.id] = lease
        if not self._serve_with(pending, lease, now):
            self._serve_idle(now)
        if lease.busy is None:
            self._return(lease)

    def _serve_with(self, pending: Pending, lease: HeldLease, now: float) -> bool:
        usable = self._usable(pending.request, now)
        if all(c.upstream.id != lease.server for c in usable):
            return False
        self._note_grant(pending.workspace, now)
        self._forget(pending, withdraw=False)
        self._settle(pending, self._granted(pending, lease, usable))
        return True

    def _serve_idle(self, now: float) -> None:
        for lease in list(self._leases.values()):
            if lease.busy is not None or lease.expires <= now:
                continue
            pending = self._queue.pop(partial(self._fits, lease.server, now))
            if pending is None:
                continue
            self._forget(pending)
            usable = self._usable(pending.request, now)
            self._settle(pending, self._granted(pending, lease, usable))

    def _fits(self, server: ServerId, now: float, pending: Pending) -> bool:
        usable = self._usable(pending.request, now)
        return any(c.upstream.id == server for c in usable)

    def _serve_direct(self, now: float) -> None:
        fallback = self._in_fallback(now)

        def fits(pending: Pending) -> bool:
            if pending.ticket and not fallback:
                return False
            return self._choose(pending.request, now) is not None

        while len(self._queue):
            pending = self._queue.pop(fits)
            if pending is None:
                return
            self._forget(pending)
            chosen = self._choose(pending.request, now)
            if chosen:
                self._settle(pending, self._run_direct(pending, chosen))

    def _settle(self, pending: Pending, verdict: SlotVerdict) -> None:
        request = pending.request
        settled = SlotSettled(request.request_id, request.attempt, verdict)
        self._settled.append(settled)

    def _settle_refused(self, pending: Pending, reason: SlotRefusal) -> None:
        self._forget(pending)
        self._settle(pending, self._refused(reason))

    def _forget(self, pending: Pending, *, withdraw: bool = True) -> None:
        self._queue.remove(pending)
        self._pending.pop(pending.key, None)
        if self._tickets.pop(pending.ticket, None) is None:
            return
        self._asked[pending.workspace] -= 1
        if not self._asked[pending.workspace]:
            del self._asked[pending.workspace]
        if withdraw:
            self._withdrawn.append(pending.ticket)

    def _withdraw_tickets(self) -> None:
        for pending in self._tickets.values():
            pending.ticket = 0
        self._tickets.clear()
        self._asked.clear()

    def _drop_late(self, now: float) -> None:
        servers = self._servers(self._service, now)
        changed, self._checked = servers is not self._checked, servers
        for pending in list(self._pending.values()):
            if self._too_late(pending, now):
                reason = SlotRefusal.NO_CAPACITY_BEFORE_DEADLINE
                self._settle_refused(pending, reason)
            elif changed and not self._usable(pending.request, now):
                self._settle_refused(pending, SlotRefusal.NO_SERVER)

    def _check_answers(self, now: float) -> None:
        late = False
        silent = now - self._heard_at >= SILENCE_SECONDS
        repeat = SILENCE_SECONDS if silent else REASK_SECONDS
        for pending in list(self._tickets.values()):
            waited = now - pending.sent_at
            if not pending.answered and waited >= ANSWER_SECONDS:
                late = True
                self._send_ask(pending, now)
            elif pending.answered and waited >= repeat:
                pending.answered = False
                self._send_ask(pending, now)
        self._unanswered = self._unanswered + 1 if late else 0
        if self._unanswered >= UNANSWERED_LIMIT:
            self._fall_back(now)

    def _fall_back(self, now: float) -> None:
        self._fallback_until = now + FALLBACK_SECONDS
        self._unanswered = UNANSWERED_LIMIT - 1
        self._was_in_fallback = True
        self._new_asks.clear()
        self._withdrawn.extend(self._tickets)
        self._withdraw_tickets()
        self.pump(now)

    def _check_leases(self, now: float) -> None:
        due = []
        for lease in list(self._leases.values()):
            if lease.expires <= now:
                self._lose(lease)
            elif lease.busy is None and now - lease.idle_since >= IDLE_SECONDS:
                self._return(lease)
            elif lease.expires - now <= lease.life * RENEW_SHARE:
                due.append(lease)
        due = [d for d in due if now - d.renewed_at >= FIRST_LEASE_SECONDS / 5]
        self._renew(due, now)

    def _renew(self, leases: Sequence[HeldLease], now: float) -> None:
        if not leases or self._dispatcher is None:
            return
        for lease in leases:
            lease.renewed_at = now
        held = tuple(Held(lease.id, lease.server) for lease in leases)
        self._mailbox.post(self._dispatcher, SlotRenew(self._service, held))

    def _lose(self, lease: HeldLease) -> None:
        """Drop an expired lease; its request goes on without one."""
        del self._leases[lease.id]
        if lease.busy is not None:
            del self._by_key[lease.busy]
            self._direct[lease.busy] = lease.server
            self._direct_load[lease.server] += 1

    def _return(self, lease: HeldLease) -> None:
        del self._leases[lease.id]
        self._new_returns.append((lease.lender, lease.id))

    def _uncount(self, counter: Counter[ServerId], server: ServerId) -> None:
        counter[server] -= 1
        if counter[server] <= 0:
            del counter[server]
