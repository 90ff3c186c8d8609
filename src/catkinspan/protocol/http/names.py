"""HTTP header names and options that differ between interfaces."""

from attrs import frozen


@frozen
class HttpNames:
    """Header names of an interface; None for a header that the interface lacks."""

    keeps_request_id: bool = False
    """Whether upstreams get the caller's request id instead of a generated one."""

    echoes_request_id: bool = False
    """Whether upstreams return the request id in each response."""

    attempt: bytes | None = None
    """Request header to upstreams with the attempt number."""

    expected_server: bytes | None = None
    """Request header naming the server that must run it; any other returns 421."""

    workspace: bytes | None = None
    """Request header to upstreams with the workspace of the key."""

    not_run: bytes = b""
    """Response header of upstreams which states that the request did not run."""

    not_run_value: bytes | None = None
    """Value of the header `not_run` with this meaning; None for any value."""

    request_ran: bytes | None = None
    """Response header that tells callers whether a refused request ran."""

    draining: bytes | None = None
    """Response header of upstreams which states that the server is draining."""

    stamp: bytes | None = None
    """Response header that a server sets on every successful response."""

    fractional_retry_after: bool = False
    """Whether callers accept fractions of a second in `Retry-After`."""


CATKINSPAN_HTTP = HttpNames(
    attempt=b"x-attempt",
    expected_server=b"x-expected-server",
    workspace=b"x-workspace",
    not_run=b"x-request-ran",
    not_run_value=b"no",
    request_ran=b"x-request-ran",
    draining=b"x-draining",
)
"""The built-in interface of catkinspan."""
