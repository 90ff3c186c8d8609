"""The task that owns one caller's connection."""

import asyncio
from collections.abc import Callable
from typing import Any

import h11
from loguru import logger
from result import Err

from catkinspan.coordination.requests.errors import Refusal, RefusalKind
from catkinspan.coordination.requests.models import KeysWithdrawn
from catkinspan.protocol.http.heads import CallerHead, bad_request, parse_head
from catkinspan.protocol.http.responses import refusal_response
from catkinspan.state.ids import RequestId
from catkinspan.transport.callers.const import HEALTH_PATH, REQUEST_ID_SEPARATOR
from catkinspan.transport.callers.context import CallerContext
from catkinspan.transport.callers.exchange import Exchange
from catkinspan.transport.callers.messages import (
    Drain,
    HealthQuery,
    HealthStatus,
    RequestRecord,
)
from catkinspan.transport.callers.stream import CallerStream
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketClosed, SocketData, SocketPort


class ConnectionClosedError(Exception):
    """The caller's connection is closed."""


class CallerConnection:
    """Reads the requests of a connection in order and runs an `Exchange` for each."""

    def __init__(
        self,
        port: SocketPort,
        mailbox: Mailbox[Any],
        context: CallerContext,
        new_request_id: Callable[[], RequestId],
    ) -> None:
        self._port = port
        self._mailbox = mailbox
        self._context = context
        self._host = context.host
        self._limits = context.limits
        self._clock = context.clock
        self._names = context.names
        self._new_request_id = new_request_id
        self._stream = CallerStream(port, self._limits.header_bytes)
        self._draining = False
        self._closing = False
        """Whether to close instead of waiting for another request."""

        self._last_key_digest: bytes | None = None

    async def async_run(self) -> None:
        """Serve the connection until it ends."""
        try:
            while await self._async_serve_request():
                self._stream.start_next_cycle()
        except ConnectionClosedError:
            pass
        except asyncio.CancelledError:
            self._port.abort()
            raise
        finally:
            self._port.close()
        await self._async_flush()

    async def _async_flush(self) -> None:
        """Wait until the last response is sent, which an ending process would cut."""
        try:
            async with asyncio.timeout(self._limits.body_timeout.total_seconds()):
                await self._port.async_wait_ended()
        except TimeoutError:
            logger.info("caller does not read the last response; giving it up")

    async def _async_serve_request(self) -> bool:
        """Serve one request; return whether the connection can serve another."""
        try:
            request = await self._async_read_head()
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)
            return False
        if request is None:
            return False
        parsed = parse_head(request)
        if isinstance(parsed, Err):
            self._refuse(self._new_request_id(), parsed.err_value)
            return False
        head = parsed.ok_value
        if head.path == HEALTH_PATH and not self._names.keeps_request_id:
            await self._async_respond_health()
            return False
        return await self._async_run_exchange(self._fleet_request_id(head), head)

    def _fleet_request_id(self, head: CallerHead) -> RequestId:
        """Return an id that is unique in the fleet.

        A caller may reuse its own id, so a generated part is appended.
        """
        generated = self._new_request_id()
        if not self._names.keeps_request_id or head.request_id is None:
            return generated
        return RequestId(f"{head.request_id}{REQUEST_ID_SEPARATOR}{generated}")

    async def _async_read_head(self) -> h11.Request | None:
        idle_deadline = (
            self._clock.monotonic() + self._limits.idle_timeout.total_seconds()
        )
        head_deadline: float | None = None
        while True:
            event = self._stream.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if head_deadline is None and self._stream.request_started:
                timeout = self._limits.header_timeout.total_seconds()
                head_deadline = self._clock.monotonic() + timeout
            if self._closing and head_deadline is None:
                return None
            message = await self._mailbox.async_get_until(
                head_deadline or idle_deadline
            )
            if message is None:
                self._refuse_head_timeout(head_deadline)
                return None
            self._handle_idle_message(message)

    def _handle_idle_message(self, message: object) -> None:
        match message:
            case SocketData():
                self._stream.receive(message)
            case SocketClosed():
                raise ConnectionClosedError
            case Drain(close_idle):
                self._draining = True
                self._closing = self._closing or close_idle
            case KeysWithdrawn(digests):
                if self._last_key_digest in digests:
                    raise ConnectionClosedError
            case _:
                # Late messages for the previous exchange, such as the end of a hedge.
                pass

    async def _async_run_exchange(
        self, request_id: RequestId, head: CallerHead
    ) -> bool:
        exchange = Exchange(
            request_id=request_id,
            head=head,
            stream=self._stream,
            mailbox=self._mailbox,
            context=self._context,
            draining=self._draining,
        )
        with logger.contextualize(request_id=request_id):
            record = await exchange.async_run()
        self._host.post_unbounded(record)
        self._draining = exchange.is_draining
        self._last_key_digest = exchange.key_digest
        return exchange.can_keep_alive

    async def _async_respond_health(self) -> None:
        """Respond to the load balancer's health check and close the connection."""
        self._host.post_unbounded(HealthQuery(self._mailbox))
        while not isinstance(status := await self._mailbox.async_get(), HealthStatus):
            self._handle_idle_message(status)
        body = status.reason.encode() + b"\n"
        response = h11.Response(
            status_code=200 if status.serving else 503,
            headers=[
                (b"content-type", b"text/plain"),
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ],
        )
        self._stream.send_response(response, body)

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        refusal = bad_request(f"malformed request: {error}", "send valid HTTP/1.1")
        if error.error_status_hint == 431:
            limit = f"the head is larger than {self._limits.header_bytes} bytes"
            remedy = "send fewer or shorter headers"
            refusal = Refusal(RefusalKind.HEADER_TOO_LARGE, limit, remedy)
        self._refuse(self._new_request_id(), refusal)

    def _refuse_head_timeout(self, head_deadline: float | None) -> None:
        if head_deadline is None:
            return
        refusal = Refusal(
            RefusalKind.REQUEST_TIMEOUT,
            "the request head did not arrive in time",
            "send the whole head at once",
        )
        self._refuse(self._new_request_id(), refusal)

    def _refuse(self, request_id: RequestId, refusal: Refusal) -> None:
        """Respond to a request that the host task has not seen, and close."""
        if self._stream.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response, body = refusal_response(
            refusal, request_id, close=True, names=self._names
        )
        self._stream.send_response(response, body)
        record = RequestRecord(
            request_id, "", "", response.status_code, refusal.kind, 0.0, 0
        )
        self._host.post_unbounded(record)
