"""Handling of one caller request, from its head to the end of its response."""

import asyncio
from typing import Any

import h11
from loguru import logger

from catkinspan.coordination.keys.coordinator import digest_of
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.errors import Refusal
from catkinspan.coordination.requests.models import (
    Assigned,
    AttemptFinished,
    BodyReceived,
    BodyWanted,
    Deliver,
    Discard,
    KeysWithdrawn,
    Refused,
    RequestAbandoned,
)
from catkinspan.protocol.http.heads import CallerHead
from catkinspan.protocol.http.keys import path_contains_key
from catkinspan.protocol.http.responses import forwarded_response, refusal_response
from catkinspan.protocol.http.upstream import upstream_request
from catkinspan.state.ids import RequestId
from catkinspan.transport.callers import refusals
from catkinspan.transport.callers.attempts import RunningAttempts
from catkinspan.transport.callers.body import BodyStatus, RequestBody
from catkinspan.transport.callers.const import MAX_BUFFERING_SECONDS
from catkinspan.transport.callers.context import CallerContext
from catkinspan.transport.callers.messages import (
    ContinueBody,
    Drain,
    RequestRecord,
    RequestSubmitted,
    RequestUpdate,
    arrived_request,
)
from catkinspan.transport.callers.response import RunningAttempt
from catkinspan.transport.callers.stream import CallerStream
from catkinspan.transport.mailbox import InboxFullError, Mailbox
from catkinspan.transport.socket_port import SocketClosed, SocketData
from catkinspan.transport.upstreams.attempt import AttemptTask
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


class Exchange:
    """Runs one request: asks the host task for directives and starts attempts."""

    def __init__(
        self,
        request_id: RequestId,
        head: CallerHead,
        stream: CallerStream,
        mailbox: Mailbox[Any],
        context: CallerContext,
        draining: bool,
    ) -> None:
        self._request_id = request_id
        self._names = context.names
        callers_id = head.request_id if self._names.keeps_request_id else None
        self._external_request_id = callers_id or request_id
        self._head = head
        self._stream = stream
        self._mailbox = mailbox
        self._host = context.host
        self._pool = context.pool
        self._limits = context.limits
        self._clock = context.clock
        self._tls = context.upstreams_tls
        self._draining = draining
        self._key = head.presented_key
        self._attempts = RunningAttempts()
        timeout = self._limits.body_timeout.total_seconds()
        self._body = RequestBody(stream, head, timeout, self._clock)
        self._reading_prefix = self._is_body_paused = False
        self._chunk_requester: int | None = None
        self._submitted = self._is_done = False
        self._last_assigned: Assigned | None = None
        self._refused: Refused | None = None
        self._status = 0
        self._record_kind = ""

    @property
    def is_draining(self) -> bool:
        """Return whether the connection closes after this request."""
        return self._draining

    @property
    def can_keep_alive(self) -> bool:
        """Return whether another request may follow on the connection."""
        return self._stream.can_keep_alive and not self._draining

    @property
    def key_digest(self) -> bytes | None:
        """Return the digest of the key that the request used."""
        return digest_of(self._key) if self._key else None

    async def async_run(self) -> RequestRecord:
        """Serve the request and return its record."""
        started = self._clock.monotonic()
        try:
            if self._submit():
                while not self._is_done:
                    await self._async_handle_message()
        finally:
            self._attempts.cancel_all()
            if not self._is_done:
                self._abandon()
        routed = self._last_assigned or self._refused
        return RequestRecord(
            request_id=self._request_id,
            service=(routed.service if routed else None) or "",
            workspace=(routed.workspace if routed else None) or "",
            status=self._status,
            kind=self._record_kind,
            seconds=self._clock.monotonic() - started,
            attempts=self._attempts.started_count,
        )

    def _submit(self) -> bool:
        if path_contains_key(self._head.path, self._key):
            self._respond_refusal(refusals.KEY_IN_PATH)
            return False
        arrived = arrived_request(self._request_id, self._head)
        try:
            self._host.post(RequestSubmitted(arrived, self._mailbox))
        except InboxFullError:
            self._respond_refusal(refusals.HOST_BUSY)
            return False
        self._submitted = True
        return True

    async def _async_handle_message(self) -> None:
        message = await self._mailbox.async_get_until(self._next_timer_at())
        match message:
            case None:
                await self._async_on_timer()
            case SocketData():
                self._stream.receive(message)
                self._read_body()
            case ContinueBody():
                await asyncio.sleep(0)
                self._is_body_paused = False
                self._read_body()
            case SocketClosed():
                self._abandon()
            case Drain():
                self._draining = True
            case KeysWithdrawn(digests):
                if self.key_digest in digests:
                    self._on_key_withdrawn()
            case BodyWanted(request_id=self._request_id):
                self._start_reading_body(message)
            case Assigned(request_id=self._request_id):
                self._start_attempt(message)
            case Refused(request_id=self._request_id):
                self._refused = message
                self._respond_refusal(message.refusal)
            case Deliver(request_id=self._request_id):
                await self._async_deliver(message.attempt)
            case Discard(request_id=self._request_id):
                self._attempts.cancel(message.attempt)
            case AttemptEvent():
                await self._async_on_attempt(message)
            case _:
                # A late directive for an earlier request on this connection.
                pass

    def _on_key_withdrawn(self) -> None:
        """Reset an event stream, which may last for hours; let other requests finish.

        Those were admitted while the key was valid and end by their deadline.
        """
        self._draining = True
        running = self._attempts.committed
        if running is not None and running.is_event_stream:
            logger.info("key withdrawn; resetting the connection of an event stream")
            self._reset_connection()

    # Timers

    def _next_timer_at(self) -> float:
        times = list(self._attempts.buffer_deadlines())
        if self._body.read_deadline is not None:
            times.append(self._body.read_deadline)
        idle = self._limits.idle_timeout.total_seconds()
        return min(times, default=self._clock.monotonic() + idle)

    async def _async_on_timer(self) -> None:
        now = self._clock.monotonic()
        if self._body.read_deadline is not None and now >= self._body.read_deadline:
            self._on_body_timeout()
            return
        number = self._attempts.first_to_forward(now)
        if number is not None:
            await self._async_commit(number)

    def _on_body_timeout(self) -> None:
        if self._attempts:
            self._reset_connection()
            return
        self._host.post_unbounded(RequestUpdate(RequestAbandoned(self._request_id)))
        self._respond_refusal(refusals.BODY_TIMEOUT)

    # Request body

    def _start_reading_body(self, wanted: BodyWanted) -> None:
        self._reading_prefix = True
        try:
            self._on_prefix_read(self._body.start(wanted.max_body_bytes))
        except h11.RemoteProtocolError:
            self._reset_connection()

    def _read_body(self) -> None:
        """Read received body bytes if the host task or an attempt waits for them."""
        try:
            if self._is_body_paused:
                return
            if self._reading_prefix:
                self._on_prefix_read(self._body.read_prefix())
            elif self._chunk_requester is not None:
                self._forward_chunk(self._chunk_requester)
        except h11.RemoteProtocolError:
            self._reset_connection()

    def _on_prefix_read(self, status: BodyStatus) -> None:
        if status is BodyStatus.WAITING:
            return
        if status is BodyStatus.PAUSED:
            self._is_body_paused = True
            self._mailbox.post_unbounded(ContinueBody())
            return
        self._reading_prefix = False
        if status is BodyStatus.READY:
            received = BodyReceived(self._request_id, self._body.digest)
            self._host.post_unbounded(RequestUpdate(received))
            return
        self._host.post_unbounded(RequestUpdate(RequestAbandoned(self._request_id)))
        self._respond_refusal(refusals.BODY_TOO_LARGE)

    def _forward_chunk(self, attempt: int) -> None:
        running = self._attempts.get(attempt)
        if running is None:
            return
        chunk = self._body.read_chunk()
        if chunk is BodyStatus.WAITING:
            return
        self._chunk_requester = None
        if not isinstance(chunk, BodyChunk):
            # The upstream has received part of the body and may have run the request,
            # so a "not run" refusal is not possible.
            self._reset_connection()
            return
        running.attempt.inbox.post_unbounded(chunk)

    # Attempts

    def _start_attempt(self, assigned: Assigned) -> None:
        if self._attempts.is_committed:
            # A hedge that was decided before the host task knew of the response.
            self._report(assigned.outcome(OutcomeKind.CANCELLED, 0.0, False))
            return
        if assigned.key_query_parameter and self._key is None:
            self._key = self._head.query.get(assigned.key_query_parameter)
        request = upstream_request(
            self._head,
            self._external_request_id,
            self._key,
            assigned.key_query_parameter,
            self._names,
        )
        spec = AttemptSpec(
            assigned,
            request,
            self._body.prefix,
            self._body.is_complete and self._body.is_replayable,
            assigned.idempotent,
        )
        attempt = AttemptTask(spec, self._mailbox, self._pool, self._clock, self._tls)
        task = asyncio.create_task(attempt.async_run())
        running = RunningAttempt(attempt, task, assigned)
        self._attempts.add(assigned.attempt, running)
        self._last_assigned = assigned

    async def _async_on_attempt(self, event: AttemptEvent) -> None:
        running = self._attempts.get(event.attempt)
        if running is None:
            return
        match event:
            case BodyChunkRequested(number):
                self._chunk_requester = number
                self._read_body()
            case AttemptHead():
                await self._async_on_head(running, event)
            case AttemptData(number, data):
                await self._async_on_data(number, running, data)
            case AttemptCompleted(number, outcome):
                await self._async_on_completed(number, running, outcome)
            case AttemptFailed(number, outcome):
                self._on_failed(number, running, outcome)

    async def _async_on_head(self, running: RunningAttempt, head: AttemptHead) -> None:
        running.response = head.response
        running.buffer_deadline = self._clock.monotonic() + MAX_BUFFERING_SECONDS
        if head.outcome.kind is OutcomeKind.SERVER_ERROR:
            running.outcome_reported = True
            self._report(head.outcome)
            return
        if running.must_stream:
            await self._async_commit(head.attempt)

    async def _async_on_data(
        self, number: int, running: RunningAttempt, data: bytes
    ) -> None:
        if self._attempts.is_committed_to(number):
            await self._async_write(h11.Data(data=data))
            return
        if running.append_to_buffer(data) and not running.outcome_reported:
            await self._async_commit(number)

    async def _async_on_completed(
        self, number: int, running: RunningAttempt, outcome: AttemptOutcome
    ) -> None:
        running.is_complete = True
        if not running.outcome_reported:
            self._report(outcome)
            await self._async_deliver(number)
        elif self._attempts.is_committed_to(number):
            await self._async_deliver(number)

    def _on_failed(
        self, number: int, running: RunningAttempt, outcome: AttemptOutcome
    ) -> None:
        self._attempts.remove(number)
        if self._chunk_requester == number:
            self._chunk_requester = None
        if not running.outcome_reported:
            self._report(outcome)
        if self._attempts.is_committed_to(number) or running.outcome_reported:
            self._reset_connection()

    def _report(self, outcome: AttemptOutcome) -> None:
        replayable = self._body.is_replayable and not self._attempts.is_committed
        self._host.post_unbounded(RequestUpdate(AttemptFinished(outcome, replayable)))

    async def _async_commit(self, number: int) -> None:
        """Start to forward a response; the request cannot be retried afterwards."""
        running = self._attempts.get(number)
        assert running is not None and running.response is not None
        for outcome in self._attempts.commit(number):
            update = RequestUpdate(AttemptFinished(outcome, replayable=False))
            self._host.post_unbounded(update)
        length = running.content_length_for(self._head.method)
        self._send_response_head(running.response, length)
        data, running.buffer = bytes(running.buffer), bytearray()
        if data:
            await self._async_write(h11.Data(data=data))

    async def _async_deliver(self, number: int) -> None:
        """Forward a response; the rest of an incomplete one follows as it arrives."""
        running = self._attempts.get(number)
        if running is None or running.response is None:
            self._reset_connection()
            return
        if not self._attempts.is_committed:
            await self._async_commit(number)
        if not running.is_complete or self._is_done:
            return
        await self._async_write(h11.EndOfMessage())
        self._attempts.remove(number)
        self._finish(running.response.status_code, "passed")

    def _send_response_head(self, response: h11.Response, length: int | None) -> None:
        close = self._draining or not self._body.is_complete
        head = forwarded_response(
            response, self._external_request_id, length, close, self._names
        )
        self._status = head.status_code
        self._stream.send(head)

    async def _async_write(self, event: h11.Event) -> None:
        if self._is_done:
            return
        try:
            self._stream.send(event)
        except h11.LocalProtocolError:
            self._reset_connection()
            return
        try:
            async with asyncio.timeout(self._write_timeout()):
                await self._stream.port.async_drain()
        except TimeoutError:
            logger.info(
                "caller reads the response too slowly; resetting the connection"
            )
            self._reset_connection()

    def _write_timeout(self) -> float:
        timeout = self._limits.body_timeout.total_seconds()
        running = self._attempts.committed
        if running is None:
            return timeout
        return min(timeout, running.seconds_to_follow(self._clock.monotonic()))

    # End of the request

    def _respond_refusal(self, refusal: Refusal) -> None:
        if self._stream.http.our_state is not h11.SEND_RESPONSE:
            self._reset_connection()
            return
        self._attempts.cancel_all()
        close = self._draining or not self._body.is_complete
        response, body = refusal_response(
            refusal, self._external_request_id, close, self._names
        )
        self._stream.send_response(response, body)
        logger.info("refused: {}", refusal)
        self._finish(response.status_code, refusal.kind)

    def _finish(self, status: int, kind: str) -> None:
        self._is_done = True
        self._status = status
        self._record_kind = kind
        if self._body.is_complete and self._stream.http.their_state is h11.SEND_BODY:
            self._stream.next_event()

    def _abandon(self) -> None:
        """End the request without a response; `async_run` cancels the attempts."""
        self._is_done = True
        self._record_kind = self._record_kind or "abandoned"
        if self._submitted:
            self._host.post_unbounded(RequestUpdate(RequestAbandoned(self._request_id)))

    def _reset_connection(self) -> None:
        """Reset the connection, so that a partial response never looks complete."""
        self._record_kind = "cut"
        self._abandon()
        self._stream.port.reset()
