"""The slots that a dispatcher leases: those of its servers and borrowed ones."""

from collections.abc import Collection, Mapping
from random import Random

from attrs import define, field

from catkinspan.coordination.outcomes import Candidate
from catkinspan.coordination.slots.const import LOAN_MARGIN_SECONDS, TRIAL_SECONDS
from catkinspan.state.ids import HostId, ServerId


@define
class PoolServer:
    """A server whose slots the dispatcher leases."""

    id: ServerId
    slots: int = 0
    used: int = 0
    trial: bool = False
    trial_at: float = float("-inf")
    """Time of the last request to the server while on trial."""

    def free(self, careful: bool) -> int:
        """Return the slots that may be leased now."""
        slots = (self.slots + 1) // 2 if careful else self.slots
        return slots - self.used


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


@define
class SlotPool:
    """Counts the slots in use of each server."""

    servers: dict[ServerId, PoolServer] = field(factory=dict)
    borrowed: dict[tuple[HostId, int], Borrowed] = field(factory=dict)
    careful_until: float = 0.0

    @property
    def capacity(self) -> int:
        """Return all slots, borrowed ones included."""
        return sum(s.slots for s in self.servers.values()) + len(self.borrowed)

    @property
    def used(self) -> int:
        """Return the slots in use."""
        own = sum(s.used for s in self.servers.values())
        return own + sum(1 for loan in self.borrowed.values() if loan.busy)

    def free(self, now: float) -> int:
        """Return the own slots that may be leased now."""
        careful = now < self.careful_until
        servers = self.servers.values()
        return sum(max(0, s.free(careful)) for s in servers if not s.trial)

    def has_free(self, now: float) -> bool:
        """Return whether any slot may be leased, on trial servers too."""
        careful = now < self.careful_until
        if any(server.free(careful) > 0 for server in self.servers.values()):
            return True
        return any(not loan.busy and not loan.ended for loan in self.borrowed.values())

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

    def find(
        self,
        exclude: Collection[ServerId],
        idempotent: bool,
        allowed: Collection[ServerId] | None,
        now: float,
        rng: Random,
    ) -> PoolServer | Borrowed | None:
        """Return a server or loan with a free slot, the least used server first."""
        careful = now < self.careful_until
        best: PoolServer | None = None
        best_key = (0.0, 0.0)
        for server in self.servers.values():
            free = server.free(careful)
            if free <= 0 or server.id in exclude:
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
            usable = not loan.busy and not loan.ended and loan.server not in exclude
            if allowed is not None and loan.server not in allowed:
                continue
            if usable and loan.expires - now > LOAN_MARGIN_SECONDS:
                return loan
        return None
