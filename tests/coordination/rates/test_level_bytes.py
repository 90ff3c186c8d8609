"""Tests of the bytes that a hub sends on levels, and of the rates that remain kept."""

from random import Random

import pytest

from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.models import HostUse, Levels, WorkspaceUsage
from catkinspan.coordination.rates.policy import rate_policy
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import Address, SettingsTree, Workspace
from catkinspan.testing.channel import FakeChannel
from tests.rates_fleet import WINDOW, RatesFleet, RatesHost

HUB = HostId("host-0")
LEVEL_BYTES_PER_SECOND = 24_000
"""What a hub may send on levels: with the other budgets a tenth of a link of 10 Mbit/s.
"""

EMPTY_MESSAGE_BYTES = 15
MEASURED_SECONDS = 4.0


def _hub_view(hosts: int) -> FleetView:
    """Return the view of the only hub of a data centre."""
    names = [HostId(f"host-{n}") for n in range(hosts + 1)]
    centre = DataCentre("north")
    records = {n: HostRecord(n, centre, Address("10.0.0.1", 9700)) for n in names}
    return FleetView(
        HUB,
        centre,
        hosts=records,
        usable=tuple(names),
        hubs=(HUB,),
        followers=tuple(names[1:]),
        primary_followers=tuple(names[1:]),
        remote_hubs=(),
        known_count=len(names),
        alive_count=len(names),
    )


@pytest.mark.parametrize("short", [10, 100, 1_000])
def test_levels_keep_their_byte_budget(short: int) -> None:
    """Guards against 4 MB/s of a hub of 85 hosts if 1,000 workspaces are short."""
    codec, sent = PeerCodec(PEER_MESSAGES), []

    def count(source: HostId, target: HostId, message: PeerMessage) -> None:
        if source == HUB and isinstance(message, Levels):
            sent.append(codec.size(message))

    channel = FakeChannel(Random(1), on_send=count)
    outbox = Outbox()
    hub = RateCoordinator(HUB, 1, outbox, Random(1), rate_policy(WINDOW))
    names = [WorkspaceId(f"workspace-{n}") for n in range(short)]
    workspaces = {name: Workspace(name, (), rate=1.0, burst=1.0) for name in names}
    hub.apply_tree(SettingsTree(workspaces=workspaces), 0.0)
    hub.apply_view(_hub_view(85), 0.0)
    channel.attach(HUB, RatesHost(hub), outbox, 1)
    sender = Sender(HostId("host-1"), 7)
    for step in range(round((MEASURED_SECONDS + 2) * 5)):
        used = tuple(WorkspaceUsage(n, 4 * step + 4, 4 * step + 4, 40) for n in names)
        hub.handle(HostUse(used), sender, channel.now)
        channel.run(channel.now + 0.2)
        if step == 9:
            sent.clear()
    spent = sum(size - EMPTY_MESSAGE_BYTES for size in sent) / MEASURED_SECONDS
    assert 0 < spent <= 1.1 * LEVEL_BYTES_PER_SECOND


def _short_fleet(workspaces: int, rate: float) -> RatesFleet:
    names = [WorkspaceId(f"workspace-{n}") for n in range(workspaces)]
    settings = {n: Workspace(n, (), rate=rate, burst=rate) for n in names}
    fleet = RatesFleet(settings, host_count=90, seed=1)
    fleet.add_clients(dict.fromkeys(names, 0.6 * rate))
    return fleet


@pytest.mark.parametrize(("workspaces", "rate"), [(20, 20.0), (200, 4.0)])
def test_many_short_workspaces_keep_their_rates(workspaces: int, rate: float) -> None:
    """Guards against workspaces that are free because the hub has no bytes for them."""
    fleet = _short_fleet(workspaces, rate)
    fleet.run(8.0)
    fleet.run(12.0, hot=dict.fromkeys(fleet.workspaces, 3.0))
    assert max(fleet.excess().values()) <= 1.0


@pytest.mark.parametrize(("workspaces", "rate"), [(20, 20.0), (200, 4.0)])
def test_workspaces_are_served_again_when_few_are_short(
    workspaces: int, rate: float
) -> None:
    """Guards against levels that hold on after a workspace has tokens again."""
    fleet = _short_fleet(workspaces, rate)
    fleet.run(8.0)
    fleet.run(6.0, hot=dict.fromkeys(fleet.workspaces, 3.0))
    fleet.run(6.0)
    calm_at = fleet.channel.now
    fleet.run(8.0)
    assert fleet.refused_share(calm_at) <= 0.05


@pytest.mark.parametrize("hot", [2.5, 4.0])
def test_short_moment_of_many_workspaces_is_told_in_full(hot: float) -> None:
    """Guards against refusals of workspaces that have tokens, because the hub has no
    bytes for others when all callers return at once after a restart."""
    fleet = _short_fleet(80, 8.0)
    fleet.run(8.0)
    fleet.restart(fleet.nodes)
    fleet.channel.run(fleet.channel.now + 0.6)
    since = fleet.channel.now
    fleet.run(0.6, hot=dict.fromkeys(fleet.workspaces, hot))
    fleet.run(3.0)
    refused = [r for r in fleet.requests if r.at >= since and not r.is_admitted]
    assert all(r.is_over_rate for r in refused)
