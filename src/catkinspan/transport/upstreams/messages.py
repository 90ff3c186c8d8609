"""Messages between an attempt and the exchange that started it."""

import h11
from attrs import frozen

from catkinspan.coordination.outcomes import AttemptOutcome
from catkinspan.coordination.requests.models import Assigned
from catkinspan.protocol.http.upstream import UpstreamRequest


@frozen
class BodyChunk:
    """The next chunk of a request body."""

    data: bytes
    is_last: bool


@frozen
class AttemptEvent:
    """Base class of the messages from an attempt to its exchange."""

    attempt: int


@frozen
class BodyChunkRequested(AttemptEvent):
    """The attempt has sent the received part of the body and needs the next chunk."""


@frozen
class AttemptHead(AttemptEvent):
    """The response head arrived."""

    response: h11.Response
    outcome: AttemptOutcome
    """OK or SERVER_ERROR, with the time until the head arrived."""


@frozen
class AttemptData(AttemptEvent):
    """A chunk of the response body arrived."""

    data: bytes


@frozen
class AttemptCompleted(AttemptEvent):
    """The response is complete."""

    outcome: AttemptOutcome


@frozen
class AttemptFailed(AttemptEvent):
    """The attempt ended without a complete response."""

    outcome: AttemptOutcome


@frozen
class AttemptSpec:
    """The assignment of an attempt and the request that it sends."""

    assigned: Assigned
    request: UpstreamRequest
    body_prefix: bytes
    body_complete: bool
    """Whether the prefix is the whole body."""

    idempotent: bool
