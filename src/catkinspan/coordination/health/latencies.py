"""Usual latencies of the classes of requests."""

from attrs import define, frozen

from catkinspan.coordination.health.const import (
    LATENCY_MEMORY_SAMPLES,
    LEAST_OVERDUE_SECONDS,
    MAX_LATENCY_CLASSES,
    OVERDUE_FACTOR,
    PRIOR_SAMPLES,
    SLOW_FACTOR,
    USUAL_SHARE_OF_TARGET,
    USUAL_WITHOUT_TARGET_SECONDS,
)


@define
class _Usual:
    mean: float
    weight: float = PRIOR_SAMPLES


class UsualLatencies:
    """A moving mean of the latency of each class, usually a route."""

    def __init__(self) -> None:
        self._classes: dict[str, _Usual] = {}

    def expect(self, name: str, target: float | None) -> float:
        """Return the usual latency in seconds of a class with a target."""
        usual = self._classes.get(name)
        if usual is None:
            mean = USUAL_WITHOUT_TARGET_SECONDS
            if target is not None:
                mean = target * USUAL_SHARE_OF_TARGET
            if len(self._classes) >= MAX_LATENCY_CLASSES:
                return mean
            usual = self._classes[name] = _Usual(mean)
        return usual.mean

    def record(self, name: str, seconds: float) -> None:
        """Add the latency of a success."""
        usual = self._classes.get(name)
        if usual is None:
            return
        usual.weight = min(usual.weight + 1.0, LATENCY_MEMORY_SAMPLES)
        usual.mean += (seconds - usual.mean) / usual.weight


@frozen
class LatencyLimits:
    """Seconds after which a request counts as slow, and as overdue."""

    slow: float
    overdue: float

    @classmethod
    def of(cls, usual: float, in_flight: int, slots: int) -> "LatencyLimits":
        """Return the limits at a server with requests in flight, the new one included.

        Requests beyond the server's slots wait there for one of the others.
        """
        rounds = 1.0 + max(0, in_flight - slots) / max(1, slots)
        slow = max(LEAST_OVERDUE_SECONDS, SLOW_FACTOR * usual)
        overdue = max(LEAST_OVERDUE_SECONDS, OVERDUE_FACTOR * usual)
        return cls(slow * rounds, overdue * rounds)

    def times(self, factor: float) -> "LatencyLimits":
        """Return limits for a server that is slower by a factor."""
        return LatencyLimits(self.slow * factor, self.overdue * factor)
