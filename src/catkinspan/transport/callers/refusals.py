"""Refusals of requests that the host task does not decide on."""

from catkinspan.coordination.requests.errors import Refusal, RefusalKind
from catkinspan.protocol.http.heads import bad_request

KEY_IN_PATH = bad_request(
    "the path contains the key", "send the key in a header only, and withdraw this one"
)
HOST_BUSY = Refusal(
    RefusalKind.OVERLOADED,
    "the host has too many requests waiting",
    "try again after the given time",
    retry_after=1.0,
)
BODY_TIMEOUT = Refusal(
    RefusalKind.REQUEST_TIMEOUT,
    "the request body did not arrive in time",
    "send it faster",
)
BODY_TOO_LARGE = Refusal(
    RefusalKind.BODY_TOO_LARGE,
    "the body is larger than the route allows",
    "send a smaller body",
)
