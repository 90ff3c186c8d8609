"""Tests that a host does not take its outdated settings for a fault of the caller."""

from datetime import timedelta

import pytest

from catkinspan.coordination.configuration.models import Freshness
from catkinspan.coordination.models import Sender
from catkinspan.coordination.requests.errors import RefusalKind
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.state.ids import HostId, RequestId, Revision
from catkinspan.testing.hosts import VirtualFleet
from tests.virtual_fleet import small_settings_tree, store_documents, virtual_fleet

APPLY_SECONDS = 2.5
"""Time after which a change must be in force everywhere (the platform's bound)."""


def _send(
    fleet: VirtualFleet,
    host: HostId,
    key: str,
    path: str = "/jobs/1",
    request_id: str = "r1",
) -> None:
    request = RequestArrived(
        RequestId(request_id),
        "GET",
        "shop.example",
        path,
        presented_key=key,
        deadline=timedelta(seconds=3),
    )
    fleet.submit_request(host, request)


def _refusal_kind(fleet: VirtualFleet, host: HostId) -> RefusalKind | None:
    refusal = fleet.hosts[host].refusals.get(RequestId("r1"))
    return None if refusal is None else refusal.kind


def _cut_off_follower(fleet: VirtualFleet) -> HostId:
    hosts = list(fleet.hosts)
    host = next(h for h in hosts if not fleet.hosts[h].coordinator.view.is_hub)
    fleet.channel.partition([host], [h for h in hosts if h != host])
    fleet.store.unreachable_from = {host}
    return host


def _publish_second_workspace_and_route(fleet: VirtualFleet) -> None:
    tree = small_settings_tree(workspaces=2)
    tree["services"]["prints"]["routes"]["proofs"] = {
        "match": {"path_prefix": "/proofs"}
    }
    fleet.store.put(store_documents(tree))


@pytest.mark.parametrize(
    ("key", "path"), [("key-1", "/jobs/1"), ("key-0", "/proofs/1")]
)
def test_outdated_host_does_not_deny_what_it_cannot_know(key: str, path: str) -> None:
    """Guards against 401 and 404 for a new key or route at a host that is cut off."""
    fleet = virtual_fleet(12)
    host = _cut_off_follower(fleet)
    _publish_second_workspace_and_route(fleet)
    fleet.channel.run(fleet.channel.now + APPLY_SECONDS)
    _send(fleet, host, key, path)
    assert _refusal_kind(fleet, host) is RefusalKind.SETTINGS_OUTDATED
    assert fleet.hosts[host].refusals[RequestId("r1")].retry_after is not None


def test_withdrawn_key_is_not_served_by_an_outdated_host() -> None:
    before = small_settings_tree(workspaces=2)
    fleet = virtual_fleet(12, before)
    after = store_documents(small_settings_tree(workspaces=1))
    removed = dict.fromkeys(store_documents(before).keys() - after.keys())
    fleet.store.put({**after, **removed})
    fleet.channel.run(fleet.channel.now + 1.0)
    host = _cut_off_follower(fleet)
    fleet.channel.run(fleet.channel.now + APPLY_SECONDS)
    _send(fleet, host, "key-1")
    fleet.channel.run(fleet.channel.now + 1.0)
    assert _refusal_kind(fleet, host) is RefusalKind.SETTINGS_OUTDATED
    assert fleet.attempts == []


def test_wrong_key_is_denied_at_once_by_an_up_to_date_host() -> None:
    """Guards against 503 for wrong keys and paths, which callers would send again."""
    fleet = virtual_fleet(12)
    for step in range(40):
        fleet.channel.run(fleet.channel.now + 0.1)
        host = list(fleet.hosts)[step % 12]
        _send(fleet, host, "wrong-key")
        assert _refusal_kind(fleet, host) is RefusalKind.KEY_UNKNOWN
        _send(fleet, host, "key-0", "/nowhere")
        assert _refusal_kind(fleet, host) is RefusalKind.ROUTE_NOT_FOUND


@pytest.mark.parametrize(("key", "is_served"), [("key-1", True), ("wrong-key", False)])
def test_request_waits_for_a_pull_under_way(key: str, is_served: bool) -> None:
    """Guards against a denial or a detour while the settings are a few ms away."""
    fleet = virtual_fleet(12)
    host = next(h for h in fleet.hosts if not fleet.hosts[h].coordinator.view.is_hub)
    _publish_second_workspace_and_route(fleet)
    coordinator = fleet.hosts[host].coordinator
    news = Freshness(Revision(fleet.store.revision), 0)
    hub = coordinator.view.hubs[0]
    incarnation = fleet.channel.attached_hosts[hub].incarnation
    coordinator.handle(news, Sender(hub, incarnation), fleet.channel.now)
    _send(fleet, host, key)
    assert _refusal_kind(fleet, host) is None
    fleet.channel.run(fleet.channel.now + 0.3)
    assert (RequestId("r1") in fleet.hosts[host].finished) is is_served
    assert _refusal_kind(fleet, host) is (
        None if is_served else RefusalKind.KEY_UNKNOWN
    )


def test_hub_that_lags_does_not_confirm_its_copy() -> None:
    """Guards against hosts that take an old copy for current because its hub does."""
    fleet = virtual_fleet(12)
    views = {h: node.coordinator.view for h, node in fleet.hosts.items()}
    hub, follower = next(
        (hub, follower)
        for hub, view in views.items()
        for follower in view.primary_followers
        if follower not in view.hubs
    )
    others = [h for h in fleet.hosts if h not in (hub, follower)]
    fleet.channel.partition([hub, follower], others)
    fleet.store.unreachable_from = {hub, follower}
    news = Freshness(Revision(fleet.store.revision + 1), 0)
    hub_node = fleet.hosts[hub].coordinator
    teller = others[0]
    incarnation = fleet.channel.attached_hosts[teller].incarnation
    for _ in range(4):
        hub_node.handle(news, Sender(teller, incarnation), fleet.channel.now)
        fleet.channel.run(fleet.channel.now + 0.5)
    _send(fleet, follower, "key-1")
    fleet.channel.run(fleet.channel.now + 0.5)
    assert _refusal_kind(fleet, follower) is RefusalKind.SETTINGS_OUTDATED


def test_news_that_waited_before_a_link_do_not_count_as_recent() -> None:
    """Guards against 404 for a new route at a host whose news are seconds late."""
    fleet = virtual_fleet(12)
    host = next(h for h in fleet.hosts if not fleet.hosts[h].coordinator.view.is_hub)
    fleet.channel.set_path_delay(
        lambda source, target: (3.0, 3.1) if target == host else (0.001, 0.004)
    )
    fleet.store.unreachable_from = {host}
    fleet.channel.run(fleet.channel.now + 4.0)
    _publish_second_workspace_and_route(fleet)
    fleet.channel.run(fleet.channel.now + APPLY_SECONDS)
    _send(fleet, host, "key-0", "/proofs/1")
    assert _refusal_kind(fleet, host) is RefusalKind.SETTINGS_OUTDATED


def test_host_without_hub_does_not_claim_that_a_rate_is_exceeded() -> None:
    """Guards against 429, which blames the caller, at a host that hears no hub."""
    fleet = virtual_fleet(12, small_settings_tree(rate=2.0, burst=2.0))
    host = _cut_off_follower(fleet)
    fleet.channel.run(fleet.channel.now + APPLY_SECONDS)
    for number in range(20):
        _send(fleet, host, "key-0", request_id=f"r{number}")
    refusals = fleet.hosts[host].refusals.values()
    assert {refusal.kind for refusal in refusals} == {RefusalKind.RATE_UNKNOWN}
    assert all(refusal.retry_after is not None for refusal in refusals)
