"""The coordinator of retry budgets."""

from collections import deque
from random import Random
from typing import ClassVar

from attrs import define, field

from catkinspan.coordination.concern import BaseCoordinator
from catkinspan.coordination.models import PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.retries.const import (
    BASE_BACKOFF_SECONDS,
    HEDGE_FLOOR,
    LEAST_ATTEMPT_SECONDS,
    MAX_BACKOFF_SECONDS,
    RESERVE_RETRIES,
    WINDOW_SECONDS,
)
from catkinspan.coordination.retries.models import RetryBudget
from catkinspan.state.ids import ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import SettingsTree


class _Window:
    """Counts of the last `WINDOW_SECONDS`, by second."""

    def __init__(self) -> None:
        self._counts: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        second = int(now)
        if self._counts and self._counts[-1][0] == second:
            self._counts[-1] = (second, self._counts[-1][1] + 1)
        else:
            self._counts.append((second, 1))
        self._total += 1

    def total(self, now: float) -> int:
        """Return the events within the window."""
        while self._counts and self._counts[0][0] <= int(now) - WINDOW_SECONDS:
            self._total -= self._counts.popleft()[1]
        return self._total


@define
class _Budget:
    """Retries allowed by the first tries of the window."""

    ratio: float
    reserve: float = RESERVE_RETRIES
    tries: _Window = field(factory=_Window)
    retries: _Window = field(factory=_Window)
    first_tries: int = 0
    spent: int = 0
    refused: int = 0

    def earn(self, now: float) -> None:
        """Count a first try."""
        self.first_tries += 1
        self.tries.add(now)

    def left(self, now: float) -> float:
        """Return the retries that are allowed now."""
        allowed = self.ratio * self.tries.total(now) + self.reserve
        return allowed - self.retries.total(now)

    def spend(self, floor: float, now: float) -> bool:
        """Count a retry if at least `floor` remain after it."""
        # Adding 0.1 ten times gives a little less than 1.
        if self.left(now) - 1.0 < floor - 1e-9:
            self.refused += 1
            return False
        self.retries.add(now)
        self.spent += 1
        return True


class RetryCoordinator(BaseCoordinator):
    """Bounds retries and hedges to a ratio of the first tries of each service.

    Each host bounds its own, so that the bound holds over the fleet without messages:
    in each window `ratio * first tries`, and one retry for each host.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = ()

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
        self._budget(service).earn(now)

    def may_retry(
        self,
        service: ServiceId,
        attempts_made: int,
        max_attempts: int,
        deadline: float,
        now: float,
    ) -> bool:
        """Return whether another attempt may start, and charge the budget if so.

        A resend after a shed is charged like any other, since it loads a server.
        """
        if not _has_room(attempts_made, max_attempts, deadline, now):
            return False
        return self._budget(service).spend(0.0, now)

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
        return self._budget(service).spend(HEDGE_FLOOR, now)

    def left(self, service: ServiceId, now: float) -> float:
        """Return the retries that a service's budget allows now."""
        return self._budget(service).left(now)

    def snapshot(self, service: ServiceId, now: float) -> RetryBudget | None:
        """Return the budget of one service, None before its first request."""
        budget = self._budgets.get(service)
        return None if budget is None else _shown(budget, now)

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


def _shown(budget: _Budget, now: float) -> RetryBudget:
    return RetryBudget(
        budget.ratio,
        budget.first_tries,
        budget.spent,
        budget.refused,
        round(budget.left(now), 3),
    )


def _has_room(
    attempts_made: int, max_attempts: int, deadline: float, now: float
) -> bool:
    return attempts_made < max_attempts and deadline - now >= LEAST_ATTEMPT_SECONDS
