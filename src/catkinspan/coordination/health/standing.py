"""What one host currently holds about the servers of a service."""

from random import Random

from attrs import Factory, define, frozen

from catkinspan.coordination.health.const import (
    AVOID_SECONDS,
    COLD_SECONDS,
    DRAIN_SECONDS,
    MAX_AVOID_SECONDS,
    PERMIT_SECONDS,
    SLOW_START_SECONDS,
    SLOW_START_SHARE,
    TRIALS_PER_SECOND,
)
from catkinspan.coordination.health.models import Phase, Verdict
from catkinspan.coordination.health.profiles import floor_of
from catkinspan.coordination.outcomes import Candidate
from catkinspan.state.ids import ServerId
from catkinspan.state.tree import Service, Upstream

CACHE_SECONDS = 0.25
"""Life of a cached answer while a server is returning or cold."""


@define
class HeldVerdict:
    """A verdict with the time it was received, on the own clock."""

    verdict: Verdict
    received_at: float

    @property
    def since(self) -> float:
        """Return when the phase began."""
        return self.received_at - self.verdict.age

    def is_valid(self, now: float) -> bool:
        """Return whether the verdict has not expired."""
        return now < self.verdict.valid_until


@define
class OwnAvoidance:
    """A server that this host's own attempts reach badly."""

    since: float
    until: float
    level: int = 1


@frozen
class Standing:
    """How the servers of a service stand with this host at one instant."""

    candidates: tuple[Candidate, ...]
    ejected: frozenset[ServerId]
    """Ejected and returning servers that the floor lets this host leave out."""

    kept: frozenset[ServerId]
    """Ejected servers that stay in use, since others became unavailable."""

    draining: frozenset[ServerId]
    cold: frozenset[ServerId]
    avoided: frozenset[ServerId]
    published: int
    floor: int

    @property
    def unavailable(self) -> int:
        """Return the published servers that do not count as available."""
        out = self.ejected | self.draining | self.cold | self.avoided
        return len(out)


@define
class ServiceStanding:
    """Verdicts, drains, cold starts and avoidance of one service on one host.

    The floor holds on each host by itself: draining and cold servers are counted
    first, then ejections in the order of their slots, then the host's own avoidance,
    each only as far as the floor allows.
    """

    service: Service
    ejections: dict[ServerId, HeldVerdict] = Factory(dict)
    avoids: dict[ServerId, HeldVerdict] = Factory(dict)
    own_avoids: dict[ServerId, OwnAvoidance] = Factory(dict)
    drains: dict[ServerId, float] = Factory(dict)
    cold: dict[ServerId, float] = Factory(dict)
    """When each cold server was first seen."""

    next_trial: dict[ServerId, float] = Factory(dict)
    _plain: dict[ServerId, Candidate] = Factory(dict)
    """Candidates of servers that are simply in use, kept for speed."""

    _cached: Standing | None = None
    _cached_until: float = 0.0

    @property
    def is_plain(self) -> bool:
        """Return whether all servers are simply in use."""
        return not (
            self.ejections or self.avoids or self.own_avoids or self.drains or self.cold
        )

    def invalidate(self) -> None:
        """Compute the standing anew on the next call."""
        self._cached = None

    def apply(self, service: Service, now: float) -> set[ServerId]:
        """Take over changed settings and return the servers that are gone.

        Servers that are new start cold.
        """
        known = {upstream.id for upstream in self.service.upstreams}
        ids = {upstream.id for upstream in service.upstreams}
        for server in ids - known:
            self.cold[server] = now
        for held in (self.ejections, self.avoids, self.own_avoids):
            for server in held.keys() - ids:
                del held[server]
        for times in (self.drains, self.cold, self.next_trial):
            for server in times.keys() - ids:
                del times[server]
        self.service = service
        self._plain.clear()
        self.invalidate()
        return known - ids

    def take_verdict(
        self, verdict: Verdict, hosts: int, rng: Random, now: float
    ) -> None:
        """Hold a verdict until it expires or is replaced."""
        server = verdict.server
        self.invalidate()
        if verdict.phase is Phase.RETURNED:
            self.ejections.pop(server, None)
            return
        latest = now + PERMIT_SECONDS
        if verdict.phase is Phase.AVOIDED:
            latest = now + MAX_AVOID_SECONDS
        if verdict.valid_until > latest or verdict.valid_until <= now:
            return
        held = HeldVerdict(verdict, now)
        if verdict.phase is Phase.AVOIDED:
            self.avoids[server] = held
            return
        before = self.ejections.get(server)
        self.ejections[server] = held
        began = before is None or before.verdict.phase is not Phase.TRIAL
        if verdict.phase is Phase.TRIAL and began:
            self.next_trial[server] = now + rng.random() * hosts / TRIALS_PER_SECOND

    def count_attempt(
        self, server: ServerId, hosts: int, rng: Random, now: float
    ) -> None:
        """Space the trial requests of this host to a returning server."""
        held = self.ejections.get(server)
        if held is None or held.verdict.phase is not Phase.TRIAL:
            return
        wait = (0.5 + rng.random()) * hosts / TRIALS_PER_SECOND
        self.next_trial[server] = now + wait
        self.invalidate()

    def avoid(self, server: ServerId, now: float) -> bool:
        """Avoid a server for the host's own evidence; True if that is new."""
        self.invalidate()
        before = self.own_avoids.get(server)
        if before is not None and now < before.until:
            return False
        level = 1 if before is None else before.level + 1
        hold = min(MAX_AVOID_SECONDS, AVOID_SECONDS * 2.0 ** (level - 1))
        since = now if before is None else before.since
        self.own_avoids[server] = OwnAvoidance(since, now + hold, level)
        return before is None

    def drain(self, server: ServerId, now: float) -> bool:
        """Give a server no new work; True if the signal is new."""
        is_new = now >= self.drains.get(server, float("-inf"))
        self.drains[server] = now + DRAIN_SECONDS
        self.invalidate()
        return is_new

    def expire(self, now: float) -> list[ServerId]:
        """Drop what has expired and return the servers whose avoidance ended."""
        for held in (self.ejections, self.avoids):
            for server in [s for s, h in held.items() if not h.is_valid(now)]:
                del held[server]
                self.invalidate()
        for server in [s for s, until in self.drains.items() if now >= until]:
            del self.drains[server]
            self.cold[server] = now
            self.invalidate()
        for server in [s for s, at in self.cold.items() if now >= at + COLD_SECONDS]:
            del self.cold[server]
            self.invalidate()
        ended = [s for s, own in self.own_avoids.items() if now >= own.until]
        for server in [
            s
            for s, own in self.own_avoids.items()
            if now >= own.until + 2.0 * MAX_AVOID_SECONDS
        ]:
            del self.own_avoids[server]
        return ended

    def standing(self, now: float) -> Standing:
        """Return how the servers stand, from the cache where possible."""
        if self._cached is not None and now < self._cached_until:
            return self._cached
        standing = self._compute(now)
        self._cached = standing
        self._cached_until = float("inf")
        if not self.is_plain:
            self._cached_until = self._next_change(now)
        return standing

    def _next_change(self, now: float) -> float:
        """Return until when a standing may be kept; no verdict may outlive its end."""
        verdicts = [*self.ejections.values(), *self.avoids.values()]
        ends = [held.verdict.valid_until for held in verdicts]
        ends += [own.until for own in self.own_avoids.values()]
        ends += self.drains.values()
        moving = self.cold or any(
            held.verdict.phase in (Phase.TRIAL, Phase.SLOW_START)
            for held in self.ejections.values()
        )
        if moving:
            ends.append(now + CACHE_SECONDS)
        return min((end for end in ends if end > now), default=now + CACHE_SECONDS)

    def allowed_slots(self, promised: frozenset[ServerId], now: float) -> int:
        """Return how many ejection slots the floor leaves, as this host knows.

        Draining and cold servers that hold no promise take slots away.
        """
        standing = self.standing(now)
        out = (standing.draining | standing.cold) - promised
        return max(0, standing.published - standing.floor - len(out))

    def _compute(self, now: float) -> Standing:
        published = [u for u in self.service.upstreams if not u.leaving]
        floor = floor_of(len(published), self.service.policy.healthy_floor)
        ids = {upstream.id for upstream in published}
        draining = frozenset(s for s, until in self.drains.items() if now < until) & ids
        cold = frozenset(self.cold) & ids - draining
        room = len(published) - floor - len(draining | cold)
        ejected, kept = self._ejected(ids - draining, cold, room, now)
        room -= len(ejected - cold)
        avoided = self._avoided(ids - draining - cold - ejected, room, now)
        candidates = tuple(
            candidate
            for upstream in published
            if upstream.id not in draining
            if (candidate := self._candidate(upstream, ejected, avoided, now))
        )
        return Standing(
            candidates,
            ejected,
            kept,
            draining,
            cold,
            avoided,
            len(published),
            floor,
        )

    def _ejected(
        self, ids: set[ServerId], cold: frozenset[ServerId], room: int, now: float
    ) -> tuple[frozenset[ServerId], frozenset[ServerId]]:
        """Return the ejected servers that the floor leaves out, and the others."""
        valid = [
            (held.verdict.slot, server)
            for server, held in self.ejections.items()
            if server in ids and held.is_valid(now)
        ]
        ejected, kept = set(), set()
        for _, server in sorted(valid):
            if server in cold:
                ejected.add(server)
            elif room > 0:
                ejected.add(server)
                room -= 1
            else:
                kept.add(server)
        return frozenset(ejected), frozenset(kept)

    def _avoided(
        self, ids: set[ServerId], room: int, now: float
    ) -> frozenset[ServerId]:
        wanted = {s for s, own in self.own_avoids.items() if now < own.until}
        wanted |= {s for s, held in self.avoids.items() if held.is_valid(now)}
        return frozenset(sorted(wanted & ids)[: max(0, room)])

    def _candidate(
        self,
        upstream: Upstream,
        ejected: frozenset[ServerId],
        avoided: frozenset[ServerId],
        now: float,
    ) -> Candidate | None:
        server = upstream.id
        if server not in ejected:
            if server in self.cold or server in avoided:
                share = self._cold_share(server, now)
                return Candidate(upstream, share, avoided=server in avoided)
            if server not in self._plain:
                self._plain[server] = Candidate(upstream)
            return self._plain[server]
        held = self.ejections[server]
        phase = held.verdict.phase
        if phase is Phase.SLOW_START:
            return Candidate(upstream, _ramp(now - held.since))
        if phase is Phase.TRIAL and now >= self.next_trial.get(server, 0.0):
            return Candidate(upstream, SLOW_START_SHARE, trial=True)
        return None

    def _cold_share(self, server: ServerId, now: float) -> float:
        since = self.cold.get(server)
        return 1.0 if since is None else _ramp(now - since)


def _ramp(age: float) -> float:
    """Return the share of a server's slots during slow start."""
    part = min(1.0, max(0.0, age / SLOW_START_SECONDS))
    return SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * part
