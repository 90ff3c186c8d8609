"""Usual latencies of the classes of requests."""

from attrs import define

from catkinspan.coordination.health.const import (
    LATENCY_MEMORY_SAMPLES,
    LEAST_OVERDUE_SECONDS,
    MAX_LATENCY_CLASSES,
    OVERDUE_FACTOR,
    PRIOR_SAMPLES,
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


def overdue_after(usual: float, in_flight: int, slots: int) -> float:
    """Return the seconds after which a request is overdue at a server.

    Requests beyond the server's slots wait there for one of the others.
    """
    rounds = 1.0 + max(0, in_flight - slots) / max(1, slots)
    return max(LEAST_OVERDUE_SECONDS, OVERDUE_FACTOR * usual) * rounds
