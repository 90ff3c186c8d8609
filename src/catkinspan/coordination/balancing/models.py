"""Requests for a server, and their answers."""

from enum import StrEnum

from attrs import frozen

from catkinspan.state.ids import ServerId, ServiceId
from catkinspan.state.tree import Upstream


@frozen
class ServerRequest:
    """What an attempt needs."""

    service: ServiceId
    idempotent: bool
    tried_servers: frozenset[ServerId]
    """Servers that the request was sent to before."""

    expected_latency: float
    """Usual latency of such a request, in seconds."""

    remaining_seconds: float
    """Time until the request's deadline."""

    allows_trial: bool
    """Whether the request may serve as a trial of a doubtful server."""


@frozen
class ServerChoice:
    """The server for an attempt, and what decided."""

    upstream: Upstream
    risk: float
    in_flight: int
    is_trial: bool
    candidates: int


class NoServerReason(StrEnum):
    """Why there is no server."""

    NONE_PUBLISHED = "none_published"
    """The service has no server that takes new work."""

    FULL = "full"
    """Each server's queue is longer than the request can wait."""


@frozen
class NoServerAvailable:
    """No server may get the request now."""

    reason: NoServerReason
    expected_wait: float
    """Seconds until a server is likely to be free."""
