"""Guards the membership against crashes, pauses, loss and cut paths."""

import pytest
from bench.configuration_fleet import Fleet, FleetHost

from catkinspan.coordination.membership.models import (
    HostStatusChanged,
    OneWayPathEnded,
    OneWayPathFound,
)
from catkinspan.state.hosts import HostStatus
from catkinspan.state.ids import HostId

SEED = 11


def statuses(fleet: Fleet, about: HostId) -> set[HostStatus]:
    nodes = [node for host, node in fleet.hosts.items() if host != about]
    return {node.membership.view.hosts[about].status for node in nodes}


def dead_reports(node: FleetHost) -> list[HostId]:
    return [
        event.host
        for event in node.outbox.log
        if isinstance(event, HostStatusChanged) and event.status is HostStatus.DEAD
    ]


def test_crashed_host_loses_its_roles_everywhere() -> None:
    # Failure: roles stay with a host that is gone.
    fleet = Fleet(40, SEED)
    crashed = fleet.ids[5]
    fleet.stop(crashed)
    fleet.run_for(10.0)
    assert statuses(fleet, crashed) == {HostStatus.DEAD}
    assert all(crashed not in n.membership.view.usable for n in fleet.hosts.values())


def test_loss_and_duplication_kill_no_host() -> None:
    # Failure: lost probes alone make a healthy host dead.
    fleet = Fleet(20, SEED, loss=0.05, duplication=0.05, delay=(0.001, 0.05))
    fleet.run_for(60.0)
    assert [dead_reports(node) for node in fleet.hosts.values()] == [[]] * 20


@pytest.mark.parametrize(("pause", "dies"), [(2.0, False), (15.0, True)])
def test_paused_host_returns_and_blames_nobody(pause: float, dies: bool) -> None:
    # Failure: a host that wakes declares its peers dead, or stays dead itself.
    fleet = Fleet(20, SEED)
    host = fleet.ids[3]
    fleet.channel.pause(host)
    fleet.run_for(pause)
    assert (HostStatus.DEAD in statuses(fleet, host)) is dies
    fleet.channel.wake(host)
    fleet.run_for(10.0)
    assert statuses(fleet, host) == {HostStatus.ALIVE}
    assert dead_reports(fleet.hosts[host]) == []
    assert fleet.hosts[host].membership.view.hosts[host].incarnation == 1


def test_healed_partition_brings_both_sides_together() -> None:
    # Failure: sides that declared each other dead never probe each other again.
    fleet = Fleet(20, SEED)
    one, other = fleet.ids[:8], fleet.ids[8:]
    fleet.channel.partition(one, other)
    fleet.run_for(20.0)
    assert fleet.hosts[one[0]].membership.view.usable == tuple(one)
    fleet.channel.heal_all()
    fleet.run_for(10.0)
    for node in fleet.hosts.values():
        assert node.membership.view.usable == tuple(fleet.ids)


def test_one_way_path_is_reported_and_nobody_dies() -> None:
    # Failure: a one-way cut looks like a dead peer.
    fleet = Fleet(20, SEED)
    deaf, host = fleet.ids[1], fleet.ids[0]
    fleet.channel.cut(host, deaf)
    fleet.run_for(20.0)
    paths = fleet.hosts[host].membership.one_way_paths
    assert [(path.source, path.target) for path in paths] == [(host, deaf)]
    assert all(dead_reports(node) == [] for node in fleet.hosts.values())
    fleet.channel.heal_all()
    fleet.run_for(10.0)
    assert fleet.hosts[host].membership.one_way_paths == ()
    log = fleet.hosts[host].outbox.log
    assert OneWayPathFound(host, deaf) in log
    assert OneWayPathEnded(host, deaf) in log


def test_leaving_is_known_at_once() -> None:
    # Failure: peers lend and lease to a host that shuts down.
    fleet = Fleet(40, SEED)
    host = fleet.ids[7]
    fleet.hosts[host].membership.drain(fleet.channel.now)
    fleet.channel.flush(host)
    fleet.run_for(0.1)
    assert statuses(fleet, host) == {HostStatus.LEAVING}
    fleet.run_for(10.0)
    assert statuses(fleet, host) == {HostStatus.LEAVING}


def test_restart_on_the_same_address_is_a_new_life() -> None:
    # Failure: what was known of the old process holds for the new one.
    fleet = Fleet(20, SEED)
    host = fleet.ids[2]
    fleet.hosts[host].membership.drain(fleet.channel.now)
    fleet.channel.flush(host)
    fleet.run_for(1.0)
    fleet.stop(host)
    fleet.start_with_seeds(host, fleet.ids, incarnation=2)
    fleet.run_for(10.0)
    assert statuses(fleet, host) == {HostStatus.ALIVE}
    view = fleet.hosts[fleet.ids[0]].membership.view
    assert view.hosts[host].incarnation == 2


def test_hosts_with_different_lists_find_each_other() -> None:
    # Failure: a host that only some lists hold is unreachable for the others.
    fleet = Fleet(10, SEED)
    new = HostId("host-0099")
    fleet.start_with_seeds(new, fleet.ids[:2])
    fleet.run_for(5.0)
    for host in fleet.ids:
        view = fleet.hosts[host].membership.view
        assert view.hosts[new].status is HostStatus.ALIVE
        assert new not in view.usable
