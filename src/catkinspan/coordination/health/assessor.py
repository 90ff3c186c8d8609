"""The assessor of one service for one data centre."""

from collections.abc import Collection

from attrs import Factory, define

from catkinspan.coordination.health.const import (
    AVOID_SECONDS,
    DIGEST_SECONDS,
    JUDGE_SECONDS,
    MAX_AVOID_SECONDS,
    MAX_EVIDENCE_ENTRIES,
    PATH_CONFIRM_SECONDS,
    PATH_THRESHOLD_SHARE,
)
from catkinspan.coordination.health.models import (
    HealthDigest,
    HostEvidence,
    Phase,
    PooledEvidence,
    Signal,
    Verdict,
)
from catkinspan.coordination.health.pool import Judgement, Pool
from catkinspan.state.ids import DataCentre, HostId, ServerId, ServiceId


@define
class _BadPath:
    """A server that the data centre reaches badly."""

    since: float
    avoided_until: float | None = None
    level: int = 0
    judgement: Judgement | None = None


@define
class Assessor:
    """Pools the digests of the hosts of a data centre.

    It passes the evidence on to the arbiters, and tells its hosts to avoid a server
    that only this data centre reaches badly.
    """

    service: ServiceId
    data_centre: DataCentre
    pool: Pool
    _pending: dict[tuple[ServerId, Signal, HostId], float] = Factory(dict)
    _trials: dict[ServerId, int] = Factory(dict)
    _paths: dict[ServerId, _BadPath] = Factory(dict)
    _next_evidence: float = 0.0
    _next_judgement: float = 0.0

    @property
    def has_paths(self) -> bool:
        """Return whether bad paths are known or being confirmed."""
        return bool(self._paths)

    def take_digest(self, digest: HealthDigest, host: HostId, now: float) -> None:
        """Add a host's evidence."""
        if digest.entries:
            self._next_judgement = now
        for entry in digest.entries:
            key = (entry.server, entry.signal, host)
            self._pending[key] = self._pending.get(key, 0.0) + entry.count
            self.pool.add(
                entry.server, entry.signal, host, self.data_centre, entry.count, now
            )
        for server, count in digest.trials.items():
            self._trials[server] = self._trials.get(server, 0) + count

    def evidence(self, now: float) -> PooledEvidence | None:
        """Return what the arbiters do not know yet, when it is due."""
        if not (self._pending or self._trials) or now < self._next_evidence:
            return None
        self._next_evidence = now + DIGEST_SECONDS
        keys = list(self._pending)[:MAX_EVIDENCE_ENTRIES]
        entries = tuple(HostEvidence(*key, self._pending.pop(key)) for key in keys)
        trials, self._trials = self._trials, {}
        rate = self.pool.rate
        return PooledEvidence(self.service, self.data_centre, rate, entries, trials)

    def bad_paths(self, ejected: frozenset[ServerId], now: float) -> list[Verdict]:
        """Return verdicts on servers that this data centre alone reaches badly.

        The `valid_until` of each is on the own clock.
        """
        if now < self._next_judgement:
            return []
        self._next_judgement = now + JUDGE_SECONDS
        self.pool.advance(now)
        faulty = {
            server: judgement
            for server in self.pool.outliers
            if server not in ejected and (judgement := self.pool.judge(server)).faulty
        }
        verdicts = []
        for server, judgement in faulty.items():
            path = self._paths.setdefault(server, _BadPath(now))
            path.judgement = judgement
            if path.avoided_until is None and now - path.since < PATH_CONFIRM_SECONDS:
                continue
            if path.avoided_until is None or now >= path.avoided_until:
                verdicts.append(self._avoid(server, path, judgement, now))
        self._forget_settled(faulty.keys(), now)
        return verdicts

    def _avoid(
        self, server: ServerId, path: _BadPath, judgement: Judgement, now: float
    ) -> Verdict:
        hold = min(MAX_AVOID_SECONDS, AVOID_SECONDS * 2.0**path.level)
        path.level += 1
        path.avoided_until = now + hold
        self.pool.forget(server)
        return Verdict(
            self.service,
            server,
            Phase.AVOIDED,
            now + hold,
            reason=judgement.reason,
            level=path.level,
            data_centres=judgement.data_centres,
        )

    def _forget_settled(self, faulty: Collection[ServerId], now: float) -> None:
        for server, path in list(self._paths.items()):
            until = path.avoided_until
            is_unconfirmed = until is None and server not in faulty
            is_old = until is not None and now > until + 2.0 * MAX_AVOID_SECONDS
            if is_unconfirmed or is_old:
                del self._paths[server]


def path_threshold(threshold: float) -> float:
    """Return the score at which a data centre avoids a server."""
    return threshold * PATH_THRESHOLD_SHARE
