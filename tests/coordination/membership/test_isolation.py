"""Tests that a host cut off from key withdrawals refuses requests with a key."""

from datetime import timedelta

from attrs import define

from catkinspan.coordination.membership.isolation import IsolationMonitor
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId


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
