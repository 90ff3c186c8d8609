"""Guards against more than `max_hosts` hosts that mint at once."""

from random import Random

import pytest

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.const import LIST_MEMORY_SECONDS
from catkinspan.coordination.rates.leases import lender_wait
from catkinspan.coordination.rates.models import IncarnationReply
from catkinspan.coordination.rates.right import MintingRight
from catkinspan.state.hosts import HostStatus
from catkinspan.state.ids import HostId
from tests.coordination.rates.support import LIFE, A, B, C, view_of


def right_of(host: HostId, listed: tuple[HostId, ...], slots: int) -> MintingRight:
    right = MintingRight(host, LIFE, Outbox(), Random(1))
    right.apply_view(view_of(host, listed, slots), 0.0)
    right.tick(0.0)
    for peer in listed:
        right.handle_reply(IncarnationReply(LIFE, LIFE), peer)
    right.tick(0.05)
    return right


def test_rests_for_the_longest_lease_of_its_predecessor() -> None:
    right = right_of(A, (A, B), 2)
    assert right.obstacle(lender_wait(2) - 0.01) is not None
    assert right.obstacle(lender_wait(2) + 0.01) is None


def test_pause_counts_as_a_start() -> None:
    right = right_of(A, (A, B), 2)
    right.resume()
    assert right.obstacle(100.0) is not None
    right.tick(100.0)
    assert right.obstacle(100.0 + lender_wait(2) + 1) is not None
    right.handle_reply(IncarnationReply(LIFE, LIFE), B)
    right.tick(101.0)
    assert right.obstacle(100.0 + lender_wait(2) + 1) is None


@pytest.mark.parametrize("listed", [(B, C), (A, B, C)])
def test_unlisted_or_past_max_hosts_never_mints(listed: tuple[HostId, ...]) -> None:
    right = right_of(C if A in listed else A, listed, 2)
    right.tick(1000.0)
    assert right.obstacle(1000.0) is not None


def test_rank_of_a_departed_host_is_taken_over_late() -> None:
    right = right_of(C, (A, B, C), 2)
    right.apply_view(view_of(C, (B, C), 2), 100.0)
    right.tick(100.0 + LIST_MEMORY_SECONDS - 1)
    assert right.obstacle(100.0 + LIST_MEMORY_SECONDS - 1) is not None
    right.tick(100.0 + LIST_MEMORY_SECONDS + 1)
    assert right.obstacle(100.0 + LIST_MEMORY_SECONDS + 1) is None


def test_started_host_waits_for_lists_to_agree_in_a_fleet_above_max_hosts() -> None:
    right = right_of(A, (A, B, C), 2)
    assert right.obstacle(LIST_MEMORY_SECONDS - 1) is not None
    assert right.obstacle(LIST_MEMORY_SECONDS + 1) is None


def test_newer_process_ends_the_right() -> None:
    right = right_of(A, (A, B), 2)
    right.handle_reply(IncarnationReply(LIFE, LIFE + 1), B)
    assert right.superseded
    seen = right_of(A, (A, B), 2)
    seen.apply_view(view_of(A, (A, B), 2, incarnation=LIFE + 5), 50.0)
    assert seen.obstacle(100.0) is not None


def test_leaving_host_does_not_mint() -> None:
    right = right_of(A, (A, B), 2)
    right.apply_view(view_of(A, (A, B), 2, HostStatus.LEAVING), 100.0)
    assert right.obstacle(100.0) is not None
