"""The slots that a dispatcher leases: those of its servers and borrowed ones."""

from collections.abc import Collection, Iterator, Mapping
from enum import Enum, auto
from itertools import repeat
from random import Random
from statistics import median_low

from attrs import define, field

from catkinspan.coordination.outcomes import Candidate
from catkinspan.coordination.slots.const import (
    LOAN_BACKOFF_SECONDS,
    LOAN_MARGIN_SECONDS,
    LOAN_SECONDS,
    TRIAL_SECONDS,
)
from catkinspan.state.ids import HostId, ServerId

_HOLD_SMOOTHING = 0.05
_LEAST_HOLD_SECONDS = 0.0001


class Part(Enum):
    """Slots of each server that a dispatcher uses while its role moves."""

    ALL = auto()
    FIRST_HALF = auto()
    """For the new dispatcher; rounded up."""

    SECOND_HALF = auto()
    """For its predecessor; rounded down."""


@define
class PoolServer:
    """A server whose slots the dispatcher leases."""

    id: ServerId
    slots: int = 0
    used: int = 0
    trial: bool = False
    trial_at: float = float("-inf")
    """Time of the last request to the server while on trial."""

    full_until: float = float("-inf")
    """Time until which no slot is leased, after the server shed a leased request."""

    def free(self, part: "Part") -> int:
        """Return the slots that may be leased now."""
        match part:
            case Part.FIRST_HALF:
                return (self.slots + 1) // 2 - self.used
            case Part.SECOND_HALF:
                return self.slots // 2 - self.used
            case Part.ALL:
                return self.slots - self.used


@define
class Borrowed:
    """A slot on loan from the dispatcher of another data centre."""

    lease: int
    server: ServerId
    lender: HostId
    expires: float
    busy: bool = False
    ended: bool = False
    """Whether the loan goes back once the slot is idle."""

    asked_at: float = 0.0
    """Time of the last request to renew."""

    @property
    def key(self) -> tuple[HostId, int]:
        """Return the lender and the number of the loan, which together are unique."""
        return self.lender, self.lease

    def is_open(self, now: float) -> bool:
        """Return whether a request may start on the loan."""
        if self.busy or self.ended:
            return False
        return self.expires - now > LOAN_MARGIN_SECONDS

    def is_due(self, now: float) -> bool:
        """Return whether to ask for a renewal, for the first time or again."""
        if self.expires - now > LOAN_SECONDS / 2:
            return False
        return now - self.asked_at >= LOAN_BACKOFF_SECONDS


@define
class OpenServers:
    """Servers with a free slot at one instant."""

    usual: list[ServerId]
    trial: list[ServerId]

    def __bool__(self) -> bool:
        return bool(self.usual or self.trial)

    def fits(
        self,
        exclude: Collection[ServerId],
        idempotent: bool,
        allowed: Collection[ServerId] | None,
    ) -> bool:
        """Return whether a request can run on one of the servers."""
        for server in (*self.usual, *(self.trial if idempotent else ())):
            if server not in exclude and (allowed is None or server in allowed):
                return True
        return False


@define
class SlotPool:
    """Counts the slots in use of each server."""

    servers: dict[ServerId, PoolServer] = field(factory=dict)
    borrowed: dict[tuple[HostId, int], Borrowed] = field(factory=dict)
    holds: dict[ServerId, float] = field(factory=dict)
    """Average seconds for which a lease for one request is held, by server."""

    part: Part = Part.ALL
    part_until: float = 0.0

    @property
    def capacity(self) -> int:
        """Return all slots, borrowed ones included."""
        return sum(s.slots for s in self.servers.values()) + len(self.borrowed)

    @property
    def typical_hold(self) -> float | None:
        """Return the median of the servers' average seconds for one request."""
        holds = [self.holds[id_] for id_ in self._slot_servers() if id_ in self.holds]
        return median_low(holds) if holds else None

    @property
    def rate(self) -> float:
        """Return the requests a second that the slots can run; 0.0 if unknown.

        A slow server that health may not eject, because of the floor, counts by what
        it gets done and not by its slots.
        """
        typical = self.typical_hold
        if typical is None:
            return 0.0
        return sum(1.0 / self.holds.get(id_, typical) for id_ in self._slot_servers())

    @property
    def used(self) -> int:
        """Return the slots in use."""
        own = sum(s.used for s in self.servers.values())
        return own + sum(1 for loan in self.borrowed.values() if loan.busy)

    def measure(self, server: ServerId, seconds: float) -> None:
        """Average the length of a lease for one request."""
        seconds = max(seconds, _LEAST_HOLD_SECONDS)
        last = self.holds.get(server, seconds)
        self.holds[server] = last + _HOLD_SMOOTHING * (seconds - last)

    def restrict(self, part: Part, until: float) -> None:
        """Use a part of the slots for a time."""
        self.part, self.part_until = part, until

    def part_at(self, now: float) -> Part:
        """Return the part of the slots to use now."""
        return self.part if now < self.part_until else Part.ALL

    def free(self, now: float) -> int:
        """Return the own slots that may be leased now."""
        part = self.part_at(now)
        servers = self.servers.values()
        return sum(max(0, s.free(part)) for s in servers if not s.trial)

    def open(self, now: float) -> "OpenServers":
        """Return the servers with a slot that may be leased now."""
        part = self.part_at(now)
        usual: list[ServerId] = []
        trial: list[ServerId] = []
        for server in self.servers.values():
            if now < server.full_until or server.free(part) <= 0:
                continue
            if not server.trial:
                usual.append(server.id)
            elif now - server.trial_at >= TRIAL_SECONDS:
                trial.append(server.id)
        loans = self.borrowed.values()
        usual.extend(loan.server for loan in loans if loan.is_open(now))
        return OpenServers(usual, trial)

    def update(self, own: Mapping[ServerId, Candidate]) -> None:
        """Take over the servers that may get new work."""
        for server in self.servers.values():
            if server.id not in own:
                server.slots = 0
        for id_, candidate in own.items():
            server = self.servers.setdefault(id_, PoolServer(id_))
            server.trial = candidate.trial
            slots = int(candidate.upstream.slots * candidate.share)
            server.slots = 1 if candidate.trial else max(1, slots)
        gone = [s.id for s in self.servers.values() if not s.slots and not s.used]
        for id_ in gone:
            del self.servers[id_]
            self.holds.pop(id_, None)

    def find(
        self,
        exclude: Collection[ServerId],
        idempotent: bool,
        allowed: Collection[ServerId] | None,
        now: float,
        rng: Random,
    ) -> PoolServer | Borrowed | None:
        """Return a server or loan with a free slot, the least used server first."""
        part = self.part_at(now)
        best: PoolServer | None = None
        best_key = (0.0, 0.0)
        for server in self.servers.values():
            free = server.free(part)
            if free <= 0 or server.id in exclude or now < server.full_until:
                continue
            if allowed is not None and server.id not in allowed:
                continue
            if server.trial:
                if idempotent and now - server.trial_at >= TRIAL_SECONDS:
                    return server
                continue
            key = (free / server.slots, rng.random())
            if key > best_key:
                best, best_key = server, key
        return best or self._find_loan(exclude, allowed, now)

    def _find_loan(
        self,
        exclude: Collection[ServerId],
        allowed: Collection[ServerId] | None,
        now: float,
    ) -> Borrowed | None:
        for loan in self.borrowed.values():
            if allowed is not None and loan.server not in allowed:
                continue
            if loan.is_open(now) and loan.server not in exclude:
                return loan
        return None

    def _slot_servers(self) -> Iterator[ServerId]:
        """Return the server of each slot, borrowed ones included."""
        for server in self.servers.values():
            yield from repeat(server.id, server.slots)
        for loan in self.borrowed.values():
            yield loan.server
