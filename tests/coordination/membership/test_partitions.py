"""Tests that data centres find each other again after a partition."""

import pytest

from catkinspan.testing.hosts import VirtualFleet
from tests.virtual_fleet import DATA_CENTRES, READY_SECONDS, virtual_fleet

HOSTS = 18
CONTACT_SECONDS = 3.0
"""Time after a disruption from which the platform's bounds hold again."""

STORE_ANSWER_MAX_AGE = 2.0
"""Age of the latest contact with the store up to which settings are the newest."""


def _cut_off_north(fleet: VirtualFleet, seconds: float) -> None:
    hosts = list(fleet.hosts)
    north = hosts[:: len(DATA_CENTRES)]
    fleet.channel.partition(north, [host for host in hosts if host not in north])
    fleet.store.unreachable_from.update(north)
    fleet.channel.run(fleet.channel.now + seconds)
    fleet.channel.heal_all()


@pytest.mark.parametrize("seconds", [1.5, 3.0, 7.0, 12.0, 30.0])
def test_data_centre_that_was_cut_off_joins_the_others(seconds: float) -> None:
    """Guards against hubs that give each other up for silent, so that one data centre
    serves old settings and a part of the rates until the hosts are forgotten."""
    fleet = virtual_fleet(HOSTS)
    fleet.channel.run(READY_SECONDS)
    _cut_off_north(fleet, seconds)
    fleet.channel.run(fleet.channel.now + CONTACT_SECONDS)
    nodes = [node.coordinator for node in fleet.hosts.values()]
    assert {node.view.alive_count for node in nodes} == {HOSTS}
    ages = [node.configuration.contact_age(fleet.channel.now) for node in nodes]
    assert max(ages) <= STORE_ANSWER_MAX_AGE
