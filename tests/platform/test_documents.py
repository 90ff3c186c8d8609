"""Tests the conversion of platform documents to the internal types."""

import json
from datetime import timedelta
from hashlib import sha256
from typing import Any

import pytest

from catkinspan.coordination.configuration.models import Document, ParsedDocuments
from catkinspan.platform.configuration import PlatformDocuments
from catkinspan.state.ids import Revision, RouteId, ServiceId, WorkspaceId
from catkinspan.state.tree import Address, Upstream
from tests.platform.entries import KEY, configuration, server_entry

SERVICE = ServiceId("huvo11a")


def parse(items: dict[str, str], parser: PlatformDocuments | None = None):
    documents = {
        name: Document(name, Revision(hash(text) % 10**9 + 1), text)
        for name, text in items.items()
    }
    return (parser or PlatformDocuments()).parse(documents)


def upstreams(parsed: ParsedDocuments) -> tuple[Upstream, ...]:
    return parsed.tree.services[SERVICE].upstreams


def test_configuration_is_converted_to_a_settings_tree() -> None:
    tree = parse({"op/config": configuration()}).tree
    assert tree.revision == 7
    unsafe = tree.routes[RouteId("ficu95.example/r-1")]
    assert unsafe.policy.idempotent is False
    assert unsafe.policy.deadline == timedelta(milliseconds=2500)
    assert unsafe.policy.max_attempts == 2
    assert not unsafe.policy.open
    safe = tree.routes[RouteId("ficu95.example/r-2")]
    assert safe.policy.idempotent is True
    assert safe.policy.open
    assert [(p.service, p.weight) for p in safe.split] == [
        ("huvo11a", 90),
        ("wuno96b", 10),
    ]
    tenant = tree.workspaces[WorkspaceId("huka270")]
    assert tenant.keys[0].digest == sha256(KEY.encode()).digest()
    assert (tenant.rate, tenant.burst, tenant.is_limited) == (58, 58, True)


def test_tenant_without_a_rate_is_not_limited() -> None:
    tenants = [{"name": "a", "api_keys": ["k"]}]
    tree = parse({"op/config": configuration(tenants=tenants)}).tree
    assert not tree.workspaces[WorkspaceId("a")].is_limited


def test_configuration_without_tenants_opens_all_routes() -> None:
    text = json.loads(configuration())
    del text["tenants"]
    tree = parse({"op/config": json.dumps(text)}).tree
    assert all(route.policy.open for route in tree.routes.values())


def test_server_entry_is_converted_to_an_upstream() -> None:
    items = {"op/config": configuration(), "servers/i-7": server_entry(7)}
    (upstream,) = upstreams(parse(items))
    assert upstream.id == "i-7"
    assert upstream.address == Address("10.9.0.8", 8080)
    assert (upstream.slots, upstream.max_connections) == (3, 360)
    assert not upstream.leaving


INVALID_ENTRIES: dict[str, Any] = {
    "no JSON": "\x00\x01",
    "no object": "[]",
    "no address": server_entry(1, address=None),
    "a name as address": server_entry(1, address="example.org:80"),
    "no service": server_entry(1, info={"zone": "north", "slots": 3}),
    "slots as text": server_entry(
        1, info={"service": "huvo11a", "zone": "north", "slots": "3"}
    ),
    "unknown state": server_entry(1, state="dancing"),
    "state of another type": server_entry(
        1, status={"state": 7, "sequence": 1, "warmup_left_ms": 0}
    ),
    "no sequence": server_entry(1, status={"state": "ready", "warmup_left_ms": 0}),
    "birth as a fraction": server_entry(1, born=17.5),
    "birth as text": server_entry(1, born="17"),
}


@pytest.mark.parametrize("text", INVALID_ENTRIES.values(), ids=INVALID_ENTRIES.keys())
def test_invalid_entry_is_ignored_without_affecting_others(text: str) -> None:
    items = {
        "op/config": configuration(),
        "servers/i-0": server_entry(0),
        "servers/i-1": text,
    }
    parsed = parse(items)
    assert [u.id for u in upstreams(parsed)] == ["i-0"]
    assert [fault.path.split("/")[1] for fault in parsed.ignored] == ["i-1"]


def test_entry_of_an_unknown_service_is_left_out() -> None:
    info = {"service": "other", "zone": "north", "slots": 3, "version": "v1"}
    items = {"op/config": configuration(), "servers/i-1": server_entry(1, info=info)}
    assert upstreams(parse(items)) == ()


@pytest.mark.parametrize(
    "change",
    [
        {"version": "xyz"},
        {"version": None},
        {"clusters": []},
        {"listeners": [{"host": "a", "rules": [{"name": "r", "kind": "safe"}]}]},
    ],
)
def test_invalid_configuration_leaves_the_last_one_active(change: Any) -> None:
    parser = PlatformDocuments()
    first = parse({"op/config": configuration()}, parser)
    text = json.loads(configuration(version=9))
    text.update(change)
    second = parse({"op/config": json.dumps(text)}, parser)
    assert second.tree.revision == first.tree.revision == 7
    assert second.rejected is not None
    assert second.rejected.faults


def test_new_members_are_ignored() -> None:
    parsed = parse({"op/config": configuration(novelty={"x": 1})})
    assert parsed.rejected is None
    assert parsed.tree.revision == 7


def test_change_of_one_server_keeps_the_others_as_they_were() -> None:
    """Guards against each change costing work for every published server."""
    parser = PlatformDocuments()
    items = {f"servers/i-{n}": server_entry(n) for n in range(3)}
    items["op/config"] = configuration()
    before = {u.id: u for u in upstreams(parse(items, parser))}
    items["servers/i-1"] = server_entry(1, state="draining")
    after = {u.id: u for u in upstreams(parse(items, parser))}
    assert [after[name] is before[name] for name in before] == [True, False, True]


def test_changed_connection_limit_applies_to_known_servers() -> None:
    """Guards against server entries that keep the limit of an older configuration."""
    parser = PlatformDocuments()
    items = {"op/config": configuration(), "servers/i-0": server_entry(0)}
    parse(items, parser)
    clusters = [{"name": "huvo11a", "max_conns": 17}, {"name": "wuno96b"}]
    items["op/config"] = configuration(version=9, clusters=clusters)
    assert [u.max_connections for u in upstreams(parse(items, parser))] == [17]
