"""Tests that a host cut off from key withdrawals refuses requests with a key."""

from datetime import timedelta

from attrs import define

from catkinspan.coordination.membership.isolation import IsolationMonitor
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.testing.hosts import VirtualFleet
from tests.virtual_fleet import DATA_CENTRES, virtual_fleet

ISOLATION_SECONDS = 5.0
"""Default of the setting `isolation_ms`."""


@define
class StubContact:
    age: float = 0.0

    def contact_age(self, now: float) -> float:
        return self.age


def view(known: int, alive: int) -> FleetView:
    return FleetView(HostId("a"), DataCentre("d"), known_count=known, alive_count=alive)


def monitor(contact: StubContact, limit: float | None = 5.0) -> IsolationMonitor:
    isolation = IsolationMonitor(contact, Outbox())
    isolation.apply_limit(None if limit is None else timedelta(seconds=limit))
    return isolation


def test_host_without_store_contact_or_alive_peers_is_isolated() -> None:
    contact = StubContact(6.0)
    isolation = monitor(contact)
    isolation.tick(view(40, 1), 0.0)
    assert isolation.is_isolated
    contact.age = 0.1
    isolation.tick(view(40, 1), 1.0)
    assert not isolation.is_isolated


def test_fleet_without_the_store_keeps_serving() -> None:
    """Guards against hosts that refuse requests in a long outage of the store although
    they hear each other."""
    isolation = monitor(StubContact(7200.0))
    isolation.tick(view(40, 30), 0.0)
    assert not isolation.is_isolated


def test_isolation_can_be_disabled() -> None:
    isolation = monitor(StubContact(7200.0), limit=None)
    isolation.tick(view(40, 1), 0.0)
    assert not isolation.is_isolated


def test_every_host_of_a_data_centre_that_is_cut_off_is_isolated() -> None:
    """Guards against hosts that go on by old settings because they take the number of
    other hosts from hubs that no longer hear them."""
    fleet = virtual_fleet(18)
    north = [h for h in fleet.hosts if int(h.split("-")[1]) % len(DATA_CENTRES) == 0]
    others = [host for host in fleet.hosts if host not in north]
    fleet.channel.partition(north, others)
    fleet.store.unreachable_from.update(north)
    fleet.channel.run(fleet.channel.now + ISOLATION_SECONDS + 2.0)
    assert _isolated(fleet) == set(north)
    fleet.channel.heal_all()
    fleet.channel.run(fleet.channel.now + 5.0)
    assert _isolated(fleet) == set()


def test_hosts_that_hear_each_other_are_not_isolated_with_the_store_away() -> None:
    """Guards against a partition of one data centre that isolates the others."""
    fleet = virtual_fleet(18)
    north = [h for h in fleet.hosts if int(h.split("-")[1]) % len(DATA_CENTRES) == 0]
    east = [h for h in fleet.hosts if int(h.split("-")[1]) % len(DATA_CENTRES) == 1]
    fleet.channel.partition(north, east)
    fleet.store.is_down = True
    fleet.channel.run(fleet.channel.now + ISOLATION_SECONDS + 5.0)
    assert _isolated(fleet) == set()


def _isolated(fleet: VirtualFleet) -> set[HostId]:
    now = fleet.channel.now
    return {h for h, node in fleet.hosts.items() if node.coordinator.is_isolated(now)}


def test_host_stays_isolated_when_it_has_forgotten_the_others() -> None:
    """Guards against a data centre that serves by old settings again because the hosts
    that it lost are no longer counted."""
    contact = StubContact(6.0)
    isolation = monitor(contact)
    isolation.tick(view(18, 6), 0.0)
    isolation.tick(view(6, 6), 45.0)
    assert isolation.is_isolated
    isolation.tick(view(18, 18), 50.0)
    assert not isolation.is_isolated
