"""Guards against a right that is used by its host and by a grantor, or by two."""

from attrs import evolve

from catkinspan.coordination.rates.leases import lender_wait
from catkinspan.coordination.rates.models import (
    LeaseRelease,
    LendingUpdate,
    RateVerdict,
)
from catkinspan.state.ids import RequestId
from tests.coordination.rates.support import (
    LIFE,
    SHOP,
    A,
    B,
    C,
    Node,
    carry_until,
    grantor_first,
    view_of,
)

PAIR = grantor_first((A, B))
WAIT = lender_wait(2)


def lent_pair() -> tuple[Node, Node]:
    grantor, lender = Node(PAIR[0], PAIR), Node(PAIR[1], PAIR)
    carry_until([grantor, lender], 12.0)
    return grantor, lender


def test_both_rights_end_up_at_the_grantor() -> None:
    grantor, lender = lent_pair()
    snapshot = grantor.rates.snapshot(12.0)
    assert snapshot.lenders == {0: tuple(sorted(PAIR))}
    assert lender.rates.snapshot(12.0).lent == {0: grantor.host}


def test_lender_waits_for_a_silent_grantor_then_uses_its_right() -> None:
    _, lender = lent_pair()
    borrowers = {}
    for step in range(1, 200):
        now = 12.0 + step * 0.05
        lender.rates.tick(now)
        borrowers[now] = lender.rates.snapshot(now).lent.get(0)
    own_from = min(at for at, host in borrowers.items() if host == lender.host)
    assert 12.0 + WAIT / 2 < own_from < 12.0 + 2.5 * WAIT


def test_new_process_of_the_grantor_is_another_borrower() -> None:
    """Tokens that the old process granted may still be in use."""
    _, lender = lent_pair()
    successor = Node(PAIR[0], PAIR, life=LIFE + 20_000)
    lent_until = lender.rates._lending.loans[0].until
    carry_until([successor, lender], lent_until - 0.1, 12.05)
    assert lender.host not in successor.rates.snapshot(lent_until).lenders.get(0, ())


def test_echo_of_an_earlier_process_gives_no_lease() -> None:
    grantor, lender = lent_pair()
    successor = Node(PAIR[0], PAIR, life=LIFE + 20_000)
    successor.rates.tick(12.0)
    old_echo = lender.rates._lending._peers[grantor.host].heard
    update = LendingUpdate(LIFE + 9999, old_echo, 2, 1, (0,))
    successor.rates.handle(update, lender.origin, 12.01)
    assert successor.rates.snapshot(12.01).lenders.get(0, ()) == ()


def test_late_update_does_not_extend_a_lease_past_its_stamp() -> None:
    grantor, lender = lent_pair()
    peer = grantor.rates._lending._peers[lender.host]
    stamp, sent_at = peer.sent[-1]
    update = LendingUpdate(peer.heard + 1, stamp, 2, 1, (0,))
    late = sent_at + WAIT + 0.1
    grantor.rates.handle(update, lender.origin, late)
    assert lender.host not in grantor.rates.snapshot(late).lenders[0]


def test_other_shard_count_is_not_lent_to() -> None:
    grantor, lender = lent_pair()
    peer = grantor.rates._lending._peers[lender.host]
    before = grantor.rates._grantor.shards[0].table.leases[lender.host].expiry
    update = LendingUpdate(peer.heard + 1, peer.sent[-1][0], 2, 64, (0,))
    grantor.rates.handle(update, lender.origin, 12.0)
    after = grantor.rates._grantor.shards[0].table.leases[lender.host].expiry
    assert before == after


def test_release_is_ignored_if_the_right_was_lent_again() -> None:
    grantor, lender = lent_pair()
    loan = evolve(lender.rates._lending.loans[0])
    release = LeaseRelease(loan.stamp - 1, (0,))
    lender.rates.handle(release, grantor.origin, 12.0)
    assert lender.rates._lending.loans[0].until == loan.until
    lender.rates.handle(LeaseRelease(loan.stamp, (0,)), grantor.origin, 12.0)
    assert lender.rates._lending.loans[0].until == 12.0


def test_snapshot_tells_operators_what_holds_a_workspace_back() -> None:
    grantor, lender = lent_pair()
    verdicts = [grantor.rates.take(RequestId(f"r{n}"), SHOP, 12.0) for n in range(25)]
    refused = verdicts.count(RateVerdict.REFUSED)
    snapshot = grantor.rates.snapshot(12.0)
    (rates,) = snapshot.workspaces
    assert snapshot.minting
    assert (rates.grantor, rates.cap) == (grantor.host, 20.0)
    assert rates.recent_refusals == refused > 0
    assert rates.stock is not None and rates.stock < 1


def test_draining_grantor_returns_rights_at_once() -> None:
    grantor, lender = lent_pair()
    grantor.rates.drain(12.0)
    assert grantor.sent(LeaseRelease)


def test_lost_direction_to_the_grantor_stops_lending() -> None:
    """A grantor that is heard but does not hear must not keep the right idle."""
    grantor, lender = lent_pair()
    for step in range(1, 400):
        now = 12.0 + step * 0.05
        for node in (grantor, lender):
            node.rates.tick(now)
        lender.outbox.take_envelopes()
        for envelope in grantor.outbox.take_envelopes():
            lender.rates.handle(envelope.message, grantor.origin, now)
    assert lender.rates.snapshot(now).lent[0] == lender.host


def test_restart_does_not_refill_the_burst() -> None:
    grantor, lender = lent_pair()
    successor = Node(PAIR[1], PAIR, life=LIFE + 20_000)
    carry_until([grantor, successor], 12.0 + WAIT - 0.1, 12.05)
    assert not successor.rates.snapshot(12.0).minting


def test_host_outside_its_list_mints_nothing() -> None:
    node = Node(C, PAIR)
    node.rates.apply_view(view_of(C, PAIR, 2), 0.0)
    for step in range(400):
        node.rates.tick(step * 0.05)
    verdict = node.rates.take(RequestId("r"), SHOP, 20.0)
    assert verdict is not RateVerdict.ADMITTED
