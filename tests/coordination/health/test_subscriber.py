"""Tests of the order and the identity of received server states."""

import pytest

from catkinspan.coordination.health.const import MAX_STATE_AGE_SECONDS
from catkinspan.coordination.health.coordinator import HealthCoordinator
from catkinspan.coordination.health.models import (
    ServerState,
    ServerStates,
    server_digest,
)
from catkinspan.coordination.health.subscriber import StateSubscriber, _HubStream
from catkinspan.coordination.models import Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, Revision, ServerId, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Address, Service, SettingsTree, Upstream

HUB = HostId("hub")
SENDER = Sender(HUB, 1)
SERVICE = ServiceId("prints")
SERVER = 7


def states(first: int, last: int, sent_ms: int, in_flight: int) -> ServerStates:
    return ServerStates(first, last, sent_ms, (ServerState(SERVER, in_flight, 0.1),))


def load(subscriber: StateSubscriber, now: float) -> int | None:
    state = subscriber.state(SERVER, (HUB,), now)
    return None if state is None else state.in_flight


def find_shared_digest() -> tuple[ServerId, ServerId]:
    seen: dict[int, ServerId] = {}
    for number in range(1_000_000):
        server = ServerId(f"i-{number}")
        other = seen.setdefault(server_digest(server), server)
        if other != server:
            return other, server
    raise AssertionError("no two servers share a digest")


def test_servers_that_share_a_digest_do_not_get_each_others_state() -> None:
    servers = find_shared_digest()
    upstreams = tuple(
        Upstream(server, Address("10.9.0.1", 80), DataCentre("d"), 2)
        for server in servers
    )
    health = HealthCoordinator(HostId("host"), 1, Outbox())
    services = {SERVICE: Service(SERVICE, upstreams, Policy())}
    health.apply_tree(SettingsTree(Revision(1), services=services), 0.0)
    health.apply_view(FleetView(HostId("host"), DataCentre("d"), hubs=(HUB,)), 0.0)
    state = ServerState(server_digest(servers[0]), 5, 0.9)
    health.handle(ServerStates(0, 1, 0, (state,)), SENDER, 0.1)
    assert [health.server_view(server, 0.1).in_flight for server in servers] == [0, 0]


def test_late_message_does_not_replace_a_newer_state() -> None:
    subscriber = StateSubscriber()
    subscriber.receive(states(0, 1, 1000, 1), SENDER, {}, 1.0)
    subscriber.receive(states(2, 3, 1200, 3), SENDER, {}, 1.2)
    assert subscriber.missed_states((HUB,), 1.2) == [(HUB, 1)]
    subscriber.receive(states(1, 2, 1100, 2), SENDER, {}, 1.3)
    assert load(subscriber, 1.3) == 3


def test_restarted_hub_replaces_the_states_of_its_earlier_process() -> None:
    """Guards against sequence numbers of a new process that count as already seen."""
    subscriber = StateSubscriber()
    subscriber.receive(states(0, 9, 1000, 1), SENDER, {}, 1.0)
    subscriber.receive(states(0, 1, 5, 4), Sender(HUB, 2), {}, 1.5)
    assert load(subscriber, 1.5) == 4


def test_silent_hub_has_no_state() -> None:
    subscriber = StateSubscriber()
    subscriber.receive(states(0, 1, 1000, 1), SENDER, {}, 1.0)
    assert load(subscriber, 3.4) == 1
    assert load(subscriber, 3.6) is None


def test_freshness_of_hubs_is_checked_once_for_all_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a choice that checks each hub again for every server."""
    checks = 0
    is_current = _HubStream.is_current

    def count(self: _HubStream, now: float) -> bool:
        nonlocal checks
        checks += 1
        return is_current(self, now)

    hubs = (HUB, HostId("standby"))
    subscriber = StateSubscriber()
    for hub in hubs:
        subscriber.receive(states(0, 1, 1000, 2), Sender(hub, 1), {}, 10.0)
    monkeypatch.setattr(_HubStream, "is_current", count)
    for server in range(100):
        subscriber.state(server, hubs, 10.1)
        subscriber.age(hubs, 10.1)
    assert checks == len(hubs)


def test_states_are_never_taken_from_an_earlier_time() -> None:
    """Guards against a cached state after a message, a later time or a pause."""
    subscriber = StateSubscriber()
    assert load(subscriber, 10.0) is None
    subscriber.receive(states(0, 1, 1000, 2), SENDER, {}, 10.0)
    assert load(subscriber, 10.0) == 2
    subscriber.receive(states(1, 2, 1000, 3), SENDER, {}, 10.0)
    assert load(subscriber, 10.0) == 3
    assert load(subscriber, 10.1 + MAX_STATE_AGE_SECONDS) is None
    assert load(subscriber, 10.0) == 3
    subscriber.clear()
    assert load(subscriber, 10.0) is None
