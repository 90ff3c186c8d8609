"""Guards against tokens that exist twice at a grantor."""

from hypothesis import given
from hypothesis import strategies as st

from catkinspan.coordination.rates.grantor import Grantor
from catkinspan.coordination.rates.ledger import Ledger
from catkinspan.coordination.rates.models import AskEntry, GrantEntry, TokenAsk
from tests.coordination.rates.support import LIMITS, SHOP, A, B, C

HOLDER = (C, 1)


def grantor_with(*leases: tuple[str, float, float]) -> Grantor:
    """Return a grantor with leases of (lender, share, end), all from time 0."""
    grantor = Grantor()
    grantor.apply_limits({SHOP: LIMITS}, 0.0)
    for lender, share, end in leases:
        grantor.lend(0, A if lender == "a" else B, share, 1, end, 0.0)
    return grantor


def ask(
    grantor: Grantor, sequence: int, now: float, need: int, **more: int
) -> GrantEntry | None:
    entry = AskEntry(SHOP, need, **more)
    grant = grantor.answer(TokenAsk(sequence, 50, (entry,)), HOLDER, 1, now)
    return None if grant is None else grant.entries[0]


def test_starts_empty_and_saves_up_to_the_burst() -> None:
    grantor = grantor_with(("a", 0.5, 100.0))
    assert not grantor.take(0, SHOP, 0.0)
    later = grantor_with(("a", 0.5, 100.0))
    assert sum(later.take(0, SHOP, 50.0) for _ in range(30)) == 10


def test_repeated_ask_is_answered_once() -> None:
    grantor = grantor_with(("a", 1.0, 100.0))
    assert ask(grantor, 5, 10.0, 3) == GrantEntry(3)
    assert ask(grantor, 5, 10.0, 3) is None
    assert ask(grantor, 4, 10.0, 3) is None


def test_unspent_grants_count_against_the_burst() -> None:
    grantor = grantor_with(("a", 1.0, 1000.0))
    granted = ask(grantor, 1, 100.0, 20)
    assert granted is not None and granted.granted == 20
    assert not grantor.take(0, SHOP, 100.04)
    assert grantor.shards[0].buckets[SHOP].tokens == 0.0


def test_grants_end_within_the_leases_behind_them() -> None:
    grantor = grantor_with(("a", 0.5, 100.02), ("b", 0.5, 200.0))
    granted = ask(grantor, 1, 100.0, 20)
    assert granted is not None and granted.granted == 10


def test_stock_is_clamped_when_a_lease_ends_and_stays_so() -> None:
    grantor = grantor_with(("a", 0.5, 100.0), ("b", 0.5, 200.0))
    assert grantor.take(0, SHOP, 99.0)
    grantor.lend(0, A, 0.5, 1, 200.0, 100.1)
    assert grantor.shards[0].buckets[SHOP].tokens <= 10.0


def test_lease_is_not_given_back_while_grants_depend_on_it() -> None:
    grantor = grantor_with(("a", 0.5, 200.0), ("b", 0.5, 200.0))
    ask(grantor, 1, 100.0, 15)
    assert not grantor.give_back(0, A, 100.01)
    assert grantor.give_back(0, A, 100.2)


def test_old_grants_end_before_a_resumed_grantor_borrows() -> None:
    grantor = grantor_with(("a", 1.0, 100.0))
    grantor.restart(50.0)
    grantor.lend(0, A, 1.0, 1, 100.0, 51.0)
    assert not grantor.shards
    grantor.lend(0, A, 1.0, 1, 100.0, 52.0)
    assert grantor.shards[0].table.total == 1.0


def test_idle_bucket_is_forgotten_only_when_full() -> None:
    grantor = grantor_with(("a", 1.0, 1000.0))
    assert sum(grantor.take(0, SHOP, 100.0) for _ in range(20)) == 20
    grantor.tick(101.0)
    assert SHOP in grantor.shards[0].buckets
    grantor.tick(110.0)
    assert SHOP not in grantor.shards[0].buckets


def test_republished_workspace_finds_no_refilled_burst() -> None:
    grantor = grantor_with(("a", 1.0, 1000.0))
    assert sum(grantor.take(0, SHOP, 100.0) for _ in range(20)) == 20
    grantor.apply_limits({}, 100.0)
    assert not grantor.take(0, SHOP, 100.5)
    grantor.apply_limits({SHOP: LIMITS}, 101.0)
    assert sum(grantor.take(0, SHOP, 101.0) for _ in range(20)) <= 10


def test_void_grant_returns_and_spent_grant_does_not() -> None:
    ledger = Ledger()
    ledger.issue(HOLDER, 5, 10.0, 1)
    assert ledger.report(HOLDER, held=0, accepted=0, returned=0) == 5
    ledger.issue(HOLDER, 5, 10.0, 2)
    assert ledger.report(HOLDER, held=2, accepted=2, returned=0) == 0
    assert ledger.total == 2
    assert ledger.report(HOLDER, held=0, accepted=2, returned=7) == 2


@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.integers(0, 30), st.integers(0, 9))))
def test_no_window_exceeds_the_bound_with_a_holder_that_keeps_tokens(
    steps: list[tuple[float, int, int]],
) -> None:
    """The holder spends each grant as late as it may: at the end of its life."""
    grantor = grantor_with(("a", 1.0, 1e6))
    now, spends = 10.0, []
    for sequence, (gap, need, ahead) in enumerate(steps, start=1):
        now += gap
        granted = ask(grantor, sequence, now, need, ahead=ahead, held=1000)
        assert granted is not None
        spends += [now + 0.05] * granted.granted + [now + 1.5] * granted.ahead
        spends += [now] * sum(grantor.take(0, SHOP, now) for _ in range(need))
    level, last = 0.0, 0.0
    for at in sorted(spends):
        level = max(0.0, level - LIMITS.rate * (at - last)) + 1
        last = at
        assert level <= LIMITS.burst + 1e-6
