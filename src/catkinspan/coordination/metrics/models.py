"""Records and snapshots of the metrics."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import Factory, frozen

from catkinspan.coordination.metrics.const import RECENT_SECONDS
from catkinspan.state.ids import KeyId, ServiceId, WorkspaceId


class ResultCategory(StrEnum):
    """How a request ended, as operators group the ends."""

    SERVED = "served"
    FAILED = "failed"
    """A 5xx response, a cut answer, or an upstream that could not be used."""

    RATE = "rate"
    """Refused above the workspace's rate and burst."""

    CAPACITY = "capacity"
    """Refused for want of a slot or of room on the host."""

    KEY = "key"
    """Refused for want of a valid key."""

    HOST = "host"
    """Refused because this host cannot serve: not ready or isolated."""

    REQUEST = "request"
    """Refused for a fault of the request itself."""

    ABANDONED = "abandoned"
    """The caller went away."""


@frozen
class FinishedRequest:
    """One finished request of a caller."""

    service: ServiceId
    """Empty if no route was found."""

    workspace: WorkspaceId
    """Empty on routes open to all and before a key was accepted."""

    status: int
    kind: str
    """Kind of the refusal, or `passed`, `cut` or `abandoned`."""

    seconds: float
    attempts: int


@frozen
class ResultCounts:
    """Requests by the way they ended."""

    counts: Mapping[ResultCategory, int] = Factory(dict)
    seconds: int = RECENT_SECONDS
    """Span of the counts."""

    @property
    def eligible(self) -> int:
        """Return the requests that could have been served: without those that the
        rate, the key or the request itself ruled out."""
        return self.served + self.failed + self.refused_within_rate

    @property
    def served(self) -> int:
        """Return the requests that were served."""
        return self.counts.get(ResultCategory.SERVED, 0)

    @property
    def failed(self) -> int:
        """Return the requests that failed."""
        return self.counts.get(ResultCategory.FAILED, 0)

    @property
    def refused_within_rate(self) -> int:
        """Return the refusals for want of capacity or by the host's own state."""
        return self.counts.get(ResultCategory.CAPACITY, 0) + self.counts.get(
            ResultCategory.HOST, 0
        )

    @property
    def served_share(self) -> float | None:
        """Return the served share of those asked; None without any."""
        return self.served / self.eligible if self.eligible else None


@frozen
class SeriesKey:
    """Labels of one latency histogram."""

    service: str
    workspace: str


@frozen
class LatencySeries:
    """The latencies of served requests since the start of the host."""

    key: SeriesKey
    count: int
    seconds_sum: float
    histogram: bytes
    """The histogram in microseconds, in hdrhistogram's own encoding."""


@frozen
class DetectionStats:
    """Time from this host's first failed attempt to the ejection of the server."""

    count: int = 0
    seconds_sum: float = 0.0
    seconds_max: float = 0.0


@frozen
class WithdrawnKey:
    """A key that was withdrawn lately."""

    key: KeyId
    at: float
    """Monotonic seconds."""


@frozen
class WorstServed:
    """The workspace with the least served share of its recent requests."""

    workspace: WorkspaceId
    share: float
    eligible: int


@frozen
class MetricsSnapshot:
    """The counts of one host since its start; latencies are apart."""

    requests: Mapping[tuple[str, str], int]
    """Requests by service and kind of end."""

    refusals: Mapping[str, int]
    """Refusals by kind."""

    in_rate_refusals: Mapping[str, int]
    """Refusals after the rate stage had admitted the request, by kind."""

    attempts: Mapping[tuple[str, str], int]
    """Attempts at upstreams by service and kind of outcome."""

    retries: Mapping[str, int]
    """Attempts beyond the first, by service."""

    events: Mapping[str, int]
    """Audit events by kind."""

    ejections: Mapping[str, int]
    """Servers that this host saw ejected, by service."""

    returns: Mapping[str, int]
    """Servers that this host saw back in use after an ejection, by service."""

    detection: Mapping[str, DetectionStats]
    worst_served: WorstServed | None
