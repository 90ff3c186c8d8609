"""History of the service states: when each state began, as seen by one host."""

from collections.abc import Mapping
from typing import Protocol

from attrs import Factory, frozen

from catkinspan.coordination.health.models import ServerStatus, ServiceConditions
from catkinspan.coordination.metrics.coordinator import MetricsCoordinator
from catkinspan.coordination.reports.assess import ServiceHealth, assess
from catkinspan.coordination.reports.const import ASSESSMENT_INTERVAL_SECONDS
from catkinspan.coordination.reports.health_state import HealthState
from catkinspan.state.ids import ServerId, ServiceId
from catkinspan.state.tree import SettingsTree


class HealthSource(Protocol):
    """Source of the statuses of servers."""

    def conditions(self, service: ServiceId, now: float) -> ServiceConditions | None:
        """Return the statuses of the servers of a service, None for an unknown one."""


@frozen
class TrackedState:
    """State of a service and the time at which it began."""

    state: HealthState
    since: float | None
    """Monotonic seconds; None if the first assessment already found the state."""

    ejected: Mapping[ServerId, float] = Factory(dict)
    """Monotonic seconds at which each ejected server was ejected."""


class StatusHistory:
    """Assesses the services in turn, and stores when each state began.

    Assessing a service of 61 servers takes 0.13 ms, so only one is assessed in each
    `ASSESSMENT_INTERVAL_SECONDS`. The start of a state is accurate to 3 min with 180
    services and to 2 s with two. A query assesses its service at once.
    """

    def __init__(self, health: HealthSource, metrics: MetricsCoordinator) -> None:
        self._health = health
        self._metrics = metrics
        self._tracked: dict[ServiceId, TrackedState] = {}
        self._services: tuple[ServiceId, ...] = ()
        self._next_index = 0
        self._next_assessment_at = 0.0

    def apply_tree(self, tree: SettingsTree) -> None:
        """Use the services of a settings tree, and drop the state of removed ones."""
        self._services = tuple(tree.services)
        for name in self._tracked.keys() - tree.services.keys():
            del self._tracked[name]

    def tick(self, now: float) -> None:
        """Assess the next service when its interval has passed."""
        if now < self._next_assessment_at or not self._services:
            return
        self._next_assessment_at = now + ASSESSMENT_INTERVAL_SECONDS
        self._next_index = (self._next_index + 1) % len(self._services)
        self.assess_service(self._services[self._next_index], now)

    def assess_service(self, service: ServiceId, now: float) -> TrackedState | None:
        """Assess a service now and return its state, None for an unknown one."""
        health = self._health.conditions(service, now)
        return None if health is None else self.assess_health(health, now)

    def assess_health(self, health: ServiceHealth, now: float) -> TrackedState:
        """Assess a service by its current health."""
        service = health.service
        recent = self._metrics.assessed_of_service(service, now)
        state = assess(health, recent).state
        previous = self._tracked.get(service)
        ejected = self._update_ejections(health, previous, now)
        since = None if previous is None else previous.since
        if previous is not None and previous.state is not state:
            since = now
        tracked = TrackedState(state, since, ejected)
        self._tracked[service] = tracked
        return tracked

    def _update_ejections(
        self, health: ServiceHealth, previous: TrackedState | None, now: float
    ) -> Mapping[ServerId, float]:
        previous_ejected = {} if previous is None else previous.ejected
        found: dict[ServerId, float] = {}
        for server in health.servers:
            if server.status is not ServerStatus.AVOIDED:
                continue
            at = previous_ejected.get(server.server)
            if at is None:
                at = now if server.since is None else server.since
                self._metrics.record_ejection(health.service, server.server, at)
            found[server.server] = at
        published = {server.server for server in health.servers}
        for server_id in previous_ejected:
            if server_id not in found and server_id in published:
                self._metrics.record_return(health.service)
        return found
