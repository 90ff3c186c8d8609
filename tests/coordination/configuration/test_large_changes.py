"""Tests the propagation of changes that are too large to be pushed to all hosts."""

import pytest

from catkinspan.coordination.configuration.models import Pull
from catkinspan.coordination.models import PeerMessage
from catkinspan.state.ids import HostId
from catkinspan.testing.hosts import VirtualFleet
from tests.virtual_fleet import small_settings_tree, store_documents, virtual_fleet

LONE_READER_SECONDS = 0.6
"""Time for a change that one host reads: the wait for a push, and two exchanges."""

REFUSED_READERS_SECONDS = 1.0
"""Time for a change that is published as the store refuses its readers: two takeovers,
and the time of a lone reader."""

MANY_SERVERS = 60
"""Servers that make a change large."""


def put_large_change(fleet: VirtualFleet, rate: float = 7.0) -> None:
    tree = small_settings_tree(servers=MANY_SERVERS + int(rate), rate=rate)
    fleet.store.put(store_documents(tree))


def hosts_without(fleet: VirtualFleet, rate: float = 7.0) -> list[HostId]:
    return [
        name
        for name, host in fleet.hosts.items()
        if any(w.rate != rate for w in host.coordinator.tree.workspaces.values())
    ]


def record_pulls(fleet: VirtualFleet) -> list[HostId]:
    """Return a list that receives the sender of each request for changes."""
    senders: list[HostId] = []

    def on_send(source: HostId, target: HostId, message: PeerMessage) -> None:
        if isinstance(message, Pull):
            senders.append(source)

    fleet.channel.set_send_callback(on_send)
    return senders


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
@pytest.mark.parametrize("rank", [0, 1], ids=["first", "second"])
def test_large_change_from_a_lone_reader_is_in_force_in_time(
    rank: int, seed: int
) -> None:
    """Guards against hubs that wait for a push that no host sends, and against pulls
    from hosts that have only heard of the change."""
    fleet = virtual_fleet(40, seed=seed)
    fleet.channel.run(6.0)
    hosts = list(fleet.hosts)
    reader = fleet.hosts[hosts[0]].coordinator.view.hubs[rank]
    fleet.store.unreachable_from = set(hosts) - {reader}
    fleet.channel.run(10.0)
    pulls = record_pulls(fleet)
    put_large_change(fleet)
    fleet.channel.run(10.0 + LONE_READER_SECONDS)
    assert hosts_without(fleet) == []
    assert len(pulls) <= len(hosts) / 3


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("refused", [1, 2], ids=["first", "first two"])
def test_large_change_is_in_force_in_time_as_the_store_refuses_its_readers(
    refused: int, seed: int
) -> None:
    """Guards against a takeover that waits for the age of the last contact although the
    readers know at once that their calls fail."""
    fleet = virtual_fleet(40, seed=seed)
    fleet.channel.run(6.0)
    views = [host.coordinator.view for host in fleet.hosts.values()]
    fleet.store.refused = {hub for view in views for hub in view.hubs[:refused]}
    put_large_change(fleet)
    fleet.channel.run(6.0 + REFUSED_READERS_SECONDS)
    assert hosts_without(fleet) == []
