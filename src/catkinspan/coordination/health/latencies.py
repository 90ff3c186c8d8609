"""Expected latency of each class of requests."""

from attrs import define

from catkinspan.coordination.health.const import (
    LATENCY_WINDOW_SAMPLES,
    MAX_LATENCY_CLASSES,
    MIN_OVERDUE_SECONDS,
    OVERDUE_FACTOR,
    PRIOR_LATENCY_SAMPLES,
    PRIOR_LATENCY_SECONDS,
    PRIOR_LATENCY_SHARE_OF_TARGET,
)


@define
class _ClassLatency:
    mean: float
    weight: float = PRIOR_LATENCY_SAMPLES


class ExpectedLatencies:
    """Moving mean of the latency of each class of requests, in most cases a route."""

    def __init__(self) -> None:
        self._classes: dict[str, _ClassLatency] = {}

    def expected_latency(self, request_class: str, target: float | None) -> float:
        """Return the expected latency of a class with a target, in seconds."""
        latency = self._classes.get(request_class)
        if latency is None:
            mean = PRIOR_LATENCY_SECONDS
            if target is not None:
                mean = target * PRIOR_LATENCY_SHARE_OF_TARGET
            if len(self._classes) >= MAX_LATENCY_CLASSES:
                return mean
            latency = self._classes[request_class] = _ClassLatency(mean)
        return latency.mean

    def record(self, request_class: str, seconds: float) -> None:
        """Add the latency of a successful request."""
        latency = self._classes.get(request_class)
        if latency is None:
            return
        latency.weight = min(latency.weight + 1.0, LATENCY_WINDOW_SAMPLES)
        latency.mean += (seconds - latency.mean) / latency.weight


def overdue_after(expected_latency: float, in_flight: int, slots: int) -> float:
    """Return the seconds after which a request is overdue at a server.

    Requests beyond the server's slots queue there until another one ends.
    """
    queue_rounds = 1.0 + max(0, in_flight - slots) / max(1, slots)
    return max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * expected_latency) * queue_rounds
