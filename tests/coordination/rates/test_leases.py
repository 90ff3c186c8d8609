"""Guards the arithmetic that keeps a right from being used in two places."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from catkinspan.coordination.rates.const import CLOCK_DRIFT, MINT_FACTOR
from catkinspan.coordination.rates.leases import (
    LeaseTable,
    lease_seconds,
    lender_wait,
    lending_period,
    list_memory,
)
from tests.coordination.rates.support import A, B

DRIFTS = st.floats(-CLOCK_DRIFT, CLOCK_DRIFT)


@given(DRIFTS, DRIFTS, st.integers(1, 5000), st.floats(0, 100))
def test_lender_waits_longer_than_any_borrower(
    lender: float, borrower: float, slots: int, delay: float
) -> None:
    stamped = 0.0
    lent = stamped + delay
    borrower_end = stamped + lease_seconds(slots) / (1 + borrower)
    assert borrower_end < lent + lender_wait(slots) / (1 + lender)


@given(DRIFTS)
def test_fast_clock_mints_no_more_than_its_share(drift: float) -> None:
    assert MINT_FACTOR * (1 + drift) <= 1.0


@pytest.mark.parametrize("slots", [1, 40, 64, 65, 1100])
def test_lease_covers_two_periods_and_one_lost_update(slots: int) -> None:
    assert lease_seconds(slots) > 3 * lending_period(slots)


@pytest.mark.parametrize("slots", [1, 40, 1100])
def test_rank_is_taken_over_only_after_the_leases_of_its_holder(slots: int) -> None:
    assert list_memory(slots) >= lender_wait(slots)


def test_total_follows_the_leases() -> None:
    table = LeaseTable()
    table.renew(A, 0.25, 1, 10.0, 0.0)
    table.renew(B, 0.5, 1, 12.0, 1.0)
    assert table.total == 0.75
    assert table.share_until(11.0) == 0.5
    assert next(table.expired(10.0)) == (10.0, A)
    table.remove(A)
    assert (table.total, table.next_expiry()) == (0.5, 12.0)


def test_late_update_never_shortens_and_old_process_never_extends() -> None:
    table = LeaseTable()
    table.renew(A, 0.5, 2, 10.0, 0.0)
    table.renew(A, 0.5, 2, 8.0, 1.0)
    table.renew(A, 0.5, 1, 20.0, 1.0)
    assert table.next_expiry() == 10.0


def test_changed_share_starts_saving_anew() -> None:
    table = LeaseTable()
    table.renew(A, 0.5, 1, 10.0, 0.0)
    table.renew(A, 1.0, 1, 12.0, 5.0)
    assert (table.leases[A].start, table.total) == (5.0, 1.0)
