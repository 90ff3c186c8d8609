"""Estimate of the probability that a server is in a bad phase."""

from math import exp

from attrs import define

from catkinspan.coordination.health.const import (
    BAD_TO_GOOD_PER_SECOND,
    GOOD_TO_BAD_PER_SECOND,
    INITIAL_RISK,
    MAX_RISK,
    MIN_RISK,
    SUCCESS_FACTOR,
)

_DECAY_PER_SECOND = GOOD_TO_BAD_PER_SECOND + BAD_TO_GOOD_PER_SECOND
_STATIONARY_RISK = GOOD_TO_BAD_PER_SECOND / _DECAY_PER_SECOND


def decayed_risk(risk: float, seconds: float) -> float:
    """Return a risk after a time without evidence."""
    remaining = exp(-_DECAY_PER_SECOND * max(0.0, seconds))
    return _STATIONARY_RISK + (risk - _STATIONARY_RISK) * remaining


@define
class RiskEstimate:
    """A two-state hidden Markov model (Rabiner, 1989) with fixed likelihoods.

    Each success or failure multiplies the odds of a bad phase. Without evidence the
    risk decays to its stationary value, since phases begin and end by themselves.
    """

    risk: float = INITIAL_RISK
    updated_at: float = 0.0

    def decay_to(self, now: float) -> float:
        """Advance the estimate to the current time and return the risk."""
        self.risk = decayed_risk(self.risk, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        return self.risk

    def record_successes(self, count: int, now: float) -> None:
        """Lower the risk by `count` successes."""
        self._scale_odds(SUCCESS_FACTOR**count, now)

    def record_failures(self, count: int, factor: float, now: float) -> None:
        """Raise the risk by `count` failures, each of which scales the odds."""
        self._scale_odds(factor**count, now)

    def _scale_odds(self, factor: float, now: float) -> None:
        risk = self.decay_to(now)
        odds = risk / (1.0 - risk) * factor
        self.risk = min(MAX_RISK, max(MIN_RISK, odds / (1.0 + odds)))
