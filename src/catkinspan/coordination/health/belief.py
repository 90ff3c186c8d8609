"""The probability that a server is in a bad phase."""

from math import exp

from attrs import define

from catkinspan.coordination.health.const import (
    BAD_TO_GOOD_PER_SECOND,
    GOOD_TO_BAD_PER_SECOND,
    LEAST_RISK,
    MOST_RISK,
    START_RISK,
    SUCCESS_FACTOR,
)

_DRIFT_PER_SECOND = GOOD_TO_BAD_PER_SECOND + BAD_TO_GOOD_PER_SECOND
_RESTING_RISK = GOOD_TO_BAD_PER_SECOND / _DRIFT_PER_SECOND


@define
class Belief:
    """A two-state hidden Markov model (Rabiner, 1989) with fixed likelihoods.

    Each success or failure multiplies the odds of a bad phase; without evidence the
    risk drifts to its resting value, since phases begin and end by themselves.
    """

    risk: float = START_RISK
    at: float = 0.0

    def drift(self, now: float) -> float:
        """Let time pass and return the risk."""
        left = exp(-_DRIFT_PER_SECOND * max(0.0, now - self.at))
        self.risk = _RESTING_RISK + (self.risk - _RESTING_RISK) * left
        self.at = max(self.at, now)
        return self.risk

    def succeed(self, count: int, now: float) -> None:
        """Take successes as evidence."""
        self._multiply(SUCCESS_FACTOR**count, now)

    def fail(self, count: int, factor: float, now: float) -> None:
        """Take failures as evidence."""
        self._multiply(factor**count, now)

    def _multiply(self, factor: float, now: float) -> None:
        risk = self.drift(now)
        odds = risk / (1.0 - risk) * factor
        self.risk = min(MOST_RISK, max(LEAST_RISK, odds / (1.0 + odds)))
