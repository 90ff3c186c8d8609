"""Snapshots of a host's coordinators, taken within the host task."""

from collections.abc import Mapping

from attrs import Factory, frozen

from catkinspan.coordination.configuration.models import ConfigurationSnapshot
from catkinspan.coordination.health.models import ServiceReport
from catkinspan.coordination.host.coordinator import HostCoordinator
from catkinspan.coordination.membership.models import MembershipSnapshot
from catkinspan.coordination.metrics.models import EndCounts, WithdrawnKey
from catkinspan.coordination.rates.models import RatesSnapshot, WorkspaceRates
from catkinspan.coordination.reports.history import Held
from catkinspan.coordination.retries.models import RetryBudget
from catkinspan.coordination.slots.models import DispatcherSlots, ServiceSlots
from catkinspan.state.hosts import HostList
from catkinspan.state.ids import ServiceId, WorkspaceId
from catkinspan.state.tree import SettingsTree


@frozen
class HostFacts:
    """What a host knows of itself and of the fleet."""

    now: float
    tree: SettingsTree
    host_list: HostList
    membership: MembershipSnapshot
    configuration: ConfigurationSnapshot
    ready: bool
    isolated: bool


@frozen
class ServiceFacts:
    """What a host knows of one service."""

    health: ServiceReport
    held: Held
    recent: EndCounts
    judged: EndCounts
    """Requests by which the service is judged."""

    slots: ServiceSlots | None
    dispatched: DispatcherSlots | None
    retries: RetryBudget | None


@frozen
class WorkspaceFacts:
    """What a host knows of the workspaces."""

    rates: RatesSnapshot
    recent: Mapping[WorkspaceId, EndCounts]
    in_flight: Mapping[WorkspaceId, int]
    waiting: Mapping[WorkspaceId, int]
    """Requests that wait for slots on this host or at its dispatchers."""

    withdrawn: Mapping[WorkspaceId, WithdrawnKey]

    rates_of: Mapping[WorkspaceId, WorkspaceRates] = Factory(dict)
    """The rates by workspace."""


def gather_host(host: HostCoordinator, now: float) -> HostFacts:
    """Return the facts about the host and the fleet."""
    return HostFacts(
        now,
        host.tree,
        host.configuration.host_list,
        host.membership.snapshot(now),
        host.configuration.snapshot(),
        host.is_ready(now),
        host.is_isolated(now),
    )


def gather_service(
    host: HostCoordinator, service: ServiceId, now: float
) -> ServiceFacts | None:
    """Return the facts about one service, None for an unknown one."""
    health = host.health.report(service, now)
    if health is None:
        return None
    held = host.history.judge(health, now)
    slots, dispatched = host.slots.service_snapshot(service, now)
    return ServiceFacts(
        health,
        held,
        host.metrics.recent_of_service(service, now),
        host.metrics.judged_of_service(service, now),
        slots,
        dispatched,
        host.retries.service_snapshot(service),
    )


def gather_workspaces(host: HostCoordinator, now: float) -> WorkspaceFacts:
    """Return the facts about the workspaces that are active on this host."""
    slots = host.slots.snapshot(now)
    waiting: dict[WorkspaceId, int] = {}
    for name, own in slots.services.items():
        # A dispatcher's queue holds the requests of its own host too.
        dispatched = slots.dispatched.get(name)
        _add(waiting, own.waiting if dispatched is None else dispatched.waiting)
    recent = host.metrics.recent_of_workspaces(now)
    in_flight = {name: host.requests.in_flight(name) for name in recent}
    rates = host.rates.snapshot(now)
    withdrawn = host.metrics.withdrawn_keys(now)
    rates_of = {line.workspace: line for line in rates.workspaces}
    return WorkspaceFacts(rates, recent, in_flight, waiting, withdrawn, rates_of)


def _add(total: dict[WorkspaceId, int], more: Mapping[WorkspaceId, int]) -> None:
    for name, count in more.items():
        total[name] = total.get(name, 0) + count
