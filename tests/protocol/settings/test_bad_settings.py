"""Any settings result in validated values or typed faults, never an exception."""

from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.protocol.settings.node import parse_node_settings
from catkinspan.protocol.settings.tree import check_tree
from catkinspan.state.policy import POLICY_FIELDS
from tests.fleet import free_addresses, settings_tree

HOST = {
    "host_id": "host-1",
    "data_centre": "perth-1",
    "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "platform": "127.0.0.1:3",
}
MEMBERS = (
    *("fleet", "defaults", "services", "workspaces", "hosts", "upstreams", "routes"),
    *("match", "settings", "keys", "id", "sha256", "address", "slots", "rate", "burst"),
    *("path_prefix", "methods", "max_hosts", "isolation_ms", "peer_address"),
    *("http", "callers_tls", "certificate", "key", "seed", "seeds", "rate_window"),
    *POLICY_FIELDS,
    *HOST,
)
scalars = (
    st.none()
    | st.booleans()
    | st.sampled_from((-1, 0, 1, 2**63, 2**64 - 1, 1e308, -1e308, 0.5))
    | st.sampled_from(
        ("", "/", "127.0.0.1:1", "\x00", "a/b", "127.0.0.1:" + "9" * 5000)
    )
    | st.text(max_size=4)
)
trees = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(MEMBERS) | st.text(max_size=2), inner, max_size=5
        )
    ),
    max_leaves=12,
)


def tree() -> dict[str, Any]:
    (upstream,) = free_addresses(1)
    return settings_tree({"catalogue-1": upstream}, 3)


def faults(text: bytes) -> tuple[SettingsFault, ...]:
    result = check_tree(text)
    return () if result.is_ok() else result.unwrap_err()


def check_faults(found: tuple[SettingsFault, ...]) -> None:
    for fault in found:
        assert fault.path
        assert fault.message
        assert fault.remedy


@settings(derandomize=True, max_examples=100, deadline=None)
@given(trees)
def test_any_tree_gives_faults_or_settings(value: Any) -> None:
    check_faults(faults(orjson.dumps(value)))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.data())
def test_valid_tree_with_one_invalid_part(data: st.DataObject) -> None:
    """Faults in nested values must be found as well as those at the top level."""
    value = tree()
    node: Any = value
    for _ in range(data.draw(st.integers(0, 5))):
        keys = list(node) if isinstance(node, dict) else list(range(len(node)))
        nested = [k for k in keys if isinstance(node[k], dict | list) and node[k]]
        if not nested:
            break
        node = node[data.draw(st.sampled_from(nested))]
    keys = list(node) if isinstance(node, dict) else list(range(len(node)))
    node[data.draw(st.sampled_from(keys))] = data.draw(trees)
    check_faults(faults(orjson.dumps(value)))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.dictionaries(st.sampled_from(MEMBERS), trees, max_size=4))
def test_any_host_settings(members: dict[str, Any]) -> None:
    result = parse_node_settings(orjson.dumps({**HOST, **members}))
    check_faults(() if result.is_ok() else result.unwrap_err())


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.binary(max_size=30) | st.text(max_size=30))
def test_text_that_is_no_json(text: str | bytes) -> None:
    for check in (check_tree, parse_node_settings):
        result = check(text)
        check_faults(() if result.is_ok() else result.unwrap_err())


@pytest.mark.parametrize("text", [b"[" * 100_000, b'{"a":' * 3000, b"9" * 10_000])
def test_deep_and_long_json_is_a_fault(text: bytes) -> None:
    assert check_tree(text).is_err()
    assert parse_node_settings(text).is_err()


@pytest.mark.parametrize(
    "address", ["127.0.0.1:" + "9" * 5000, "127.0.0.1:\u0664", "example.org:80", "1"]
)
def test_invalid_address_is_a_fault(address: str) -> None:
    """A port with 5,000 digits raised ValueError."""
    result = parse_node_settings(orjson.dumps({**HOST, "callers": address}))
    assert [fault.path for fault in result.unwrap_err()] == ["callers"]


@pytest.mark.parametrize("name", ["fleet", "defaults", "hosts"])
@pytest.mark.parametrize("value", [False, 0, ""])
def test_empty_values_of_another_type_are_faults(name: str, value: object) -> None:
    """`"hosts": false` was published as an empty host list."""
    assert faults(orjson.dumps({**tree(), name: value}))


@pytest.mark.parametrize(("service", "route"), [("a/b", "c"), ("", "c"), ("a", "b/c")])
def test_names_that_make_route_ids_ambiguous(service: str, route: str) -> None:
    """Route `c` of service `a/b` replaced route `b/c` of service `a`."""
    routes = {route: {"match": {"path_prefix": "/"}}}
    found = faults(orjson.dumps({"services": {service: {"routes": routes}}}))
    assert [fault.remedy for fault in found] == ["write a name without /"]
