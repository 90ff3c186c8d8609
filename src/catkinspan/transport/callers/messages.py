"""Messages between the connection tasks and the host task."""

from typing import Any

from attrs import frozen

from catkinspan.coordination.requests.models import (
    AttemptFinished,
    BodyReceived,
    RequestAbandoned,
    RequestArrived,
)
from catkinspan.protocol.http.heads import CallerHead
from catkinspan.state.ids import RequestId
from catkinspan.transport.mailbox import Mailbox


@frozen
class RequestSubmitted:
    """A new request and the mailbox that receives the directives for it."""

    arrived: RequestArrived
    reply: Mailbox[Any]


@frozen
class RequestUpdate:
    """An update on a submitted request."""

    message: BodyReceived | AttemptFinished | RequestAbandoned


@frozen
class HealthQuery:
    """Asks whether the load balancer should send callers to this host."""

    reply: Mailbox[Any]


@frozen
class HealthStatus:
    """Reply to `HealthQuery`."""

    serving: bool
    reason: str


@frozen
class Drain:
    """Tells a connection to send `Connection: close` from now on."""

    close_idle: bool = True
    """Whether an idle connection closes at once."""


@frozen
class ContinueBody:
    """Reminds an exchange of received body bytes that it has not read yet."""


@frozen
class RequestRecord:
    """Record of one finished exchange, for metrics and the access log."""

    request_id: str
    service: str
    workspace: str
    status: int
    kind: str
    """Kind of the refusal, `passed`, `abandoned`, or `cut` for a truncated response."""

    seconds: float
    attempts: int


def arrived_request(request_id: RequestId, head: CallerHead) -> RequestArrived:
    """Return the message to the host task about a request head."""
    return RequestArrived(
        request_id=request_id,
        method=head.method,
        host=head.host,
        path=head.path,
        query=head.query,
        presented_key=head.presented_key,
        deadline=head.deadline,
        content_length=head.content_length,
    )
