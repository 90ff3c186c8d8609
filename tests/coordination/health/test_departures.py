"""Servers that announce in a response that they leave."""

import pytest
from attrs import evolve

from catkinspan.coordination.health.const import MAX_DEPARTURES
from catkinspan.coordination.health.departures import Departures
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.state.ids import DataCentre, HostId, RequestId, ServerId
from catkinspan.state.tree import Address, Upstream
from catkinspan.testing.hosts import VirtualFleet
from tests.platform.entries import platform_fleet, server_entry
from tests.virtual_fleet import READY_SECONDS

SERVER = Upstream(
    ServerId("i-1"), Address("10.0.0.1", 80), DataCentre("north"), 3, process=17
)
HOST = HostId("host-0")


def test_announcement_holds_while_the_entry_still_says_ready() -> None:
    departures = Departures()
    assert departures.record(SERVER)
    assert not departures.record(SERVER)
    departures.apply_servers({SERVER.id: evolve(SERVER, slots=4)})
    assert departures.has_announced(SERVER)


def test_announcement_holds_for_an_entry_that_lapsed_and_came_back() -> None:
    """Guards against a server that left and is used again after a store outage."""
    departures = Departures()
    departures.record(SERVER)
    departures.apply_servers({})
    departures.apply_servers({SERVER.id: SERVER})
    assert departures.has_announced(SERVER)


@pytest.mark.parametrize("process", [0, 18])
def test_announcement_ends_with_the_process(process: int) -> None:
    departures = Departures()
    departures.record(SERVER)
    departures.apply_servers({SERVER.id: evolve(SERVER, process=process)})
    assert not departures.has_announced(SERVER)


def test_announcement_of_an_unnumbered_process_ends_with_its_entry() -> None:
    unnumbered = evolve(SERVER, process=0)
    departures = Departures()
    departures.record(unnumbered)
    departures.apply_servers({unnumbered.id: unnumbered})
    assert departures.has_announced(unnumbered)
    departures.apply_servers({})
    assert not departures.has_announced(unnumbered)


def test_announcements_are_bounded() -> None:
    departures = Departures()
    servers = [evolve(SERVER, id=ServerId(f"i-{n}")) for n in range(MAX_DEPARTURES + 1)]
    for server in servers:
        departures.record(server)
    assert not departures.has_announced(servers[0])
    assert departures.has_announced(servers[-1])


def send(fleet: VirtualFleet, host: HostId, number: int) -> None:
    """Send a request that runs once to a host."""
    arrived = RequestArrived(
        RequestId(f"r-{number}"),
        "POST",
        "ficu95.example",
        "/pufi791/1",
        presented_key="2b9wu3fexd9dnn2ctnfz",
    )
    fleet.submit_request(host, arrived)


def leaving_fleet(leaving: set[str]) -> VirtualFleet:
    """Return a fleet of two servers, some of which announce that they leave."""
    fleet = platform_fleet(hosts=6, servers=2)
    fleet.announces_departure = lambda attempt: attempt.assigned.server in leaving
    fleet.channel.run(READY_SECONDS)
    return fleet


def servers_used(fleet: VirtualFleet, host: HostId, since: float) -> list[str]:
    return [
        attempt.assigned.server
        for attempt in fleet.attempts
        if attempt.host == host and attempt.started_at >= since
    ]


def test_server_gets_nothing_more_from_a_host_that_it_told() -> None:
    """Guards against requests to a leaving server whose entry says ready, without the
    store and for longer than any fixed time."""
    leaving = {"i-0"}
    fleet = leaving_fleet(leaving)
    fleet.store.is_down = True
    told_at = float("inf")
    for number in range(600):
        send(fleet, HOST, number)
        fleet.channel.run(fleet.channel.now + 0.1)
        if "i-0" in servers_used(fleet, HOST, 0.0) and told_at == float("inf"):
            told_at = fleet.channel.now
    assert told_at < 30.0
    assert set(servers_used(fleet, HOST, told_at)) == {"i-1"}


def test_server_is_used_again_after_another_process_is_published() -> None:
    leaving = {"i-0", "i-1"}
    fleet = leaving_fleet(leaving)
    for number in range(20):
        send(fleet, HOST, number)
        fleet.channel.run(fleet.channel.now + 0.1)
    used = servers_used(fleet, HOST, 0.0)
    assert sorted(used) == ["i-0", "i-1"]
    leaving.clear()
    fleet.store.put({"servers/i-0": server_entry(0, born=1790000000000)})
    fleet.channel.run(fleet.channel.now + 2.0)
    since = fleet.channel.now
    for number in range(20, 30):
        send(fleet, HOST, number)
        fleet.channel.run(fleet.channel.now + 0.1)
    assert set(servers_used(fleet, HOST, since)) == {"i-0"}


def test_host_that_only_heard_of_it_still_uses_the_server() -> None:
    """Guards against one wrong announcement that takes a server from all hosts."""
    fleet = leaving_fleet({"i-0"})
    fleet.announces_departure = lambda attempt: (
        attempt.assigned.server == "i-0" and attempt.host == HOST
    )
    other = HostId("host-3")
    for number in range(600):
        send(fleet, HOST if number < 30 else other, number)
        fleet.channel.run(fleet.channel.now + 0.05)
    assert "i-0" in servers_used(fleet, HOST, 0.0)
    recent = servers_used(fleet, other, fleet.channel.now - 10.0)
    assert recent.count("i-0") > len(recent) // 2
