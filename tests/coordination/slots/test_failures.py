"""Guards against lost requests, lost slots and double use when a part fails."""

from collections.abc import Iterable
from functools import partial

import pytest
from bench.slots import SERVICE, WORKSPACES, Deployment, Fleet

from catkinspan.coordination.slots.roles import Roles
from catkinspan.state.ids import DataCentre, HostId

TOWN = Deployment("town", servers=9, slots=3, hosts=12)
END = 9.0
CENTRE = DataCentre("dc0")


def loaded(
    seed: int, load: float = 0.5, loss: float = 0.0, duplication: float = 0.0
) -> Fleet:
    """Return a fleet with steady traffic until `END`."""
    fleet = Fleet(TOWN, seed, loss=loss, duplication=duplication)
    for workspace in WORKSPACES:
        fleet.arrivals(workspace, load * TOWN.capacity / 8, END)
    return fleet


def dispatcher_of(fleet: Fleet, centre: DataCentre = CENTRE) -> HostId:
    view = fleet.nodes[sorted(fleet.hosts)[0]].slots._view
    host = Roles(view).dispatcher(SERVICE, centre)
    assert host is not None
    return host


def other_in(fleet: Fleet, centre: DataCentre, besides: HostId) -> HostId:
    return next(
        h for h in sorted(fleet.hosts) if fleet.hosts[h] == centre and h != besides
    )


def without(fleet: Fleet, host: HostId) -> dict[HostId, DataCentre]:
    return {h: centre for h, centre in fleet.hosts.items() if h != host}


def assert_all_answered(fleet: Fleet, besides: Iterable[HostId] = ()) -> None:
    """Check that requests of living hosts ended and that all slots came back."""
    tally = fleet.tally
    ended = sum(tally.done.values()) + sum(tally.refused.values()) + tally.failed
    assert besides or ended == sum(tally.arrived.values())
    now = fleet.channel.now
    for host in fleet.channel.members:
        snapshot = fleet.nodes[host].slots.snapshot(now)
        for service in snapshot.services.values():
            assert (sum(service.waiting.values()), service.leases) == (0, 0)
        for part in snapshot.dispatched.values():
            assert (part.used, part.borrowed, part.lent) == (0, 0, 0)


def test_healthy_dispatchers_do_not_collide() -> None:
    # Guards against two dispatchers, or two hosts, that use the same slot.
    fleet = loaded(1, load=0.8)
    fleet.channel.run(END + 8.0)
    assert fleet.tally.sheds == 0
    assert_all_answered(fleet)


@pytest.mark.parametrize("seed", [1, 2])
def test_lost_and_doubled_messages(seed: int) -> None:
    # Guards against slots that stay leased after a lost return, and against a doubled
    # ask or grant that uses a slot twice.
    fleet = loaded(seed, loss=0.02, duplication=0.05)
    fleet.channel.run(END + 8.0)
    assert_all_answered(fleet)
    assert fleet.tally.sheds_per_thousand < 5
    assert fleet.tally.failed == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_dispatcher_dies(seed: int) -> None:
    # Guards against requests that wait for a dead dispatcher, and against a successor
    # that leases slots which are still in use.
    fleet = loaded(seed)
    dead = dispatcher_of(fleet)
    fleet.channel.at(4.0, lambda: fleet.channel.detach(dead))
    fleet.channel.at(5.5, lambda: fleet.apply_views(without(fleet, dead)))
    fleet.measure_from = 4.01
    fleet.channel.run(4.6)
    host = other_in(fleet, CENTRE, dead)
    slots = fleet.nodes[host].slots
    assert slots.snapshot(fleet.channel.now).services[SERVICE].fallback
    fleet.channel.run(7.0)
    assert not slots.snapshot(fleet.channel.now).services[SERVICE].fallback
    sheds = fleet.servers.shed
    fleet.channel.run(END + 8.0)
    assert fleet.servers.shed == sheds
    assert_all_answered(fleet, besides=[dead])
    assert sum(fleet.tally.refused.values()) == 0
    assert fleet.tally.failed <= 0.01 * sum(fleet.tally.arrived.values())


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_dispatcher_moves_between_living_hosts(seed: int) -> None:
    # Guards against double use while the old and the new dispatcher both have leases
    # and hosts learn of the move at different times.
    fleet = loaded(seed)
    old = dispatcher_of(fleet)
    hosts = without(fleet, old)
    for i, host in enumerate(sorted(fleet.hosts)):
        fleet.channel.at(4.0 + 0.05 * i, partial(fleet.apply_view, host, hosts))
    fleet.measure_from = 4.0
    fleet.channel.run(END + 8.0)
    assert fleet.tally.sheds_per_thousand < 10
    assert sum(fleet.tally.refused.values()) + fleet.tally.failed == 0


@pytest.mark.parametrize("towards", [True, False])
def test_path_to_the_dispatcher_is_cut_one_way(towards: bool) -> None:
    # Guards against a host that waits for answers that never come, and against slots
    # leased to a host that cannot hear of it.
    fleet = loaded(4)
    dispatcher = dispatcher_of(fleet)
    host = other_in(fleet, CENTRE, dispatcher)
    path = (host, dispatcher) if towards else (dispatcher, host)
    fleet.channel.at(3.0, lambda: fleet.channel.cut(*path))
    fleet.channel.run(4.0)
    service = fleet.nodes[host].slots.snapshot(4.0).services[SERVICE]
    assert service.fallback
    fleet.channel.at(6.0, fleet.channel.heal_all)
    fleet.channel.run(8.5)
    service = fleet.nodes[host].slots.snapshot(8.5).services[SERVICE]
    assert not service.fallback
    fleet.channel.run(END + 8.0)
    assert_all_answered(fleet)
    assert sum(fleet.tally.refused.values()) == 0
    assert fleet.tally.sheds_per_thousand < 30


def test_paused_host_drops_its_leases() -> None:
    # Guards against a host that wakes and uses slots which others have by then.
    fleet = loaded(5)
    dispatcher = dispatcher_of(fleet)
    host = other_in(fleet, CENTRE, dispatcher)
    fleet.channel.run(3.0)
    before = fleet.leases_of(host)
    fleet.pause(host)
    fleet.channel.run(8.0)
    sheds = fleet.servers.shed
    fleet.wake(host)
    assert not before & fleet.leases_of(host)
    fleet.channel.run(END + 8.0)
    assert_all_answered(fleet, besides=[host])
    assert fleet.servers.shed == sheds


def test_paused_dispatcher_starts_over() -> None:
    # Guards against a dispatcher that wakes with a ledger from before its pause.
    fleet = loaded(6)
    dispatcher = dispatcher_of(fleet)
    fleet.channel.run(3.0)
    fleet.pause(dispatcher)
    fleet.channel.run(6.0)
    sheds = fleet.servers.shed
    fleet.wake(dispatcher)
    fleet.channel.run(6.1)
    part = fleet.nodes[dispatcher].slots.snapshot(6.1).dispatched.get(SERVICE)
    assert part is None or part.careful
    fleet.channel.run(END + 8.0)
    assert fleet.servers.shed - sheds <= 0.02 * fleet.servers.served
    assert_all_answered(fleet, besides=[dispatcher])


@pytest.mark.parametrize("known", [True, False])
def test_slots_of_a_dead_host_come_back(known: bool) -> None:
    # Guards against slots that stay leased to a dead host, whether or not the
    # membership has noticed.
    fleet = loaded(7)
    dispatcher = dispatcher_of(fleet)
    dead = other_in(fleet, CENTRE, dispatcher)
    fleet.channel.run(4.0)
    fleet.channel.detach(dead)
    if known:
        fleet.apply_views(without(fleet, dead))
    fleet.channel.run(END + 8.0)
    assert_all_answered(fleet, besides=[dead])


def test_drain_hands_back_all_leases() -> None:
    # Guards against slots that a leaving host takes along, and against running
    # requests that a drain cuts off.
    fleet = loaded(8)
    fleet.channel.run(3.0)
    host = next(h for h in sorted(fleet.hosts) if fleet.leases_of(h))
    node = fleet.nodes[host]
    node.slots.drain(3.0)
    node.settle()
    fleet.channel.run(3.01)
    assert node.slots.snapshot(3.01).services[SERVICE].idle_leases == 0
    fleet.channel.run(END + 8.0)
    assert_all_answered(fleet)
    assert fleet.tally.sheds == 0


def test_restarted_host_gets_its_old_slots_freed() -> None:
    # Guards against a restarted host whose former life still holds slots.
    fleet = loaded(9)
    dispatcher = dispatcher_of(fleet)
    host = other_in(fleet, CENTRE, dispatcher)
    fleet.channel.run(3.0)
    fleet.channel.detach(host)
    held = fleet.leases_of(host)
    fleet.restart(host)
    fleet.channel.run(3.3)
    assert held
    assert not held & fleet.leases_of(host)


def test_flood_without_any_dispatcher() -> None:
    # Guards against a flood that takes the others' slots while all hosts choose
    # servers directly and upstreams shed.
    fleet = Fleet(TOWN, 10)
    for one in fleet.hosts:
        fleet.channel.partition([one], [h for h in fleet.hosts if h != one])
    rate = 0.6 * TOWN.capacity / 8
    for i, workspace in enumerate(WORKSPACES):
        fleet.arrivals(workspace, rate * (10 if i == 0 else 1), END)
    fleet.measure_from = 2.0
    fleet.channel.run(END + 8.0)
    tally = fleet.tally
    others = [tally.done[w] / tally.arrived[w] for w in WORKSPACES[1:]]
    assert min(others) >= 2 * tally.done[WORKSPACES[0]] / tally.arrived[WORKSPACES[0]]
    assert tally.retries <= 0.1 * sum(tally.arrived.values()) + len(fleet.hosts)
