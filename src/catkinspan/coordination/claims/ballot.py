"""The state of one claim at the host that seeks it."""

from enum import StrEnum

from attrs import define, field

from catkinspan.coordination.claims.const import MAX_HOLDER_SETS
from catkinspan.coordination.claims.errors import (
    AlreadyRan,
    AlreadyRunning,
    ClaimRefusal,
    KeyMisused,
    Undecided,
    UndecidedCause,
)
from catkinspan.coordination.claims.holders import HolderSet, majority
from catkinspan.coordination.claims.models import Answer, ClaimAnswer, ClaimKey
from catkinspan.state.ids import HostId, RequestId

_CAUSES = {
    Answer.LIST_DIFFERS: UndecidedCause.LIST_CHANGING,
    Answer.STARTED: UndecidedCause.HOLDERS_STARTED,
    Answer.FULL: UndecidedCause.HOLDERS_FULL,
}


class Phase(StrEnum):
    """Progress of a claim at its claimant."""

    PENDING = "pending"
    RUNNING = "running"
    ENDED = "ended"
    """The request ran or may have run."""

    RELEASED = "released"


@define(eq=False)
class Ballot:
    """A claim with the answers of its holders."""

    request_id: RequestId
    key: ClaimKey
    serial: int
    sets: tuple[HolderSet, ...]
    asked_at: float
    expires: float
    """End of the vote while pending; end of the record afterwards."""

    phase: Phase = Phase.PENDING
    renewed_at: float = 0.0
    """When the holders were asked whose promises cover the request."""

    next_step: float = 0.0
    """When to ask again, to renew, or to repeat a release."""

    repeats: int = 0
    promised: set[HostId] = field(factory=set)
    objections: dict[HostId, ClaimAnswer] = field(factory=dict)

    @property
    def holders(self) -> tuple[HostId, ...]:
        """Return the holders of all sets."""
        return tuple(dict.fromkeys(host for holders in self.sets for host in holders))

    @property
    def unanswered(self) -> list[HostId]:
        """Return the holders whose answer is missing."""
        answered = self.promised | self.objections.keys()
        return [host for host in self.holders if host not in answered]

    @property
    def is_won(self) -> bool:
        """Return whether a majority of each set promised the claim."""
        return all(
            sum(host in self.promised for host in holders) >= majority(holders)
            for holders in self.sets
        )

    @property
    def is_lost(self) -> bool:
        """Return whether a majority of some set can no longer be reached."""
        return any(
            sum(host not in self.objections for host in holders) < majority(holders)
            for holders in self.sets
        )

    def record(self, holder: HostId, answer: ClaimAnswer) -> bool:
        """Record an answer and return whether holders have to be asked again."""
        if answer.answer is Answer.PROMISED:
            self.objections.pop(holder, None)
            self.promised.add(holder)
            return False
        if holder in self.promised:
            return False
        if answer.answer is Answer.LIST_DIFFERS and answer.holder_sets:
            return self._merge(holder, answer)
        self.objections[holder] = answer
        return False

    def refusal(self) -> ClaimRefusal:
        """Return why the claim is refused."""
        answers = {answer.answer for answer in self.objections.values()}
        wait = self._wait_seconds()
        if Answer.MISUSED in answers:
            return KeyMisused(wait)
        if Answer.ENDED in answers:
            return AlreadyRan(wait)
        if Answer.RUNNING in answers:
            return AlreadyRunning(wait)
        if not self.is_lost:
            return Undecided(wait, UndecidedCause.UNREACHABLE)
        for answer, cause in _CAUSES.items():
            if answer in answers:
                return Undecided(wait, cause)
        return Undecided(wait, UndecidedCause.UNREACHABLE)

    def _merge(self, holder: HostId, answer: ClaimAnswer) -> bool:
        added = tuple(h for h in answer.holder_sets if h not in self.sets)
        if len(self.sets) + len(added) > MAX_HOLDER_SETS:
            self.objections[holder] = answer
            return False
        self.sets += added
        return bool(added)

    def _wait_seconds(self) -> float:
        """Return the time until enough objections have ended for a majority."""
        longest = 0.0
        for holders in self.sets:
            waits = sorted(
                self.objections[host].wait_ms / 1000 if host in self.objections else 0.0
                for host in holders
            )
            longest = max(longest, waits[majority(holders) - 1])
        return longest
