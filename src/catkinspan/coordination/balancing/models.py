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
    tried: frozenset[ServerId]
    """Servers that the request was sent to before."""

    usual: float
    """Usual latency of such a request, in seconds."""

    seconds_left: float
    """Time until the request's deadline."""

    may_try: bool
    """Whether the request may serve as a trial of a doubtful server."""


@frozen
class ServerChoice:
    """The server for an attempt, and what decided."""

    upstream: Upstream
    risk: float
    in_flight: int
    is_trial: bool
    candidates: int


class NoServer(StrEnum):
    """Why there is no server."""

    NONE_PUBLISHED = "none_published"
    """The service has no server that takes new work."""

    FULL = "full"
    """Each server's queue is longer than the request can wait."""


@frozen
class ServerRefused:
    """No server may get the request now."""

    reason: NoServer
    wait: float
    """Seconds until a server is likely to be free."""
