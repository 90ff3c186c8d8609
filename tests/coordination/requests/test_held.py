"""Tests requests that arrive at a host before it has a configuration."""

from datetime import timedelta
from random import Random

import pytest

from catkinspan.coordination.requests.errors import RefusalKind
from catkinspan.coordination.requests.models import RequestAbandoned, RequestArrived
from catkinspan.protocol.settings.documents import TreeDocuments
from catkinspan.state.ids import HostId, RequestId
from catkinspan.testing.hosts import VirtualFleet
from tests.virtual_fleet import host_records, small_settings_tree, store_documents

DEADLINE_SECONDS = 3.0
REQUEST = RequestId("r1")


ARRIVAL_SECONDS = 0.05


def _fleet_with_request(is_store_down: bool) -> tuple[VirtualFleet, HostId]:
    """Return a newly started fleet and the host that received a request."""
    fleet = VirtualFleet(
        host_records(3),
        store_documents(small_settings_tree()),
        TreeDocuments,
        Random(1),
    )
    fleet.store.is_down = is_store_down
    fleet.channel.run(ARRIVAL_SECONDS)
    host = next(iter(fleet.hosts))
    fleet.submit_request(host, _make_request())
    return fleet, host


def _make_request() -> RequestArrived:
    return RequestArrived(
        REQUEST,
        "GET",
        "shop.example",
        "/jobs/1",
        presented_key="key-0",
        deadline=timedelta(seconds=DEADLINE_SECONDS),
    )


def test_request_to_a_starting_host_is_served() -> None:
    """Guards against refusals in the first second after a restart of the whole fleet.

    Hosts waited half a second for hubs before they read the store.
    """
    fleet, host = _fleet_with_request(is_store_down=False)
    fleet.channel.run(0.15)
    assert REQUEST in fleet.hosts[host].finished
    assert fleet.hosts[host].refusals == {}
    assigned = fleet.attempts[0].assigned
    assert assigned.deadline == pytest.approx(ARRIVAL_SECONDS + DEADLINE_SECONDS)


def test_request_is_refused_in_time_while_the_store_is_down() -> None:
    """Guards against an unlimited hold, which leaves the caller no time to retry at
    another host."""
    fleet, host = _fleet_with_request(is_store_down=True)
    fleet.channel.run(ARRIVAL_SECONDS + DEADLINE_SECONDS / 4 + 0.1)
    refusal = fleet.hosts[host].refusals[REQUEST]
    assert refusal.kind is RefusalKind.NOT_READY
    assert fleet.attempts == []


def test_abandoned_request_never_runs() -> None:
    """Guards against a held request that is sent after its caller disconnected."""
    fleet, host = _fleet_with_request(is_store_down=True)
    coordinator = fleet.hosts[host].coordinator
    coordinator.handle_request(RequestAbandoned(REQUEST), fleet.channel.now)
    fleet.store.is_down = False
    fleet.channel.run(2.0)
    assert fleet.attempts == []
    assert coordinator.requests.held_count == 0
