"""Thresholds of the health profiles and the weight of each signal."""

from collections.abc import Mapping
from math import ceil

from attrs import frozen

from catkinspan.coordination.health.models import Signal
from catkinspan.state.policy import HealthProfile


@frozen
class SignalWeight:
    """The two hypotheses that the cumulative sum of a signal compares."""

    healthy: float
    """Share of attempts with the signal at a healthy server."""

    faulty: float
    """Share of attempts with the signal at a faulty server."""

    threshold: float = 1.0
    """Multiple of the profile's threshold that the signal alone must reach."""


WEIGHTS: Mapping[Signal, SignalWeight] = {
    Signal.FAILURE: SignalWeight(0.005, 0.2),
    Signal.ERROR: SignalWeight(0.005, 0.2),
    Signal.STALL: SignalWeight(0.0001, 0.3),
    Signal.SLOW: SignalWeight(0.005, 0.25),
    Signal.SHED: SignalWeight(0.25, 0.9, threshold=8.0),
    Signal.PROBE: SignalWeight(0.02, 0.5, threshold=2.0),
}


@frozen
class ProfileValues:
    """What a health profile sets."""

    threshold: float
    """Score, a log likelihood ratio, at which a server is ejected."""

    hold: float
    """Seconds of the first ejection; each further one doubles it."""


PROFILES: Mapping[HealthProfile, ProfileValues] = {
    HealthProfile.CAUTIOUS: ProfileValues(threshold=16.0, hold=5.0),
    HealthProfile.BALANCED: ProfileValues(threshold=12.0, hold=10.0),
    HealthProfile.FAST: ProfileValues(threshold=9.0, hold=15.0),
}


def floor_of(published: int, share: float) -> int:
    """Return how many of the published servers ejections must leave."""
    return min(published, ceil(published * share - 1e-9))
