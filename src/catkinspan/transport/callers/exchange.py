"""One request of a caller, from its head to the end of its answer."""

import asyncio
import ssl
from typing import Any

import h11
import xxhash
from loguru import logger

from catkinspan.coordination.clock import Clock
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.coordination.requests.errors import Refusal, RefusalKind
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
    RequestArrived,
)
from catkinspan.protocol.http.const import BODY_PREFIX_BYTES
from catkinspan.protocol.http.heads import CallerHead, bad_request
from catkinspan.protocol.http.keys import key_digest, path_holds_key
from catkinspan.protocol.http.responses import passed_response, refusal_response
from catkinspan.protocol.http.upstream import upstream_request
from catkinspan.state.ids import RequestId
from catkinspan.state.node import HttpLimits
from catkinspan.transport.callers.const import HOLD_SECONDS
from catkinspan.transport.callers.messages import (
    Drain,
    Progress,
    RequestRecord,
    Submit,
)
from catkinspan.transport.callers.stream import CallerStream
from catkinspan.transport.mailbox import InboxFullError, Mailbox
from catkinspan.transport.socket_port import SocketClosed, SocketData
from catkinspan.transport.upstreams.attempt import (
    AttemptData,
    AttemptEnd,
    AttemptEvent,
    AttemptFailed,
    AttemptHead,
    AttemptSpec,
    AttemptTask,
    BodyChunk,
    BodyDemand,
)
from catkinspan.transport.upstreams.pool import PoolMessage

_NO_BODY_STATUS = frozenset({204, 304})


class _RunningAttempt:
    """An attempt of this request, with what it has delivered so far."""

    def __init__(
        self, attempt: AttemptTask, task: "asyncio.Task[None]", assigned: Assigned
    ) -> None:
        self.attempt = attempt
        self.task = task
        self.assigned = assigned
        self.response: h11.Response | None = None
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.hold_until = 0.0
        self.whole = False
        self.reported = False
        """Whether the host task has the outcome already (a 5xx response)."""


class Exchange:
    """Runs one request through the host task and its attempts."""

    def __init__(
        self,
        request_id: RequestId,
        head: CallerHead,
        stream: CallerStream,
        mailbox: Mailbox[Any],
        host: Mailbox[Any],
        pool: Mailbox[PoolMessage],
        limits: HttpLimits,
        clock: Clock,
        tls: ssl.SSLContext | None,
        draining: bool,
    ) -> None:
        self._request_id = request_id
        self._head = head
        self._stream = stream
        self._mailbox = mailbox
        self._host = host
        self._pool = pool
        self._limits = limits
        self._clock = clock
        self._tls = tls
        self._draining = draining
        self._key = head.presented_key
        self._attempts: dict[int, _RunningAttempt] = {}
        self._attempt_count = 0
        self._committed: int | None = None
        self._prefix = b""
        self._body_complete = not head.has_body
        self._body_bytes = 0
        self._body_streamed = False
        self._wants_prefix = False
        self._demanded_by: int | None = None
        self._body_due: float | None = None
        self._max_body_bytes = 0
        self._submitted = False
        self._done = False
        self._last_assigned: Assigned | None = None
        self._refused: Refused | None = None
        self._status = 0
        self._end_kind = ""

    @property
    def is_draining(self) -> bool:
        """Return whether the connection closes after this request."""
        return self._draining

    @property
    def can_continue(self) -> bool:
        """Return whether another request may follow on the connection."""
        return self._stream.can_continue and not self._draining

    @property
    def key_digest(self) -> bytes | None:
        """Return the digest of the key that the request used."""
        return key_digest(self._key) if self._key else None

    async def async_run(self) -> RequestRecord:
        """Serve the request and return its record."""
        started = self._clock.monotonic()
        try:
            if self._submit():
                while not self._done:
                    await self._async_step()
        finally:
            self._stop_attempts()
            if not self._done:
                self._abandon()
        known = self._last_assigned or self._refused
        return RequestRecord(
            request_id=self._request_id,
            service=(known.service if known else None) or "",
            workspace=(known.workspace if known else None) or "",
            status=self._status,
            kind=self._end_kind,
            seconds=self._clock.monotonic() - started,
            attempts=self._attempt_count,
        )

    def _submit(self) -> bool:
        head = self._head
        if path_holds_key(head.path, self._key):
            remedy = "send the key in a header only, and withdraw this one"
            self._respond_refusal(bad_request("the path contains the key", remedy))
            return False
        arrived = RequestArrived(
            request_id=self._request_id,
            method=head.method,
            host=head.host,
            path=head.path,
            query=head.query,
            presented_key=self._key,
            idempotency_key=head.idempotency_key,
            deadline=head.deadline,
            content_length=head.content_length,
        )
        try:
            self._host.post(Submit(arrived, self._mailbox))
        except InboxFullError:
            message = "the host has too many requests waiting"
            remedy = "try again after the given time"
            refusal = Refusal(RefusalKind.OVERLOADED, message, remedy, retry_after=1.0)
            self._respond_refusal(refusal)
            return False
        self._submitted = True
        return True

    async def _async_step(self) -> None:
        message = await self._mailbox.async_get_until(self._next_timer())
        match message:
            case None:
                await self._async_on_timer()
            case SocketData():
                self._stream.receive(message)
                self._read_body()
            case SocketClosed():
                self._abandon()
            case Drain():
                self._draining = True
            case KeysWithdrawn(digests):
                if self.key_digest in digests:
                    logger.info("key withdrawn; closing the connection")
                    self._cut()
            case BodyWanted(request_id=self._request_id):
                self._start_body(message)
            case Assigned(request_id=self._request_id):
                self._start_attempt(message)
            case Refused(request_id=self._request_id):
                self._refused = message
                self._respond_refusal(message.refusal)
            case Deliver(request_id=self._request_id):
                await self._async_deliver(message.attempt)
            case Discard(request_id=self._request_id):
                self._discard(message.attempt)
            case AttemptEvent():
                await self._async_on_attempt(message)
            case _:
                # A directive of an earlier request on this connection.
                pass

    # Timers

    def _next_timer(self) -> float:
        times = [
            running.hold_until
            for running in self._attempts.values()
            if running.response is not None and self._committed is None
        ]
        if self._body_due is not None:
            times.append(self._body_due)
        far = self._clock.monotonic() + self._limits.idle_timeout.total_seconds()
        return min(times, default=far)

    async def _async_on_timer(self) -> None:
        now = self._clock.monotonic()
        if self._body_due is not None and now >= self._body_due:
            self._on_slow_body()
            return
        for number, running in list(self._attempts.items()):
            held = running.response is not None and not running.reported
            if self._committed is None and held and now >= running.hold_until:
                await self._async_commit(number)

    def _on_slow_body(self) -> None:
        if self._attempts:
            self._cut()
            return
        self._host.force(Progress(RequestAbandoned(self._request_id)))
        message = "the request body did not arrive in time"
        refusal = Refusal(RefusalKind.REQUEST_TIMEOUT, message, "send it faster")
        self._respond_refusal(refusal)

    # The caller's body

    def _start_body(self, wanted: BodyWanted) -> None:
        self._max_body_bytes = wanted.max_body_bytes
        length = self._head.content_length
        if length is not None and length > wanted.max_body_bytes:
            self._refuse_large_body()
            return
        self._wants_prefix = True
        if self._head.expects_continue:
            self._stream.send(
                h11.InformationalResponse(
                    status_code=100, headers=[], reason=b"Continue"
                )
            )
        self._read_body()

    def _read_body(self) -> None:
        """Take what has arrived of the body, if anyone waits for it."""
        try:
            if self._wants_prefix:
                self._read_prefix()
            elif self._demanded_by is not None:
                self._read_chunk(self._demanded_by)
        except h11.RemoteProtocolError:
            self._cut()

    def _read_prefix(self) -> None:
        pieces = [self._prefix]
        size = len(self._prefix)
        while size < BODY_PREFIX_BYTES and not self._body_complete:
            piece = self._next_piece()
            if piece is None:
                break
            pieces.append(piece)
            size += len(piece)
        self._prefix = b"".join(pieces)
        if self._body_bytes > self._max_body_bytes:
            self._refuse_large_body()
            return
        if not self._body_complete and size < BODY_PREFIX_BYTES:
            self._expect_body()
            return
        self._wants_prefix = False
        self._body_due = None
        digest = xxhash.xxh3_128(self._prefix)
        digest.update(str(self._head.content_length).encode())
        received = BodyReceived(self._request_id, digest.digest())
        self._host.force(Progress(received))

    def _read_chunk(self, attempt: int) -> None:
        running = self._attempts.get(attempt)
        if running is None:
            return
        piece = self._next_piece()
        if piece is None and not self._body_complete:
            self._expect_body()
            return
        self._demanded_by = None
        self._body_due = None
        self._body_streamed = True
        if self._body_bytes > self._max_body_bytes:
            # The upstream has part of the body, so this cannot be "not run".
            self._cut()
            return
        running.attempt.inbox.force(BodyChunk(piece or b"", self._body_complete))

    def _next_piece(self) -> bytes | None:
        event = self._stream.next_event()
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._body_complete = True
        return None

    def _expect_body(self) -> None:
        timeout = self._limits.body_timeout.total_seconds()
        self._body_due = self._clock.monotonic() + timeout

    def _refuse_large_body(self) -> None:
        self._host.force(Progress(RequestAbandoned(self._request_id)))
        message = f"the body is larger than {self._max_body_bytes} bytes"
        refusal = Refusal(RefusalKind.BODY_TOO_LARGE, message, "send a smaller body")
        self._respond_refusal(refusal)

    # Attempts

    def _start_attempt(self, assigned: Assigned) -> None:
        if assigned.key_query_parameter and self._key is None:
            self._key = self._head.query.get(assigned.key_query_parameter)
        request = upstream_request(
            self._head, self._request_id, self._key, assigned.key_query_parameter
        )
        spec = AttemptSpec(
            assigned, request, self._prefix, self._body_complete, assigned.idempotent
        )
        attempt = AttemptTask(spec, self._mailbox, self._pool, self._clock, self._tls)
        task = asyncio.create_task(attempt.async_run())
        self._attempts[assigned.attempt] = _RunningAttempt(attempt, task, assigned)
        self._attempt_count += 1
        self._last_assigned = assigned

    async def _async_on_attempt(self, event: AttemptEvent) -> None:
        running = self._attempts.get(event.attempt)
        if running is None:
            return
        match event:
            case BodyDemand(number):
                self._demanded_by = number
                self._read_body()
            case AttemptHead():
                await self._async_on_head(running, event)
            case AttemptData(number, data):
                await self._async_on_data(number, running, data)
            case AttemptEnd(number, outcome):
                await self._async_on_end(number, running, outcome)
            case AttemptFailed(number, outcome):
                self._on_failed(number, running, outcome)

    async def _async_on_head(self, running: _RunningAttempt, head: AttemptHead) -> None:
        running.response = head.response
        running.hold_until = self._clock.monotonic() + HOLD_SECONDS
        if head.outcome.kind is OutcomeKind.SERVER_ERROR:
            running.reported = True
            self._report(head.outcome)
            return
        length = _content_length(head.response)
        too_large = length is not None and length > running.assigned.hold_bytes
        if too_large or _is_event_stream(head.response):
            await self._async_commit(head.attempt)

    async def _async_on_data(
        self, number: int, running: _RunningAttempt, data: bytes
    ) -> None:
        if self._committed == number:
            await self._async_write(h11.Data(data=data))
            return
        running.held.append(data)
        running.held_bytes += len(data)
        if running.held_bytes <= running.assigned.hold_bytes:
            return
        if not running.reported:
            await self._async_commit(number)

    async def _async_on_end(
        self, number: int, running: _RunningAttempt, outcome: AttemptOutcome
    ) -> None:
        running.whole = True
        if not running.reported:
            self._report(outcome)
            await self._async_deliver(number)
        elif self._committed == number:
            await self._async_deliver(number)

    def _on_failed(
        self, number: int, running: _RunningAttempt, outcome: AttemptOutcome
    ) -> None:
        del self._attempts[number]
        if self._demanded_by == number:
            self._demanded_by = None
        if not running.reported:
            self._report(outcome)
        if self._committed == number or running.reported:
            self._cut()

    def _report(self, outcome: AttemptOutcome) -> None:
        replayable = not self._body_streamed and self._committed is None
        self._host.force(Progress(AttemptFinished(outcome, replayable)))

    async def _async_commit(self, number: int) -> None:
        """Begin to pass a response on; from here it cannot be retried."""
        running = self._attempts[number]
        assert running.response is not None
        self._committed = number
        self._drop_losers(number)
        length = _held_length(running, self._head.method)
        self._begin_response(running.response, length)
        held, running.held = running.held, []
        for data in held:
            await self._async_write(h11.Data(data=data))

    async def _async_deliver(self, number: int) -> None:
        """Pass a response on; if it is not whole yet, the rest follows."""
        running = self._attempts.get(number)
        if running is None or running.response is None:
            self._cut()
            return
        if self._committed is None:
            await self._async_commit(number)
        if not running.whole or self._done:
            return
        await self._async_write(h11.EndOfMessage())
        del self._attempts[number]
        self._finish(running.response.status_code, "passed")

    def _begin_response(self, response: h11.Response, length: int | None) -> None:
        close = self._draining or not self._body_complete
        head = passed_response(response, self._request_id, length, close)
        self._status = head.status_code
        self._stream.send(head)

    async def _async_write(self, event: h11.Event) -> None:
        if self._done:
            return
        try:
            self._stream.send(event)
        except h11.LocalProtocolError:
            self._cut()
            return
        timeout = self._limits.body_timeout.total_seconds()
        try:
            async with asyncio.timeout(timeout):
                await self._stream.port.async_drain()
        except TimeoutError:
            logger.info("caller reads too slowly; closing the connection")
            self._cut()

    def _discard(self, number: int) -> None:
        running = self._attempts.pop(number, None)
        if running is not None:
            running.task.cancel()

    def _drop_losers(self, winner: int) -> None:
        for number, running in list(self._attempts.items()):
            if number == winner:
                continue
            running.task.cancel()
            del self._attempts[number]
            if not running.reported:
                self._report_cancelled(running.assigned)

    def _report_cancelled(self, assigned: Assigned) -> None:
        outcome = AttemptOutcome(
            request_id=assigned.request_id,
            attempt=assigned.attempt,
            service=assigned.service,
            server=assigned.server,
            workspace=assigned.workspace,
            kind=OutcomeKind.CANCELLED,
            latency=0.0,
            bytes_written=True,
            request_class=assigned.route,
        )
        self._host.force(Progress(AttemptFinished(outcome, replayable=False)))

    # Ends

    def _respond_refusal(self, refusal: Refusal) -> None:
        if self._stream.http.our_state is not h11.SEND_RESPONSE:
            self._cut()
            return
        self._stop_attempts()
        close = self._draining or not self._body_complete
        response, body = refusal_response(refusal, self._request_id, close)
        self._stream.send(response, h11.Data(data=body), h11.EndOfMessage())
        logger.info("refused: {}", refusal)
        self._finish(response.status_code, refusal.kind)

    def _finish(self, status: int, kind: str) -> None:
        self._done = True
        self._status = status
        self._end_kind = kind
        if self._body_complete and self._stream.http.their_state is h11.SEND_BODY:
            self._stream.next_event()

    def _abandon(self) -> None:
        """Cancel the request upstream, since nobody waits for the answer."""
        self._done = True
        self._end_kind = self._end_kind or "abandoned"
        if self._submitted:
            self._host.force(Progress(RequestAbandoned(self._request_id)))

    def _cut(self) -> None:
        """Close with a reset, so that a part never looks like a whole answer."""
        self._end_kind = "cut"
        self._abandon()
        self._stream.port.reset()

    def _stop_attempts(self) -> None:
        for running in self._attempts.values():
            running.task.cancel()
        self._attempts.clear()


def _content_length(response: h11.Response) -> int | None:
    value = dict(response.headers).get(b"content-length")
    return int(value) if value is not None else None


def _is_event_stream(response: h11.Response) -> bool:
    content_type = dict(response.headers).get(b"content-type", b"")
    return content_type.startswith(b"text/event-stream")


def _held_length(running: _RunningAttempt, method: str) -> int | None:
    """Return the length to announce for a response that is held whole."""
    if not running.whole or running.response is None or method == "HEAD":
        return None
    if running.response.status_code in _NO_BODY_STATUS:
        return None
    return running.held_bytes
