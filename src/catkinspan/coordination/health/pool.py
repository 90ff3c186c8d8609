"""Pooled evidence about the servers of one service."""

from collections.abc import Mapping, Sequence
from math import exp, log
from statistics import median

from attrs import Factory, define, frozen

from catkinspan.coordination.health.const import (
    BAD_PATH_SECONDS,
    HOME_QUIET_ATTEMPTS,
    PEER_RATE_SECONDS,
    PEER_SCORE_FACTOR,
    QUIET_ATTEMPTS,
    SCORE_CAP,
)
from catkinspan.coordination.health.models import Signal
from catkinspan.coordination.health.profiles import WEIGHTS
from catkinspan.state.ids import DataCentre, HostId, ServerId

PROBE_SHARE = 0.5
"""Largest part of the threshold that failing health endpoints may make up."""

MIN_REST_SHARE = 0.5
"""Part of the threshold that must remain without the most affected host, and without
the most affected data centre."""

MIN_HOSTS = 3
"""Hosts with evidence, unless the server is quiet."""

SKEWED_SHARE = 0.7
"""Part of the score above which one data centre dominates it, as a bad path does."""

SKEWED_REST_SHARE = 0.75
HOST_SHARE = 1.5
HOST_EVENTS = 1.2
"""Events that one host adds to a score at most, so that one host never decides."""

MAX_HEALTHY_RATE = 0.5
SHARED_EVENTS = 1.0
"""Recent events at the median server from which a signal counts as shared."""


@define
class Score:
    """Cumulative sum of one signal about one server (Page, 1954).

    Each event adds a log likelihood ratio, split by host. The successes in between,
    which hosts do not report, are taken off by the expected rate of attempts.
    """

    by_host: dict[HostId, float] = Factory(dict)
    recent: float = 0.0
    """Events, decayed with `PEER_RATE_SECONDS`."""

    updated: float = 0.0

    @property
    def value(self) -> float:
        """Return the sum over hosts."""
        return sum(self.by_host.values())

    def advance(self, now: float, drain: float) -> None:
        """Take off `drain` a second, from all hosts in proportion."""
        elapsed = now - self.updated
        if elapsed <= 0.0:
            return
        self.updated = now
        self.recent *= exp(-elapsed / PEER_RATE_SECONDS)
        value = self.value
        rest = value - drain * elapsed
        if rest <= 0.0:
            self.by_host.clear()
            return
        factor = rest / value
        for host in self.by_host:
            self.by_host[host] *= factor

    def add(self, host: HostId, amount: float, host_cap: float, cap: float) -> None:
        """Add evidence of a host, up to its own bound and the whole one."""
        before = self.by_host.get(host, 0.0)
        room = max(0.0, cap - self.value)
        self.by_host[host] = before + min(amount, room, max(0.0, host_cap - before))


_NO_SCORE = Score()


@frozen
class Judgement:
    """What the pooled evidence says about one server."""

    score: float
    """Relative to the profile's threshold."""

    faulty: bool
    """Whether the evidence suffices and does not come from one place only."""

    reason: str = ""
    hosts: tuple[HostId, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()


HEALTHY = Judgement(0.0, False)


class Pool:
    """Scores of the servers of one service, compared with one another."""

    def __init__(self, threshold: float) -> None:
        self.threshold = threshold
        self.rate = 0.0
        """Attempts per second at an average server, over the hosts that report."""

        self.hosts = 1
        self.data_centres = 1
        """Data centres with hosts that use the service."""

        self._servers: tuple[ServerId, ...] = ()
        self._homes: dict[ServerId, DataCentre] = {}
        self._scores: dict[ServerId, dict[Signal, Score]] = {}
        self._places: dict[HostId, DataCentre] = {}
        self._bad_paths: dict[tuple[ServerId, DataCentre], float] = {}

    @property
    def suspects(self) -> Sequence[ServerId]:
        """Return the servers with evidence against them."""
        return tuple(self._scores)

    @property
    def outliers(self) -> Sequence[ServerId]:
        """Return the servers whose evidence may suffice, before any comparison."""
        least = self.threshold
        return tuple(
            server
            for server, scores in self._scores.items()
            if sum(score.value for score in scores.values()) >= least
        )

    def set_servers(self, servers: Mapping[ServerId, DataCentre]) -> None:
        """Compare these servers from now on; the values are where they are."""
        self._servers = tuple(servers)
        self._homes = dict(servers)
        gone = self._scores.keys() - set(self._servers)
        for server in gone:
            del self._scores[server]

    def forget(self, server: ServerId) -> None:
        """Drop the evidence about a server."""
        self._scores.pop(server, None)

    def note_bad_path(
        self, server: ServerId, data_centre: DataCentre, now: float
    ) -> None:
        """Leave out what a data centre says from now on of a server.

        Its hosts avoid the server then, so their evidence fades and would no longer
        stand out next to that of a second bad path. What was said before stays, since
        the server may be faulty for all and its slots held by this data centre.
        """
        self._bad_paths[server, data_centre] = now + BAD_PATH_SECONDS

    def add(
        self,
        server: ServerId,
        signal: Signal,
        host: HostId,
        data_centre: DataCentre,
        count: float,
        now: float,
    ) -> None:
        """Add events that a host saw."""
        if server not in self._servers:
            return
        if now < self._bad_paths.get((server, data_centre), 0.0):
            return
        self._places[host] = data_centre
        scores = self._scores.setdefault(server, {})
        score = scores.get(signal)
        if score is None:
            score = scores[signal] = Score(updated=now)
        gain, drain = self._weights(signal)
        score.advance(now, drain * self.rate)
        score.recent += count
        cap = SCORE_CAP * self._needed(signal)
        score.add(host, gain * count, self._host_cap(signal, gain, cap), cap)

    def _host_cap(self, signal: Signal, gain: float, cap: float) -> float:
        """Return how much one host may add to a score."""
        if signal is Signal.ERROR:
            # The server itself said it, so one host that uses the server suffices.
            return cap
        return max(HOST_EVENTS * gain, self._needed(signal) * HOST_SHARE / self.hosts)

    def advance(self, now: float) -> None:
        """Account for the time since the last evidence and drop what is settled."""
        present = {signal for scores in self._scores.values() for signal in scores}
        weights = {signal: self._weights(signal) for signal in present}
        for path in [path for path, until in self._bad_paths.items() if now >= until]:
            del self._bad_paths[path]
        for server in list(self._scores):
            scores = self._scores[server]
            for signal, score in list(scores.items()):
                score.advance(now, weights[signal][1] * self.rate)
                if not score.by_host and score.recent < 0.01:
                    del scores[signal]
            if not scores:
                del self._scores[server]

    def judge(self, server: ServerId, quiet_attempts: float = 0.0) -> Judgement:
        """Compare a server with the others of the service.

        `quiet_attempts` are the attempts expected since the hosts were asked for
        successes of the server and reported none.
        """
        scores = self._scores.get(server)
        if scores is None:
            return HEALTHY
        excess = {signal: self._excess(server, signal) for signal in scores}
        shed = excess.pop(Signal.SHED, 0.0)
        shares = self._shares(scores, excess)
        if shed >= self._needed(Signal.SHED):
            shares = dict(scores[Signal.SHED].by_host)
        total = sum(shares.values())
        if total <= 0.0:
            return HEALTHY
        reason = max(scores, key=lambda signal: scores[signal].value)
        answered = excess.get(Signal.ERROR, 0.0) >= self.threshold
        return Judgement(
            total / self.threshold,
            answered
            or (
                total >= self.threshold
                and self._is_spread(server, shares, total, quiet_attempts)
            ),
            reason.value,
            tuple(sorted(shares, key=lambda host: -shares[host])),
            tuple(sorted({self._places[host] for host in shares})),
        )

    def counts(self, server: ServerId) -> dict[Signal, float]:
        """Return the recent events about a server by signal."""
        scores = self._scores.get(server, {})
        return {signal: round(score.recent, 2) for signal, score in scores.items()}

    def _needed(self, signal: Signal) -> float:
        return self.threshold * WEIGHTS[signal].threshold

    def _weights(self, signal: Signal) -> tuple[float, float]:
        """Return what an event adds and what each attempt takes off.

        The rate counts an attempt with an event as well, so the event also gives back
        what its attempt takes off.
        """
        weight = WEIGHTS[signal]
        usual = 2.0 * self._peer_rate(signal)
        healthy = min(max(weight.healthy, usual), MAX_HEALTHY_RATE)
        faulty = max(weight.faulty, min(0.95, 2.5 * healthy))
        drain = log((1.0 - healthy) / (1.0 - faulty))
        return log(faulty / healthy) + drain, drain

    def _peer_rate(self, signal: Signal) -> float:
        """Return the median server's share of attempts with the signal."""
        if len(self._scores) * 2 < len(self._servers) or not self.rate:
            return 0.0
        recent = [
            scores[signal].recent if signal in scores else 0.0
            for server in self._servers
            for scores in (self._scores.get(server, {}),)
        ]
        return median(recent) / (PEER_RATE_SECONDS * self.rate)

    def _excess(self, server: ServerId, signal: Signal) -> float:
        """Return by how much a score exceeds that of the other servers."""
        own = self._scores[server][signal]
        if len(self._scores) * 2 < len(self._servers):
            return own.value
        others = [
            self._scores.get(other, {}).get(signal, _NO_SCORE)
            for other in self._servers
            if other != server
        ]
        if not others or self._is_shared(own, others):
            return 0.0
        usual = median(score.value for score in others)
        return max(0.0, own.value - PEER_SCORE_FACTOR * usual)

    def _is_shared(self, own: Score, others: Sequence[Score]) -> bool:
        """Return whether the events fit what the other servers see as well.

        When load slows all servers at once, scores rise on all of them and differ by
        chance. The events are then compared by their Poisson likelihood ratio.
        """
        usual = median(score.recent for score in others)
        if usual < SHARED_EVENTS:
            return False
        if own.recent <= usual:
            return True
        ratio = own.recent * log(own.recent / usual) - (own.recent - usual)
        return ratio < self.threshold

    def _shares(
        self, scores: dict[Signal, Score], excess: dict[Signal, float]
    ) -> dict[HostId, float]:
        """Return each host's part of the score."""
        shares: dict[HostId, float] = {}
        limit = self.threshold * PROBE_SHARE
        for signal, amount in excess.items():
            value = scores[signal].value
            if value <= 0.0:
                continue
            used = min(amount, limit) if signal is Signal.PROBE else amount
            for host, part in scores[signal].by_host.items():
                if part > 0.0 and used > 0.0:
                    shares[host] = shares.get(host, 0.0) + part * used / value
        return shares

    def _is_spread(
        self,
        server: ServerId,
        shares: dict[HostId, float],
        total: float,
        quiet_attempts: float,
    ) -> bool:
        """Return whether the evidence stands without its most affected place.

        Evidence of one host or one data centre means a bad path. The server's own
        data centre is an exception when no other host has a success with the server:
        no path between data centres lies in between, and slots keep most of the
        server's requests there.
        """
        is_quiet = quiet_attempts >= QUIET_ATTEMPTS
        needed = min(total, self.threshold) * MIN_REST_SHARE
        if self.hosts > 1 and total - max(shares.values()) < needed:
            return False
        # One cut host and one unlucky request elsewhere must not eject a server that
        # still serves others.
        if not is_quiet and len(shares) < min(MIN_HOSTS, self.hosts):
            return False
        if self.data_centres < 2:
            return True
        by_place: dict[DataCentre, float] = {}
        for host, part in shares.items():
            place = self._places[host]
            by_place[place] = by_place.get(place, 0.0) + part
        place = max(by_place, key=lambda name: by_place[name])
        is_home = place == self._homes.get(server)
        if is_home and quiet_attempts >= HOME_QUIET_ATTEMPTS:
            return True
        rest = total - by_place[place]
        if is_quiet:
            # The slots may all be held by one data centre, which leaves the others
            # without evidence of either kind.
            return rest >= needed
        is_skewed = by_place[place] > SKEWED_SHARE * total
        if is_skewed:
            needed = self.threshold * SKEWED_REST_SHARE
        # One attempt can leave both slow and stalled evidence, so next to a bad path
        # a single unlucky request, or a second cut host, must not suffice.
        elsewhere = sum(1 for host in shares if self._places[host] != place)
        if (is_skewed or (server, place) in self._bad_paths) and elsewhere < 2:
            return False
        return rest >= needed
