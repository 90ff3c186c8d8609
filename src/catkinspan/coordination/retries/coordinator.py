"""The coordinator of retry budgets."""

from random import Random
from typing import ClassVar

from attrs import define

from catkinspan.coordination.concern import BaseConcern
from catkinspan.coordination.models import PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.retries.const import (
    BASE_BACKOFF_SECONDS,
    HEDGE_FLOOR,
    LEAST_ATTEMPT_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_SAVED_RETRIES,
    NOT_RUN_COST,
    RESERVE_RETRIES,
)
from catkinspan.coordination.retries.models import RetriesSnapshot, RetryBudget
from catkinspan.state.ids import ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import SettingsTree


@define
class _Budget:
    """A token bucket that first tries fill."""

    ratio: float
    left: float = RESERVE_RETRIES
    first_tries: int = 0
    spent: int = 0
    refused: int = 0

    def earn(self) -> None:
        """Add the part of a retry that one first try allows."""
        self.first_tries += 1
        self.left = min(MAX_SAVED_RETRIES, self.left + self.ratio)

    def spend(self, cost: float, floor: float) -> bool:
        """Take the cost of a retry if at least `floor` remain."""
        # Adding 0.1 ten times gives a little less than 1.
        if self.left - cost < floor - 1e-9:
            self.refused += 1
            return False
        self.left -= cost
        self.spent += 1
        return True


class RetryCoordinator(BaseConcern):
    """Bounds retries and hedges to a ratio of the first tries of each service.

    Each host bounds its own, so the bound holds over the fleet without messages:
    `ratio * first tries`, and one retry for each host at its start.
    """

    handles: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._budgets: dict[ServiceId, _Budget] = {}
        self._ratios: dict[ServiceId, float] = {}

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Take over the ratios, and drop the budgets of removed services."""
        services = tree.services
        self._ratios = {n: max(0.0, s.policy.retry_ratio) for n, s in services.items()}
        for name in [name for name in self._budgets if name not in services]:
            del self._budgets[name]
        for name, budget in self._budgets.items():
            budget.ratio = self._ratios[name]

    def record_first_try(self, service: ServiceId, now: float) -> None:
        """Count the first attempt of a request."""
        self._budget(service).earn()

    def may_retry(
        self,
        service: ServiceId,
        attempts_made: int,
        max_attempts: int,
        deadline: float,
        now: float,
        *,
        ran: bool = True,
    ) -> bool:
        """Return whether another attempt may start, and charge the budget if so.

        With `ran=False` the last attempt provably did not run, for example because the
        server shed it; this charges `NOT_RUN_COST` only.
        """
        if not _has_room(attempts_made, max_attempts, deadline, now):
            return False
        return self._budget(service).spend(1.0 if ran else NOT_RUN_COST, floor=0.0)

    def may_hedge(
        self,
        service: ServiceId,
        attempts_made: int,
        max_attempts: int,
        deadline: float,
        now: float,
    ) -> bool:
        """Return whether a second attempt may run beside the first, and charge it.

        Hedges leave `HEDGE_FLOOR` in the budget for retries.
        """
        if not _has_room(attempts_made, max_attempts, deadline, now):
            return False
        return self._budget(service).spend(1.0, floor=HEDGE_FLOOR)

    def snapshot(self) -> RetriesSnapshot:
        """Return the budgets for operators."""
        return RetriesSnapshot({n: _shown(b) for n, b in self._budgets.items()})

    def service_snapshot(self, service: ServiceId) -> RetryBudget | None:
        """Return the budget of one service, None before its first request."""
        budget = self._budgets.get(service)
        return None if budget is None else _shown(budget)

    def _budget(self, service: ServiceId) -> _Budget:
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self._ratios.get(service, Policy().retry_ratio)
            reserve = RESERVE_RETRIES if ratio > 0 else 0.0
            budget = self._budgets[service] = _Budget(ratio, reserve)
        return budget


def backoff(attempt: int, rng: Random) -> float:
    """Return the seconds to wait after an attempt, counted from 1.

    Exponential with full jitter (Brooker, 2015), so that hosts do not retry together.
    """
    longest = min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2.0 ** (attempt - 1))
    return rng.uniform(0.0, longest)


def _shown(budget: _Budget) -> RetryBudget:
    return RetryBudget(
        budget.ratio, budget.first_tries, budget.spent, budget.refused, budget.left
    )


def _has_room(
    attempts_made: int, max_attempts: int, deadline: float, now: float
) -> bool:
    return attempts_made < max_attempts and deadline - now >= LEAST_ATTEMPT_SECONDS
