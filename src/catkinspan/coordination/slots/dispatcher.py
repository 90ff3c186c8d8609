"""The dispatcher of one service in one data centre."""

from collections.abc import Callable, Collection, Mapping
from functools import partial
from random import Random

from catkinspan.coordination.outcomes import Candidate
from catkinspan.coordination.slots.const import (
    CAREFUL_SECONDS,
    FIRST_LEASE_SECONDS,
    KEEP_SHARE,
    LEASE_SECONDS,
    LOAN_BACKOFF_SECONDS,
    LOAN_HYSTERESIS,
    LOAN_SECONDS,
    MAX_LOAN,
    REPORT_SECONDS,
    SHED_SECONDS,
)
from catkinspan.coordination.slots.fairness import FairQueue
from catkinspan.coordination.slots.ledger import Answers, Lease, Waiting
from catkinspan.coordination.slots.lending import (
    Partner,
    Partners,
    fair_capacity,
    largest,
    loan_end,
)
from catkinspan.coordination.slots.mailbox import Mailbox
from catkinspan.coordination.slots.models import (
    Ask,
    Denial,
    DispatcherSlots,
    Grant,
    Held,
    LoanAsk,
    LoanGrant,
    SlotAnswer,
    SlotAsk,
    SlotRecall,
    SlotRefusal,
    SlotRenew,
    SlotRenewed,
    SlotReturn,
    SlotTakeover,
    WorkspaceDemand,
)
from catkinspan.coordination.slots.pool import (
    Borrowed,
    OpenServers,
    Part,
    PoolServer,
    SlotPool,
)
from catkinspan.state.ids import HostId, ServerId, ServiceId, WorkspaceId

_RECALL_GAP_SECONDS = 0.02


class Dispatcher:
    """Leases the slots of its servers and queues asks fairly when none is free."""

    def __init__(
        self,
        service: ServiceId,
        mailbox: Mailbox,
        rng: Random,
        allowed: Callable[[HostId], Collection[ServerId] | None],
        now: float,
    ) -> None:
        self._service = service
        self._mailbox = mailbox
        self._rng = rng
        self._allowed = allowed
        self._pool = SlotPool()
        self._pool.restrict(Part.FIRST_HALF, now + CAREFUL_SECONDS)
        self._retires_at: float | None = None
        self._former: set[HostId] = set()
        self._queue: FairQueue[Waiting] = FairQueue()
        self._tickets: dict[tuple[HostId, int], Waiting] = {}
        self._leases: dict[tuple[HostId, int], Lease] = {}
        self._by_ticket: dict[tuple[HostId, int], Lease] = {}
        self._partners = Partners()
        self._answers = Answers()
        self._first_lease = self._next_lease = rng.getrandbits(24) << 16
        self._recalled_at = float("-inf")
        self.max_queue = 0
        self.hosts = 0
        """Hosts of the data centre."""

    @property
    def idle(self) -> bool:
        """Return whether nothing is leased, lent, borrowed or waiting."""
        return not (self._leases or self._pool.borrowed or len(self._queue))

    @property
    def retires_at(self) -> float | None:
        """Return when the dispatcher stops, or None while it holds the role."""
        return self._retires_at

    def snapshot(self, now: float) -> DispatcherSlots:
        """Return the state for operators."""
        return DispatcherSlots(
            capacity=self._pool.capacity,
            used=self._pool.used,
            borrowed=len(self._pool.borrowed),
            lent=sum(1 for lease in self._leases.values() if lease.loan),
            careful=self._pool.part_at(now) is not Part.ALL,
            waiting=self._queue.lengths,
        )

    def update(self, own: Mapping[ServerId, Candidate], now: float) -> None:
        """Take over the servers that may get new work, and serve the queue."""
        self._pool.update(own)
        self._serve(now)
        self._send()

    def replace_partners(self, hosts: Collection[HostId]) -> None:
        """Take over the dispatchers of the other data centres."""
        self._partners.replace(hosts)
        for loan in list(self._pool.borrowed.values()):
            if loan.lender not in hosts:
                loan.ended = True

    def forget_host(self, host: HostId, now: float) -> None:
        """Free what a dead or restarted host held."""
        for key in [key for key in self._leases if key[0] == host]:
            self._end_lease(key, now, measured=False)
        for key in [key for key in self._tickets if key[0] == host]:
            self._queue.remove(self._tickets.pop(key))

    def ask(self, message: SlotAsk, host: HostId, now: float) -> None:
        """Grant, queue or deny each ask."""
        for ask in message.asks:
            self._ask(ask, host, now)
        self._serve(now)
        self._send()

    def give_back(self, message: SlotReturn, host: HostId, now: float) -> None:
        """Take back leases and drop withdrawn asks."""
        for ticket in message.tickets:
            waiting = self._tickets.pop((host, ticket), None)
            if waiting:
                self._queue.remove(waiting)
        for id_ in message.leases:
            lease = self._leases.get((host, id_))
            if lease and id_ in message.shed:
                self._note_full(lease, now)
            self._end_lease((host, id_), now, measured=id_ not in message.shed)
        self._serve(now)
        self._send()

    def renew(self, message: SlotRenew, host: HostId, now: float) -> None:
        """Extend leases, and adopt those that a predecessor granted."""
        renewed = []
        for held in message.held:
            lease = self._leases.get((host, held.lease))
            if lease is None and not self._first_lease < held.lease <= self._next_lease:
                lease = self._adopt(held, host, now)
            # An own lease that is unknown has ended: its return overtook the renewal.
            if lease is not None:
                lease.expires = now + LEASE_SECONDS
                renewed.append(held.lease)
        self._mailbox.post(host, SlotRenewed(self._service, tuple(renewed)))

    def lend(self, message: LoanAsk, host: HostId, now: float) -> None:
        """Renew loans that are still fair, and lend what is free or owed."""
        partner = self._partners.get(host)
        if partner is None:
            return
        partner.demand, partner.demand_at = message.demand, now
        capacity, fair = self._shares_of(message)
        renewed = self._renew_loans(message, host, now)
        excess = int(capacity - fair) if len(self._queue) else 0
        recalled = renewed[: max(0, excess)]
        wants = min(message.wants, MAX_LOAN)
        if len(self._queue):
            # Small differences are noise; moving slots for them costs more than it
            # gives. A borrower has none to spare.
            missing = fair - capacity * (1 + LOAN_HYSTERESIS)
            wants = 0 if self._pool.borrowed else max(0, min(wants, int(missing)))
        partner.owed, partner.first = wants, len(self._queue) > 0
        partner.owed_until = now + LOAN_BACKOFF_SECONDS
        self._pay_owed(now, first=len(self._queue) > 0)
        if partner.owed:
            self._recall(now)
        loans = tuple(self._answers.loans.pop(host, ()))
        grant = LoanGrant(self._service, loans, renewed, recalled)
        self._mailbox.post(host, grant)
        self._send()

    def borrow(self, message: LoanGrant, lender: HostId, now: float) -> None:
        """Take loans into the pool and serve the queue with them."""
        partner = self._partners.get(lender)
        if partner is None:
            return
        partner.answered = True
        partner.not_before = now if message.loans else now + LOAN_BACKOFF_SECONDS
        for id_ in message.renewed:
            if loan := self._pool.borrowed.get((lender, id_)):
                loan.expires = loan_end(loan.asked_at)
                loan.ended = loan.ended or id_ in message.recalled
        for held in message.loans:
            # A promised slot comes later than the answer, so its life counts from the
            # arrival; LOAN_MARGIN_SECONDS covers the time on the way.
            loan = Borrowed(held.lease, held.server, lender, loan_end(now))
            self._pool.borrowed[loan.key] = loan
        self._serve(now)
        self._return_loans(now)
        self._send()

    def tick(self, now: float) -> None:
        """Expire leases and asks, return idle loans and renew busy ones."""
        for key in [k for k, lease in self._leases.items() if lease.expires <= now]:
            self._end_lease(key, now, measured=False)
        for waiting in [w for w in self._queue if w.expires <= now]:
            self._drop(waiting)
        self._return_loans(now)
        self._renew_borrowed(now)
        self._serve(now)
        self._send()

    def yield_half(self, now: float) -> None:
        """Leave half of the slots to another host that has taken the role."""
        self._pool.restrict(Part.SECOND_HALF, now + CAREFUL_SECONDS)

    def start(self, former: Collection[HostId], now: float) -> None:
        """Use half of the slots until the former dispatchers have let go."""
        self._former = set(former)
        for host in sorted(former):
            self._mailbox.post(host, SlotTakeover(self._service))
        self._end_care(now)

    def release_from(self, host: HostId, now: float) -> None:
        """Note that a former dispatcher leases no slots."""
        if host in self._former:
            self._former.remove(host)
            self._end_care(now)

    def _end_care(self, now: float) -> None:
        if not self._former:
            self._pool.restrict(Part.FIRST_HALF, now + REPORT_SECONDS)

    def retire(self, now: float) -> None:
        """Serve hosts that do not know the new dispatcher yet, for a moment."""
        if self._retires_at is None:
            self._retires_at = now + CAREFUL_SECONDS
            self.yield_half(now)

    def hold(self) -> None:
        """Hold the role on, after it came back before the end."""
        self._retires_at = None

    def stop(self) -> None:
        """Hand back loans, and let hosts ask the next dispatcher."""
        for loan in self._pool.borrowed.values():
            self._post_return(loan)
        self._pool.borrowed.clear()

    def _ask(self, ask: Ask, host: HostId, now: float) -> None:
        key = (host, ask.ticket)
        if lease := self._by_ticket.get(key):
            # The answer to the first ask was lost or is on its way.
            grant = Grant(lease.id, ask.ticket, lease.server, lease.keep)
            self._answers.grants.setdefault(host, []).append(grant)
            return
        if key in self._tickets:
            self._answers.queued.setdefault(host, []).append(ask.ticket)
            return
        waiting = Waiting(host, ask, now + ask.left_ms / 1000)
        if not len(self._queue) and self._grant(waiting, now):
            return
        self._enqueue(waiting, now)

    def _enqueue(self, waiting: Waiting, now: float) -> None:
        if self._expected_wait(waiting) > waiting.expires - now:
            self._deny(waiting, SlotRefusal.NO_CAPACITY_BEFORE_DEADLINE)
            return
        if len(self._queue) >= self.max_queue:
            longest = self._queue.newest_of_longest()
            length = self._queue.length
            if length(longest.workspace) <= length(waiting.workspace) + 1:
                self._deny(waiting, SlotRefusal.QUEUE_FULL)
                return
            self._drop(longest)
            self._deny(longest, SlotRefusal.QUEUE_FULL)
        self._queue.push(waiting)
        self._tickets[waiting.host, waiting.ask.ticket] = waiting
        queued = self._answers.queued.setdefault(waiting.host, [])
        queued.append(waiting.ask.ticket)

    def _expected_wait(self, waiting: Waiting) -> float:
        rate = self._pool.rate
        if not rate:
            return 0.0
        ahead = self._queue.length(waiting.workspace) + 1
        others = self._queue.total_weight(besides=waiting.workspace)
        by_share = ahead * (others + waiting.weight) / max(waiting.weight, 1e-3)
        turns = min(by_share, len(self._queue) + 1)
        return turns / rate

    def _deny(self, waiting: Waiting, reason: SlotRefusal) -> None:
        denial = Denial(waiting.ask.ticket, reason)
        self._answers.denials.setdefault(waiting.host, []).append(denial)

    def _drop(self, waiting: Waiting) -> None:
        self._queue.remove(waiting)
        self._tickets.pop((waiting.host, waiting.ask.ticket), None)

    def _serve(self, now: float) -> None:
        self._pay_owed(now, first=True)
        while len(self._queue) and (opened := self._pool.open(now)):
            waiting = self._queue.pop(partial(self._fits, opened))
            if waiting is None:
                break
            del self._tickets[waiting.host, waiting.ask.ticket]
            self._grant(waiting, now)
        if len(self._queue):
            self._recall(now)
            self._ask_partner(now)
        else:
            self._pay_owed(now, first=False)

    def _pay_owed(self, now: float, *, first: bool) -> None:
        """Lend free slots to the dispatchers to which they were promised."""
        while partner := self._partners.owed(now, first=first):
            if not self._lend_one(partner, now):
                break
            partner.owed -= 1

    def _fits(self, opened: OpenServers, waiting: Waiting) -> bool:
        ask = waiting.ask
        allowed = self._allowed(waiting.host)
        return opened.fits(ask.exclude, ask.idempotent, allowed)

    def _note_full(self, lease: Lease, now: float) -> None:
        """Pause a server whose slots are in use by someone unknown."""
        if lease.borrowed:
            if loan := self._pool.borrowed.get(lease.borrowed):
                loan.ended = True
        elif server := self._pool.servers.get(lease.server):
            server.full_until = now + SHED_SECONDS

    def _find(self, waiting: Waiting, now: float) -> PoolServer | Borrowed | None:
        ask = waiting.ask
        allowed = self._allowed(waiting.host)
        return self._pool.find(ask.exclude, ask.idempotent, allowed, now, self._rng)

    def _grant(self, waiting: Waiting, now: float) -> bool:
        found = self._find(waiting, now)
        if found is None:
            return False
        lease = self._lease(found, waiting.host, now)
        lease.ticket = waiting.ask.ticket
        lease.workspace = waiting.workspace
        lease.weight = waiting.weight
        lease.keep = self._may_keep(found, now)
        lease.timed = not lease.keep
        self._by_ticket[waiting.host, lease.ticket] = lease
        grant = Grant(lease.id, lease.ticket, lease.server, lease.keep)
        self._answers.grants.setdefault(waiting.host, []).append(grant)
        return True

    def _lease(self, found: PoolServer | Borrowed, host: HostId, now: float) -> Lease:
        self._next_lease += 1
        if isinstance(found, Borrowed):
            found.busy = True
            server = found.server
        else:
            found.used += 1
            found.trial_at = now
            server = found.id
        lease = Lease(
            self._next_lease,
            host,
            server,
            expires=now + FIRST_LEASE_SECONDS,
            granted_at=now,
            borrowed=found.key if isinstance(found, Borrowed) else None,
        )
        self._leases[host, lease.id] = lease
        return lease

    def _may_keep(self, found: PoolServer | Borrowed, now: float) -> bool:
        """Return whether the host may use the slot for its next requests too.

        With fewer slots than hosts, a kept slot would mostly be idle.
        """
        if isinstance(found, Borrowed) or found.trial or len(self._queue):
            return False
        if self._pool.capacity < self.hosts:
            return False
        return self._pool.free(now) > self._pool.capacity * KEEP_SHARE

    def _adopt(self, held: Held, host: HostId, now: float) -> Lease:
        lease = Lease(held.lease, host, held.server, now + LEASE_SECONDS, now)
        lease.keep = True
        self._leases[host, held.lease] = lease
        if server := self._pool.servers.get(held.server):
            server.used += 1
        return lease

    def _end_lease(
        self, key: tuple[HostId, int], now: float, *, measured: bool
    ) -> None:
        lease = self._leases.pop(key, None)
        if lease is None:
            return
        self._by_ticket.pop((lease.host, lease.ticket), None)
        if measured and lease.timed:
            self._pool.measure(lease.server, now - lease.granted_at)
        if lease.borrowed:
            self._free_loan(lease.borrowed)
        elif server := self._pool.servers.get(lease.server):
            server.used = max(0, server.used - 1)

    def _recall(self, now: float) -> None:
        if now - self._recalled_at < _RECALL_GAP_SECONDS:
            return
        kept = [lease for lease in self._leases.values() if lease.keep]
        for lease in kept:
            lease.keep = False
        for host in sorted({lease.host for lease in kept}):
            self._mailbox.post(host, SlotRecall(self._service))
            self._recalled_at = now

    def _demand(self) -> tuple[WorkspaceDemand, ...]:
        slots: dict[WorkspaceId, int] = {}
        weights: dict[WorkspaceId, float] = {}
        for lease in self._leases.values():
            if not lease.loan:
                slots[lease.workspace] = slots.get(lease.workspace, 0) + 1
                weights[lease.workspace] = lease.weight
        for waiting in self._queue:
            slots[waiting.workspace] = slots.get(waiting.workspace, 0) + 1
            weights[waiting.workspace] = waiting.weight
        return largest(WorkspaceDemand(w, weights[w], n) for w, n in slots.items())

    def _shares_of(self, message: LoanAsk) -> tuple[float, float]:
        """Return the borrower's capacity and its fair one, in own typical slots."""
        lent = sum(lease.loan for lease in self._leases.values())
        own, theirs = float(self._pool.capacity - lent), float(message.capacity)
        typical = self._pool.typical_hold
        if typical and message.rate:
            own = self._pool.rate * typical - lent
            theirs = message.rate * typical
        return theirs, fair_capacity(own + theirs, self._demand(), message.demand)

    def _renew_loans(
        self, message: LoanAsk, host: HostId, now: float
    ) -> tuple[int, ...]:
        """Extend the loans that the borrower still holds.

        A loan that is no longer fair is extended too, since a request may run on it;
        it is recalled and comes back when the request ends.
        """
        renewed = []
        for held in message.held:
            if lease := self._leases.get((host, held.lease)):
                lease.expires = now + LOAN_SECONDS
                renewed.append(held.lease)
        return tuple(renewed)

    def _lend_one(self, partner: Partner, now: float) -> bool:
        found = self._pool.find((), False, None, now, self._rng)
        if found is None or isinstance(found, Borrowed):
            return False
        lease = self._lease(found, partner.host, now)
        lease.loan = True
        lease.expires = now + LOAN_SECONDS
        loans = self._answers.loans.setdefault(partner.host, [])
        loans.append(Held(lease.id, lease.server))
        return True

    def _ask_partner(self, now: float) -> None:
        partner = self._partners.next(min(len(self._queue), MAX_LOAN), now)
        if partner:
            self._post_loan_ask(partner, now)

    def _post_loan_ask(self, partner: Partner, now: float) -> None:
        """Ask for slots for the queue, and renew the loans that are due."""
        partner.asked_at = now
        partner.answered = False
        partner.wanted = min(len(self._queue), MAX_LOAN)
        due = [
            loan
            for loan in self._pool.borrowed.values()
            if loan.lender == partner.host and loan.is_due(now)
        ]
        for loan in due:
            loan.asked_at = now
        ask = LoanAsk(
            self._service,
            partner.wanted,
            self._pool.capacity,
            round(self._pool.rate, 1),
            self._demand(),
            tuple(Held(loan.lease, loan.server) for loan in due),
        )
        self._mailbox.post(partner.host, ask)

    def _renew_borrowed(self, now: float) -> None:
        loans = self._pool.borrowed.values()
        for lender in sorted({loan.lender for loan in loans if loan.is_due(now)}):
            if partner := self._partners.get(lender):
                self._post_loan_ask(partner, now)

    def _return_loans(self, now: float) -> None:
        for loan in list(self._pool.borrowed.values()):
            if loan.expires <= now:
                del self._pool.borrowed[loan.key]
                continue
            if not loan.busy and (loan.ended or not len(self._queue)):
                del self._pool.borrowed[loan.key]
                self._post_return(loan)

    def _free_loan(self, key: tuple[HostId, int]) -> None:
        loan = self._pool.borrowed.get(key)
        if loan is None:
            return
        loan.busy = False
        if loan.ended or not len(self._queue):
            del self._pool.borrowed[key]
            self._post_return(loan)

    def _post_return(self, loan: Borrowed) -> None:
        self._mailbox.post(loan.lender, SlotReturn(self._service, (loan.lease,)))

    def _send(self) -> None:
        answers, self._answers = self._answers, Answers()
        for host in sorted({*answers.grants, *answers.denials, *answers.queued}):
            message = SlotAnswer(
                self._service,
                tuple(answers.grants.get(host, ())),
                tuple(answers.denials.get(host, ())),
                tuple(answers.queued.get(host, ())),
            )
            self._mailbox.post(host, message)
        for host, loans in sorted(answers.loans.items()):
            self._mailbox.post(host, LoanGrant(self._service, tuple(loans)))
