"""Unusable values of the configuration, read by a fleet that has none yet.

Guards against one unknown word that takes all routes or all callers out of service.
"""

import json
from collections.abc import Callable
from typing import Any

import pytest
from attrs import frozen

from catkinspan.coordination.host.coordinator import HostCoordinator
from catkinspan.coordination.requests.errors import Ran, Refusal, RefusalKind
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.platform.configuration import PlatformDocuments
from catkinspan.state.ids import HostId, RequestId, RouteId, WorkspaceId
from tests.platform.entries import KEY, configuration, platform_fleet
from tests.platform.test_documents import parse
from tests.virtual_fleet import READY_SECONDS

UNSAFE_PATH, SAFE_PATH = "/pufi791/1", "/lohu930/1"
Edit = Callable[[dict[str, Any]], None]


def rule(document: dict[str, Any], index: int = 0) -> dict[str, Any]:
    return document["listeners"][0]["rules"][index]


def setter(*path: Any, value: Any) -> Edit:
    def edit(document: dict[str, Any]) -> None:
        target: Any = document
        for name in path[:-1]:
            target = target[name]
        if value is None:
            target.pop(path[-1], None)
        else:
            target[path[-1]] = value

    return edit


RULE = ("listeners", 0, "rules", 0)
TENANT = ("tenants", 0)


def edited(edit: Edit) -> str:
    document = json.loads(configuration())
    rule(document, 1)["action"] = {"service": "huvo11a", "timeout_ms": 2000}
    edit(document)
    return json.dumps(document)


DEFAULTED: dict[str, tuple[Edit, Callable[[Any], bool]]] = {
    "unknown kind": (
        setter(*RULE, "kind", value="stream"),
        lambda policy: policy.idempotent is False,
    ),
    "kind of another type": (
        setter(*RULE, "kind", value=["safe"]),
        lambda policy: policy.idempotent is False,
    ),
    "missing kind": (
        setter(*RULE, "kind", value=None),
        lambda policy: policy.idempotent is False,
    ),
    "time-out as text": (
        setter(*RULE, "action", "timeout_ms", value="2500"),
        lambda policy: policy.deadline.total_seconds() == 10,
    ),
    "too many attempts": (
        setter(*RULE, "action", "max_attempts", value=1e300),
        lambda policy: policy.max_attempts == 1,
    ),
    "target latency as text": (
        setter(*RULE, "target_latency_ms", value="fast"),
        lambda policy: policy.target_latency.total_seconds() == 1,
    ),
    "priority as text": (
        setter(*RULE, "priority", value="high"),
        lambda policy: policy.priority == 1,
    ),
    "public as text": (
        setter(*RULE, "public", value="true"),
        lambda policy: policy.open is False,
    ),
    "limit of bodies as text": (
        setter("limits", "max_body_bytes", value="many"),
        lambda policy: policy.max_body_bytes == 10 * 1024 * 1024,
    ),
}


@pytest.mark.parametrize("name", DEFAULTED)
def test_unusable_value_gets_a_cautious_default(name: str) -> None:
    edit, is_cautious = DEFAULTED[name]
    parsed = parse({"op/config": edited(edit)})
    assert parsed.rejected is None
    assert is_cautious(parsed.tree.routes[RouteId("ficu95.example/r-1")].policy)
    (fault,) = parsed.tolerated
    assert fault.message
    assert fault.remedy


def test_download_requests_may_be_repeated() -> None:
    """Guards against a fleet that does not become ready with a route of this kind."""
    parsed = parse({"op/config": edited(setter(*RULE, "kind", value="download"))})
    assert parsed.tree.routes[RouteId("ficu95.example/r-1")].policy.idempotent
    assert not parsed.tolerated


def test_connection_limit_of_another_type_gets_the_default() -> None:
    edit = setter("clusters", 0, "max_conns", value="many")
    parsed = parse({"op/config": edited(edit)})
    assert parsed.rejected is None
    assert len(parsed.tolerated) == 1


def test_rules_of_the_same_name_stay_separate_routes() -> None:
    """Guards against a route that vanishes because another one has its name."""
    edit = setter("listeners", 0, "rules", 1, "name", value="r-1")
    assert len(parse({"op/config": edited(edit)}).tree.routes) == 2


ROUTE_FAULTS: dict[str, Edit] = {
    "unknown service": setter(*RULE, "action", "service", value="other"),
    "missing service": setter(*RULE, "action", "service", value=None),
    "missing action": setter(*RULE, "action", value=None),
    "split of another type": setter(*RULE, "action", "traffic_split", value="even"),
    "split without weights": setter(
        *RULE, "action", "traffic_split", value=[{"service": "huvo11a", "weight": 0}]
    ),
    "weight as text": setter(
        *RULE, "action", "traffic_split", value=[{"service": "huvo11a", "weight": "1"}]
    ),
    "negative weight": setter(
        *RULE,
        "action",
        "traffic_split",
        value=[
            {"service": "huvo11a", "weight": 2},
            {"service": "wuno96b", "weight": -1},
        ],
    ),
}

UNMATCHED_FAULTS: dict[str, Edit] = {
    "missing path prefix": setter(*RULE, "match", value=None),
    "path prefix of another type": setter(*RULE, "match", "path_prefix", value=7),
    "path prefix without a slash": setter(*RULE, "match", "path_prefix", value="pu"),
    "rule of another type": setter(*RULE, value="rule"),
    "second listener without a host": lambda document: document["listeners"].append(
        {"rules": [rule(document)]}
    ),
    "second listener of another type": lambda document: document["listeners"].append(7),
}

TENANT_FAULTS: dict[str, Edit] = {
    "rate as text": setter(*TENANT, "rate_per_s", value="58"),
    "negative rate": setter(*TENANT, "rate_per_s", value=-1),
    "burst as text": setter(*TENANT, "burst", value="58"),
    "second tenant of the name": lambda document: document["tenants"].append(
        {"name": "huka270", "api_keys": ["other"]}
    ),
}

KEY_FAULTS: dict[str, Edit] = {
    "missing name": setter(*TENANT, "name", value=None),
    "keys of another type": setter(*TENANT, "api_keys", value=KEY),
    "key of another type": setter(*TENANT, "api_keys", value=[7]),
    "tenant of another type": setter(*TENANT, value="huka270"),
    "tenants of another type": setter("tenants", value={"huka270": KEY}),
    "key of two tenants": lambda document: document["tenants"].append(
        {"name": "second", "api_keys": [KEY]}
    ),
}


@frozen
class Answer:
    """How a request ended, and the host that took it."""

    is_served: bool
    refusal: Refusal | None
    host: HostCoordinator


def ask(text: str, path: str, key: str | None = KEY) -> Answer:
    """Send a request to a fleet that starts with a configuration."""
    fleet = platform_fleet(hosts=3, text=text)
    fleet.channel.run(READY_SECONDS)
    host, request_id = HostId("host-0"), RequestId("r-1")
    arrived = RequestArrived(
        request_id, "GET", "ficu95.example", path, presented_key=key
    )
    fleet.submit_request(host, arrived)
    fleet.channel.run(READY_SECONDS + 1.0)
    node = fleet.hosts[host]
    refusal = node.refusals.get(request_id)
    return Answer(request_id in node.finished, refusal, node.coordinator)


def assert_refused_as_unusable(answer: Answer) -> None:
    assert answer.refusal is not None
    assert answer.refusal.kind is RefusalKind.SETTINGS_UNUSABLE
    assert answer.refusal.ran is Ran.NO
    assert answer.refusal.retry_after


@pytest.mark.parametrize("edit", ROUTE_FAULTS.values(), ids=ROUTE_FAULTS)
def test_unusable_route_is_refused_and_the_others_serve(edit: Edit) -> None:
    assert_refused_as_unusable(ask(edited(edit), UNSAFE_PATH))
    assert ask(edited(edit), SAFE_PATH).is_served


@pytest.mark.parametrize("edit", UNMATCHED_FAULTS.values(), ids=UNMATCHED_FAULTS)
def test_no_request_is_not_found_if_a_route_cannot_be_read(edit: Edit) -> None:
    assert_refused_as_unusable(ask(edited(edit), "/other/1"))
    assert ask(edited(edit), SAFE_PATH).is_served


@pytest.mark.parametrize("edit", TENANT_FAULTS.values(), ids=TENANT_FAULTS)
def test_unusable_tenant_is_refused_and_others_serve(edit: Edit) -> None:
    assert_refused_as_unusable(ask(edited(edit), UNSAFE_PATH))
    assert ask(edited(edit), SAFE_PATH).is_served


@pytest.mark.parametrize("edit", KEY_FAULTS.values(), ids=KEY_FAULTS)
def test_no_key_is_unknown_if_a_tenant_cannot_be_read(edit: Edit) -> None:
    assert_refused_as_unusable(ask(edited(edit), UNSAFE_PATH))
    assert ask(edited(edit), SAFE_PATH).is_served


def test_missing_key_stays_a_final_refusal() -> None:
    text = edited(KEY_FAULTS["missing name"])
    refusal = ask(text, UNSAFE_PATH, key=None).refusal
    assert refusal is not None
    assert refusal.kind is RefusalKind.KEY_MISSING


DOCUMENT_FAULTS: dict[str, str] = {
    "no JSON": "\x00",
    "deeply nested": "[" * 100_000,
    "no object": "[]",
    "no version": edited(setter("version", value=None)),
    "version with a sign": edited(setter("version", value="-0000007")),
    "version beyond 63 bits": edited(setter("version", value="f" * 16)),
    "version of 5,000 digits": edited(setter("version", value="f" * 5000)),
    "no listeners": edited(setter("listeners", value=None)),
    "listeners of another type": edited(setter("listeners", value={})),
    "no clusters": edited(setter("clusters", value=None)),
}


@pytest.mark.parametrize("text", DOCUMENT_FAULTS.values(), ids=DOCUMENT_FAULTS)
def test_unusable_document_is_rejected_and_the_last_one_stays(text: str) -> None:
    parser = PlatformDocuments()
    assert parse({"op/config": text}, parser).rejected is not None
    assert parse({"op/config": configuration()}, parser).tree.revision == 7
    rejected = parse({"op/config": text}, parser)
    assert rejected.rejected is not None
    assert all(fault.remedy for fault in rejected.rejected.faults)
    assert rejected.tree.revision == 7


def test_fault_is_told_in_the_configuration_snapshot() -> None:
    """Guards against a tolerated fault that operators cannot see."""
    answer = ask(edited(DEFAULTED["unknown kind"][0]), SAFE_PATH)
    (fault,) = answer.host.configuration.snapshot(READY_SECONDS).faults
    assert "stream" in str(fault)


def test_tenant_with_an_unusable_priority_serves() -> None:
    parsed = parse({"op/config": edited(setter(*TENANT, "priority", value="high"))})
    workspace = parsed.tree.workspaces[WorkspaceId("huka270")]
    assert workspace.priority is None
    assert not parsed.tree.unusable_workspaces
