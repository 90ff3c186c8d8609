"""Work of whole hosts that must not grow with the servers, counted in calls."""

from collections import Counter
from typing import Any

import pytest

from catkinspan.coordination.health.coordinator import HealthCoordinator
from tests.virtual_fleet import small_settings_tree, virtual_fleet

SERVERS = 200


def test_host_at_rest_estimates_no_servers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against estimates of all servers each second, which nobody reads."""
    calls: Counter[str] = Counter()
    server_view = HealthCoordinator.server_view

    def count(self: HealthCoordinator, *arguments: Any) -> Any:
        calls["server_view"] += 1
        return server_view(self, *arguments)

    fleet = virtual_fleet(4, small_settings_tree(SERVERS))
    monkeypatch.setattr(HealthCoordinator, "server_view", count)
    fleet.channel.run(fleet.channel.now + 10.0)
    assert calls["server_view"] == 0
