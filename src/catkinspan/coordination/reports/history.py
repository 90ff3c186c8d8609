"""Since when each service has its state, as one host saw it."""

from collections.abc import Mapping
from typing import Protocol

from attrs import Factory, frozen

from catkinspan.coordination.health.models import ServerStatus, ServiceReport
from catkinspan.coordination.metrics.coordinator import MetricsCoordinator
from catkinspan.coordination.reports.assess import assess
from catkinspan.coordination.reports.const import SAMPLE_SECONDS
from catkinspan.coordination.reports.models import HealthState
from catkinspan.state.ids import ServerId, ServiceId
from catkinspan.state.tree import SettingsTree


class HealthSource(Protocol):
    """Reports the health of services."""

    def report(self, service: ServiceId, now: float) -> ServiceReport | None:
        """Return the health of a service, None for an unknown one."""


@frozen
class Held:
    """A state and its beginning in monotonic seconds."""

    state: HealthState
    since: float | None
    """None if the state was found at the first look."""

    ejected: Mapping[ServerId, float] = Factory(dict)
    """When each ejected server was ejected."""


class StatusHistory:
    """Judges the services in turn, and remembers when a state began.

    Judging a service of 61 servers takes 0.5 ms, so only one is judged in
    `SAMPLE_SECONDS`: the beginning of a state is known to 3 min with 180 services, and
    to 2 s with two. A query judges its service at once.
    """

    def __init__(self, health: HealthSource, metrics: MetricsCoordinator) -> None:
        self._health = health
        self._metrics = metrics
        self._held: dict[ServiceId, Held] = {}
        self._services: tuple[ServiceId, ...] = ()
        self._next = 0
        self._next_at = 0.0

    def apply_tree(self, tree: SettingsTree) -> None:
        """Take over the services."""
        self._services = tuple(tree.services)
        for name in self._held.keys() - tree.services.keys():
            del self._held[name]

    def tick(self, now: float) -> None:
        """Judge the service whose turn it is."""
        if now < self._next_at or not self._services:
            return
        self._next_at = now + SAMPLE_SECONDS
        self._next = (self._next + 1) % len(self._services)
        self.observe(self._services[self._next], now)

    def observe(self, service: ServiceId, now: float) -> Held | None:
        """Judge a service now and return its state, None for an unknown one."""
        health = self._health.report(service, now)
        return None if health is None else self.judge(health, now)

    def judge(self, health: ServiceReport, now: float) -> Held:
        """Judge a service by a report of its health made now."""
        service = health.service
        recent = self._metrics.judged_of_service(service, now)
        state = assess(health, recent).state
        before = self._held.get(service)
        ejected = self._ejected(health, before, now)
        since = None if before is None else before.since
        if before is not None and before.state is not state:
            since = now
        held = Held(state, since, ejected)
        self._held[service] = held
        return held

    def _ejected(
        self, health: ServiceReport, before: Held | None, now: float
    ) -> Mapping[ServerId, float]:
        known = {} if before is None else before.ejected
        found: dict[ServerId, float] = {}
        for server in health.servers:
            if server.status is not ServerStatus.AVOIDED:
                continue
            at = known.get(server.server)
            if at is None:
                at = now if server.since is None else server.since
                self._metrics.record_ejection(health.service, server.server, at)
            found[server.server] = at
        published = {server.server for server in health.servers}
        for server_id in known:
            if server_id not in found and server_id in published:
                self._metrics.record_return(health.service)
        return found
