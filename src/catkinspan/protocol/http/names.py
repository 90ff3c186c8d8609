"""Header names that differ between interfaces."""

from attrs import frozen


@frozen
class HttpNames:
    """What callers and upstreams call things; None for what an interface lacks."""

    keeps_request_id: bool = False
    """Whether a caller's request id goes upstream; else the fleet makes one."""

    attempt: bytes | None = None
    """Number of the attempt, to upstreams."""

    expected_server: bytes | None = None
    """Server that must run the request; any other answers 421."""

    workspace: bytes | None = None
    """Workspace of the key, to upstreams."""

    not_run: bytes = b""
    """Tells in a response that the request did not run."""

    not_run_value: bytes | None = None
    """Value of `not_run` that says so; None for any."""

    request_ran: bytes | None = None
    """Tells callers whether a refused request ran."""

    draining: bytes | None = None
    """Tells in a response that the server leaves."""

    stamp: bytes | None = None
    """Every success of a server bears it."""

    fractional_retry_after: bool = False
    """Whether callers take fractions of a second in `Retry-After`."""


CATKINSPAN_HTTP = HttpNames(
    attempt=b"x-attempt",
    expected_server=b"x-expected-server",
    workspace=b"x-workspace",
    not_run=b"x-request-ran",
    not_run_value=b"no",
    request_ran=b"x-request-ran",
    draining=b"x-draining",
)
"""The product's own interface."""
