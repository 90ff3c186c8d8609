"""The task that owns a host's coordinators."""

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from loguru import logger

from catkinspan.coordination.audit.coordinator import AuditTrail
from catkinspan.coordination.audit.texts import describe
from catkinspan.coordination.clock import Clock
from catkinspan.coordination.configuration.models import StoreChanges, StoreSnapshot
from catkinspan.coordination.const import TICK_INTERVAL_SECONDS
from catkinspan.coordination.host.coordinator import (
    HostCoordinator,
    ReaderRole,
)
from catkinspan.coordination.keys.models import CloseKeyConnections
from catkinspan.coordination.metrics.models import FinishedRequest
from catkinspan.coordination.models import Event, PeerMessage, Sender
from catkinspan.coordination.naming import event_kind
from catkinspan.coordination.requests.models import (
    Assigned,
    AttemptFinished,
    BodyReceived,
    KeysWithdrawn,
    Refused,
    RequestAbandoned,
    RequestDirective,
)
from catkinspan.coordination.requests.refusals import INTERNAL_ERROR
from catkinspan.daemon.control_traffic import ControlTraffic
from catkinspan.daemon.messages import (
    AnnounceDrain,
    BeginDrain,
    ConnectionEnded,
    ConnectionOpened,
    PeerFrame,
    Query,
    SeedsChanged,
)
from catkinspan.daemon.request_log import HostKnowledge, RequestLog
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.ids import HostId, RequestId, ServiceId, WorkspaceId
from catkinspan.state.tree import Address
from catkinspan.transport.callers.messages import (
    Drain,
    HealthQuery,
    HealthStatus,
    RequestRecord,
    RequestSubmitted,
    RequestUpdate,
)
from catkinspan.transport.mailbox import InboxFullError, Mailbox
from catkinspan.transport.peers.const import MAX_DATAGRAM_BYTES, MAX_SENT_FRAME_MESSAGES
from catkinspan.transport.peers.datagrams import Datagram
from catkinspan.transport.peers.link import PeerLink
from catkinspan.transport.store.reader import (
    ReaderMessage,
    StartReading,
    StopReading,
    StoreCallFailed,
    StoreUnchanged,
)

MAX_INBOX_MESSAGES = 10_000
MAX_MESSAGES_BETWEEN_TICKS = 500
"""Messages after which `tick` runs even before its interval has passed."""

MIN_SUSPENSION_SECONDS = 0.3
"""After a longer suspension of the machine, the coordinator's data is outdated."""

Peer = HostId | Address
LinkFactory = Callable[[Peer, Address, Callable[[list[PeerMessage]], bytes]], PeerLink]


class HostTask:
    """Passes the messages of one inbox to the coordinator and executes its output."""

    def __init__(
        self,
        coordinator: HostCoordinator,
        sender: Sender,
        codec: PeerCodec,
        clock: Clock,
        new_link: LinkFactory,
        reader: Mailbox[ReaderMessage],
        datagrams: Mailbox[Datagram] | None,
    ) -> None:
        self._coordinator = coordinator
        self._sender = sender
        self._codec = codec
        self._clock = clock
        self._new_link = new_link
        self._reader = reader
        self._datagrams = datagrams
        self._request_log = RequestLog()
        self._control_traffic = ControlTraffic(clock.monotonic())
        self._suspended_seconds = clock.suspended()
        self._inbox: Mailbox[Any] = Mailbox(MAX_INBOX_MESSAGES)
        self._audit = AuditTrail(sender.host)
        self._replies: dict[RequestId, Mailbox[Any]] = {}
        self._connections: set[Mailbox[Any]] = set()
        self._links: dict[Peer, tuple[PeerLink, asyncio.Task[None]]] = {}
        self._dropped_datagram_messages = 0
        self._drain_begun = False
        self._drain_announced = False

    @property
    def inbox(self) -> Mailbox[Any]:
        """Return the inbox for all messages to the task."""
        return self._inbox

    @property
    def audit(self) -> AuditTrail:
        """Return the audit trail, which only a `Query` may read."""
        return self._audit

    @property
    def link_sent_bytes(self) -> int:
        """Return the bytes sent on the open links."""
        return sum(link.sent_bytes for link, _ in self._links.values())

    @property
    def control_bytes_by_kind(self) -> Mapping[str, int]:
        """Return the bytes sent to peers since the start, by kind of message."""
        return self._control_traffic.bytes_by_kind

    @property
    def _dropped_messages(self) -> int:
        """Return the messages dropped on open links and before the datagram socket."""
        on_links = sum(link.dropped_messages for link, _ in self._links.values())
        return on_links + self._dropped_datagram_messages

    async def async_run(self) -> None:
        """Handle the messages of the inbox until cancelled."""
        next_tick = self._clock.monotonic()
        handled = 0
        try:
            while True:
                due = min(next_tick, self._coordinator.next_due())
                message = await self._inbox.async_get_until(due)
                self._detect_suspension()
                if message is not None:
                    self._handle_safely(message)
                    handled += 1
                now = self._clock.monotonic()
                if now >= next_tick or handled >= MAX_MESSAGES_BETWEEN_TICKS:
                    self._coordinator.tick(now)
                    self._control_traffic.log_if_due(self._dropped_messages, now)
                    next_tick = now + TICK_INTERVAL_SECONDS
                    handled = 0
                elif now >= due:
                    self._coordinator.wake(now)
                self._process_outbox()
        finally:
            for _, task in self._links.values():
                task.cancel()

    def _detect_suspension(self) -> None:
        """After a suspension, tell the coordinator that its data is outdated.

        The monotonic clock does not count that time, so nothing else reveals it.
        """
        suspended = self._clock.suspended()
        gap, self._suspended_seconds = suspended - self._suspended_seconds, suspended
        if gap > MIN_SUSPENSION_SECONDS:
            self._coordinator.resume(gap, self._clock.monotonic())

    def _handle_safely(self, message: Any) -> None:
        """Handle a message so that an exception does not end the host.

        Otherwise one request that fails on each host in turn would end the whole
        fleet. An exception in `tick` does end the host, since no single message
        causes it.
        """
        try:
            self._handle(message)
        except Exception:
            logger.exception(
                "unexpected error while handling a {} message", type(message).__name__
            )
            self._refuse_failed_request(message)

    def _refuse_failed_request(self, message: Any) -> None:
        match message:
            case RequestSubmitted(arrived):
                request_id = arrived.request_id
            case RequestUpdate(BodyReceived(request_id)):
                pass
            case RequestUpdate(AttemptFinished(outcome)):
                request_id = outcome.request_id
            case _:
                return
        reply = self._replies.pop(request_id, None)
        if reply is not None:
            reply.post_unbounded(Refused(request_id, INTERNAL_ERROR))
        self._coordinator.requests.drop_request(request_id)

    def _handle(self, message: Any) -> None:
        now = self._clock.monotonic()
        match message:
            case RequestSubmitted(arrived, reply):
                self._replies[arrived.request_id] = reply
                self._coordinator.handle_request(arrived, now)
            case RequestUpdate(inner):
                if isinstance(inner, AttemptFinished):
                    self._request_log.log_outcome(inner.outcome, now)
                self._coordinator.handle_request(inner, now)
                if isinstance(inner, RequestAbandoned):
                    self._replies.pop(inner.request_id, None)
            case RequestRecord():
                self._replies.pop(RequestId(message.request_id), None)
                self._coordinator.metrics.record_request(
                    _to_finished_request(message), now
                )
                self._request_log.log_end(message, now)
            case PeerFrame(frame):
                for peer_message in frame.messages:
                    self._coordinator.handle(peer_message, frame.sender, now)
            case StoreSnapshot():
                self._coordinator.apply_store_snapshot(message, now)
            case StoreChanges():
                self._coordinator.apply_store_changes(message, now)
            case StoreUnchanged():
                self._coordinator.record_store_contact(now)
            case StoreCallFailed():
                self._coordinator.record_store_failure(now)
            case SeedsChanged(seeds):
                self._coordinator.replace_seeds(seeds)
            case ConnectionOpened(mailbox):
                self._add_connection(mailbox)
            case ConnectionEnded(mailbox):
                self._connections.discard(mailbox)
            case Query(read, reply):
                self._reply_to_query(read, reply, now)
            case HealthQuery(reply_to):
                reply_to.post_unbounded(self._health_status(now))
            case AnnounceDrain(stops_at):
                self._announce_drain(stops_at, now)
            case BeginDrain(done):
                self._begin_drain()
                done.set_result(None)

    def _health_status(self, now: float) -> HealthStatus:
        if self._drain_announced or self._drain_begun:
            return HealthStatus(serving=False, reason="draining")
        if not self._coordinator.is_ready(now):
            return HealthStatus(serving=False, reason="not ready")
        if self._coordinator.is_isolated(now):
            return HealthStatus(serving=False, reason="isolated")
        return HealthStatus(serving=True, reason="ok")

    def _add_connection(self, mailbox: Mailbox[Any]) -> None:
        self._connections.add(mailbox)
        if self._drain_announced:
            mailbox.post_unbounded(Drain(close_idle=False))

    def _reply_to_query(
        self,
        read: Callable[[HostCoordinator, float], Any],
        reply: "asyncio.Future[Any]",
        now: float,
    ) -> None:
        if reply.done():
            return
        try:
            reply.set_result(read(self._coordinator, now))
        except Exception as error:  # noqa: BLE001 - the querying task reports it
            reply.set_exception(error)

    def _announce_drain(self, stops_at: float, now: float) -> None:
        self._drain_announced = True
        self._coordinator.drain(now, stops_at)
        for mailbox in self._connections:
            mailbox.post_unbounded(Drain(close_idle=False))

    def _begin_drain(self) -> None:
        self._drain_begun = True
        for mailbox in self._connections:
            mailbox.post_unbounded(Drain(close_idle=True))

    # Output

    def _process_outbox(self) -> None:
        outbox = self._coordinator.outbox
        for directive in outbox.take_directives():
            self._execute_directive(directive)
        for event in outbox.take_events():
            self._run_safely(partial(self._record_event, event))
        by_peer: dict[Peer, list[PeerMessage]] = {}
        for envelope in outbox.take_envelopes():
            by_peer.setdefault(envelope.to, []).append(envelope.message)
        for peer, messages in by_peer.items():
            self._run_safely(partial(self._send, peer, messages))

    def _run_safely(self, step: "partial[None]") -> None:
        """Run a step whose input may come from other hosts or writers."""
        try:
            step()
        except Exception:
            logger.exception("unexpected error in {}", step.func.__name__)

    def _execute_directive(self, directive: object) -> None:
        match directive:
            case RequestDirective(request_id):
                self._log_directive(directive)
                reply = self._replies.get(request_id)
                if reply is not None:
                    reply.post_unbounded(directive)
                if isinstance(directive, Refused):
                    self._replies.pop(request_id, None)
            case CloseKeyConnections(digests):
                for mailbox in self._connections:
                    mailbox.post_unbounded(KeysWithdrawn(digests))
            case ReaderRole(active, after):
                self._reader.post_unbounded(
                    StartReading(after) if active else StopReading()
                )

    def _log_directive(self, directive: RequestDirective) -> None:
        now = self._clock.monotonic()
        match directive:
            case Assigned():
                age = self._coordinator.configuration.contact_age(now)
                self._request_log.log_assignment(directive, age, now)
            case Refused():
                self._request_log.log_refusal(directive, self._knowledge(now), now)

    def _knowledge(self, now: float) -> HostKnowledge:
        coordinator = self._coordinator
        return HostKnowledge(
            coordinator.tree.revision,
            coordinator.configuration.contact_age(now),
            coordinator.configuration.copy_age(now),
            coordinator.rates.levels_hub(now),
        )

    def _record_event(self, event: Event) -> None:
        self._audit.record(event, self._clock.now())
        self._coordinator.metrics.record_event(event, self._clock.monotonic())
        described = describe(event)
        text = "; ".join((described.text, *described.details))
        logger.bind(event=event_kind(event)).info("{}", text)

    def _send(self, peer: Peer, messages: list[PeerMessage]) -> None:
        """Send messages as datagrams if they fit, otherwise on the stream."""
        address = self._peer_address(peer)
        if address is None:
            return
        batch: list[PeerMessage] = []
        size = 0
        for message in messages:
            length = self._codec.size(message)
            self._control_traffic.record(message, length)
            if self._datagrams is None or length > MAX_DATAGRAM_BYTES:
                self._get_link(peer, address).post(message)
                continue
            if (
                size + length > MAX_DATAGRAM_BYTES
                or len(batch) >= MAX_SENT_FRAME_MESSAGES
            ):
                self._send_datagram(address, batch)
                batch, size = [], 0
            batch.append(message)
            size += length
        if batch:
            self._send_datagram(address, batch)

    def _send_datagram(self, address: Address, messages: list[PeerMessage]) -> None:
        assert self._datagrams is not None
        try:
            self._datagrams.post(Datagram(address, self._encode(messages)))
        except InboxFullError as error:
            self._dropped_datagram_messages += len(messages)
            logger.debug("dropped a datagram to {}: {}", address, error)

    def _get_link(self, peer: Peer, address: Address) -> PeerLink:
        existing = self._links.get(peer)
        if existing is not None:
            link, task = existing
            if not task.done() and link.address == address:
                return link
            task.cancel()
        link = self._new_link(peer, address, self._encode)
        task = asyncio.create_task(link.async_run())
        self._links[peer] = (link, task)
        return link

    def _peer_address(self, peer: Peer) -> Address | None:
        if isinstance(peer, Address):
            return peer
        record = self._coordinator.view.hosts.get(peer)
        return None if record is None else record.peer_address

    def _encode(self, messages: list[PeerMessage]) -> bytes:
        return self._codec.encode(self._sender, messages)


def _to_finished_request(record: RequestRecord) -> FinishedRequest:
    return FinishedRequest(
        ServiceId(record.service),
        WorkspaceId(record.workspace),
        record.status,
        record.kind,
        record.seconds,
        record.attempts,
    )
