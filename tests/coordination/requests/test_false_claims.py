"""Tests that a claim to have newer settings does not stop 401 and 404 for ever."""

from datetime import timedelta

import pytest

from catkinspan.coordination.configuration.models import (
    Freshness,
    StoreChanges,
)
from catkinspan.coordination.models import Sender
from catkinspan.coordination.requests.errors import RefusalKind
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.state.ids import HostId, RequestId, Revision
from catkinspan.testing.hosts import VirtualFleet
from tests.virtual_fleet import small_settings_tree, store_documents, virtual_fleet

MAX_DOUBT_SECONDS = 5.0
"""Time within which a fleet must find out that a revision does not exist."""

HOSTS = 12
FAR_AHEAD = 1_000


def _send(fleet: VirtualFleet, host: HostId, request_id: str, key: str) -> None:
    request = RequestArrived(
        RequestId(request_id),
        "GET",
        "shop.example",
        "/jobs/1",
        presented_key=key,
        deadline=timedelta(seconds=3),
    )
    fleet.submit_request(host, request)


def _refusal_kinds(fleet: VirtualFleet, key: str = "wrong-key") -> set[RefusalKind]:
    """Return the refusals of a request with a key at each host."""
    request_id = f"{key} {fleet.channel.now}"
    for host in fleet.hosts:
        _send(fleet, host, request_id, key)
    fleet.channel.run(fleet.channel.now + 0.4)
    kinds = set()
    for host in fleet.hosts.values():
        refusal = host.refusals.get(RequestId(request_id))
        if refusal is not None:
            kinds.add(refusal.kind)
    return kinds


def _claim(fleet: VirtualFleet, source: HostId, revision: int) -> None:
    """Let all other hosts hear that a host has a revision."""
    incarnation = fleet.channel.attached_hosts[source].incarnation
    message = Freshness(Revision(revision), 0)
    for host, node in fleet.hosts.items():
        if host != source and source in node.coordinator.view.hosts:
            sender = Sender(source, incarnation)
            node.coordinator.handle(message, sender, fleet.channel.now)


@pytest.mark.parametrize("is_hub", [True, False])
def test_single_false_claim_stops_denials_for_seconds_only(is_hub: bool) -> None:
    """Guards against one damaged message after which no host answers 401 again."""
    fleet = virtual_fleet(HOSTS)
    views = {h: node.coordinator.view for h, node in fleet.hosts.items()}
    source = next(h for h, view in views.items() if view.is_hub is is_hub)
    _claim(fleet, source, fleet.store.revision + FAR_AHEAD)
    fleet.channel.run(fleet.channel.now + MAX_DOUBT_SECONDS)
    assert _refusal_kinds(fleet) == {RefusalKind.KEY_UNKNOWN}


@pytest.mark.parametrize("step", [0, 1])
def test_repeated_false_claims_stop_denials_for_seconds_only(step: int) -> None:
    """Guards against a host that claims more and more and stops all 401s."""
    fleet = virtual_fleet(HOSTS)
    source = list(fleet.hosts)[-1]
    started_at = fleet.channel.now
    claimed = fleet.store.revision + 1
    while fleet.channel.now < started_at + MAX_DOUBT_SECONDS:
        _claim(fleet, source, claimed)
        claimed += step
        fleet.channel.run(fleet.channel.now + 0.2)
    for _ in range(4):
        _claim(fleet, source, claimed)
        assert _refusal_kinds(fleet) == {RefusalKind.KEY_UNKNOWN}


def test_change_after_a_false_claim_takes_effect() -> None:
    """Guards against a fleet that ignores real revisions after a false one."""
    fleet = virtual_fleet(HOSTS)
    source = list(fleet.hosts)[-1]
    _claim(fleet, source, fleet.store.revision + FAR_AHEAD)
    fleet.channel.run(fleet.channel.now + MAX_DOUBT_SECONDS)
    fleet.store.put(store_documents(small_settings_tree(workspaces=2)))
    fleet.channel.run(fleet.channel.now + 0.5)
    assert _refusal_kinds(fleet, "key-1") == set()


def test_hub_that_lags_for_long_does_not_confirm_its_copy() -> None:
    """Guards against an expired claim that lets an old copy count as confirmed."""
    fleet = virtual_fleet(HOSTS)
    views = {h: node.coordinator.view for h, node in fleet.hosts.items()}
    hub, follower = next(
        (hub, follower)
        for hub, view in views.items()
        for follower in view.primary_followers
        if follower not in view.hubs
    )
    fleet.store.unreachable_from = {hub, follower}
    fleet.channel.run(fleet.channel.now + 0.5)
    teller = next(h for h, view in views.items() if h in views[hub].remote_hubs)
    others = [h for h in fleet.hosts if h not in (hub, follower)]
    fleet.channel.partition([hub, follower], others)
    hub_node = fleet.hosts[hub].coordinator
    incarnation = fleet.channel.attached_hosts[teller].incarnation
    for _ in range(20):
        # The teller's contact counts as recent: it returns the hub's own clock stamp.
        stamp_ms = round(fleet.channel.now * 1000)
        news = Freshness(Revision(fleet.store.revision + 1), 0, teller, stamp_ms, 0)
        hub_node.handle(news, Sender(teller, incarnation), fleet.channel.now)
        fleet.channel.run(fleet.channel.now + 0.4)
    _send(fleet, follower, "r1", "key-1")
    fleet.channel.run(fleet.channel.now + 0.4)
    refusal = fleet.hosts[follower].refusals[RequestId("r1")]
    assert refusal.kind is RefusalKind.SETTINGS_OUTDATED


def test_changes_that_do_not_follow_the_copy_do_not_confirm_it() -> None:
    """Guards against a contact that counts although its changes were left out."""
    fleet = virtual_fleet(HOSTS)
    host = next(h for h in fleet.hosts if not fleet.hosts[h].coordinator.view.is_hub)
    others = [h for h in fleet.hosts if h != host]
    fleet.channel.partition([host], others)
    fleet.store.unreachable_from = {host}
    fleet.channel.run(fleet.channel.now + 3.0)
    revision = fleet.store.revision
    gap = StoreChanges(Revision(revision + 2), Revision(revision + 3), ())
    fleet.hosts[host].coordinator.apply_store_changes(gap, fleet.channel.now)
    _send(fleet, host, "r1", "wrong-key")
    fleet.channel.run(fleet.channel.now + 0.4)
    refusal = fleet.hosts[host].refusals[RequestId("r1")]
    assert refusal.kind is RefusalKind.SETTINGS_OUTDATED


def test_store_away_for_minutes_refuses_unknown_keys_only_and_at_once() -> None:
    """Guards against an outage that stops known callers or holds unknown ones."""
    fleet = virtual_fleet(HOSTS)
    fleet.store.is_down = True
    hosts = list(fleet.hosts)
    fleet.channel.run(fleet.channel.now + 120.0)
    for number, host in enumerate(hosts):
        _send(fleet, host, f"known-{number}", "key-0")
        _send(fleet, host, f"unknown-{number}", "wrong-key")
        refusals = fleet.hosts[host].refusals
        assert RequestId(f"known-{number}") not in refusals
        kind = refusals[RequestId(f"unknown-{number}")].kind
        assert kind is RefusalKind.SETTINGS_OUTDATED


def test_host_without_hubs_denies_by_its_own_contact() -> None:
    """Guards against 503 without end at a host that reaches the store only."""
    fleet = virtual_fleet(HOSTS)
    host = next(h for h in fleet.hosts if not fleet.hosts[h].coordinator.view.is_hub)
    fleet.channel.partition([host], [h for h in fleet.hosts if h != host])
    fleet.channel.run(fleet.channel.now + MAX_DOUBT_SECONDS)
    _send(fleet, host, "r1", "wrong-key")
    _send(fleet, host, "r2", "key-0")
    fleet.channel.run(fleet.channel.now + 0.4)
    refusals = fleet.hosts[host].refusals
    assert refusals[RequestId("r1")].kind is RefusalKind.KEY_UNKNOWN
    assert RequestId("r2") not in refusals
