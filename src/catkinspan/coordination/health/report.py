"""The health of a service as operators read it."""

from collections.abc import Mapping

from attrs import frozen

from catkinspan.coordination.health.models import (
    Phase,
    ServerReport,
    ServerState,
    ServiceReport,
    Signal,
)
from catkinspan.coordination.health.pool import Judgement
from catkinspan.coordination.health.standing import ServiceStanding, Standing
from catkinspan.state.ids import HostId, ServerId
from catkinspan.state.tree import Upstream

SUSPECT_SCORE = 0.5
"""Part of the ejection threshold from which a server is reported as suspect."""

_STATES = {
    Phase.EJECTED: ServerState.EJECTED,
    Phase.TRIAL: ServerState.TRIAL,
    Phase.SLOW_START: ServerState.SLOW_START,
}


@frozen
class PooledView:
    """What a host that assesses a service knows from the pooled evidence."""

    judgements: Mapping[ServerId, Judgement]
    counts: Mapping[ServerId, Mapping[Signal, float]]
    held: frozenset[ServerId] = frozenset()
    """Servers whose ejection the floor prevented."""


NOTHING_POOLED = PooledView({}, {})


def report_service(
    held: ServiceStanding,
    pooled: PooledView,
    assessor: HostId | None,
    assessor_heard: float | None,
    now: float,
) -> ServiceReport:
    """Return the report of a service from what this host holds."""
    standing = held.standing(now)
    shares = {c.upstream.id: c.share for c in standing.candidates}
    servers = tuple(
        _report_server(upstream, held, standing, pooled, shares, now)
        for upstream in held.service.upstreams
    )
    return ServiceReport(
        held.service.id,
        servers,
        standing.published,
        standing.floor,
        standing.unavailable,
        assessor,
        assessor_heard,
        now,
    )


def _report_server(
    upstream: Upstream,
    held: ServiceStanding,
    standing: Standing,
    pooled: PooledView,
    shares: Mapping[ServerId, float],
    now: float,
) -> ServerReport:
    server = upstream.id
    state, since = _state(upstream, held, standing, pooled)
    ejection = held.ejections.get(server) or held.avoids.get(server)
    evidence = pooled.counts.get(server, {})
    judgement = pooled.judgements.get(server)
    if ejection is not None:
        verdict = ejection.verdict
        hold = ejection.received_at + verdict.hold_left
        return ServerReport(
            server,
            state,
            since,
            verdict.reason,
            evidence,
            verdict.hosts,
            verdict.data_centres,
            hold if verdict.phase is Phase.EJECTED else None,
            shares.get(server, 0.0),
        )
    reason = judgement.reason if judgement else ""
    hosts = judgement.hosts if judgement else ()
    places = judgement.data_centres if judgement else ()
    own = held.own_avoids.get(server)
    if state is ServerState.AVOIDED and own is not None:
        reason = reason or "attempts of this host"
    return ServerReport(
        server,
        state,
        since,
        reason,
        evidence,
        hosts,
        places,
        own.until if own and state is ServerState.AVOIDED else None,
        shares.get(server, 0.0),
    )


def _state(
    upstream: Upstream,
    held: ServiceStanding,
    standing: Standing,
    pooled: PooledView,
) -> tuple[ServerState, float | None]:
    server = upstream.id
    ejection = held.ejections.get(server)
    if upstream.leaving:
        return ServerState.LEAVING, None
    if server in standing.draining:
        return ServerState.DRAINING, None
    if ejection is not None and server in standing.ejected:
        return _STATES[ejection.verdict.phase], ejection.since
    if server in standing.kept or server in pooled.held:
        return ServerState.KEPT_BY_FLOOR, ejection.since if ejection else None
    if server in standing.cold:
        return ServerState.COLD, held.cold[server]
    if server in standing.avoided:
        own = held.own_avoids.get(server)
        path = held.avoids.get(server)
        begun = path or own
        return ServerState.AVOIDED, begun.since if begun else None
    judgement = pooled.judgements.get(server)
    if judgement is not None and judgement.score >= SUSPECT_SCORE:
        return ServerState.SUSPECT, None
    return ServerState.HEALTHY, None
