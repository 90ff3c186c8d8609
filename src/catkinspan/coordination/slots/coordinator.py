"""The coordinator of slots: this host's leases, and the services it dispatches."""

from collections.abc import Callable, Collection, Mapping
from random import Random
from typing import ClassVar

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.const import PAUSE_SECONDS
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import Candidate
from catkinspan.coordination.slots.budget import AskBudget
from catkinspan.coordination.slots.client import SlotClient
from catkinspan.coordination.slots.connections import ConnectionShares
from catkinspan.coordination.slots.const import DEFAULT_MAX_QUEUE
from catkinspan.coordination.slots.direct import Locality, ServerSet
from catkinspan.coordination.slots.dispatcher import Dispatcher
from catkinspan.coordination.slots.held import AttemptKey
from catkinspan.coordination.slots.mailbox import Mailbox
from catkinspan.coordination.slots.models import (
    MESSAGES,
    CandidateSource,
    DispatcherSlots,
    LoanAsk,
    LoanGrant,
    NotDispatcher,
    ServiceSlots,
    SlotAnswer,
    SlotAsk,
    SlotRecall,
    SlotRenew,
    SlotRenewed,
    SlotRequest,
    SlotReturn,
    SlotSettled,
    SlotsSnapshot,
    SlotStatus,
    SlotTakeover,
    SlotVerdict,
)
from catkinspan.coordination.slots.roles import Roles
from catkinspan.state.hosts import FleetView, HostStatus
from catkinspan.state.ids import DataCentre, HostId, RequestId, ServerId, ServiceId
from catkinspan.state.tree import SettingsTree, Upstream


class SlotCoordinator(BaseConcern):
    """Obtains slots for this host's requests and dispatches those of some services.

    Example::

        verdict = slots.acquire(request, now)
        if verdict.status is SlotStatus.QUEUED:
            ...  # the end of the wait comes in `take_settled`
        slots.release(request.request_id, request.attempt, now)
    """

    handles: ClassVar[tuple[type[PeerMessage], ...]] = MESSAGES

    def __init__(
        self,
        self_id: HostId,
        data_centre: DataCentre,
        outbox: Outbox,
        rng: Random,
        candidates: CandidateSource,
    ) -> None:
        self._self_id = self_id
        self._outbox = outbox
        self._rng = rng
        self._candidates = candidates
        self._mailbox = Mailbox()
        self._budget = AskBudget()
        self._view = FleetView(self_id, data_centre)
        self._roles = self._roles_before = Roles(self._view)
        self._shares = ConnectionShares(self._view)
        self._locality = Locality.of(self._view)
        self._tree = SettingsTree()
        self._upstreams: dict[ServerId, Upstream] = {}
        self._clients: dict[ServiceId, SlotClient] = {}
        self._dispatchers: dict[ServiceId, Dispatcher] = {}
        self._incarnations: dict[HostId, int] = {}
        self._services: dict[AttemptKey, ServiceId] = {}
        self._server_sets: dict[ServiceId, tuple[tuple[Candidate, ...], ServerSet]] = {}
        self._touched: set[ServiceId] = set()
        self._settled: list[SlotSettled] = []
        self._draining = False
        self._ticked_at: float | None = None

    def snapshot(self, now: float) -> SlotsSnapshot:
        """Return queues, leases, fallback state and refusals for operators."""
        return SlotsSnapshot(
            {name: c.snapshot(now) for name, c in self._clients.items()},
            {name: d.snapshot(now) for name, d in self._dispatchers.items()},
        )

    def service_snapshot(
        self, service: ServiceId, now: float
    ) -> tuple[ServiceSlots | None, DispatcherSlots | None]:
        """Return what this host holds and what it dispatches of one service."""
        client = self._clients.get(service)
        dispatcher = self._dispatchers.get(service)
        return (
            client.snapshot(now) if client else None,
            dispatcher.snapshot(now) if dispatcher else None,
        )

    def acquire(self, request: SlotRequest, now: float) -> SlotVerdict:
        """Grant a slot, queue the request or refuse it.

        The end of a queued request's wait is returned by `take_settled`.
        """
        self._notice_pause(now)
        key = (request.request_id, request.attempt)
        self._services[key] = request.service
        verdict = self._client(request.service, now).acquire(request, now)
        self._touched.add(request.service)
        self._flush(now)
        verdict = self._settled_now(key) or verdict
        if verdict.status is SlotStatus.REFUSED:
            self._services.pop(key, None)
        return verdict

    def release(
        self, request_id: RequestId, attempt: int, now: float, *, shed: bool = False
    ) -> None:
        """End an attempt that was granted a slot.

        `shed` says that the server refused the request for lack of a slot; the
        dispatcher then leaves the server alone for a moment.
        """
        self._notice_pause(now)
        if client := self._client_of((request_id, attempt)):
            client.release((request_id, attempt), now, shed=shed)
            self._flush(now)

    def cancel(self, request_id: RequestId, attempt: int, now: float) -> None:
        """Withdraw a queued request, or end its attempt."""
        self._notice_pause(now)
        if client := self._client_of((request_id, attempt)):
            client.cancel((request_id, attempt), now)
            self._flush(now)

    def take_settled(self) -> list[SlotSettled]:
        """Return and forget the ends of waits."""
        settled, self._settled = self._settled, []
        return settled

    def connection_limit(self, server: ServerId) -> int:
        """Return the connections that this host may open to a server."""
        upstream = self._upstreams.get(server)
        return self._shares.limit(upstream, self._self_id) if upstream else 0

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over servers and queue bounds."""
        self._tree = tree
        self._upstreams = {
            upstream.id: upstream
            for service in tree.services.values()
            for upstream in service.upstreams
        }
        for name, client in self._clients.items():
            client.max_queue = self._max_queue(name)
        for name, dispatcher in self._dispatchers.items():
            dispatcher.max_queue = self._max_queue(name)
        self._flush(now)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Move roles to their new holders, and free what dead hosts held."""
        self._roles_before = self._roles
        self._view = view
        self._roles = Roles(view)
        self._shares = ConnectionShares(view)
        self._locality = Locality.of(view)
        self._server_sets.clear()
        self._budget.resize(len(view.usable), now)
        self._forget_dead(view, now)
        for name, dispatcher in self._dispatchers.items():
            self._keep_or_retire(name, dispatcher, now)
            dispatcher.hosts = self._roles.hosts_here
            dispatcher.replace_partners(self._roles.partners(name))
        for name in self._clients:
            self._dispatcher(name, now)
        for name, client in self._clients.items():
            client.use_dispatcher(self._dispatcher_of(name), now)
            self._touched.add(name)
        self._flush(now)

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Process a message as the dispatcher or as a host."""
        self._notice_pause(now)
        self._check_incarnation(origin, now)
        self._route(message, origin.host, now)
        self._flush(now)

    def tick(self, now: float) -> None:
        """Expire, renew and refresh what is due."""
        self._notice_pause(now)
        self._ticked_at = now
        for name, dispatcher in list(self._dispatchers.items()):
            if dispatcher.retires_at is not None and dispatcher.retires_at <= now:
                self._dispatchers.pop(name).stop()
            elif not dispatcher.idle:
                dispatcher.update(self._own_servers(name, now), now)
                dispatcher.tick(now)
        for name, client in self._clients.items():
            if not client.idle:
                client.tick(now)
                self._touched.add(name)
        self._flush(now)

    def resume(self, gap: float, now: float) -> None:
        """Drop leases and the ledger of dispatched services after a pause."""
        self._ticked_at = now
        self._dispatchers.clear()
        for client in self._clients.values():
            client.forget_leases(now)
        self._touched.update(self._clients)
        self._flush(now)

    def drain(self, now: float) -> None:
        """Hand back idle leases; the others follow as their requests end."""
        self._draining = True
        for client in self._clients.values():
            client.drain(now)
        self._touched.update(self._clients)
        self._flush(now)

    def _notice_pause(self, now: float) -> None:
        """Drop leases before messages that waited through a pause are processed."""
        if self._ticked_at is not None and now - self._ticked_at > PAUSE_SECONDS:
            self.resume(now - self._ticked_at, now)

    def _client(self, service: ServiceId, now: float) -> SlotClient:
        client = self._clients.get(service)
        if client is None:
            client = SlotClient(
                service,
                self._mailbox,
                self._rng,
                self._budget,
                self._servers,
            )
            client.max_queue = self._max_queue(service)
            self._clients[service] = client
            client.use_dispatcher(self._dispatcher_of(service), now)
            if self._draining:
                client.drain(now)
        return client

    def _dispatcher(self, service: ServiceId, now: float) -> Dispatcher | None:
        """Return the dispatcher of a service if this host is it, or just was."""
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            # A peer may name any service; roles and ledgers of each have no bound.
            if service not in self._tree.services:
                return None
            if self._dispatcher_of(service) != self._self_id:
                return None
            dispatcher = Dispatcher(
                service, self._mailbox, self._rng, self._allowed_for(service), now
            )
            dispatcher.max_queue = self._max_queue(service)
            dispatcher.hosts = self._roles.hosts_here
            dispatcher.replace_partners(self._roles.partners(service))
            dispatcher.start(self._former(service), now)
            self._dispatchers[service] = dispatcher
        if dispatcher.idle:
            dispatcher.update(self._own_servers(service, now), now)
        return dispatcher

    def _keep_or_retire(
        self, service: ServiceId, dispatcher: Dispatcher, now: float
    ) -> None:
        if self._dispatcher_of(service) == self._self_id:
            dispatcher.hold()
        else:
            dispatcher.retire(now)

    def _former(self, service: ServiceId) -> list[HostId]:
        """Return the living hosts that may have held the role before this one."""
        candidates = {
            self._roles_before.dispatcher(service, self._view.self_data_centre),
            self._roles.predecessor(service, self._self_id),
        }
        hosts = self._view.hosts
        return sorted(
            host
            for host in candidates
            if host
            and host != self._self_id
            and host in hosts
            and hosts[host].status != HostStatus.DEAD
        )

    def _dispatcher_of(self, service: ServiceId) -> HostId | None:
        return self._roles.dispatcher(service, self._view.self_data_centre)

    def _max_queue(self, service: ServiceId) -> int:
        entry = self._tree.services.get(service)
        return entry.policy.max_queue if entry else DEFAULT_MAX_QUEUE

    def _servers(self, service: ServiceId, now: float) -> ServerSet:
        """Return the servers that this host may connect to.

        They are sorted out anew only when the source returns another tuple.
        """
        candidates = self._candidates.available(service, now)
        known = self._server_sets.get(service)
        if known and known[0] is candidates:
            return known[1]
        usable = [
            c
            for c in candidates
            if not c.upstream.leaving and self._shares.limit(c.upstream, self._self_id)
        ]
        servers = ServerSet(usable, self._locality)
        self._server_sets[service] = (candidates, servers)
        return servers

    def _own_servers(
        self, service: ServiceId, now: float
    ) -> Mapping[ServerId, Candidate]:
        """Return the servers that the dispatcher of this data centre leases."""
        own = self._view.self_data_centre
        return {
            c.upstream.id: c
            for c in self._candidates.available(service, now)
            if not c.upstream.leaving and self._roles.home(c.upstream) == own
        }

    def _allowed_for(
        self, service: ServiceId
    ) -> Callable[[HostId], Collection[ServerId] | None]:
        """Return a function from a host to the servers that it connects to.

        It returns None for a host that may connect to all servers.
        """
        known: dict[HostId, Collection[ServerId] | None] = {}
        shares, tree = self._shares, self._tree

        def allowed(host: HostId) -> Collection[ServerId] | None:
            nonlocal shares, tree
            if shares is not self._shares or tree is not self._tree:
                shares, tree = self._shares, self._tree
                known.clear()
            if host not in known:
                known[host] = self._servers_of(service, host)
            return known[host]

        return allowed

    def _servers_of(
        self, service: ServiceId, host: HostId
    ) -> Collection[ServerId] | None:
        entry = self._tree.services.get(service)
        upstreams = entry.upstreams if entry else ()
        servers = {u.id for u in upstreams if self._shares.limit(u, host)}
        return None if len(servers) == len(upstreams) else servers

    def _client_of(self, key: AttemptKey) -> SlotClient | None:
        service = self._services.pop(key, None)
        if service is None:
            return None
        self._touched.add(service)
        return self._clients[service]

    def _settle(self, settled: list[SlotSettled]) -> None:
        for item in settled:
            if item.verdict.status is SlotStatus.REFUSED:
                self._services.pop((item.request_id, item.attempt), None)
        self._settled.extend(settled)

    def _settled_now(self, key: AttemptKey) -> SlotVerdict | None:
        for settled in self._settled:
            if (settled.request_id, settled.attempt) == key:
                self._settled.remove(settled)
                return settled.verdict
        return None

    def _forget_dead(self, view: FleetView, now: float) -> None:
        gone = [h for h in self._incarnations if h not in view.hosts]
        dead = [
            record.id
            for record in view.hosts.values()
            if record.status is HostStatus.DEAD
        ]
        for host in (*gone, *dead):
            if self._incarnations.pop(host, None) is None:
                continue
            for dispatcher in self._dispatchers.values():
                dispatcher.forget_host(host, now)

    def _check_incarnation(self, origin: Origin, now: float) -> None:
        """Free what an earlier life of a host held."""
        last = self._incarnations.get(origin.host, origin.incarnation)
        if origin.incarnation > last:
            for dispatcher in self._dispatchers.values():
                dispatcher.forget_host(origin.host, now)
        self._incarnations[origin.host] = max(last, origin.incarnation)

    def _route(self, message: PeerMessage, host: HostId, now: float) -> None:
        match message:
            case SlotAnswer() | SlotRenewed() | SlotRecall() | NotDispatcher():
                self._to_client(message, host, now)
            case SlotTakeover():
                if dispatcher := self._dispatchers.get(message.service):
                    dispatcher.yield_half(now)
                else:
                    self._mailbox.post(host, NotDispatcher(message.service))
            case SlotAsk() | SlotReturn() | SlotRenew() | LoanAsk() | LoanGrant():
                self._to_dispatcher(message, host, now)

    def _to_client(
        self,
        message: SlotAnswer | SlotRenewed | SlotRecall | NotDispatcher,
        host: HostId,
        now: float,
    ) -> None:
        if isinstance(message, NotDispatcher) and (
            dispatcher := self._dispatchers.get(message.service)
        ):
            dispatcher.release_from(host, now)
        client = self._clients.get(message.service)
        if client is None:
            return
        self._touched.add(message.service)
        match message:
            case SlotAnswer():
                client.answer(message, host, now)
            case SlotRenewed():
                client.renewed(message, host)
            case SlotRecall():
                client.recall()
            case NotDispatcher():
                client.not_dispatcher(host, now)

    def _to_dispatcher(
        self,
        message: SlotAsk | SlotReturn | SlotRenew | LoanAsk | LoanGrant,
        host: HostId,
        now: float,
    ) -> None:
        dispatcher = self._dispatcher(message.service, now)
        match message:
            case SlotAsk() if dispatcher:
                dispatcher.ask(message, host, now)
            case SlotAsk():
                self._mailbox.post(host, NotDispatcher(message.service))
            case SlotReturn() if dispatcher:
                dispatcher.give_back(message, host, now)
            case SlotRenew() if dispatcher:
                dispatcher.renew(message, host, now)
            case LoanAsk() if dispatcher:
                dispatcher.lend(message, host, now)
            case LoanGrant() if dispatcher:
                dispatcher.borrow(message, host, now)

    def _flush(self, now: float) -> None:
        """Deliver messages to the own host until none is left, and post the others."""
        while True:
            touched, self._touched = self._touched, set()
            for name in sorted(touched):
                client = self._clients[name]
                client.flush()
                self._settle(client.take_settled())
            messages = self._mailbox.take()
            if not messages and not self._touched:
                break
            for to, message in messages:
                if to == self._self_id:
                    self._route(message, self._self_id, now)
                else:
                    self._outbox.send(to, message)
