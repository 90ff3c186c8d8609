"""Requests to choose a server, and their results."""

from enum import StrEnum

from attrs import frozen

from catkinspan.state.ids import ServerId, ServiceId
from catkinspan.state.tree import Upstream


@frozen
class ServerRequest:
    """What an attempt requires of its server."""

    service: ServiceId
    idempotent: bool
    tried_servers: frozenset[ServerId]
    """Servers to which the request was already sent."""

    expected_latency: float
    """Expected latency of such a request, in seconds."""

    remaining_seconds: float
    """Time until the request's deadline."""

    allows_trial: bool
    """Whether the request may be sent to a high-risk server as a trial."""


@frozen
class ServerChoice:
    """The server chosen for an attempt, with the inputs of the choice."""

    upstream: Upstream
    risk: float
    in_flight: int
    is_trial: bool
    connection_limit: int
    """Connections that this host may have open to the server."""

    state_age: float | None = None
    """Age in seconds of the hub's latest message, which may leave out the server; None
    for own counts only."""


class NoServerReason(StrEnum):
    """Why no server is available."""

    NONE_PUBLISHED = "none_published"
    """The service has no published server that accepts new requests."""

    PAUSED = "paused"
    """Each server that could take the request asked this host for a pause."""

    FULL = "full"
    """The queue of every server is longer than the request can wait."""


@frozen
class NoServerAvailable:
    """No server can take the request now."""

    reason: NoServerReason
    expected_wait: float
    """Estimated seconds until a server is free."""
