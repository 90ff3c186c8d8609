"""Ejection permits: slots that bound the ejected servers of a service.

A service with `n` published servers and a floor of `m` has `n - m` slots, and a server
may be ejected only while it holds one. A slot is held by promises from two thirds of
nine voters. Two sets of two thirds share voters, and a voter promises a slot to one
server at a time, so two servers never hold one slot, whoever asked for it and however
late a message arrives: the asker counts a promise from the moment it sent the request,
the voter from the moment it received it.
"""

from collections.abc import Sequence
from random import Random

from attrs import Factory, define

from catkinspan.coordination.health.const import (
    CLOCK_MARGIN,
    PERMIT_SECONDS,
    VOTERS_PER_DATA_CENTRE,
    VOTING_DATA_CENTRES,
)
from catkinspan.coordination.health.models import (
    PermitRelease,
    PermitReply,
    PermitRequest,
)
from catkinspan.coordination.rendezvous import ranked
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, ServerId, ServiceId

HELD_SECONDS = PERMIT_SECONDS * (1.0 - CLOCK_MARGIN)


def voters_of(service: ServiceId, view: FleetView) -> tuple[HostId, ...]:
    """Return the voters of a service.

    They are taken from the platform's list and not from the usable hosts, on which
    two hosts disagree more often, and from several data centres, so that a quorum
    survives the loss of one.
    """
    places: dict[DataCentre, list[HostId]] = {}
    for host in view.listed or view.usable:
        if host in view.hosts:
            places.setdefault(view.hosts[host].data_centre, []).append(host)
    name = f"health-permit:{service}"
    chosen = ranked(name, sorted(places), VOTING_DATA_CENTRES)
    return tuple(
        host
        for place in chosen
        for host in ranked(name, places[place], VOTERS_PER_DATA_CENTRE)
    )


def quorum_of(voters: int) -> int:
    """Return how many of the voters must promise a slot.

    With 9 voters it is 6: two quorums share a voter even where two hosts lists differ
    in 2 voters.
    """
    return (2 * voters + 2) // 3


@define
class _Promise:
    server: ServerId
    expires: float = 0.0
    askers: dict[HostId, float] = Factory(dict)
    """The `sent_at` of each asker's last request."""


class PermitVoter:
    """Promises slots of services to servers on behalf of one host."""

    def __init__(self) -> None:
        self._abstains_until: float | None = None
        self._promises: dict[tuple[ServiceId, int], _Promise] = {}

    def begin(self, now: float) -> None:
        """Abstain until promises of an earlier process on this host have expired."""
        if self._abstains_until is None:
            self._abstains_until = now + PERMIT_SECONDS

    def answer(
        self, request: PermitRequest, asker: HostId, allowed: int, now: float
    ) -> PermitReply:
        """Promise the slot unless another server holds it or it is past the floor."""
        return PermitReply(
            request.service,
            request.server,
            request.slot,
            request.sent_at,
            self._grants(request, asker, allowed, now),
        )

    def release(self, message: PermitRelease, asker: HostId) -> None:
        """Forget a promise that its last asker does not need.

        A release that overtook a later request of the asker is ignored.
        """
        key = (message.service, message.slot)
        held = self._promises.get(key)
        if held is None or held.server != message.server:
            return
        if held.askers.get(asker, float("inf")) > message.sent_at:
            return
        del held.askers[asker]
        if not held.askers:
            del self._promises[key]

    def promised(self, service: ServiceId, now: float) -> frozenset[ServerId]:
        """Return the servers of a service that hold promises."""
        return frozenset(
            promise.server
            for (name, _), promise in self._promises.items()
            if name == service and promise.expires > now
        )

    def _grants(
        self, request: PermitRequest, asker: HostId, allowed: int, now: float
    ) -> bool:
        if self._abstains_until is None or now < self._abstains_until:
            return False
        if not 0 <= request.slot < allowed:
            return False
        key = (request.service, request.slot)
        held = self._promises.get(key)
        if held is None or held.expires <= now:
            held = self._promises[key] = _Promise(request.server)
        if held.server != request.server:
            return False
        held.expires = now + PERMIT_SECONDS
        held.askers[asker] = max(request.sent_at, held.askers.get(asker, 0.0))
        return True


@define
class Permit:
    """An asker's side of one slot."""

    service: ServiceId
    server: ServerId
    slot: int
    voters: tuple[HostId, ...] = ()
    asked_at: float = float("-inf")
    attempts: int = 0
    moved_at: float = float("-inf")
    _expiries: dict[HostId, float] = Factory(dict)
    _refused: set[HostId] = Factory(set)

    @property
    def is_refused(self) -> bool:
        """Return whether too many voters refused for a quorum."""
        return len(self.voters) - len(self._refused) < quorum_of(len(self.voters))

    @property
    def valid_until(self) -> float:
        """Return until when a quorum's promises last, on the asker's clock."""
        needed = quorum_of(len(self.voters))
        expiries = [self._expiries.get(voter, 0.0) for voter in self.voters]
        if not needed:
            return 0.0
        return sorted(expiries, reverse=True)[needed - 1]

    def ask(self, voters: Sequence[HostId], now: float) -> PermitRequest:
        """Return the request to send to all voters."""
        self.voters = tuple(voters)
        self.asked_at = now
        self.attempts += 1
        self._refused.clear()
        return PermitRequest(self.service, self.server, self.slot, now)

    def take_reply(self, voter: HostId, reply: PermitReply, now: float) -> None:
        """Count a voter's answer, from the time of the request it answers."""
        if reply.slot != self.slot or not self.moved_at <= reply.sent_at <= now:
            return
        if not reply.granted:
            if reply.sent_at == self.asked_at:
                self._refused.add(voter)
            return
        expires = reply.sent_at + HELD_SECONDS
        self._expiries[voter] = max(expires, self._expiries.get(voter, 0.0))

    def move(self, slot: int, now: float) -> PermitRelease:
        """Change to another slot and return the release of this one."""
        release = self.release(now)
        self.slot = slot
        self.attempts = 0
        self.moved_at = now
        self.asked_at = float("-inf")
        self._expiries.clear()
        self._refused.clear()
        return release

    def release(self, now: float) -> PermitRelease:
        """Return the message that gives the slot back."""
        return PermitRelease(self.service, self.server, self.slot, now)


def jitter(rng: Random, seconds: float) -> float:
    """Return a wait of half to one and a half times `seconds`."""
    return seconds * (0.5 + rng.random())
