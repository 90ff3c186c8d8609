"""The task that runs one attempt of a request at an upstream server."""

import asyncio
import ssl
from contextlib import suppress
from typing import Any

import h11

from catkinspan.coordination.clock import Clock
from catkinspan.coordination.outcomes import (
    NOT_RUN_OUTCOMES,
    AttemptOutcome,
    OutcomeKind,
)
from catkinspan.protocol.http.names import HttpNames
from catkinspan.protocol.http.upstream import ResponseInfo
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.socket_port import SocketClosed, SocketData, SocketDrained
from catkinspan.transport.upstreams.connection import (
    UpstreamConnection,
    async_open_connection,
)
from catkinspan.transport.upstreams.const import (
    ATTEMPT_INBOX_MESSAGES,
    CONNECT_TIMEOUT_SECONDS,
    MAX_IDLE_SECONDS,
    MISDIRECTED_STATUS,
    NEW_CONNECTION_ONLY,
    NON_IDEMPOTENT_MAX_IDLE_SECONDS,
    UNAVAILABLE_STATUS,
)
from catkinspan.transport.upstreams.messages import (
    AttemptCompleted,
    AttemptData,
    AttemptEvent,
    AttemptFailed,
    AttemptHead,
    AttemptSpec,
    BodyChunk,
    BodyChunkRequested,
)
from catkinspan.transport.upstreams.pool import (
    AcquireConnection,
    ConnectionClosed,
    ConnectionLimitReached,
    OpenPermit,
    PoolMessage,
    PoolReply,
    ReleaseConnection,
)
from catkinspan.transport.upstreams.reader import ResponseReader


class AttemptError(Exception):
    """An attempt failed; holds the kind of its outcome."""

    def __init__(self, kind: OutcomeKind) -> None:
        super().__init__(kind)
        self.kind = kind


class AttemptTask:
    """Acquires a connection, sends the request and reports the response.

    Cancelling the task closes the connection, which cancels the request at the
    upstream.
    """

    def __init__(
        self,
        spec: AttemptSpec,
        events: Mailbox[Any],
        pool: Mailbox[PoolMessage],
        clock: Clock,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._spec = spec
        self._events = events
        self._pool = pool
        self._clock = clock
        self._tls = tls
        self._inbox: Mailbox[Any] = Mailbox(ATTEMPT_INBOX_MESSAGES)
        self._connection: UpstreamConnection | None = None
        self._started_at = 0.0
        self._head_latency: float | None = None
        self._bytes_written = False
        self._body_sent = False
        self._server_draining = False
        self._server_pause = 0.0
        self._server_error = False
        self._server_closes = False
        self._announced_idle_seconds: float | None = None
        self._is_stale_response = False
        """Whether the response being read belongs to an earlier request."""

        self._expired_deadline: float | None = None
        self._messages_in_time = 0
        """Messages in the inbox that had arrived when the deadline expired."""

    @property
    def inbox(self) -> Mailbox[Any]:
        """Return the inbox for `BodyChunk` messages."""
        return self._inbox

    @property
    def _attempt(self) -> int:
        return self._spec.assigned.attempt

    async def async_run(self) -> None:
        """Run the attempt and report its outcome."""
        try:
            self._started_at = self._clock.monotonic()
            self._connection = await self._async_connect()
            await self._async_exchange(self._connection)
        except AttemptError as error:
            self._report_failure(error.kind)
        except h11.RemoteProtocolError:
            self._report_failure(self._protocol_failure_kind())
        except h11.LocalProtocolError:
            self._report_failure(self._connection_failure_kind())
        finally:
            self._close()

    def _report_failure(self, kind: OutcomeKind) -> None:
        self._events.post_unbounded(AttemptFailed(self._attempt, self._outcome(kind)))

    async def _async_connect(self) -> UpstreamConnection:
        assigned = self._spec.assigned
        reply: asyncio.Future[PoolReply] = asyncio.get_running_loop().create_future()
        self._pool.post_unbounded(
            AcquireConnection(
                assigned.server,
                assigned.connection_limit,
                self._max_idle_seconds(),
                self._inbox,
                reply,
            )
        )
        try:
            result = await reply
        except asyncio.CancelledError:
            self._release_unused(reply)
            raise
        match result:
            case ConnectionLimitReached():
                raise AttemptError(OutcomeKind.CONNECTION_LIMIT)
            case OpenPermit(server):
                return await self._async_open(server)
            case UpstreamConnection():
                return result

    def _max_idle_seconds(self) -> float:
        """Return the longest acceptable idle time of a connection."""
        if self._spec.assigned.is_repeated:
            # A second copy of the first rejection would have the id of this attempt.
            return NEW_CONNECTION_ONLY
        if self._spec.idempotent:
            return MAX_IDLE_SECONDS
        return NON_IDEMPOTENT_MAX_IDLE_SECONDS

    def _release_unused(self, reply: "asyncio.Future[PoolReply]") -> None:
        if not reply.done() or reply.cancelled():
            return
        result = reply.result()
        if isinstance(result, UpstreamConnection):
            self._connection = result
        if isinstance(result, OpenPermit):
            self._pool.post_unbounded(ConnectionClosed(result.server))

    async def _async_open(self, server: Any) -> UpstreamConnection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                return await async_open_connection(
                    server, self._spec.assigned.address, self._inbox, self._tls
                )
        except (OSError, TimeoutError, ssl.SSLError) as error:
            self._pool.post_unbounded(ConnectionClosed(server))
            raise AttemptError(OutcomeKind.CONNECT_ERROR) from error
        except asyncio.CancelledError:
            self._pool.post_unbounded(ConnectionClosed(server))
            raise

    async def _async_exchange(self, connection: UpstreamConnection) -> None:
        reader = ResponseReader(connection)
        self._send_head(connection)
        if not self._spec.body_complete:
            self._events.post_unbounded(BodyChunkRequested(self._attempt))
        while True:
            event = await reader.async_next_event()
            if event is h11.NEED_DATA:
                await self._async_receive(connection, reader)
            elif isinstance(event, h11.Response):
                await self._async_report_head(event, connection, reader)
            elif isinstance(event, h11.EndOfMessage) and self._is_stale_response:
                self._read_next_response(reader)
            elif self._is_stale_response and isinstance(event, h11.Data):
                continue
            elif isinstance(event, h11.Data):
                await self._async_post(AttemptData(self._attempt, bytes(event.data)))
            elif isinstance(event, h11.EndOfMessage):
                self._finish(connection)
                return
            else:
                raise AttemptError(self._connection_failure_kind())

    def _send_head(self, connection: UpstreamConnection) -> None:
        assigned = self._spec.assigned
        remaining = assigned.deadline - self._clock.monotonic()
        if remaining <= 0:
            raise AttemptError(OutcomeKind.TIMEOUT)
        if not connection.is_clean:
            # Bytes before the request cannot be its response.
            raise AttemptError(OutcomeKind.CONNECT_ERROR)
        parts = [connection.http.send(self._request_head(remaining))]
        if self._spec.body_prefix:
            parts.append(connection.http.send(h11.Data(data=self._spec.body_prefix)))
        if self._spec.body_complete:
            parts.append(connection.http.send(h11.EndOfMessage()))
            self._body_sent = True
        self._started_at = self._clock.monotonic()
        self._bytes_written = True
        connection.port.write(b"".join(part for part in parts if part))

    def _request_head(self, remaining: float) -> h11.Request:
        assigned = self._spec.assigned
        return self._spec.request.attempt_head(
            assigned.attempt,
            int(remaining * 1000),
            assigned.server,
            assigned.workspace,
        )

    async def _async_receive(
        self, connection: UpstreamConnection, reader: ResponseReader
    ) -> None:
        deadline = self._receive_deadline()
        if self._clock.monotonic() >= deadline:
            self._take_message_in_time(deadline)
        message = await self._inbox.async_get_until(deadline)
        match message:
            case None:
                raise AttemptError(OutcomeKind.TIMEOUT)
            case SocketData():
                reader.receive(message)
            case SocketClosed(_, clean):
                if not clean or connection.http.their_state is not h11.SEND_BODY:
                    raise AttemptError(self._connection_failure_kind())
                connection.http.receive_data(b"")
            case BodyChunk():
                self._send_body(connection, message)
            case SocketDrained():
                self._events.post_unbounded(BodyChunkRequested(self._attempt))

    def _take_message_in_time(self, deadline: float) -> None:
        """Allow only the messages that had arrived when the deadline expired.

        A server that sends without end keeps the inbox from ever being empty.
        """
        if self._expired_deadline != deadline:
            self._expired_deadline = deadline
            self._messages_in_time = len(self._inbox)
        if self._messages_in_time == 0:
            raise AttemptError(OutcomeKind.TIMEOUT)
        self._messages_in_time -= 1

    async def _async_post(self, event: AttemptEvent) -> None:
        """Pass on a part of the response; waits while the caller reads slowly."""
        deadline = self._spec.assigned.deadline
        if not await self._events.async_post_until(event, deadline):
            raise AttemptError(OutcomeKind.TIMEOUT)

    def _send_body(self, connection: UpstreamConnection, chunk: BodyChunk) -> None:
        if connection.port.is_closed:
            return
        if chunk.data:
            data = connection.http.send(h11.Data(data=chunk.data))
            connection.port.write(data or b"")
        if chunk.is_last:
            connection.port.write(connection.http.send(h11.EndOfMessage()) or b"")
            self._body_sent = True
            return
        connection.port.notify_when_drained()

    async def _async_report_head(
        self,
        response: h11.Response,
        connection: UpstreamConnection,
        reader: ResponseReader,
    ) -> None:
        request = self._spec.request
        info = ResponseInfo.from_headers(list(response.headers), request.names)
        if info.echoed_id not in (None, request.request_id):
            if not self._body_sent or info.closes_connection:
                raise AttemptError(OutcomeKind.CROSSED)
            self._is_stale_response = True
            return
        kind = _response_failure(response.status_code, info, request.names)
        if info.echoed_id is None and self._must_echo_id(connection, kind):
            # It may be a second copy of the response to an earlier request.
            raise AttemptError(OutcomeKind.CROSSED)
        reader.accept_response()
        self._head_latency = self._clock.monotonic() - self._started_at
        self._server_draining = info.draining
        if response.status_code == UNAVAILABLE_STATUS and info.retry_after is not None:
            self._server_pause = info.retry_after
        self._server_closes = self._server_closes or info.closes_connection
        self._announced_idle_seconds = info.idle_seconds
        if kind is OutcomeKind.SHED:
            await self._async_end_rejection(connection, reader)
        if kind is not None:
            raise AttemptError(kind)
        self._server_error = response.status_code >= 500
        outcome = self._outcome(self._response_kind())
        await self._async_post(AttemptHead(self._attempt, response, outcome))

    def _must_echo_id(
        self, connection: UpstreamConnection, failure: OutcomeKind | None
    ) -> bool:
        """Return whether a response without a request id may be to another request."""
        if not connection.had_exchange:
            return False
        return self._spec.request.names.echoes_request_id or failure in NOT_RUN_OUTCOMES

    async def _async_end_rejection(
        self, connection: UpstreamConnection, reader: ResponseReader
    ) -> None:
        """Keep the connection if the whole rejection has been received.

        The retry does not wait for the rest of it.
        """
        with suppress(h11.RemoteProtocolError):
            event = await reader.async_next_event()
            while isinstance(event, h11.Data):
                event = await reader.async_next_event()
            if isinstance(event, h11.EndOfMessage):
                self._release(connection)

    def _read_next_response(self, reader: ResponseReader) -> None:
        """Read the response that follows one to an earlier request.

        The connection is closed afterwards, since later data on it cannot be trusted.
        """
        self._is_stale_response = False
        self._server_closes = True
        reader.skip_response(self._spec.request.method)

    def _finish(self, connection: UpstreamConnection) -> None:
        self._release(connection)
        self._events.post_unbounded(
            AttemptCompleted(self._attempt, self._outcome(self._response_kind()))
        )

    def _release(self, connection: UpstreamConnection) -> None:
        """Return the connection to the pool if another request can use it."""
        reusable = (
            self._body_sent and not self._server_draining and not self._server_closes
        )
        now = self._clock.monotonic()
        if reusable and connection.prepare_for_reuse(now, self._announced_idle_seconds):
            self._connection = None
            self._pool.post_unbounded(ReleaseConnection(connection))

    def _receive_deadline(self) -> float:
        assigned = self._spec.assigned
        if self._head_latency is not None or not self._body_sent:
            return assigned.deadline
        return min(assigned.deadline, self._started_at + assigned.attempt_timeout)

    def _response_kind(self) -> OutcomeKind:
        return OutcomeKind.SERVER_ERROR if self._server_error else OutcomeKind.OK

    def _connection_failure_kind(self) -> OutcomeKind:
        if self._head_latency is None:
            return OutcomeKind.RESET
        return OutcomeKind.TRUNCATED

    def _protocol_failure_kind(self) -> OutcomeKind:
        if self._connection is not None and self._connection.http.trailing_data[1]:
            return self._connection_failure_kind()
        return OutcomeKind.INVALID

    def _outcome(self, kind: OutcomeKind) -> AttemptOutcome:
        latency = self._head_latency
        if latency is None:
            latency = self._clock.monotonic() - self._started_at
        return self._spec.assigned.outcome(
            kind,
            latency,
            self._bytes_written,
            self._server_draining,
            self._server_pause,
        )

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        connection.port.abort()
        self._pool.post_unbounded(ConnectionClosed(connection.server))


def _response_failure(
    status: int, info: ResponseInfo, names: HttpNames
) -> OutcomeKind | None:
    """Return why a response cannot be forwarded; None if it can."""
    if status == MISDIRECTED_STATUS and names.expected_server is not None:
        return OutcomeKind.MISDIRECTED
    if info.did_not_run and status >= 400:
        return OutcomeKind.DRAINING if info.draining else OutcomeKind.SHED
    if (
        status < 300
        and names.stamp
        and (not info.has_stamp or info.has_content_encoding)
    ):
        return OutcomeKind.INVALID
    return None
