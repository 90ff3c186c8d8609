"""Records and snapshots of request metrics."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import Factory, frozen

from catkinspan.coordination.metrics.const import RECENT_SECONDS
from catkinspan.state.ids import KeyId, ServiceId, WorkspaceId


class ResultCategory(StrEnum):
    """Category of a request's result in operator reports."""

    SERVED = "served"
    FAILED = "failed"
    """A 5xx response, a truncated response, or an unusable upstream."""

    RATE = "rate"
    """Refused because the workspace exceeded its rate and burst."""

    CAPACITY = "capacity"
    """Refused because no upstream slot was free or the host was at its limit."""

    KEY = "key"
    """Refused because the key was missing or invalid."""

    HOST = "host"
    """Refused because this host cannot serve: it is not ready or is isolated."""

    REQUEST = "request"
    """Refused because the request itself was invalid."""

    ABANDONED = "abandoned"
    """The caller disconnected."""


@frozen
class FinishedRequest:
    """A finished request of a caller."""

    service: ServiceId
    """Empty if no route matched."""

    workspace: WorkspaceId
    """Empty on open routes, and for requests without an accepted key."""

    status: int
    kind: str
    """Kind of the refusal, or `passed`, `cut` or `abandoned`."""

    seconds: float
    attempts: int


@frozen
class ResultCounts:
    """Counts of requests by result category."""

    counts: Mapping[ResultCategory, int] = Factory(dict)
    seconds: int = RECENT_SECONDS
    """Length of the counted interval, in seconds."""

    @property
    def eligible(self) -> int:
        """Return the requests that could have been served, which excludes those refused
        for the rate, the key or the request itself, and abandoned ones."""
        return self.served + self.failed + self.refused_within_rate

    @property
    def served(self) -> int:
        """Return the number of served requests."""
        return self.counts.get(ResultCategory.SERVED, 0)

    @property
    def failed(self) -> int:
        """Return the number of failed requests."""
        return self.counts.get(ResultCategory.FAILED, 0)

    @property
    def refused_within_rate(self) -> int:
        """Return the refusals for lack of capacity or because of the host's state."""
        return self.counts.get(ResultCategory.CAPACITY, 0) + self.counts.get(
            ResultCategory.HOST, 0
        )

    @property
    def served_share(self) -> float | None:
        """Return the served share of the eligible requests; None without any."""
        return self.served / self.eligible if self.eligible else None


@frozen
class SeriesKey:
    """Labels of a latency histogram."""

    service: str
    workspace: str


@frozen
class LatencySeries:
    """Latency histogram of the served requests since the host started."""

    key: SeriesKey
    count: int
    seconds_sum: float
    histogram: bytes
    """Histogram of microseconds in the HdrHistogram encoding."""


@frozen
class DetectionStats:
    """Time from this host's first failed attempt at a server to its ejection."""

    count: int = 0
    seconds_sum: float = 0.0
    seconds_max: float = 0.0


@frozen
class WithdrawnKey:
    """A recently withdrawn key."""

    key: KeyId
    at: float
    """Monotonic seconds."""


@frozen
class WorstServed:
    """The workspace with the lowest served share of its recent requests."""

    workspace: WorkspaceId
    share: float
    eligible: int


@frozen
class MetricsSnapshot:
    """Counts of one host since its start; latencies are reported separately."""

    requests: Mapping[tuple[str, str], int]
    """Requests by service and kind, as in `FinishedRequest.kind`."""

    refusals: Mapping[str, int]
    """Refusals by kind."""

    in_rate_refusals: Mapping[str, int]
    """Refusals of requests that the rate stage had admitted, by kind."""

    attempts: Mapping[tuple[str, str], int]
    """Upstream attempts by service and outcome kind."""

    retries: Mapping[str, int]
    """Attempts after the first one, by service."""

    events: Mapping[str, int]
    """Audit events by kind."""

    ejections: Mapping[str, int]
    """Server ejections seen by this host, by service."""

    returns: Mapping[str, int]
    """Returns of ejected servers to use seen by this host, by service."""

    detection: Mapping[str, DetectionStats]
    worst_served: WorstServed | None
