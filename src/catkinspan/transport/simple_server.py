"""A small HTTP/1.1 server for operators, health checks and the stand-ins."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import h11
from attrs import field, frozen

from catkinspan.state.tree import Address

_READ_BYTES = 64 * 1024
MAX_EARLY_BYTES = 64 * 1024
"""Bytes that a client may send before it has the response to its last request."""


@frozen
class SimpleRequest:
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@frozen
class SimpleResponse:
    """A complete response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(factory=dict)


@frozen
class ServerLimits:
    """Limits on a server's connections; None means no limit."""

    max_connections: int | None = None
    """Connections over the limit are closed at once."""

    max_body_bytes: int | None = None
    idle_seconds: float | None = None
    """Longest wait for a complete request."""


class AbortConnectionError(Exception):
    """The connection must be closed without a response."""


SimpleHandler = Callable[[SimpleRequest], Awaitable[SimpleResponse]]


class SimpleServer:
    """Serves the requests of each connection in order."""

    def __init__(
        self, handler: SimpleHandler, limits: ServerLimits | None = None
    ) -> None:
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._writers)

    async def async_start(
        self, address: Address, tls: ssl.SSLContext | None = None
    ) -> Address:
        """Listen and return the address in use; raises OSError if it is taken."""
        self._server = await asyncio.start_server(
            self._async_serve, address.ip, address.port, ssl=tls
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.ip, port)

    async def async_stop(self) -> None:
        """Close the listener and abort all connections, as a crash would."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        limit = self._limits.max_connections
        if limit is not None and len(self._writers) >= limit:
            writer.transport.abort()
            return
        self._writers.add(writer)
        http = h11.Connection(h11.SERVER)
        try:
            while await self._async_serve_request(http, reader, writer):
                http.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError, AbortConnectionError):
            writer.transport.abort()
        except asyncio.CancelledError:
            # The event loop is closing; asyncio would log the cancellation as an error.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _async_serve_request(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        async with asyncio.timeout(self._limits.idle_seconds):
            request = await _async_read_request(http, reader, self._limits)
        if request is None:
            return False
        response = await self._async_run_handler(http, request, reader)
        await self._async_write(http, writer, request, response)
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _async_write(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        request: SimpleRequest,
        response: SimpleResponse,
    ) -> None:
        headers = list(response.headers.items())
        headers.append(("Content-Length", str(len(response.body))))
        head = h11.Response(status_code=response.status, headers=headers)
        writer.write(http.send(head) or b"")
        if response.body and request.method != "HEAD":
            writer.write(http.send(h11.Data(data=response.body)) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        await writer.drain()

    async def _async_run_handler(
        self,
        http: h11.Connection,
        request: SimpleRequest,
        reader: asyncio.StreamReader,
    ) -> SimpleResponse:
        """Run the handler; cancel it if the connection must be closed."""
        handler_task = asyncio.ensure_future(self._handler(request))
        close_task = asyncio.ensure_future(_async_wait_until_closed(http, reader))
        try:
            await asyncio.wait(
                {handler_task, close_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handler_task.done():
                raise AbortConnectionError
            return await handler_task
        finally:
            handler_task.cancel()
            close_task.cancel()
            # StreamReader allows one waiting reader, so both must have ended before the
            # next read.
            await asyncio.wait({handler_task, close_task})


async def _async_wait_until_closed(
    http: h11.Connection, reader: asyncio.StreamReader
) -> None:
    """Return when the client closes or sends too much before the response.

    Bytes of the next request are passed to h11.
    """
    received_bytes = 0
    while data := await reader.read(_READ_BYTES):
        http.receive_data(data)
        received_bytes += len(data)
        if received_bytes > MAX_EARLY_BYTES:
            return


async def _async_read_request(
    http: h11.Connection, reader: asyncio.StreamReader, limits: ServerLimits
) -> SimpleRequest | None:
    head: h11.Request | None = None
    parts: list[bytes] = []
    size = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            if limits.max_body_bytes is not None and size > limits.max_body_bytes:
                raise AbortConnectionError
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {n.decode(): v.decode("latin-1") for n, v in head.headers}
            return SimpleRequest(
                head.method.decode(),
                head.target.decode(),
                headers,
                b"".join(parts),
            )
        else:
            return None
