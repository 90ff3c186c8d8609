"""Guards requests whose first servers cannot be reached."""

from random import Random

import pytest

from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.testing.hosts import VirtualAttempt
from tests.virtual_fleet import Traffic, tree_of, virtual_fleet

CONNECT_SECONDS = 0.25
CUT_OFF = frozenset(f"server-{n}" for n in range(8))


def mostly_unreachable(
    attempt: VirtualAttempt, rng: Random
) -> tuple[OutcomeKind, float]:
    if attempt.assigned.server in CUT_OFF:
        return OutcomeKind.CONNECT_ERROR, CONNECT_SECONDS
    return OutcomeKind.OK, 0.1


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_attempts_without_a_connection_do_not_use_up_the_route(method: str) -> None:
    """Two attempts a route were used up by two servers behind a cut path, and the
    request was refused after half a second though other servers were free."""
    tree = tree_of(12, settings={"max_attempts": 2, "target_latency_ms": 350})
    fleet = virtual_fleet(6, tree, 1, mostly_unreachable)
    traffic = Traffic(fleet, Random(1))
    traffic.run(5.0, 20, method=method)
    fleet.channel.run(9.0)
    assert traffic.refused() == []


def test_attempts_without_a_connection_are_bounded() -> None:
    fleet = virtual_fleet(
        3,
        tree_of(servers=12),
        1,
        lambda attempt, rng: (OutcomeKind.CONNECT_ERROR, 0.01),
    )
    traffic = Traffic(fleet, Random(1))
    traffic.run(3.5, 4)
    fleet.channel.run(8.0)
    assert len(traffic.refused()) == len(traffic.sent)
    assert len(fleet.attempts) <= 7 * len(traffic.sent)
