"""Health of upstream servers on one host."""

from collections.abc import Callable
from random import Random
from typing import Any, ClassVar

from attrs import evolve

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.health.arbiter import Arbiter, Output
from catkinspan.coordination.health.assessor import Assessor, path_threshold
from catkinspan.coordination.health.const import (
    DRAIN_RESEND_SECONDS,
    EXPIRY_SECONDS,
    RATE_CHANGE,
    RATE_CHECK_SECONDS,
    REPORT_SECONDS,
)
from catkinspan.coordination.health.links import Links, round_down
from catkinspan.coordination.health.models import (
    MESSAGES,
    BadPath,
    DrainNotice,
    HealthDigest,
    HostReport,
    PathAvoided,
    PermitRelease,
    PermitReply,
    PermitRequest,
    Phase,
    PooledEvidence,
    ReportAck,
    ServerDraining,
    ServiceReport,
    Signal,
    Verdict,
)
from catkinspan.coordination.health.observer import Observer
from catkinspan.coordination.health.permits import PermitVoter
from catkinspan.coordination.health.pool import Pool
from catkinspan.coordination.health.profiles import PROFILES, floor_of
from catkinspan.coordination.health.rates import RateTable
from catkinspan.coordination.health.report import (
    NOTHING_POOLED,
    PooledView,
    report_service,
)
from catkinspan.coordination.health.roles import RoleTable
from catkinspan.coordination.health.standing import ServiceStanding, Standing
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import (
    AttemptOutcome,
    AttemptStarted,
    Candidate,
    OutcomeKind,
)
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, ServerId, ServiceId
from catkinspan.state.tree import Service, SettingsTree


class HealthCoordinator(BaseConcern):
    """Observes servers, takes part in judging them, and holds the verdicts.

    Every host observes and holds verdicts. For some services it also is the assessor
    of its data centre, an arbiter over all data centres, or a voter on permits.

    Example::

        health = HealthCoordinator(host, data_centre, outbox, Random())
        health.apply_tree(tree, now)
        health.apply_view(view, now)
        health.record_start(started, now)
        health.record(outcome, now)
        candidates = health.available(service, now)
    """

    handles: ClassVar[tuple[type[PeerMessage], ...]] = MESSAGES

    def __init__(
        self, self_id: HostId, data_centre: DataCentre, outbox: Outbox, rng: Random
    ) -> None:
        self._self_id = self_id
        self._data_centre = data_centre
        self._outbox = outbox
        self._rng = rng
        self._links = Links(self_id, outbox)
        self._origin = Origin(self_id, 0)
        self._observer = Observer()
        self._voter = PermitVoter()
        self._roles = RoleTable(FleetView(self_id, data_centre))
        self._standings: dict[ServiceId, ServiceStanding] = {}
        self._unsettled: set[ServiceId] = set()
        """Services with servers that are not simply in use."""

        self._service_of: dict[ServerId, ServiceId] = {}
        self._assessors: dict[ServiceId, Assessor] = {}
        self._arbiters: dict[ServiceId, Arbiter] = {}
        self._rates = RateTable()
        self._reported: dict[tuple[HostId, bool], float] = {}
        """When each host was sent a report of either kind."""

        self._reported_rate = 0.0
        self._rates_checked_at = 0.0
        self._next_expiry = 0.0
        self._next_report = 0.0
        self._heard: dict[HostId, float] = {}
        self._notices: list[tuple[float, DrainNotice]] = []
        self._handlers: dict[type[PeerMessage], Callable[[Any, Origin, float], None]]
        self._handlers = {
            HealthDigest: self._take_digest,
            PooledEvidence: self._take_evidence,
            BadPath: self._take_bad_path,
            HostReport: self._take_report,
            ReportAck: self._take_ack,
            Verdict: self._take_verdict,
            PermitRequest: self._take_permit_request,
            PermitReply: self._take_permit_reply,
            PermitRelease: self._take_permit_release,
            DrainNotice: self._take_drain_notice,
        }

    def available(self, service: ServiceId, now: float) -> tuple[Candidate, ...]:
        """Return the servers of a service that may get new work.

        Servers that are leaving, draining or ejected are left out. A server that the
        host avoids is included with `avoided` set, as a last resort.
        """
        held = self._standings.get(service)
        return held.standing(now).candidates if held else ()

    def assessor_of(self, service: ServiceId) -> HostId | None:
        """Return the assessor of a service for the own data centre."""
        return self._roles.assessor(service)

    def standing(self, service: ServiceId, now: float) -> Standing | None:
        """Return which servers of a service this host leaves out, and why."""
        held = self._standings.get(service)
        return held.standing(now) if held else None

    def verdicts(self, service: ServiceId) -> tuple[Verdict, ...]:
        """Return the verdicts that this host holds on a service's servers."""
        held = self._standings.get(service)
        return tuple(h.verdict for h in held.ejections.values()) if held else ()

    def record_start(self, started: AttemptStarted, now: float) -> None:
        """Note an attempt that was just sent, to notice a hang before its timeout."""
        self._observer.start(started, now)
        held = self._standings.get(started.service)
        if held is not None and held.ejections:
            hosts = len(self._roles.view.usable)
            held.count_attempt(started.server, hosts, self._rng, now)

    def record(self, outcome: AttemptOutcome, now: float) -> None:
        """Take in the outcome of an attempt."""
        self._observer.finish(outcome, now)
        if outcome.server_draining or outcome.kind is OutcomeKind.DRAINING:
            self.record_drain(outcome.service, outcome.server, now)

    def record_probe(
        self, server: ServerId, ok: bool, latency: float, now: float
    ) -> None:
        """Take in the answer of a health endpoint.

        It can only speak against a server: a good answer of any latency is ignored.
        """
        service = self._service_of.get(server)
        if not ok and service is not None:
            self._observer.add(service, server, Signal.PROBE)

    def record_drain(self, service: ServiceId, server: ServerId, now: float) -> None:
        """Give a server that sent a drain signal no new work, and tell the peers."""
        if self._drain(service, server, now):
            notice = DrainNotice(service, server, forward=True)
            self._send_notice(notice)
            self._notices += [(now + wait, notice) for wait in DRAIN_RESEND_SECONDS]
            self._deliver_local(now)

    def report(self, service: ServiceId, now: float) -> ServiceReport | None:
        """Return the health of a service for operators, None for an unknown one."""
        held = self._standings.get(service)
        if held is None:
            return None
        assessor = self._roles.assessor(service)
        heard = now if assessor == self._self_id else None
        if assessor is not None and heard is None:
            heard = self._heard.get(assessor)
        return report_service(held, self._pooled(service, now), assessor, heard, now)

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the settings of a newly accepted revision."""
        for name in self._standings.keys() - tree.services.keys():
            self._forget_service(name)
        for name, service in tree.services.items():
            self._apply_service(name, service, now)
        self._service_of = {
            upstream.id: name
            for name, service in tree.services.items()
            for upstream in service.upstreams
        }
        self._assign_roles(now)
        self._next_report = now

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over a changed view of the fleet."""
        self._voter.begin(now)
        self._roles = RoleTable(view)
        self._heard = {h: at for h, at in self._heard.items() if h in view.hosts}
        self._assign_roles(now)
        self._update_pools(now)
        self._next_report = now
        self._report_clock(now)

    def handle(self, message: PeerMessage, origin: Origin, now: float) -> None:
        """Process a message from a peer."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, origin, now)
            self._deliver_local(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._observer.check_open(now)
        self._avoid_bad_paths(now)
        self._send_digests(now)
        self._deliver_local(now)
        self._tick_assessors(now)
        self._deliver_local(now)
        self._tick_arbiters(now)
        self._deliver_local(now)
        self._resend_notices(now)
        if now - self._rates_checked_at >= RATE_CHECK_SECONDS:
            self._check_rates(now)
        self._deliver_local(now)

    def resume(self, gap: float, now: float) -> None:
        """Drop verdicts and permits, whose expiry a stopped clock may have missed."""
        self._links.reset()
        self._observer.resume()
        for arbiter in self._arbiters.values():
            arbiter.reset()
        for held in self._standings.values():
            held.ejections.clear()
            held.avoids.clear()
            held.invalidate()
        self._reported.clear()
        self._next_report = now
        self._report_clock(now)

    def _forget_service(self, name: ServiceId) -> None:
        del self._standings[name]
        self._assessors.pop(name, None)
        self._arbiters.pop(name, None)
        self._unsettled.discard(name)

    def _apply_service(self, name: ServiceId, service: Service, now: float) -> None:
        held = self._standings.get(name)
        if held is None:
            self._standings[name] = ServiceStanding(service)
        elif held.service != service:
            for server in held.apply(service, now):
                self._observer.forget(name, server)
            self._touch(name, held)
        for role in (self._assessors.get(name), self._arbiters.get(name)):
            if role is not None:
                self._configure(role, service)

    def _configure(self, role: Assessor | Arbiter, service: Service) -> None:
        published = {u.id: u.data_centre for u in service.upstreams if not u.leaving}
        values = PROFILES[service.policy.health_profile]
        role.pool.set_servers(published)
        if isinstance(role, Assessor):
            role.pool.threshold = path_threshold(values.threshold)
            return
        role.pool.threshold = values.threshold
        role.hold = values.hold
        role.slots = len(published) - floor_of(
            len(published), service.policy.healthy_floor
        )
        role.retain(frozenset(published))

    def _assign_roles(self, now: float) -> None:
        """Take up and give up the assessor's and arbiter's role of each service."""
        for name, held in self._standings.items():
            if self._roles.assessor(name) != self._self_id:
                self._assessors.pop(name, None)
                self._arbiters.pop(name, None)
                continue
            if name not in self._assessors:
                self._add_assessor(name, held.service)
            if self._self_id not in self._roles.of(name).arbiters:
                self._arbiters.pop(name, None)
            elif name not in self._arbiters:
                self._add_arbiter(name, held, now)

    def _add_assessor(self, name: ServiceId, service: Service) -> None:
        role = self._assessors[name] = Assessor(name, self._data_centre, Pool(1.0))
        self._configure(role, service)

    def _add_arbiter(self, name: ServiceId, held: ServiceStanding, now: float) -> None:
        role = self._arbiters[name] = Arbiter(name, Pool(1.0), 1.0, self._rng)
        self._configure(role, held.service)
        for ejection in held.ejections.values():
            role.take_verdict(ejection.verdict, False, now)

    def _touch(self, name: ServiceId, held: ServiceStanding) -> None:
        """Note that a service may have servers that are not simply in use."""
        if held.is_plain:
            self._unsettled.discard(name)
        else:
            self._unsettled.add(name)
        self._observer.returning[name] = frozenset(
            server
            for server, ejection in held.ejections.items()
            if ejection.verdict.phase is Phase.TRIAL
        )
        self._observer.cold[name] = frozenset(held.cold)

    def _deliver_local(self, now: float) -> None:
        if not self._links.has_local:
            return
        self._links.deliver_local(
            lambda message: self._handlers[type(message)](message, self._origin, now)
        )

    def _send_digests(self, now: float) -> None:
        for service, digest in self._observer.digests(now).items():
            held = self._standings.get(service)
            assessor = self._roles.assessor(service)
            if held is None or assessor is None:
                continue
            rate = digest.rate / max(1, len(held.service.upstreams))
            self._links.post(assessor, evolve(digest, rate=rate))

    def _avoid_bad_paths(self, now: float) -> None:
        bad_paths, self._observer.bad_paths = self._observer.bad_paths, set()
        for service, server in bad_paths:
            held = self._standings.get(service)
            if held is None:
                continue
            is_new = held.avoid(server, now)
            self._touch(service, held)
            if is_new and server in held.standing(now).avoided:
                event = PathAvoided(service, server, "attempts of this host")
                self._outbox.emit(event)
        if now < self._next_expiry:
            return
        self._observer.prune(now)
        self._next_expiry = now + EXPIRY_SECONDS
        for service in list(self._unsettled):
            held = self._standings[service]
            for server in held.expire(now):
                self._observer.excuse(service, server)
            self._touch(service, held)

    def _tick_assessors(self, now: float) -> None:
        for name, assessor in self._assessors.items():
            pool = assessor.pool
            evidence = assessor.evidence(now)
            if evidence is not None:
                for arbiter in self._roles.of(name).arbiters:
                    self._links.post(arbiter, evidence)
            if not (pool.suspects or assessor.has_paths):
                continue
            ejected = frozenset(self._standings[name].ejections)
            for verdict in assessor.bad_paths(ejected, now):
                self._spread(verdict, now)
                message = BadPath(name, verdict.server, self._data_centre)
                for arbiter in self._roles.of(name).arbiters:
                    self._links.post(arbiter, message)

    def _tick_arbiters(self, now: float) -> None:
        for name, arbiter in self._arbiters.items():
            if not arbiter.is_active:
                continue
            rank = self._roles.of(name).arbiters.index(self._self_id)
            voters = self._roles.voters(name)
            output = arbiter.tick(rank, voters, now)
            self._send_output(name, output, voters, now)

    def _send_output(
        self,
        name: ServiceId,
        output: Output,
        voters: tuple[HostId, ...],
        now: float,
    ) -> None:
        for message in (*output.releases, *output.requests):
            for voter in voters:
                self._links.post(voter, message)
        for event in output.events:
            self._outbox.emit(event)
        for verdict in output.verdicts:
            for assessor in self._roles.of(name).assessors.values():
                self._post_verdict(assessor, verdict, now)

    def _post_verdict(self, host: HostId, verdict: Verdict, now: float) -> None:
        """Send a verdict with its expiry on the recipient's clock."""
        until, echo = self._links.translate(host, verdict.valid_until, now)
        if until == float("-inf") and verdict.phase is not Phase.RETURNED:
            return
        until = round_down(max(until, 0.0))
        self._links.post(host, evolve(verdict, valid_until=until, echo=echo))

    def _spread(self, verdict: Verdict, now: float) -> None:
        """Send a verdict to the hosts of the own data centre."""
        for host in self._roles.hosts_in(self._data_centre):
            if host != self._self_id:
                self._post_verdict(host, verdict, now)
        self._hold(verdict, now)

    def _take_digest(self, digest: HealthDigest, origin: Origin, now: float) -> None:
        assessor = self._assessors.get(digest.service)
        if assessor is not None:
            self._rates.update_host(origin.host, digest.service, digest.rate, now)
            assessor.take_digest(digest, origin.host, now)

    def _take_evidence(
        self, evidence: PooledEvidence, origin: Origin, now: float
    ) -> None:
        arbiter = self._arbiters.get(evidence.service)
        if arbiter is not None:
            place, rate = evidence.data_centre, evidence.rate
            self._rates.set_place(evidence.service, place, rate, now)
            arbiter.take_evidence(evidence, now)

    def _take_bad_path(self, path: BadPath, origin: Origin, now: float) -> None:
        arbiter = self._arbiters.get(path.service)
        if arbiter is not None:
            arbiter.take_bad_path(path.server, path.data_centre, now)

    def _take_report(self, report: HostReport, origin: Origin, now: float) -> None:
        self._links.take_report(report, origin, now)
        known = self._standings
        rates = {name: rate for name, rate in report.rates.items() if name in known}
        if report.data_centre:
            record = self._roles.view.hosts.get(origin.host)
            place = record.data_centre if record else self._data_centre
            for service, rate in rates.items():
                self._rates.set_place(service, place, rate, now)
        else:
            self._rates.set_host(origin.host, rates, now)
        if origin.host != self._self_id:
            self._links.post(origin.host, ReportAck(report.sent_at))

    def _take_ack(self, ack: ReportAck, origin: Origin, now: float) -> None:
        self._heard[origin.host] = now

    def _take_verdict(self, verdict: Verdict, origin: Origin, now: float) -> None:
        is_lease = verdict.phase is not Phase.RETURNED
        if is_lease and not self._links.is_own_clock(verdict.echo, origin):
            return
        service = verdict.service
        arbiter = self._arbiters.get(service)
        if arbiter is not None and origin.host != self._self_id:
            arbiters = self._roles.of(service).arbiters
            outranks = origin.host in arbiters and arbiters.index(
                origin.host
            ) < arbiters.index(self._self_id)
            if origin.host in arbiters and verdict.phase is not Phase.WATCHED:
                arbiter.take_verdict(verdict, outranks, now)
        if self._is_from_arbiter(verdict, origin):
            self._spread(verdict, now)
        else:
            self._hold(verdict, now)

    def _is_from_arbiter(self, verdict: Verdict, origin: Origin) -> bool:
        """Return whether an assessor has to pass the verdict on to its hosts."""
        if verdict.phase is Phase.AVOIDED or verdict.service not in self._assessors:
            return False
        return origin.host in self._roles.of(verdict.service).assessors.values()

    def _hold(self, verdict: Verdict, now: float) -> None:
        held = self._standings.get(verdict.service)
        if held is None:
            return
        if verdict.phase is Phase.WATCHED:
            key = (verdict.service, verdict.server)
            self._observer.watched[key] = verdict.valid_until
            return
        hosts = len(self._roles.view.usable)
        held.take_verdict(verdict, hosts, self._rng, now)
        if verdict.phase in (Phase.EJECTED, Phase.SLOW_START):
            held.own_avoids.pop(verdict.server, None)
            self._observer.forget(verdict.service, verdict.server)
        self._touch(verdict.service, held)

    def _take_permit_request(
        self, request: PermitRequest, origin: Origin, now: float
    ) -> None:
        held = self._standings.get(request.service)
        allowed = 0
        if held is not None:
            promised = self._voter.promised(request.service, now)
            allowed = held.allowed_slots(promised, now)
        reply = self._voter.answer(request, origin.host, allowed, now)
        self._links.post(origin.host, reply)

    def _take_permit_reply(
        self, reply: PermitReply, origin: Origin, now: float
    ) -> None:
        arbiter = self._arbiters.get(reply.service)
        if arbiter is not None:
            arbiter.take_reply(origin.host, reply, now)
            case = arbiter.cases.get(reply.server)
            if case is not None and case.phase is None:
                # Acting on the last promise at once saves a tick of detection time.
                self._tick_arbiters(now)

    def _take_permit_release(
        self, release: PermitRelease, origin: Origin, now: float
    ) -> None:
        self._voter.release(release, origin.host)

    def _take_drain_notice(
        self, notice: DrainNotice, origin: Origin, now: float
    ) -> None:
        self._drain(notice.service, notice.server, now)
        if not notice.forward:
            return
        for host in self._roles.hosts_in(self._data_centre):
            if host not in (self._self_id, origin.host):
                self._links.post(host, evolve(notice, forward=False))

    def _drain(self, service: ServiceId, server: ServerId, now: float) -> bool:
        """Stop new work for a server; True if the signal is new."""
        held = self._standings.get(service)
        if held is None or self._service_of.get(server) != service:
            return False
        is_new = held.drain(server, now)
        self._touch(service, held)
        if is_new:
            self._outbox.emit(ServerDraining(service, server))
        return is_new

    def _send_notice(self, notice: DrainNotice) -> None:
        for assessor in self._roles.of(notice.service).assessors.values():
            self._links.post(assessor, notice)

    def _resend_notices(self, now: float) -> None:
        due = [notice for at, notice in self._notices if at <= now]
        if due:
            self._notices = [entry for entry in self._notices if entry[0] > now]
        for notice in due:
            self._send_notice(notice)

    def _check_rates(self, now: float) -> None:
        """Report when due or when the load has changed; take over others' rates."""
        self._rates_checked_at = now
        total = sum(self._observer.rates(now).values())
        low, high = sorted((total, self._reported_rate))
        if high > RATE_CHANGE * low and high > 1.0:
            self._reported.clear()
            self._next_report = now
            self._reported_rate = total
        self._update_pools(now)
        self._report_clock(now)

    def _report_clock(self, now: float) -> None:
        """Send the own clock and rates to the assessors, and rates to arbiters."""
        if now < self._next_report:
            return
        rates: dict[HostId, dict[ServiceId, float]] = {}
        pooled: dict[HostId, dict[ServiceId, float]] = {}
        for name, held in self._standings.items():
            assessor = self._roles.assessor(name)
            if assessor is not None:
                rate = self._observer.rate(name, now)
                rates.setdefault(assessor, {})
                if rate > 0.0:
                    servers = max(1, len(held.service.upstreams))
                    rates[assessor][name] = round(rate / servers, 4)
        for name, role in self._assessors.items():
            for arbiter in self._roles.of(name).arbiters:
                pooled.setdefault(arbiter, {})[name] = round(role.pool.rate, 4)
        self._post_reports(rates, False, now)
        self._post_reports(pooled, True, now)
        self._reported = {
            (host, is_pooled): at
            for (host, is_pooled), at in self._reported.items()
            if host in (pooled if is_pooled else rates)
        }
        self._next_report = min(self._reported.values(), default=now) + REPORT_SECONDS

    def _post_reports(
        self,
        rates: dict[HostId, dict[ServiceId, float]],
        data_centre: bool,
        now: float,
    ) -> None:
        for host, own in rates.items():
            key = (host, data_centre)
            if now >= self._reported.get(key, float("-inf")) + REPORT_SECONDS:
                report = HostReport(round_down(now), own, data_centre)
                self._links.post(host, report)
                self._reported[key] = now

    def _update_pools(self, now: float) -> None:
        """Set the rates and places by which the pools judge."""
        self._rates.prune(now)
        self._links.prune(now)
        hosts = len(self._roles.hosts_in(self._data_centre))
        for name, assessor in self._assessors.items():
            assessor.pool.hosts = max(1, hosts)
            assessor.pool.rate = self._rates.of_hosts(name, hosts)
        for name, arbiter in self._arbiters.items():
            known = {
                place: self._rates.of_place(name, place)
                for place in self._roles.of(name).assessors
            }
            pool = arbiter.pool
            pool.hosts = max(1, len(self._roles.view.usable))
            pool.rate = sum(rate or 0.0 for rate in known.values())
            # A data centre that has not reported yet may use the service too.
            in_use = sum(1 for rate in known.values() if rate is None or rate > 0.0)
            pool.data_centres = max(1, in_use)

    def _pooled(self, service: ServiceId, now: float) -> PooledView:
        arbiter = self._arbiters.get(service)
        role = arbiter or self._assessors.get(service)
        if role is None:
            return NOTHING_POOLED
        pool = role.pool
        held = frozenset(
            server
            for server in pool.suspects
            if arbiter is not None and arbiter.is_held(server, now)
        )
        return PooledView(
            {server: pool.judge(server) for server in pool.suspects},
            {server: pool.counts(server) for server in pool.suspects},
            held,
        )
