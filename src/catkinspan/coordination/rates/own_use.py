"""Admission by a host's own recent use, while it has no levels of a hub."""

from collections import deque
from math import exp, floor, sqrt
from random import Random

from attrs import define, field

from catkinspan.coordination.rates.const import (
    OWN_USE_AVERAGING_SECONDS,
    OWN_USE_DEVIATIONS,
    OWN_USE_MIN_SECONDS,
    OWN_USE_WINDOW_SECONDS,
)


@define
class OwnUse:
    """Requests of one workspace that this host admitted.

    While a host hears no hub, the fleet as a whole keeps to the rates if each host goes
    on with what it admitted before. The limit is frozen when the levels are lost, so
    that it does not grow with what it admits.
    """

    started_at: float
    _admitted_at: deque[float] = field(factory=deque, init=False)
    """Times of the admissions within the window."""

    _weight: float = field(default=0.0, init=False)
    """Admissions, weighted by their age; their rate times the averaging time."""

    _weighted_at: float = field(default=0.0, init=False)
    _limit: int | None = field(default=None, init=False)
    """Frozen limit of a window; None while levels arrive."""

    def record(self, now: float) -> None:
        """Count an admission."""
        self._weight = self._decayed_weight(now) + 1.0
        self._weighted_at = now
        self._admitted_at.append(now)
        self._drop_old(now)

    @property
    def frozen_limit(self) -> int | None:
        """Return the limit of a window; None while levels arrive."""
        return self._limit

    def reduce(self, factor: float) -> None:
        """Reduce the use, because the rate was reduced by a factor."""
        self._weight *= factor
        self._limit = None

    def clear_limit(self) -> None:
        """Drop the frozen limit, because levels have arrived."""
        self._limit = None

    def count(self, now: float) -> int:
        """Return the admissions within the window."""
        self._drop_old(now)
        return len(self._admitted_at)

    def limit(self, share: float, is_short: bool, rng: Random, now: float) -> int:
        """Return how many requests to admit in each window, frozen at the first call.

        `share` is the host's part of what the fleet may admit in a window. A workspace
        that was short of tokens keeps its use. Another one may use more, since the
        requests in a window vary around their mean, of which the measured use is an
        estimate.
        """
        if self._limit is None:
            limit = self._use_limit(is_short, now)
            self._limit = max(floor(limit), floor(share + rng.random()))
        return self._limit

    def _use_limit(self, is_short: bool, now: float) -> float:
        age = max(OWN_USE_MIN_SECONDS, now - self.started_at)
        seconds = OWN_USE_AVERAGING_SECONDS * (
            1 - exp(-age / OWN_USE_AVERAGING_SECONDS)
        )
        scale = OWN_USE_WINDOW_SECONDS / seconds
        expected = self._decayed_weight(now) * scale
        if is_short or not expected:
            return expected
        deviation = sqrt(expected * (1 + scale))
        return expected + OWN_USE_DEVIATIONS * deviation + 1.0

    def _decayed_weight(self, now: float) -> float:
        age = max(0.0, now - self._weighted_at)
        return self._weight * exp(-age / OWN_USE_AVERAGING_SECONDS)

    def _drop_old(self, now: float) -> None:
        while (
            self._admitted_at and self._admitted_at[0] <= now - OWN_USE_WINDOW_SECONDS
        ):
            self._admitted_at.popleft()
