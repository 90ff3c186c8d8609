"""The questions of a new host to its peers before it serves."""

from collections.abc import Sequence
from random import Random

from catkinspan.coordination.configuration.const import (
    QUERY_TIMEOUT_SECONDS,
    STARTUP_MAX_ASKED,
    STARTUP_PEERS,
    STARTUP_WAIT_SECONDS,
)
from catkinspan.coordination.configuration.models import RevisionReply
from catkinspan.state.ids import NO_REVISION, HostId, Revision


class StartupInquiry:
    """Learns the highest revision of several peers.

    Answers of hosts that are themselves starting do not count towards the number
    needed, since they may know only a stale replica; their revision counts still.
    """

    def __init__(self, rng: Random, nonce: int, started_at: float) -> None:
        self._rng = rng
        self.nonce = nonce
        self.started_at = started_at
        self._asked: dict[HostId, float] = {}
        self._answers: dict[HostId, RevisionReply] = {}

    @property
    def answered(self) -> int:
        """Return the number of peers that answered."""
        return len(self._answers)

    @property
    def asked(self) -> int:
        """Return the number of peers that were asked."""
        return len(self._asked)

    def due(self, peers: Sequence[HostId], now: float) -> list[HostId]:
        """Return the peers to ask now; asks again those that did not answer."""
        waiting = [
            host
            for host, at in self._asked.items()
            if host not in self._answers and now - at < QUERY_TIMEOUT_SECONDS
        ]
        count = self._needed(peers) - self._ready_answers() - len(waiting)
        if count <= 0:
            return []
        fresh = [host for host in peers if host not in self._asked]
        if not fresh or len(self._asked) >= STARTUP_MAX_ASKED:
            fresh = [
                host
                for host in self._asked
                if host not in self._answers and host not in waiting
            ]
        chosen = self._rng.sample(fresh, min(count, len(fresh)))
        for host in chosen:
            self._asked[host] = now
        return chosen

    def take_reply(self, host: HostId, reply: RevisionReply) -> None:
        """Record an answer to this inquiry."""
        if reply.nonce == self.nonce and host in self._asked:
            self._answers[host] = reply

    def target(self, peers: Sequence[HostId], now: float) -> Revision | None:
        """Return the revision to reach before serving, or None while undecided."""
        highest = max((a.revision for a in self._answers.values()), default=NO_REVISION)
        if now - self.started_at >= STARTUP_WAIT_SECONDS:
            return highest
        if peers and self._ready_answers() >= self._needed(peers):
            return highest
        if peers and len(self._answers) >= min(len(peers), STARTUP_MAX_ASKED):
            return highest
        return None

    def _needed(self, peers: Sequence[HostId]) -> int:
        return min(STARTUP_PEERS, len(peers))

    def _ready_answers(self) -> int:
        return sum(answer.ready for answer in self._answers.values())
