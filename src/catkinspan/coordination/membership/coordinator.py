"""Owner of the observed peers and of the fleet view."""

from collections.abc import Callable
from random import Random
from typing import Any, ClassVar

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.membership import models
from catkinspan.coordination.membership.const import (
    CONNECTIVITY_WINDOW_SECONDS,
    FORGET_SECONDS,
    INDIRECT_HELPERS,
    LEAVE_FANOUT,
    MAX_MEMBERS,
    ONE_WAY_PROBES,
    PROBES_PER_SECOND,
    STARTUP_PEERS,
    STARTUP_SECONDS,
    SUSPICION_SECONDS,
)
from catkinspan.coordination.membership.dissemination import UpdateQueue
from catkinspan.coordination.membership.members import Member, member_at, member_of
from catkinspan.coordination.membership.models import (
    Ack,
    HostStatusChanged,
    HostSuperseded,
    HostUpdate,
    Leaving,
    MembershipSnapshot,
    OneWayPath,
    OneWayPathEnded,
    OneWayPathFound,
    Place,
    Probe,
    ProbeRequest,
    RelayedAck,
    RelayedProbe,
    RevisionExchange,
)
from catkinspan.coordination.membership.probing import ProbeInFlight, ProbeLedger
from catkinspan.coordination.membership.view import ViewBuilder
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import (
    FleetView,
    HostList,
    HostStatus,
    ListedHost,
)
from catkinspan.state.ids import NO_REVISION, HostId, Revision
from catkinspan.state.tree import SettingsTree


class MembershipCoordinator(BaseConcern):
    """Observes the peers and builds the fleet view, after SWIM.

    Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
    Process Group Membership Protocol" (2002). Unlike there, a dead host that is still
    listed is probed on, so that both sides of a healed partition find each other.
    """

    handles: ClassVar[tuple[type[PeerMessage], ...]] = models.MESSAGES

    def __init__(
        self,
        self_host: ListedHost,
        incarnation: int,
        outbox: Outbox,
        rng: Random,
    ) -> None:
        self._id = self_host.id
        self._outbox = outbox
        self._rng = rng
        self._self = member_of(self_host)
        self._self.listed = False
        self._self.incarnation = incarnation
        self._members: dict[HostId, Member] = {self._id: self._self}
        self._list_revision = NO_REVISION
        self._superseded = False
        self._started_at: float | None = None
        self._heard_at_start: set[HostId] = set()
        self._introduced: set[HostId] = set()
        self._outdated: set[HostId] = set()
        self._troubled: set[HostId] = set()
        """Hosts that are suspect or dead."""

        self._queue = UpdateQueue()
        self._ledger = ProbeLedger()
        self._round: list[HostId] = []
        self._next_probe_at = 0.0
        self._ticked_at = 0.0
        self._one_way: dict[HostId, OneWayPath] = {}
        self._exchange: RevisionExchange | None = None
        self._view = ViewBuilder(self._id, self_host.data_centre)
        self._view.mark(self._id)
        self._handlers: dict[type[PeerMessage], Callable[[Any, Origin, float], None]]
        self._handlers = {
            Probe: self._on_probe,
            Ack: self._on_ack,
            ProbeRequest: self._on_probe_request,
            RelayedProbe: self._on_relayed_probe,
            RelayedAck: self._on_relayed_ack,
            Leaving: self._on_leaving,
        }

    @property
    def view(self) -> FleetView:
        """Return what the host believes; a new object only after a change."""
        return self._view.build(self._members)

    @property
    def incarnation(self) -> int:
        """Return the own incarnation, for the envelope of each message."""
        return self._self.incarnation

    @property
    def superseded(self) -> bool:
        """Return whether a newer process with the own id is known.

        A superseded host must not mint, lend or hold roles; it is meant to drain.
        """
        return self._superseded

    @property
    def one_way_paths(self) -> tuple[OneWayPath, ...]:
        """Return the paths from this host that work only in the other direction."""
        return tuple(self._one_way[host] for host in sorted(self._one_way))

    def snapshot(self, now: float) -> MembershipSnapshot:
        """Return the state for operators."""
        return MembershipSnapshot(
            self.view,
            {m.id: m.sighting() for m in self._members.values() if m is not self._self},
            self.connectivity(now),
            self.one_way_paths,
            self._superseded,
        )

    def exchange_revisions(self, exchange: RevisionExchange) -> None:
        """Let probes and acks carry the revisions of the configuration concern."""
        self._exchange = exchange

    def connectivity(self, now: float) -> float:
        """Return the share of listed peers that acked in the last 5 s.

        All peers are probed in that time at 40 hosts, about 40 at 1,100. The result
        is 1.0 without peers and 0.0 before the first ack.
        """
        return self.acked_share(CONNECTIVITY_WINDOW_SECONDS, now)

    def acked_share(self, window: float, now: float) -> float:
        """Return the share of probed peers that acked in the last `window` seconds."""
        if not any(self._counts(member) for member in self._members.values()):
            return 1.0
        return self._ledger.acked_share(window, now)

    def apply_host_list(self, hosts: HostList, now: float) -> None:
        """Take over the platform's list, which is advisory.

        A list of a lower revision is ignored. A host that the list no longer holds
        keeps its observed state but is not usable; a listed host that is observed to
        be dead or leaving stays so.
        """
        if hosts.revision < self._list_revision:
            return
        self._list_revision = hosts.revision
        for member in self._members.values():
            if member.id not in hosts.hosts:
                member.listed = False
                member.leaving_in_list = False
        for listing in hosts.hosts.values():
            self._take_listing(listing)
        self._view.mark(*self._members)

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the largest number of hosts."""
        self._view.set_max_hosts(tree.fleet.max_hosts)

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Process a message from a peer."""
        if origin.host == self._id:
            self._observe_incarnation(origin.incarnation)
            return
        self._hear(origin, now)
        self._handlers[type(message)](message, origin, now)

    def tick(self, now: float) -> None:
        """Send due probes and conclude old ones."""
        if self._started_at is None:
            self._started_at = now
            self._next_probe_at = now
        self._ticked_at = now
        self._probe_if_due(now)
        for probe in self._ledger.direct_timeouts(now):
            self._ask_helpers(probe)
        for probe in self._ledger.concluded(now):
            self._conclude(probe, now)
        self._expire(now)

    def resume(self, gap: float, now: float) -> None:
        """Forget probes in flight, and give suspected peers their time again."""
        self._ledger.forget_in_flight()
        self._next_probe_at = now
        for member in self._members.values():
            if member.status is HostStatus.SUSPECT:
                member.changed_at += gap

    def drain(self, now: float) -> None:
        """Tell the peers at once that this host leaves."""
        if self._self.leaving:
            return
        self._self.leaving = True
        self._self.refutation += 1
        self._note_change(self._self)
        message = Leaving(self._self.refutation)
        for host in self._peers_to_tell():
            self._outbox.send(host, message)

    def _on_probe(self, probe: Probe, origin: Origin, now: float) -> None:
        self._take_news(probe, origin, now)
        self._send_ack(origin.host, probe.sequence, relayed=False)

    def _on_ack(self, ack: Ack, origin: Origin, now: float) -> None:
        self._take_news(ack, origin, now)
        probe = self._ledger.get(ack.sequence, origin.host)
        if probe is None:
            return
        if ack.relayed:
            probe.answered_indirectly = True
            probe.heard_directly = True
            return
        self._ledger.acked(probe)
        self._introduced.add(origin.host)
        self._heard_at_start.add(origin.host)
        if member := self._members.get(origin.host):
            member.unheard_probes = 0
        if self._one_way.pop(origin.host, None):
            self._outbox.emit(OneWayPathEnded(self._id, origin.host))

    def _on_probe_request(
        self, request: ProbeRequest, origin: Origin, now: float
    ) -> None:
        self._outbox.send(request.target, RelayedProbe(request.sequence, origin.host))

    def _on_relayed_probe(
        self, probe: RelayedProbe, origin: Origin, now: float
    ) -> None:
        answer = RelayedAck(probe.sequence, probe.origin, self._id)
        self._outbox.send(origin.host, answer)
        self._send_ack(probe.origin, probe.sequence, relayed=True)

    def _on_relayed_ack(self, ack: RelayedAck, origin: Origin, now: float) -> None:
        if ack.origin != self._id:
            self._outbox.send(ack.origin, ack)
            return
        probe = self._ledger.get(ack.sequence, ack.target)
        if probe is not None:
            probe.answered_indirectly = True

    def _on_leaving(self, message: Leaving, origin: Origin, now: float) -> None:
        self._merge(
            HostUpdate(
                origin.host,
                HostStatus.LEAVING,
                origin.incarnation,
                message.refutation,
            ),
            now,
        )

    def _hear(self, origin: Origin, now: float) -> None:
        member = self._members.get(origin.host)
        if member is None:
            return
        if origin.incarnation < member.incarnation:
            self._outdated.add(origin.host)
            return
        self._outdated.discard(origin.host)
        member.heard_at = now
        if origin.incarnation > member.incarnation:
            status = HostStatus.ALIVE
            self._merge(HostUpdate(member.id, status, origin.incarnation, 0), now)

    def _take_news(self, message: Probe | Ack, origin: Origin, now: float) -> None:
        for place in message.places:
            self._introduce(place)
        for update in message.updates:
            self._merge(update, now)
        member = self._members.get(origin.host)
        if member is None or member.incarnation != origin.incarnation:
            return
        member.note_revision(message.revision, now)
        if message.leaving and not member.leaving:
            status = HostStatus.LEAVING
            self._merge(
                HostUpdate(member.id, status, member.incarnation, member.refutation),
                now,
            )
        if self._exchange is not None:
            self._exchange.observe_revision(origin.host, message.revision, now)

    def _merge(self, update: HostUpdate, now: float) -> None:
        if update.host == self._id:
            self._answer_statement(update)
            return
        member = self._members.get(update.host)
        if member is None:
            return
        before = member.shown_status
        is_expected = member.listed and not member.incarnation and not member.is_dead
        if not member.merge(update, now):
            return
        if is_expected and member.status is HostStatus.ALIVE:
            self._view.mark(member.id)
        else:
            self._note_change(member)
        self._report_change(member, before)

    def _answer_statement(self, update: HostUpdate) -> None:
        own = self._self
        if update.incarnation > own.incarnation:
            self._observe_incarnation(update.incarnation)
            return
        if update.status not in (HostStatus.SUSPECT, HostStatus.DEAD):
            return
        if update.incarnation == own.incarnation:
            own.refutation = max(own.refutation, update.refutation + 1)
        self._queue.add(self._id)

    def _observe_incarnation(self, incarnation: int) -> None:
        own = self._self
        if incarnation <= own.incarnation:
            return
        if self._is_starting():
            own.incarnation = incarnation + 1
            own.refutation = 0
            self._note_change(own)
            return
        if self._superseded:
            return
        self._superseded = True
        self._view.exclude_self()
        self._outbox.emit(HostSuperseded(self._id, own.incarnation, incarnation))

    def _is_starting(self) -> bool:
        return len(self._heard_at_start) < STARTUP_PEERS and not self._past_startup

    @property
    def _past_startup(self) -> bool:
        return self._started_at is not None and (
            self._ticked_at - self._started_at > STARTUP_SECONDS
        )

    def _introduce(self, place: Place) -> None:
        if place.host in self._members or len(self._members) >= MAX_MEMBERS:
            return
        self._members[place.host] = member_at(place)
        self._join_round(place.host)
        self._view.mark(place.host)

    def _take_listing(self, listing: ListedHost) -> None:
        member = self._members.get(listing.id)
        if member is not None:
            member.take_listing(listing)
            return
        if len(self._members) >= MAX_MEMBERS:
            return
        self._members[listing.id] = member_of(listing)
        self._join_round(listing.id)

    def _join_round(self, host: HostId) -> None:
        self._round.insert(self._rng.randint(0, len(self._round)), host)

    def _probe_if_due(self, now: float) -> None:
        rate = min(PROBES_PER_SECOND, len(self._members) - 1)
        if rate < 1 or now < self._next_probe_at:
            return
        self._next_probe_at = max(self._next_probe_at + 1 / rate, now)
        member = self._next_target()
        if member is not None:
            self._send_probe(member, now)

    def _next_target(self) -> Member | None:
        if not self._round:
            self._round = [host for host in self._members if host != self._id]
            self._rng.shuffle(self._round)
        while self._round:
            member = self._members.get(self._round.pop())
            if member and (member.listed or not member.is_dead):
                return member
        return None

    def _send_probe(self, member: Member, now: float) -> None:
        sequence = self._ledger.open(member.id, self._counts(member), now)
        updates = self._updates_for(member.id)
        self._outbox.send(
            member.id,
            Probe(
                sequence,
                self._revision,
                self._self.leaving,
                updates,
                self._places_for(member.id, updates),
            ),
        )

    def _send_ack(self, host: HostId, sequence: int, relayed: bool) -> None:
        updates = self._updates_for(host)
        self._outbox.send(
            host,
            Ack(
                sequence,
                self._revision,
                self._self.leaving,
                relayed,
                updates,
                self._places_for(host, updates),
            ),
        )

    @property
    def _revision(self) -> Revision:
        return self._exchange.revision if self._exchange else NO_REVISION

    def _updates_for(self, host: HostId) -> tuple[HostUpdate, ...]:
        """Return queued news and, if the receiver counts as failed, that too.

        The receiver can refute only what it hears of. An old process learns here
        that a newer one has its id.
        """
        told = self._queue.take(len(self._members))
        if self._must_hear_of_itself(host) and host not in told:
            told.append(host)
        if self._must_introduce_itself_to(host) and self._id not in told:
            told.append(self._id)
        return tuple(self._members[told_of].update() for told_of in told)

    def _must_hear_of_itself(self, host: HostId) -> bool:
        member = self._members.get(host)
        if member is None:
            return False
        return member.status is not HostStatus.ALIVE or host in self._outdated

    def _places_for(
        self, host: HostId, updates: tuple[HostUpdate, ...]
    ) -> tuple[Place, ...]:
        return tuple(
            member.place()
            for member in (self._members[update.host] for update in updates)
            if member.id != host and not self._is_known_to(host, member)
        )

    def _is_known_to(self, host: HostId, member: Member) -> bool:
        if member is self._self:
            return not self._must_introduce_itself_to(host)
        return member.listed

    def _must_introduce_itself_to(self, host: HostId) -> bool:
        """Return whether the peer may know this host from no list.

        Hosts share the revisions of the list, so a listed host needs no introduction.
        """
        return not self._self.listed and host not in self._introduced

    def _counts(self, member: Member) -> bool:
        return member is not self._self and member.listed and not member.is_leaving

    def _ask_helpers(self, probe: ProbeInFlight) -> None:
        helpers = [
            member.id
            for member in self._members.values()
            if member.status is HostStatus.ALIVE
            and member is not self._self
            and member.id != probe.target
        ]
        count = min(INDIRECT_HELPERS, len(helpers))
        for helper in self._rng.sample(helpers, count):
            self._outbox.send(helper, ProbeRequest(probe.sequence, probe.target))

    def _conclude(self, probe: ProbeInFlight, now: float) -> None:
        member = self._members.get(probe.target)
        if member is None:
            return
        if probe.heard_directly or (member.heard_at or 0.0) >= probe.sent_at:
            self._note_unheard(member, now)
        if probe.answered_indirectly or member.status is not HostStatus.ALIVE:
            return
        member.suspect(now)
        self._note_change(member)

    def _note_unheard(self, member: Member, now: float) -> None:
        """Count a probe without a direct ack whose target was heard meanwhile."""
        member.unheard_probes += 1
        if member.unheard_probes < ONE_WAY_PROBES:
            self._round.append(member.id)
            return
        if member.id in self._one_way:
            return
        self._one_way[member.id] = OneWayPath(self._id, member.id, now)
        self._outbox.emit(OneWayPathFound(self._id, member.id))

    def _expire(self, now: float) -> None:
        forgotten = []
        for host in sorted(self._troubled):
            member = self._members[host]
            age = now - member.changed_at
            if member.status is HostStatus.SUSPECT and age >= SUSPICION_SECONDS:
                self._declare_dead(member, now)
            if member.is_dead and not member.listed and age >= FORGET_SECONDS:
                forgotten.append(member.id)
        for host in forgotten:
            self._forget(host)

    def _declare_dead(self, member: Member, now: float) -> None:
        before = member.shown_status
        member.declare_dead(now)
        self._note_change(member)
        self._one_way.pop(member.id, None)
        self._report_change(member, before)

    def _forget(self, host: HostId) -> None:
        del self._members[host]
        self._troubled.discard(host)
        self._queue.discard(host)
        self._introduced.discard(host)
        self._outdated.discard(host)
        self._one_way.pop(host, None)
        self._view.mark(host)

    def _note_change(self, member: Member) -> None:
        self._queue.add(member.id)
        self._view.mark(member.id)
        if member.status is HostStatus.ALIVE:
            self._troubled.discard(member.id)
        else:
            self._troubled.add(member.id)

    def _report_change(self, member: Member, before: HostStatus) -> None:
        after = member.shown_status
        if after is before or after is HostStatus.SUSPECT:
            return
        if before is HostStatus.SUSPECT and after is HostStatus.ALIVE:
            return
        self._outbox.emit(HostStatusChanged(member.id, after, member.incarnation))

    def _peers_to_tell(self) -> list[HostId]:
        """Return live peers, those of the own data centre first, up to the bound."""
        peers = [
            member
            for member in self._members.values()
            if member is not self._self and not member.is_dead
        ]
        self._rng.shuffle(peers)
        peers.sort(key=lambda member: member.data_centre != self._self.data_centre)
        return [member.id for member in peers[:LEAVE_FANOUT]]
