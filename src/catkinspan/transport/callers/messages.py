"""Messages between the connection tasks and the host task."""

from typing import Any

from attrs import frozen

from catkinspan.coordination.requests.models import (
    AttemptFinished,
    BodyReceived,
    RequestAbandoned,
    RequestArrived,
)
from catkinspan.transport.mailbox import Mailbox


@frozen
class Submit:
    """A request, with the inbox for the directives about it."""

    arrived: RequestArrived
    reply: Mailbox[Any]


@frozen
class Progress:
    """A later message about a submitted request."""

    message: BodyReceived | AttemptFinished | RequestAbandoned


@frozen
class HealthQuery:
    """Ask whether the balancer should send callers to this host."""

    reply: Mailbox[Any]


@frozen
class HealthStatus:
    """Answer to `HealthQuery`."""

    serving: bool
    reason: str


@frozen
class Drain:
    """Answer `Connection: close` from now on."""

    close_idle: bool = True
    """Whether to close an idle connection at once."""


@frozen
class RequestRecord:
    """One finished exchange with a caller, for metrics and the access log."""

    request_id: str
    service: str
    workspace: str
    status: int
    kind: str
    """Kind of the refusal, or `passed`, or `cut` for a truncated answer."""

    seconds: float
    attempts: int
