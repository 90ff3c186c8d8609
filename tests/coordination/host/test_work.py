"""Work of whole hosts that must not grow with the servers, counted in calls."""

from collections import Counter
from random import Random
from typing import Any

import pytest

from catkinspan.coordination.balancing.const import MAX_COMPARED_SERVERS
from catkinspan.coordination.health.coordinator import HealthCoordinator
from tests.virtual_fleet import Traffic, small_settings_tree, virtual_fleet

SERVERS = 200
VIEWS_PER_ATTEMPT = 2
"""Beside the compared servers: one that may get a trial, and the load at the start."""


@pytest.fixture
def calls(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Count the estimates of servers."""
    calls: Counter[str] = Counter()
    server_view = HealthCoordinator.server_view

    def count(self: HealthCoordinator, *arguments: Any) -> Any:
        calls["server_view"] += 1
        return server_view(self, *arguments)

    monkeypatch.setattr(HealthCoordinator, "server_view", count)
    return calls


def test_host_at_rest_estimates_no_servers(calls: Counter[str]) -> None:
    """Guards against estimates of all servers each second, which nobody reads."""
    fleet = virtual_fleet(4, small_settings_tree(SERVERS))
    calls.clear()
    fleet.channel.run(fleet.channel.now + 10.0)
    assert calls["server_view"] == 0


def test_sound_servers_are_estimated_for_choices_only(calls: Counter[str]) -> None:
    """Guards against an estimate of each server in each message of a hub."""
    fleet = virtual_fleet(12, small_settings_tree(SERVERS))
    calls.clear()
    traffic = Traffic(fleet, Random(1))
    traffic.run(fleet.channel.now + 5.0, 60, method="POST")
    views = 2 * MAX_COMPARED_SERVERS + VIEWS_PER_ATTEMPT
    assert calls["server_view"] <= views * len(fleet.attempts)
