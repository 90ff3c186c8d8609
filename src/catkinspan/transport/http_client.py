"""A small HTTP client for the platform, health endpoints and the command line."""

import asyncio
import ssl

import h11
from attrs import frozen

from catkinspan.state.tree import Address
from catkinspan.transport.tls import verify_server_name

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_INFORMATIONAL_RESPONSES = 16
_READ_BYTES = 16 * 1024
"""Bytes that are parsed before other tasks run."""


@frozen
class FetchResponse:
    """A complete response."""

    status: int
    body: bytes


class FetchError(Exception):
    """A request that got no complete response; the message names the remedy."""


async def async_fetch(
    address: Address,
    target: str,
    timeout: float,
    tls: ssl.SSLContext | None = None,
    method: str = "GET",
    body: bytes = b"",
    server: str = "",
) -> FetchResponse:
    """Send one request on a new connection and return the complete response.

    `timeout` is in seconds. With TLS the certificate must name the address or
    `server`. Raises FetchError if no complete response arrives in time.
    """
    try:
        async with asyncio.timeout(timeout):
            return await _async_exchange(address, target, tls, method, body, server)
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        reason = str(error) or type(error).__name__
        remedy = "check that the address is right and the process runs"
        raise FetchError(f"no response from {address}: {reason}; {remedy}") from error


async def _async_exchange(
    address: Address,
    target: str,
    tls: ssl.SSLContext | None,
    method: str,
    body: bytes,
    server: str,
) -> FetchResponse:
    reader, writer = await asyncio.open_connection(
        address.ip,
        address.port,
        ssl=tls,
        server_hostname=address.ip if tls else None,
    )
    try:
        if tls is not None:
            ssl_object = writer.get_extra_info("ssl_object")
            verify_server_name(ssl_object.getpeercert(), address.ip, server)
        http = h11.Connection(h11.CLIENT)
        headers = [("Host", str(address)), ("Connection", "close")]
        if body:
            headers.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=headers)
        writer.write(http.send(request) or b"")
        if body:
            writer.write(http.send(h11.Data(data=body)) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        return await _async_read_response(http, reader)
    finally:
        writer.close()


async def _async_read_response(
    http: h11.Connection, reader: asyncio.StreamReader
) -> FetchResponse:
    status = 0
    body = bytearray()
    informational_count = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(_READ_BYTES))
            # A read of buffered bytes returns without a pause for other tasks.
            await asyncio.sleep(0)
        elif isinstance(event, h11.InformationalResponse):
            informational_count += 1
            if informational_count > MAX_INFORMATIONAL_RESPONSES:
                raise h11.RemoteProtocolError("too many informational responses")
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise FetchError(
                    f"response is over {MAX_BODY_BYTES} bytes; ask for less"
                )
        elif isinstance(event, h11.EndOfMessage):
            return FetchResponse(status, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise FetchError(
                "connection closed before the response was complete; try again"
            )
