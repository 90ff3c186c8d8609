"""Coordinator of retry budgets."""

from collections import deque
from random import Random
from typing import ClassVar

from attrs import define, field

from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.models import PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rendezvous import weight
from catkinspan.coordination.retries.const import (
    BASE_BACKOFF_SECONDS,
    BASE_RETRIES_PER_WINDOW,
    MAX_BACKOFF_SECONDS,
    MIN_ATTEMPT_SECONDS,
    MIN_BUDGET_AFTER_HEDGE,
    USED_SLACK_SHARE,
    WINDOW_SECONDS,
)
from catkinspan.coordination.retries.models import RetryBudget
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import ServiceId
from catkinspan.state.node import RETRY_SLACK
from catkinspan.state.policy import Policy
from catkinspan.state.tree import SettingsTree


class _SlidingWindow:
    """Counts events of the last `WINDOW_SECONDS` in buckets of one second."""

    def __init__(self) -> None:
        self._counts: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count an event."""
        second = int(now)
        if self._counts and self._counts[-1][0] == second:
            self._counts[-1] = (second, self._counts[-1][1] + 1)
        else:
            self._counts.append((second, 1))
        self._total += 1

    def total(self, now: float) -> int:
        """Return the number of events within the window."""
        while self._counts and self._counts[0][0] <= int(now) - WINDOW_SECONDS:
            self._total -= self._counts.popleft()[1]
        return self._total


_SELECTION_KEY = "base retry"


@define
class _Budget:
    """Retry budget of one service, based on the first attempts of the window."""

    ratio: float
    base_retries: float = BASE_RETRIES_PER_WINDOW
    first_attempt_window: _SlidingWindow = field(factory=_SlidingWindow)
    retry_window: _SlidingWindow = field(factory=_SlidingWindow)
    first_attempts: int = 0
    spent: int = 0
    refused: int = 0

    def record_first_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self.first_attempts += 1
        self.first_attempt_window.add(now)

    def remaining(self, now: float) -> float:
        """Return the retries that are currently allowed."""
        allowed = self.ratio * self.first_attempt_window.total(now) + self.base_retries
        return allowed - self.retry_window.total(now)

    def acquire(self, min_remaining: float, now: float) -> bool:
        """Count a retry if at least `min_remaining` are left after it."""
        # The tolerance covers rounding: 0.1 added ten times is slightly less than 1.
        if self.remaining(now) - 1.0 < min_remaining - 1e-9:
            self.refused += 1
            return False
        self.retry_window.add(now)
        self.spent += 1
        return True


class RetryCoordinator(BaseCoordinator):
    """Limits retries and hedges to a ratio of the first attempts of each service.

    Each host limits its own retries, so that the limit holds for the fleet without
    messages between hosts: `ratio * first attempts` in each window, plus its part of
    the slack in the settings.
    """

    message_types: ClassVar[tuple[type[PeerMessage], ...]] = ()

    def __init__(self, outbox: Outbox, slack: float = RETRY_SLACK) -> None:
        self._outbox = outbox
        self._slack = slack
        self._budgets: dict[ServiceId, _Budget] = {}
        self._ratios: dict[ServiceId, float] = {}
        self._base_retries = BASE_RETRIES_PER_WINDOW

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Apply the configured ratios, and drop the budgets of removed services."""
        services = tree.services
        self._ratios = {n: max(0.0, s.policy.retry_ratio) for n, s in services.items()}
        for name in [name for name in self._budgets if name not in services]:
            del self._budgets[name]
        for name, budget in self._budgets.items():
            budget.ratio = self._ratios[name]

    def apply_view(self, view: FleetView, now: float) -> None:
        """Divide the slack of the whole fleet among the known hosts.

        A part below one would allow no retry at all, so then some hosts, selected by
        their hash, get a whole one.
        """
        part = USED_SLACK_SHARE * self._slack / max(1, view.known_count)
        if part < 1.0:
            position = weight(_SELECTION_KEY, view.self_id) / 2.0**64
            part = 1.0 if position < part else 0.0
        self._base_retries = min(BASE_RETRIES_PER_WINDOW, part)
        for budget in self._budgets.values():
            budget.base_retries = self._base_retries if budget.ratio > 0 else 0.0

    def record_first_attempt(self, service: ServiceId, now: float) -> None:
        """Count the first attempt of a request."""
        self._budget_for(service).record_first_attempt(now)

    def acquire_retry(
        self,
        service: ServiceId,
        attempts_made: int,
        max_attempts: int,
        deadline: float,
        now: float,
    ) -> bool:
        """Return whether a retry may start, and charge the budget if so.

        A retry after a shed request is charged as well, since it loads a server.
        """
        if not _is_attempt_allowed(attempts_made, max_attempts, deadline, now):
            return False
        return self._budget_for(service).acquire(0.0, now)

    def acquire_hedge(
        self,
        service: ServiceId,
        attempts_made: int,
        max_attempts: int,
        deadline: float,
        now: float,
    ) -> bool:
        """Return whether a hedge may start, and charge the budget if so.

        At least `MIN_BUDGET_AFTER_HEDGE` remains in the budget for retries.
        """
        if not _is_attempt_allowed(attempts_made, max_attempts, deadline, now):
            return False
        return self._budget_for(service).acquire(MIN_BUDGET_AFTER_HEDGE, now)

    def remaining(self, service: ServiceId, now: float) -> float:
        """Return the retries that a service's budget currently allows."""
        return self._budget_for(service).remaining(now)

    def snapshot(self, service: ServiceId, now: float) -> RetryBudget | None:
        """Return the budget of a service, or None before its first request."""
        budget = self._budgets.get(service)
        return None if budget is None else _snapshot(budget, now)

    def _budget_for(self, service: ServiceId) -> _Budget:
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self._ratios.get(service, Policy().retry_ratio)
            base_retries = self._base_retries if ratio > 0 else 0.0
            budget = self._budgets[service] = _Budget(ratio, base_retries)
        return budget


def backoff(attempt: int, rng: Random) -> float:
    """Return the backoff in seconds after an attempt, counted from 1.

    Exponential with full jitter (Brooker, 2015), so that hosts do not retry in step.
    """
    longest = min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2.0 ** (attempt - 1))
    return rng.uniform(0.0, longest)


def _snapshot(budget: _Budget, now: float) -> RetryBudget:
    return RetryBudget(
        budget.ratio,
        budget.first_attempts,
        budget.spent,
        budget.refused,
        round(budget.remaining(now), 3),
    )


def _is_attempt_allowed(
    attempts_made: int, max_attempts: int, deadline: float, now: float
) -> bool:
    return attempts_made < max_attempts and deadline - now >= MIN_ATTEMPT_SECONDS
