"""Usual latency and failures of each request class, over all servers."""

from collections import OrderedDict, deque
from math import exp, log

from attrs import Factory, define

from catkinspan.coordination.health.const import (
    CLASS_FAILURES,
    CLASS_FAULT_RATE,
    MAX_CLASSES,
    REFERENCE_SAMPLES,
)
from catkinspan.state.ids import ServerId

_MIN_LATENCY = 1e-5
_STEP = 1.03
_FAILURE_GAIN = 0.05


@define
class ClassReference:
    """Running median of a class's latency, and its last failures.

    It starts as the geometric mean of the first samples and then moves by 3% in
    the direction of each sample (Robbins and Monro, 1951), so a few slow servers do
    not shift it. Since all servers serve the class,
    a class that is slow everywhere makes no server look slow.
    """

    samples: int = 0
    failure_rate: float = 0.0
    _median: float = 0.0
    _log_sum: float = 0.0
    _failed_at: deque[ServerId] = Factory(lambda: deque(maxlen=CLASS_FAILURES))

    @property
    def median(self) -> float | None:
        """Return the median latency in seconds, or None with too few samples."""
        return self._median if self.samples >= REFERENCE_SAMPLES else None

    @property
    def estimate(self) -> float:
        """Return a first idea of the latency from few samples, 0.0 without any."""
        return self._median

    def add_success(self, latency: float) -> None:
        """Move the median towards a sample."""
        self.samples += 1
        self.failure_rate *= 1.0 - _FAILURE_GAIN
        if self.samples > REFERENCE_SAMPLES:
            self._median *= _STEP if latency > self._median else 1.0 / _STEP
            return
        self._log_sum += log(max(latency, _MIN_LATENCY))
        self._median = exp(self._log_sum / self.samples)

    def add_failure(self, server: ServerId) -> bool:
        """Return whether the failure speaks against the server, not the class."""
        self.failure_rate += _FAILURE_GAIN * (1.0 - self.failure_rate)
        self._failed_at.append(server)
        if self.failure_rate < CLASS_FAULT_RATE:
            return True
        others = sum(1 for failed in self._failed_at if failed != server)
        return others * 2 <= len(self._failed_at)


class References:
    """References of the classes of one service, the least recently used dropped."""

    def __init__(self) -> None:
        self._classes: OrderedDict[str, ClassReference] = OrderedDict()

    def of(self, request_class: str) -> ClassReference:
        """Return the reference of a class."""
        reference = self._classes.get(request_class)
        if reference is None:
            reference = self._classes[request_class] = ClassReference()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        else:
            self._classes.move_to_end(request_class)
        return reference
