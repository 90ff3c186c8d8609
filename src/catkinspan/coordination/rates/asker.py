"""The entry host's side: granted tokens, waiting requests and asks."""

from collections import OrderedDict
from math import exp

from attrs import define, field

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.const import (
    DEMAND_SECONDS,
    MAX_ASK_LIFE_SECONDS,
    MAX_HOLD_SECONDS,
    MAX_WAITING,
    MIN_ASK_LIFE_SECONDS,
    MIN_HOLD_SECONDS,
    MIN_PREFETCH_TOKENS,
    PREFETCH_LIFE_SECONDS,
    PREFETCH_SECONDS,
    RETRY_GRANTOR_SECONDS,
    RETURN_BEFORE_EXPIRY_SECONDS,
    UNANSWERED_ASKS,
    WAIT_SECONDS,
)
from catkinspan.coordination.rates.models import (
    AskEntry,
    GrantEntry,
    RateSettled,
    RateVerdict,
    TokenAsk,
    TokenGrant,
)
from catkinspan.state.ids import HostId, RequestId, WorkspaceId


@define
class RoundTrip:
    """Smoothed round trip and its deviation, after RFC 6298."""

    mean: float | None = None
    deviation: float = 0.0
    bound: float = MAX_ASK_LIFE_SECONDS
    """Time within which an answer is expected."""

    def add(self, sample: float) -> None:
        """Take a measured round trip into account."""
        if self.mean is None:
            self.mean, self.deviation = sample, sample / 2
        else:
            self.deviation += (abs(sample - self.mean) - self.deviation) / 4
            self.mean += (sample - self.mean) / 8
        self._limit(self.mean + 4 * self.deviation)

    def back_off(self) -> None:
        """Expect answers to take longer, after one did not come in time."""
        self._limit(2 * self.bound)

    def _limit(self, bound: float) -> None:
        self.bound = min(MAX_ASK_LIFE_SECONDS, max(MIN_ASK_LIFE_SECONDS, bound))


@define
class Pocket:
    """Tokens and waiting requests of one workspace on one host."""

    chunks: list[list[float]] = field(factory=list)
    """Amount and end of life of granted tokens, the first to end first."""

    waiting: OrderedDict[RequestId, float] = field(factory=OrderedDict)
    """Waiting requests with the end of their wait, in order of arrival."""

    asked: int = 0
    """Waiting requests that the open ask speaks for."""

    accepted: int = 0
    """Last ask whose grant was taken. A new pocket starts with the last ask sent, so
    that the grantor does not take forgotten grants for unused."""

    returned: int = 0
    hold_until: float = 0.0
    refusals: int = 0
    """Refusals by the grantor in a row."""

    demand: float = 0.0
    """Requests per second, a decaying average."""

    demand_at: float = 0.0

    def note_request(self, now: float) -> None:
        """Update the demand estimate with one request."""
        self.demand = self.demand_now(now) + 1.0 / DEMAND_SECONDS
        self.demand_at = now

    def demand_now(self, now: float) -> float:
        """Return the estimated requests per second."""
        return self.demand * exp(-(now - self.demand_at) / DEMAND_SECONDS)

    def held(self, now: float) -> int:
        """Drop tokens whose life has ended and return the number of the others."""
        self.chunks = [c for c in self.chunks if c[1] > now and c[0] >= 1]
        return int(sum(chunk[0] for chunk in self.chunks))

    def spend(self, now: float) -> bool:
        """Spend one token, of those that end first."""
        if not self.chunks or not self.held(now):
            return False
        self.chunks[0][0] -= 1
        return True

    def receive(self, amount: int, expiry: float) -> None:
        """Add granted tokens."""
        if amount > 0:
            self.chunks.append([float(amount), expiry])
            self.chunks.sort(key=lambda chunk: chunk[1])

    def drop_ending(self, horizon: float) -> int:
        """Drop tokens that end before `horizon` and return their number."""
        if not self.chunks or self.chunks[0][1] > horizon:
            return 0
        ending = [chunk for chunk in self.chunks if chunk[1] <= horizon]
        self.chunks = [chunk for chunk in self.chunks if chunk[1] > horizon]
        return int(sum(chunk[0] for chunk in ending))


@define
class OpenAsk:
    """The ask that a grantor has not answered yet."""

    sequence: int
    sent_at: float
    life: float
    workspaces: tuple[WorkspaceId, ...]


@define
class Link:
    """The exchange with one grantor."""

    pockets: dict[WorkspaceId, Pocket] = field(factory=dict)
    open: OpenAsk | None = None
    round_trip: RoundTrip = field(factory=RoundTrip)
    unanswered: int = 0
    retry_at: float = 0.0
    dirty: dict[WorkspaceId, None] = field(factory=dict)
    """Workspaces to name in the next ask."""

    active: dict[WorkspaceId, Pocket] = field(factory=dict)
    """Pockets with waiting requests or granted tokens."""


class Asker:
    """Spends granted tokens and asks grantors for more.

    At most one ask to a grantor is open at a time, so asks batch by themselves when
    the round trip is long. A grant is taken only if it answers the latest ask, within
    the life that the ask named.
    """

    def __init__(self, incarnation: int, outbox: Outbox) -> None:
        self._outbox = outbox
        self._links: dict[HostId, Link] = {}
        self._sequence = incarnation
        self._settled: list[RateSettled] = []
        self._refused: list[WorkspaceId] = []
        self._waiting_on: dict[RequestId, tuple[HostId, WorkspaceId]] = {}

    def take_settled(self) -> list[RateSettled]:
        """Return and forget the ended waits."""
        settled, self._settled = self._settled, []
        return settled

    def take_refused(self) -> list[WorkspaceId]:
        """Return and forget the workspaces whose waits ended without a token."""
        refused, self._refused = self._refused, []
        return refused

    def pocket(self, grantor: HostId, workspace: WorkspaceId) -> Pocket | None:
        """Return the tokens and waits of a workspace."""
        link = self._links.get(grantor)
        return None if link is None else link.pockets.get(workspace)

    def pockets(self) -> dict[WorkspaceId, Pocket]:
        """Return all pockets by workspace."""
        return {w: p for link in self._links.values() for w, p in link.pockets.items()}

    def take_held(self, grantor: HostId, workspace: WorkspaceId, now: float) -> bool:
        """Note a request and spend a granted token on it if there is one."""
        link = self._links.setdefault(grantor, Link())
        pocket = link.pockets.get(workspace)
        if pocket is None:
            pocket = Pocket(accepted=self._sequence)
            link.pockets[workspace] = pocket
        pocket.note_request(now)
        return pocket.spend(now)

    def wait(
        self, request: RequestId, grantor: HostId, workspace: WorkspaceId, now: float
    ) -> RateVerdict:
        """Ask the grantor for a token; refuse where asking is of no use now."""
        link = self._links[grantor]
        pocket = link.pockets[workspace]
        if now < pocket.hold_until or len(pocket.waiting) >= MAX_WAITING:
            return RateVerdict.REFUSED
        if link.unanswered >= UNANSWERED_ASKS and now < link.retry_at:
            return RateVerdict.REFUSED
        pocket.waiting[request] = now + WAIT_SECONDS
        self._waiting_on[request] = (grantor, workspace)
        link.dirty[workspace] = None
        link.active[workspace] = pocket
        self._ask(grantor, link, now)
        return RateVerdict.PENDING

    def cancel(self, request: RequestId) -> None:
        """Forget a waiting request."""
        place = self._waiting_on.pop(request, None)
        if place is None:
            return
        pocket = self._links[place[0]].pockets[place[1]]
        position = list(pocket.waiting).index(request)
        if position < pocket.asked:
            pocket.asked -= 1
        del pocket.waiting[request]

    def handle_grant(self, grant: TokenGrant, host: HostId, now: float) -> None:
        """Take the tokens of the latest ask and end the waits that it spoke for."""
        link = self._links.get(host)
        if link is None or link.open is None:
            return
        if grant.sequence != link.open.sequence:
            return
        ask, link.open = link.open, None
        link.round_trip.add(now - ask.sent_at)
        link.unanswered = 0
        for workspace, entry in zip(ask.workspaces, grant.entries, strict=False):
            pocket = link.pockets.get(workspace)
            if pocket is not None:
                self._receive(workspace, entry, pocket, ask, link, now)
        self._ask(host, link, now)

    def tick(self, now: float) -> None:
        """End waits that took too long, ask again, and return unused tokens."""
        for grantor, link in self._links.items():
            self._tick_link(grantor, link, now)

    def clear(self) -> None:
        """Refuse the waiting requests and drop all tokens."""
        for request in self._waiting_on:
            self._settled.append(RateSettled(request, False))
        self._waiting_on.clear()
        self._links.clear()

    def forget_idle(self, now: float) -> None:
        """Forget workspaces and grantors without recent traffic."""
        for grantor, link in list(self._links.items()):
            for workspace, pocket in list(link.pockets.items()):
                idle = now - pocket.demand_at > 5 * DEMAND_SECONDS
                if idle and not pocket.waiting and not pocket.held(now):
                    del link.pockets[workspace]
                    link.active.pop(workspace, None)
                    link.dirty.pop(workspace, None)
            if not link.pockets and link.open is None:
                del self._links[grantor]

    def _receive(
        self,
        workspace: WorkspaceId,
        entry: GrantEntry,
        pocket: Pocket,
        ask: OpenAsk,
        link: Link,
        now: float,
    ) -> None:
        pocket.accepted = ask.sequence
        link.active[workspace] = pocket
        pocket.receive(entry.granted, ask.sent_at + ask.life)
        pocket.receive(entry.ahead, ask.sent_at + PREFETCH_LIFE_SECONDS)
        asked, pocket.asked = pocket.asked, 0
        for position, request in enumerate(list(pocket.waiting)):
            if pocket.spend(now):
                self._settle(request, pocket, True)
            elif position < asked and entry.hold_ms:
                self._settle(request, pocket, False)
        if not entry.hold_ms or entry.granted:
            pocket.refusals = 0
        if entry.hold_ms:
            self._hold(pocket, entry.hold_ms / 1000, now)
        if pocket.waiting:
            link.dirty[workspace] = None

    def _hold(self, pocket: Pocket, seconds: float, now: float) -> None:
        pocket.refusals += 1
        backoff = MIN_HOLD_SECONDS * 2 ** min(pocket.refusals - 1, 10)
        pocket.hold_until = now + min(MAX_HOLD_SECONDS, max(seconds, backoff))
        for request in list(pocket.waiting):
            self._settle(request, pocket, False)

    def _settle(self, request: RequestId, pocket: Pocket, admitted: bool) -> None:
        del pocket.waiting[request]
        _, workspace = self._waiting_on.pop(request)
        if not admitted:
            self._refused.append(workspace)
        self._settled.append(RateSettled(request, admitted))

    def _ask(self, grantor: HostId, link: Link, now: float) -> None:
        if link.open is not None or not link.dirty:
            return
        self._sequence += 1
        entries = []
        for workspace in link.dirty:
            pocket = link.pockets.get(workspace)
            if pocket is not None:
                entries.append(self._entry(workspace, pocket, now))
        link.dirty.clear()
        named = tuple(entry.workspace for entry in entries)
        life_ms = int(link.round_trip.bound * 1000)
        link.open = OpenAsk(self._sequence, now, life_ms / 1000, named)
        self._outbox.send(grantor, TokenAsk(self._sequence, life_ms, tuple(entries)))

    def _entry(self, workspace: WorkspaceId, pocket: Pocket, now: float) -> AskEntry:
        held = pocket.held(now)
        wanted = int(pocket.demand_now(now) * PREFETCH_SECONDS)
        ahead = max(0, wanted - held) if wanted >= MIN_PREFETCH_TOKENS else 0
        pocket.asked = len(pocket.waiting)
        returned, pocket.returned = pocket.returned, 0
        taken_ago = self._sequence - pocket.accepted
        return AskEntry(workspace, pocket.asked, ahead, held, returned, taken_ago)

    def _tick_link(self, grantor: HostId, link: Link, now: float) -> None:
        if link.open is not None and now >= link.open.sent_at + link.open.life:
            self._give_up_ask(link, now)
        for workspace, pocket in list(link.active.items()):
            for request, end in list(pocket.waiting.items()):
                if end > now:
                    break
                self._settle(request, pocket, False)
            back = pocket.drop_ending(now + RETURN_BEFORE_EXPIRY_SECONDS)
            if back:
                pocket.returned += back
                link.dirty[workspace] = None
            if not pocket.waiting and not pocket.chunks:
                del link.active[workspace]
        if link.unanswered < UNANSWERED_ASKS or now >= link.retry_at:
            self._ask(grantor, link, now)

    def _give_up_ask(self, link: Link, now: float) -> None:
        link.open = None
        link.unanswered += 1
        link.retry_at = now + RETRY_GRANTOR_SECONDS
        link.round_trip.back_off()
        for workspace, pocket in link.active.items():
            pocket.asked = 0
            if pocket.waiting:
                link.dirty[workspace] = None
