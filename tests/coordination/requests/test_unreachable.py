"""Tests requests whose first servers are unreachable."""

from random import Random

import pytest

from catkinspan.coordination.health.models import ServerAvoided
from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.errors import Ran, RefusalKind
from catkinspan.testing.hosts import VirtualAttempt
from tests.virtual_fleet import Traffic, small_settings_tree, virtual_fleet

CONNECT_TIMEOUT_SECONDS = 0.25
UNREACHABLE_SERVERS = frozenset(f"server-{n}" for n in range(8))


def mostly_unreachable(
    attempt: VirtualAttempt, rng: Random
) -> tuple[OutcomeKind, float]:
    if attempt.assigned.server in UNREACHABLE_SERVERS:
        return OutcomeKind.CONNECT_ERROR, CONNECT_TIMEOUT_SECONDS
    return OutcomeKind.OK, 0.1


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_connect_errors_do_not_use_up_max_attempts(method: str) -> None:
    """Guards against connect errors that use up the route's `max_attempts`.

    With a limit of 2, two unreachable servers caused a refusal after half a second
    although other servers were free.
    """
    tree = small_settings_tree(
        12, settings={"max_attempts": 2, "target_latency_ms": 350}
    )
    fleet = virtual_fleet(6, tree, 1, mostly_unreachable)
    traffic = Traffic(fleet, Random(1))
    traffic.run(5.0, 20, method=method)
    fleet.channel.run(9.0)
    assert traffic.refused() == []


def test_connect_errors_are_bounded() -> None:
    fleet = virtual_fleet(
        3,
        small_settings_tree(servers=12),
        1,
        lambda attempt, rng: (OutcomeKind.CONNECT_ERROR, 0.01),
    )
    traffic = Traffic(fleet, Random(1))
    traffic.run(3.5, 4)
    fleet.channel.run(8.0)
    assert len(traffic.refused()) == len(traffic.sent)
    assert len(fleet.attempts) <= 7 * len(traffic.sent)


def test_limit_of_connections_is_no_evidence_against_a_server() -> None:
    """Guards against a busy host that makes all hosts avoid its servers."""
    fleet = virtual_fleet(
        3,
        small_settings_tree(servers=4),
        1,
        lambda attempt, rng: (OutcomeKind.CONNECTION_LIMIT, 0.0),
    )
    traffic = Traffic(fleet, Random(1))
    traffic.run(3.5, 4)
    fleet.channel.run(8.0)
    refusals = [r for host in fleet.hosts.values() for r in host.refusals.values()]
    assert len(refusals) == len(traffic.sent)
    assert {(r.kind, r.ran) for r in refusals} == {(RefusalKind.NO_CAPACITY, Ran.NO)}
    events = [event for host in fleet.hosts.values() for event in host.events]
    assert not [event for event in events if isinstance(event, ServerAvoided)]
