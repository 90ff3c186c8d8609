"""Tests that a hub does not count use of which it hears late as use of the moment."""

from random import Random

import pytest

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.ledger import UsageLedger
from catkinspan.coordination.rates.models import WorkspaceUsage
from catkinspan.coordination.rates.policy import rate_policy
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import SettingsTree, Workspace
from tests.rates_fleet import WINDOW, RatesFleet

WORKSPACES = 30
DEMAND = 6.0
"""Requests per second of each workspace; its rate is 1.6 times as much."""

HISTORY_SECONDS = 60.0
MAX_REFUSED_SHARE = 0.01


def _fleet(seed: int) -> RatesFleet:
    demand = {WorkspaceId(f"w-{n}"): DEMAND for n in range(WORKSPACES)}
    workspaces = {
        name: Workspace(name, (), rate=d * 1.6, burst=d * 1.6)
        for name, d in demand.items()
    }
    fleet = RatesFleet(workspaces, host_count=60, seed=seed)
    fleet.add_clients(demand)
    return fleet


def _over_rate_share(fleet: RatesFleet, since: float) -> float:
    recent = [r for r in fleet.requests if r.at >= since]
    return sum(r.is_over_rate for r in recent) / len(recent)


@pytest.mark.parametrize("seed", [1, 2])
def test_restarted_hub_does_not_refuse_for_what_was_admitted_before(seed: int) -> None:
    """Guards against 429 below the rate after each restart of a hub."""
    fleet = _fleet(seed)
    fleet.run(HISTORY_SECONDS)
    hub = next(iter(fleet.nodes))
    fleet.restart([hub])
    restarted_at = fleet.channel.now
    fleet.run(10.0)
    assert _over_rate_share(fleet, restarted_at) <= MAX_REFUSED_SHARE


@pytest.mark.parametrize("seed", [1, 2])
def test_hubs_restarted_in_turn_do_not_refuse_below_the_rate(seed: int) -> None:
    """Guards against debts that go from a new hub to those of other data centres."""
    fleet = _fleet(seed)
    fleet.run(HISTORY_SECONDS)
    restarted_at = fleet.channel.now
    for hub in list(fleet.nodes)[:6]:
        fleet.restart([hub])
        fleet.run(3.0)
    assert _over_rate_share(fleet, restarted_at) <= MAX_REFUSED_SHARE


def test_healed_data_centres_do_not_refuse_for_the_time_apart() -> None:
    """Guards against debts for use that the reduced share already covered."""
    fleet = _fleet(1)
    fleet.run(10.0)
    north = [host for host in fleet.nodes if int(host.split("-")[1]) % 3 == 0]
    others = [host for host in fleet.nodes if host not in north]
    fleet.channel.partition(north, others)
    fleet.run(20.0)
    fleet.channel.heal_all()
    fleet.run(1.0)
    healed_at = fleet.channel.now
    fleet.run(10.0)
    assert _over_rate_share(fleet, healed_at) <= MAX_REFUSED_SHARE


def _coordinator() -> tuple[RateCoordinator, WorkspaceId]:
    name = WorkspaceId("w")
    coordinator = RateCoordinator(
        HostId("host-1"), 1, Outbox(), Random(1), rate_policy(WINDOW)
    )
    workspaces = {name: Workspace(name, (), rate=10.0, burst=10.0)}
    coordinator.apply_tree(SettingsTree(workspaces=workspaces), 0.0)
    return coordinator, name


def _ledger() -> tuple[UsageLedger, WorkspaceId]:
    name = WorkspaceId("w")
    ledger = UsageLedger(rate_policy(WINDOW))
    ledger.apply_limits({name: Workspace(name, (), rate=10.0, burst=10.0)}, 0.0)
    return ledger, name


def test_host_that_was_idle_is_counted_by_its_recent_use() -> None:
    """Guards against a debt of hours when a host without requests reports again."""
    ledger, name = _ledger()
    for second in range(100):
        usage = WorkspaceUsage(name, 5 * second, 5 * second, 5)
        ledger.count_host_report(HostId("host-2"), 1, (usage,), float(second))
    ledger.forget_idle(200.0)
    usage = WorkspaceUsage(name, 496, 496, 1)
    ledger.count_host_report(HostId("host-2"), 1, (usage,), 200.0)
    assert list(ledger.low_levels(200.0)) == []


def test_workspace_that_was_idle_at_a_change_of_hubs_has_no_debt() -> None:
    """Guards against a debt for the total of a remote hub that took over."""
    ledger, name = _ledger()
    other = WorkspaceUsage(WorkspaceId("other"), 10, 10, 1)
    east = DataCentre("east")
    ledger.count_remote_report(HostId("hub-2"), east, 1, (other,), 10.0)
    usage = WorkspaceUsage(name, 500, 500, 1)
    ledger.count_remote_report(HostId("hub-2"), east, 1, (usage,), 10.1)
    assert list(ledger.low_levels(10.1)) == []


def test_first_requests_of_a_host_are_counted_in_full() -> None:
    """Guards against a burst that is free because each host reports for the first
    time."""
    ledger, name = _ledger()
    for number in range(40):
        usage = WorkspaceUsage(name, 2, 2, 2)
        ledger.count_host_report(HostId(f"host-{number}"), 1, (usage,), 1.0)
    (level,) = ledger.low_levels(1.0)
    assert level.level < 0


def test_host_reports_its_recent_use_beside_the_total() -> None:
    """Guards against totals whose age the receiver cannot tell."""
    coordinator, name = _coordinator()
    for step in range(100):
        coordinator.admit(name, step * 0.1)
    assert coordinator.usages(10.0)[0].recent <= 30
