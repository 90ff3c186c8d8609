"""Snapshots of a host's coordinators, taken within the host task."""

from collections.abc import Mapping

from attrs import frozen

from catkinspan.coordination.configuration.models import ConfigurationSnapshot
from catkinspan.coordination.health.models import ServiceReport
from catkinspan.coordination.host.coordinator import HostCoordinator
from catkinspan.coordination.membership.models import MembershipSnapshot
from catkinspan.coordination.metrics.models import ResultCounts, WithdrawnKey
from catkinspan.coordination.rates.models import RatesSnapshot
from catkinspan.coordination.reports.history import TrackedState
from catkinspan.coordination.retries.models import RetryBudget
from catkinspan.state.ids import ServiceId, WorkspaceId
from catkinspan.state.tree import SettingsTree


@frozen
class HostFacts:
    """Snapshots of a host's settings, membership and configuration."""

    now: float
    tree: SettingsTree
    membership: MembershipSnapshot
    configuration: ConfigurationSnapshot
    ready: bool
    isolated: bool


@frozen
class ServiceFacts:
    """Snapshots of a host's state of one service."""

    health: ServiceReport
    tracked: TrackedState
    recent: ResultCounts
    assessed: ResultCounts
    """Requests by which the service is assessed."""

    retries: RetryBudget | None


@frozen
class WorkspaceFacts:
    """Snapshots of a host's state of the active workspaces."""

    rates: RatesSnapshot
    recent: Mapping[WorkspaceId, ResultCounts]
    in_flight: Mapping[WorkspaceId, int]
    withdrawn: Mapping[WorkspaceId, WithdrawnKey]


def gather_host(host: HostCoordinator, now: float) -> HostFacts:
    """Return the snapshots of the host and the fleet."""
    return HostFacts(
        now,
        host.tree,
        host.membership.snapshot(),
        host.configuration.snapshot(now),
        host.is_ready(now),
        host.is_isolated(now),
    )


def gather_service(
    host: HostCoordinator, service: ServiceId, now: float
) -> ServiceFacts | None:
    """Return the snapshots of one service, None for an unknown one."""
    health = host.health.report(service, now)
    if health is None:
        return None
    return ServiceFacts(
        health,
        host.history.assess_health(health, now),
        host.metrics.recent_of_service(service, now),
        host.metrics.assessed_of_service(service, now),
        host.retries.snapshot(service, now),
    )


def gather_workspaces(host: HostCoordinator, now: float) -> WorkspaceFacts:
    """Return the snapshots of the workspaces that are active on this host."""
    recent = host.metrics.recent_of_workspaces(now)
    in_flight = {name: host.requests.in_flight(name) for name in recent}
    withdrawn = host.metrics.withdrawn_keys(now)
    return WorkspaceFacts(host.rates.snapshot(now), recent, in_flight, withdrawn)
