"""The HTTP listener for operators."""

from typing import TYPE_CHECKING

from catkinspan.coordination.clock import Clock
from catkinspan.state.tree import Address
from catkinspan.transport.operators.messages import HostReader
from catkinspan.transport.simple_server import (
    ServerLimits,
    SimpleRequest,
    SimpleResponse,
    SimpleServer,
)

if TYPE_CHECKING:
    from catkinspan.transport.operators.requests import OperatorsRequests

LIMITS = ServerLimits(max_connections=64, max_body_bytes=0, idle_seconds=60.0)


class OperatorsListener:
    """Accepts operators' requests; the reports are loaded with the first one."""

    def __init__(self, host: HostReader, clock: Clock) -> None:
        self._host = host
        self._clock = clock
        self._server = SimpleServer(self._async_handle, LIMITS)
        self._requests: OperatorsRequests | None = None

    async def async_start(self, address: Address) -> Address:
        """Listen and return the address in use; raises OSError if it is taken."""
        return await self._server.async_start(address)

    async def async_stop(self) -> None:
        """Close the listener and all its connections."""
        await self._server.async_stop()

    async def _async_handle(self, request: SimpleRequest) -> SimpleResponse:
        if self._requests is None:
            # Imported on demand: the classes of the reports take a tenth of the
            # processor time of a start, and most processes are never asked.
            from catkinspan.transport.operators.requests import OperatorsRequests

            self._requests = OperatorsRequests(self._host, self._clock)
        return await self._requests.async_respond(request)
