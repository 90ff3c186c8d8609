"""HTTP headers of the platform between callers, the fleet and upstreams."""

from catkinspan.protocol.http.names import HttpNames

HTTP_NAMES = HttpNames(
    keeps_request_id=True,
    echoes_request_id=True,
    expected_server=b"x-expect-instance",
    workspace=b"x-tenant",
    not_run=b"x-not-executed",
    not_run_value=None,
    draining=b"server-leaving",
    stamp=b"x-server-stamp",
    fractional_retry_after=True,
)
