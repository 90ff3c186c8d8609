"""Tests that new hubs keep the bound of workspaces that are over their rates."""

from random import Random

import pytest

from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import PeerMessage
from catkinspan.coordination.rates.const import MAX_SYNC_LEVELS
from catkinspan.coordination.rates.ledger import UsageLedger
from catkinspan.coordination.rates.models import (
    HubLevels,
    HubLevelsRequest,
    WorkspaceUsage,
)
from catkinspan.coordination.rates.policy import rate_policy
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.ids import HostId, WorkspaceId
from catkinspan.state.tree import Workspace
from tests.coordination.rates.test_fleet import (
    BOUND,
    BURST,
    RATE,
    WINDOW,
    max_admitted_in_window,
)
from tests.rates_fleet import RatesFleet
from tests.virtual_fleet import Traffic, small_settings_tree, virtual_fleet

RATES = {"large": 40.0, "medium": 10.0, "small": 2.0}
EXCESS_DEMAND = 3.0
"""Demand as a multiple of the rates."""

HUBS = 6
"""Hosts that are hubs, the first ones of the fleet."""

LINK_BYTES_PER_SECOND = 1_250_000
MAX_ANSWERS_SECONDS = 0.05
"""Time that all answers to a new hub may take on a link of 10 Mbit/s: one tick."""


def _fleet(seed: int, rates: dict[str, float] = RATES) -> RatesFleet:
    workspaces = {
        (name := WorkspaceId(key)): Workspace(name, (), rate=rate, burst=rate)
        for key, rate in rates.items()
    }
    fleet = RatesFleet(workspaces, host_count=60, seed=seed)
    fleet.add_clients({n: EXCESS_DEMAND * w.rate for n, w in workspaces.items()})
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
@pytest.mark.parametrize("gap", [0.5, 1.0, 3.0])
def test_hubs_restarted_in_turn_keep_the_bound(seed: int, gap: float) -> None:
    """Guards against a full bucket at each new hub while callers ask for more."""
    fleet = _fleet(seed)
    fleet.run(20.0)
    for hub in list(fleet.nodes)[:HUBS]:
        fleet.restart([hub])
        fleet.run(gap)
    fleet.run(5.0)
    assert max(fleet.excess().values()) <= 1.0


@pytest.mark.parametrize("seed", [1, 2])
def test_whole_hosts_restarted_in_turn_keep_the_bound(seed: int) -> None:
    """Guards against a full bucket at a host that becomes a hub for another one."""
    fleet = virtual_fleet(
        40, small_settings_tree(rate=RATE, burst=BURST), seed, rate_window=WINDOW
    )
    traffic = Traffic(fleet, Random(seed))
    traffic.run(fleet.channel.now + 10, 4 * RATE)
    hubs = {hub for h in fleet.hosts.values() for hub in h.coordinator.view.hubs}
    for hub in sorted(hubs):
        fleet.crash_host(hub)
        traffic.run(fleet.channel.now + 0.7, 4 * RATE)
        fleet.start_host(hub)
        traffic.run(fleet.channel.now + 0.3, 4 * RATE)
    traffic.run(fleet.channel.now + 5, 4 * RATE)
    assert max_admitted_in_window(fleet) <= BOUND


def test_new_hub_takes_the_level_of_another_hub() -> None:
    """Guards against a new hub that reports enough tokens to its followers."""
    fleet = _fleet(1)
    fleet.run(10.0)
    hub = next(iter(fleet.nodes))
    fleet.restart([hub])
    fleet.channel.run(fleet.channel.now + 0.5)
    levels = fleet.nodes[hub].coordinator.snapshot(fleet.channel.now).workspaces
    fleet.run(0.2)
    assert all(fleet.nodes[hub].coordinator.is_over_rate(name) for name in levels)


def test_use_that_reached_no_hub_is_counted_by_the_next_one() -> None:
    """Guards against use that is lost between the last report to a hub that crashed
    and the first one to its successor."""
    name = WorkspaceId("w")
    ledger = UsageLedger(rate_policy(WINDOW))
    ledger.apply_limits({name: Workspace(name, (), rate=10.0, burst=10.0)}, 0.0)
    for number in range(10):
        usage = WorkspaceUsage(name, 500, 500, recent=20, unconfirmed=2)
        ledger.count_host_report(HostId(f"host-{number}"), 1, (usage,), 1.0)
    (local,) = ledger.local_usages(1, 1.0)
    assert local.admitted == 20


def test_answers_to_a_new_hub_are_few_and_bounded() -> None:
    """Guards against answers of all hubs that fill the link of a new one."""
    codec, answers, requests = PeerCodec(PEER_MESSAGES), [], []

    def count(source: HostId, target: HostId, message: PeerMessage) -> None:
        if isinstance(message, HubLevels):
            answers.append(codec.size(message))
        if isinstance(message, HubLevelsRequest):
            requests.append(target)

    names = {f"workspace-{n}": 1.0 for n in range(2 * MAX_SYNC_LEVELS)}
    fleet = _fleet(1, names)
    fleet.run(6.0)
    fleet.channel.set_send_callback(count)
    fleet.restart(list(fleet.nodes)[:1])
    fleet.run(4.0)
    assert 0 < sum(answers) <= LINK_BYTES_PER_SECOND * MAX_ANSWERS_SECONDS
    assert len(requests) <= HUBS
