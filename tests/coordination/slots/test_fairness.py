"""Guards against one workspace that crowds out the others."""

from collections import Counter

from attrs import define
from hypothesis import given
from hypothesis import strategies as st

from catkinspan.coordination.slots.fairness import FairQueue, water_fill
from catkinspan.coordination.slots.lending import fair_capacity
from catkinspan.coordination.slots.models import WorkspaceDemand
from catkinspan.state.ids import WorkspaceId

A, B = WorkspaceId("a"), WorkspaceId("b")


@define(eq=False)
class Entry:
    workspace: WorkspaceId
    weight: float = 1.0


def served(queue: FairQueue[Entry], count: int) -> Counter[WorkspaceId]:
    taken = [queue.pop(lambda _: True) for _ in range(count)]
    return Counter(entry.workspace for entry in taken if entry)


def test_queue_serves_by_weight_not_by_length() -> None:
    # Guards against a longer queue that gets more turns.
    queue: FairQueue[Entry] = FairQueue()
    for _ in range(400):
        queue.push(Entry(A, 1.0))
    for _ in range(100):
        queue.push(Entry(B, 3.0))
    assert served(queue, 100) == {A: 25, B: 75}


def test_queue_passes_over_entries_that_do_not_fit() -> None:
    # Guards against a request that excludes all free servers and blocks the others.
    queue: FairQueue[Entry] = FairQueue()
    blocked, fitting = Entry(A), Entry(B)
    queue.push(blocked)
    queue.push(fitting)
    assert queue.pop(lambda entry: entry is fitting) is fitting
    assert queue.pop(lambda entry: entry is fitting) is None
    assert len(queue) == 1


demands = st.dictionaries(
    st.integers(0, 9),
    st.tuples(st.floats(0.1, 10.0), st.floats(0.0, 100.0)),
    max_size=8,
)


@given(st.floats(0.0, 200.0), demands)
def test_water_fill_is_max_min(
    capacity: float, wanted: dict[int, tuple[float, float]]
) -> None:
    # Guards against shares above the demand or the capacity, and against a workspace
    # that gets less by weight than another one while it wants more.
    shares = water_fill(capacity, wanted)
    total = sum(demand for _, demand in wanted.values())
    assert abs(sum(shares.values()) - min(capacity, total)) < 1e-6
    levels = {w: shares[w] / wanted[w][0] for w in wanted}
    for w, (_, demand) in wanted.items():
        assert shares[w] <= demand + 1e-6
        if shares[w] < demand - 1e-6:
            assert all(levels[other] <= levels[w] + 1e-6 for other in wanted)


def test_flood_in_one_data_centre_draws_no_capacity() -> None:
    # Guards against loans that follow a flood: the lender's own demand comes first.
    lender = [WorkspaceDemand(B, 1.0, 6)]
    borrower = [WorkspaceDemand(A, 1.0, 500)]
    assert fair_capacity(12, lender, borrower) == 6
