"""The listener that serves only the load balancer's health check."""

from collections.abc import Awaitable, Callable

from catkinspan.state.tree import Address
from catkinspan.transport.callers.messages import HealthStatus
from catkinspan.transport.simple_server import (
    ServerLimits,
    SimpleRequest,
    SimpleResponse,
    SimpleServer,
)

LIMITS = ServerLimits(max_connections=64, max_body_bytes=0, idle_seconds=30.0)


class ReadyListener:
    """Responds with 200 while the load balancer should send callers here, else 503.

    Every path gives the same response, since the listener serves nothing else.
    """

    def __init__(self, query_health: Callable[[], Awaitable[HealthStatus]]) -> None:
        self._query_health = query_health
        self._server = SimpleServer(self._async_handle, LIMITS)

    async def async_start(self, address: Address) -> Address:
        """Listen and return the address in use; raises OSError if it is taken."""
        return await self._server.async_start(address)

    async def async_stop(self) -> None:
        """Close the listener and all its connections."""
        await self._server.async_stop()

    async def _async_handle(self, request: SimpleRequest) -> SimpleResponse:
        try:
            status = await self._query_health()
        except TimeoutError:
            return SimpleResponse(503, b"the host task is busy\n")
        code = 200 if status.serving else 503
        return SimpleResponse(code, status.reason.encode() + b"\n")
