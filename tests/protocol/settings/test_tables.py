"""Checks that the operations page documents the settings as the code defines them."""

import json
from pathlib import Path

import attrs
import pytest

from catkinspan.protocol.settings.node import parse_node_settings
from catkinspan.protocol.settings.tables import TABLES, settings_table, update_tables
from catkinspan.protocol.settings.tree import check_tree
from catkinspan.state.node import HttpLimits, NodeSettings
from catkinspan.state.policy import Policy
from catkinspan.state.tree import FleetSettings, Upstream, Workspace

PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def test_the_page_has_the_tables_of_the_code() -> None:
    page = PAGE.read_text()
    remedy = "run `python -m catkinspan.daemon.settings_tables docs/OPERATIONS.md`"
    assert update_tables(page) == page, remedy


@pytest.mark.parametrize("settings", TABLES.values())
def test_each_setting_is_described(settings: type) -> None:
    """A setting without metadata would be missing from the page."""
    structural = {"id"} if settings is Workspace else set()
    for attribute in attrs.fields(settings):
        if attribute.name not in structural:
            assert attribute.metadata.get("description"), attribute.name


def test_page_without_a_table_marker_is_refused() -> None:
    with pytest.raises(ValueError, match="add both lines"):
        update_tables("# A page\n")


def test_documented_defaults_match_the_readers() -> None:
    """Some defaults are applied by the readers and only documented in the classes."""
    required = {
        "host_id": "a",
        "data_centre": "b",
        "callers": "127.0.0.1:1",
        "peers": "127.0.0.1:2",
        "platform": "127.0.0.1:3",
    }
    node = parse_node_settings(json.dumps(required)).unwrap()
    assert f"`{node.operators}`" in settings_table(NodeSettings)
    assert node.peer_address == node.peers
    assert node.http == HttpLimits()
    for attribute in attrs.fields(NodeSettings):
        if attribute.default is not attrs.NOTHING:
            assert getattr(node, attribute.name) == attribute.default, attribute.name
    upstream = {"id": "s", "address": "127.0.0.1:4", "data_centre": "b", "slots": 1}
    tree = {
        "services": {"x": {"upstreams": [upstream]}},
        "workspaces": {"w": {"rate": 1, "burst": 1}},
    }
    parsed = check_tree(json.dumps(tree)).unwrap()
    assert parsed.fleet == FleetSettings()
    [service] = parsed.services.values()
    assert service.policy == Policy()
    [read] = service.upstreams
    assert read == Upstream(read.id, read.address, read.data_centre, 1)
    [workspace] = parsed.workspaces.values()
    assert workspace == Workspace(workspace.id, (), 1, 1)
