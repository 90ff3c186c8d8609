"""One request of a caller, from its head to the end of its answer."""

import asyncio
import ssl
from typing import Any

import h11
from loguru import logger

from catkinspan.coordination.clock import Clock
from catkinspan.coordination.keys.coordinator import digest_of
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
from catkinspan.protocol.http.heads import CallerHead, bad_request
from catkinspan.protocol.http.keys import path_holds_key
from catkinspan.protocol.http.names import HttpNames
from catkinspan.protocol.http.responses import passed_response, refusal_response
from catkinspan.protocol.http.upstream import upstream_request
from catkinspan.state.ids import RequestId
from catkinspan.state.node import HttpLimits
from catkinspan.transport.callers.body import BodyStatus, RequestBody
from catkinspan.transport.callers.const import HOLD_SECONDS
from catkinspan.transport.callers.messages import (
    Drain,
    Progress,
    RequestRecord,
    Submit,
)
from catkinspan.transport.callers.response import RunningAttempt
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
        names: HttpNames,
        tls: ssl.SSLContext | None,
        draining: bool,
    ) -> None:
        self._request_id = request_id
        self._wire_id = head.request_id or "" if names.keeps_request_id else ""
        self._wire_id = self._wire_id or request_id
        self._names = names
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
        self._attempts: dict[int, RunningAttempt] = {}
        self._attempt_count = 0
        self._committed: int | None = None
        timeout = limits.body_timeout.total_seconds()
        self._body = RequestBody(stream, head, timeout, clock)
        self._wants_prefix = False
        self._demanded_by: int | None = None
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
        return digest_of(self._key) if self._key else None

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
                    self._on_withdrawn()
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

    def _on_withdrawn(self) -> None:
        """Cut a stream, which may last for hours; let any other request finish.

        It was admitted while the key was valid, and ends by its deadline.
        """
        self._draining = True
        running = None
        if self._committed is not None:
            running = self._attempts.get(self._committed)
        if running is not None and running.is_live:
            logger.info("key withdrawn; cutting the stream")
            self._cut()

    # Timers

    def _next_timer(self) -> float:
        times = [
            running.hold_until
            for running in self._attempts.values()
            if running.response is not None and self._committed is None
        ]
        if self._body.due is not None:
            times.append(self._body.due)
        far = self._clock.monotonic() + self._limits.idle_timeout.total_seconds()
        return min(times, default=far)

    async def _async_on_timer(self) -> None:
        now = self._clock.monotonic()
        if self._body.due is not None and now >= self._body.due:
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
        self._wants_prefix = True
        try:
            self._on_prefix(self._body.begin(wanted.max_body_bytes))
        except h11.RemoteProtocolError:
            self._cut()

    def _read_body(self) -> None:
        """Take what has arrived of the body, if anyone waits for it."""
        try:
            if self._wants_prefix:
                self._on_prefix(self._body.read_prefix())
            elif self._demanded_by is not None:
                self._pass_chunk(self._demanded_by)
        except h11.RemoteProtocolError:
            self._cut()

    def _on_prefix(self, status: BodyStatus) -> None:
        if status is BodyStatus.WAITING:
            return
        self._wants_prefix = False
        if status is BodyStatus.READY:
            received = BodyReceived(self._request_id, self._body.digest)
            self._host.force(Progress(received))
            return
        self._host.force(Progress(RequestAbandoned(self._request_id)))
        message = "the body is larger than the route allows"
        remedy = "send a smaller body"
        self._respond_refusal(Refusal(RefusalKind.BODY_TOO_LARGE, message, remedy))

    def _pass_chunk(self, attempt: int) -> None:
        running = self._attempts.get(attempt)
        if running is None:
            return
        chunk = self._body.read_chunk()
        if chunk is BodyStatus.WAITING:
            return
        self._demanded_by = None
        if not isinstance(chunk, BodyChunk):
            # The upstream has part of the body, so this cannot be "not run".
            self._cut()
            return
        running.attempt.inbox.force(chunk)

    # Attempts

    def _start_attempt(self, assigned: Assigned) -> None:
        if assigned.key_query_parameter and self._key is None:
            self._key = self._head.query.get(assigned.key_query_parameter)
        request = upstream_request(
            self._head,
            self._wire_id,
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
        self._attempts[assigned.attempt] = RunningAttempt(attempt, task, assigned)
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

    async def _async_on_head(self, running: RunningAttempt, head: AttemptHead) -> None:
        running.response = head.response
        running.hold_until = self._clock.monotonic() + HOLD_SECONDS
        if head.outcome.kind is OutcomeKind.SERVER_ERROR:
            running.reported = True
            self._report(head.outcome)
            return
        if running.must_stream:
            await self._async_commit(head.attempt)

    async def _async_on_data(
        self, number: int, running: RunningAttempt, data: bytes
    ) -> None:
        if self._committed == number:
            await self._async_write(h11.Data(data=data))
            return
        if running.hold(data) and not running.reported:
            await self._async_commit(number)

    async def _async_on_end(
        self, number: int, running: RunningAttempt, outcome: AttemptOutcome
    ) -> None:
        running.whole = True
        if not running.reported:
            self._report(outcome)
            await self._async_deliver(number)
        elif self._committed == number:
            await self._async_deliver(number)

    def _on_failed(
        self, number: int, running: RunningAttempt, outcome: AttemptOutcome
    ) -> None:
        del self._attempts[number]
        if self._demanded_by == number:
            self._demanded_by = None
        if not running.reported:
            self._report(outcome)
        if self._committed == number or running.reported:
            self._cut()

    def _report(self, outcome: AttemptOutcome) -> None:
        replayable = self._body.is_replayable and self._committed is None
        self._host.force(Progress(AttemptFinished(outcome, replayable)))

    async def _async_commit(self, number: int) -> None:
        """Begin to pass a response on; from here it cannot be retried."""
        running = self._attempts[number]
        assert running.response is not None
        self._committed = number
        self._drop_losers(number)
        length = running.length_for(self._head.method)
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
        close = self._draining or not self._body.is_complete
        head = passed_response(response, self._wire_id, length, close, self._names)
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
                outcome = running.cancelled_outcome()
                self._host.force(Progress(AttemptFinished(outcome, replayable=False)))

    # Ends

    def _respond_refusal(self, refusal: Refusal) -> None:
        if self._stream.http.our_state is not h11.SEND_RESPONSE:
            self._cut()
            return
        self._stop_attempts()
        close = self._draining or not self._body.is_complete
        response, body = refusal_response(refusal, self._wire_id, close, self._names)
        self._stream.send(response, h11.Data(data=body), h11.EndOfMessage())
        logger.info("refused: {}", refusal)
        self._finish(response.status_code, refusal.kind)

    def _finish(self, status: int, kind: str) -> None:
        self._done = True
        self._status = status
        self._end_kind = kind
        if self._body.is_complete and self._stream.http.their_state is h11.SEND_BODY:
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
