"""Risks of servers after a restart of the hub that estimates them."""

import pytest

from tests.health_fleet import HUB, HealthFleet, Load

SERVERS = 40
LOAD = Load(120, local_share=0.25)


def count_avoided(fleet: HealthFleet) -> int:
    now = fleet.channel.now
    return sum(
        node.server_view(fleet.server(number), now).risk >= 0.5
        for number in range(SERVERS)
        for node in fleet.nodes.values()
    )


@pytest.mark.parametrize("seconds_since_failures", [60.0, 600.0])
def test_restarted_hub_does_not_take_old_failures_for_new_ones(
    seconds_since_failures: float,
) -> None:
    """Guards against servers that are avoided for failures that ended long ago."""
    fleet = HealthFleet(24, SERVERS)
    every = frozenset(fleet.server(number) for number in range(SERVERS))
    fleet.run(10.0, Load(120, local_share=0.25, failing=every))
    fleet.run(seconds_since_failures, LOAD)
    assert count_avoided(fleet) == 0
    fleet.restart(HUB)
    for _ in range(30):
        fleet.run(0.1, LOAD)
        assert count_avoided(fleet) == 0


def test_restarted_hub_hears_of_failures_that_continue() -> None:
    """Guards against evidence that is lost with the hub."""
    fleet = HealthFleet(24, SERVERS)
    failing = frozenset(fleet.server(number) for number in range(4))
    load = Load(400, local_share=0.25, failing=failing)
    fleet.run(10.0, load)
    fleet.restart(HUB)
    fleet.run(2.5, load)
    now = fleet.channel.now
    for number in range(4):
        for node in fleet.nodes.values():
            assert node.server_view(fleet.server(number), now).risk >= 0.5
