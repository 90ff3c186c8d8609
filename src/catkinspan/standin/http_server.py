"""An HTTP server that can send faulty responses on request."""

import asyncio

import h11
from attrs import frozen

from catkinspan.transport.simple_server import (
    AbortConnectionError,
    SimpleRequest,
    SimpleResponse,
    SimpleServer,
)


@frozen
class FaultyResponse(SimpleResponse):
    """A response that may be chunked, truncated or followed by extra bytes."""

    chunked: bool = False
    cut_after: int | None = None
    """Body bytes sent before the connection is closed; None sends the complete body."""

    late_bytes: bytes = b""
    """Bytes written after the end of the response; they belong to no response."""


class FaultyServer(SimpleServer):
    """Sends `FaultyResponse` instances with the faults that they describe."""

    async def _async_write(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        request: SimpleRequest,
        response: SimpleResponse,
    ) -> None:
        if not isinstance(response, FaultyResponse):
            await super()._async_write(http, writer, request, response)
            return
        headers = list(response.headers.items())
        if response.chunked:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Content-Length", str(len(response.body))))
        head = h11.Response(status_code=response.status, headers=headers)
        writer.write(http.send(head) or b"")
        body = response.body[: response.cut_after]
        if body and request.method != "HEAD":
            writer.write(http.send(h11.Data(data=body)) or b"")
        if response.cut_after is not None:
            await writer.drain()
            raise AbortConnectionError
        writer.write((http.send(h11.EndOfMessage()) or b"") + response.late_bytes)
        await writer.drain()
