"""The task that owns the outgoing stream to one peer."""

import asyncio
import ssl
from collections.abc import Callable, Collection
from random import Random

from attrs import frozen
from grpclib.client import Channel, Stream, StreamStreamMethod
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import Peer
from loguru import logger

from catkinspan.coordination.clock import Clock
from catkinspan.coordination.models import PeerMessage
from catkinspan.state.ids import HostId
from catkinspan.state.tree import Address
from catkinspan.transport.mailbox import InboxFullError, Mailbox
from catkinspan.transport.peers.const import (
    ACKNOWLEDGE_REQUEST_SECONDS,
    ACKNOWLEDGE_TIMEOUT_SECONDS,
    BATCH_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    LINK_IDLE_SECONDS,
    LINK_INBOX_MESSAGES,
    LINK_METHOD,
    MAX_ACKNOWLEDGEMENT_BYTES,
    MAX_LINK_QUEUE_SECONDS,
    MAX_SENT_FRAME_MESSAGES,
    RETRY_MAX_SECONDS,
    RETRY_MIN_SECONDS,
)
from catkinspan.transport.peers.message_limit import limit_message_size
from catkinspan.transport.peers.raw_codec import RawCodec
from catkinspan.transport.tls import dns_names

Encode = Callable[[list[PeerMessage]], bytes]

LINK_ERRORS = (
    OSError,
    TimeoutError,
    UnicodeError,  # With TLS, a host id that is not a valid DNS name.
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


class WrongPeerError(ConnectionError):
    """The certificate at a peer's address names another host."""

    def __init__(self, peer: HostId | Address, names: Collection[str]) -> None:
        super().__init__(
            f"the certificate names {', '.join(sorted(names)) or 'no host'}, not "
            f"{peer}; correct `peer_address` in its settings, or the certificate"
        )


class LinkClosedError(ConnectionError):
    """The peer closed the stream."""

    def __init__(self, peer: HostId | Address) -> None:
        super().__init__(f"{peer} closed the link; it may be restarting")


CERTIFICATE_ERRORS = (ssl.SSLError, UnicodeError, WrongPeerError)


@frozen
class _QueuedMessage:
    message: PeerMessage
    queued_at: float


class PeerLink:
    """Sends the messages for one peer in order, batched into frames.

    The peer acknowledges frames, so that an unresponsive connection is detected and
    replaced. Messages are lost while the peer cannot be reached or while a slow network
    link keeps them waiting for too long; every peer protocol tolerates that. The task
    ends after `LINK_IDLE_SECONDS` without messages.
    """

    def __init__(
        self,
        peer: HostId | Address,
        address: Address,
        encode: Encode,
        clock: Clock,
        rng: Random,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._peer = peer
        self._address = address
        self._encode = encode
        self._clock = clock
        self._rng = rng
        self._tls = tls
        # A seed is known by its address only, so no host name is expected.
        target_name = peer if isinstance(peer, str) else None
        self._config = Configuration(
            ssl_target_name_override=target_name if tls else None
        )
        self._inbox: Mailbox[_QueuedMessage] = Mailbox(LINK_INBOX_MESSAGES)
        self._failures = 0
        self._acknowledged_at = float("-inf")
        self._retry_at = 0.0
        self._dropped_messages = 0
        self._sent_bytes = 0

    @property
    def address(self) -> Address:
        """Return the peer's address."""
        return self._address

    @property
    def dropped_messages(self) -> int:
        """Return the number of messages that could not be sent."""
        return self._dropped_messages

    @property
    def sent_bytes(self) -> int:
        """Return the number of bytes in the frames sent."""
        return self._sent_bytes

    def post(self, message: PeerMessage) -> None:
        """Queue a message; it is dropped if the queue is full."""
        try:
            self._inbox.post(_QueuedMessage(message, self._clock.monotonic()))
        except InboxFullError:
            self._dropped_messages += 1

    async def async_run(self) -> None:
        """Send messages until the link is idle."""
        while True:
            first = await self._async_next_message()
            if first is None:
                return
            if self._clock.monotonic() < self._retry_at:
                self._dropped_messages += 1
                continue
            try:
                await self._async_stream(first)
                return
            except LINK_ERRORS as error:
                self._back_off(error)

    async def _async_stream(self, first: PeerMessage) -> None:
        channel = Channel(
            self._address.ip,
            self._address.port,
            codec=RawCodec(),
            ssl=self._tls,
            config=self._config,
        )
        try:
            method = StreamStreamMethod[bytes, bytes](
                channel, LINK_METHOD, bytes, bytes
            )
            async with method.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await stream.send_request()
                limit_message_size(stream, MAX_ACKNOWLEDGEMENT_BYTES)
                self._verify_peer(stream.peer)
                self._acknowledged_at = float("-inf")
                message: PeerMessage | None = first
                while message is not None:
                    await asyncio.sleep(BATCH_SECONDS)
                    frame = self._encode(self._take_batch(message))
                    async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_SECONDS):
                        await stream.send_message(frame)
                        await self._async_wait_acknowledged(stream)
                    self._failures = 0
                    self._sent_bytes += len(frame)
                    message = await self._async_next_message()
                await stream.cancel()
        finally:
            channel.close()

    async def _async_wait_acknowledged(self, stream: Stream[bytes, bytes]) -> None:
        """Wait for an acknowledgement if the last one is too old."""
        if (
            self._clock.monotonic() - self._acknowledged_at
            < ACKNOWLEDGE_REQUEST_SECONDS
        ):
            return
        if await stream.recv_message() is None:
            raise LinkClosedError(self._peer)
        self._acknowledged_at = self._clock.monotonic()

    def _verify_peer(self, peer: Peer | None) -> None:
        """Reject a wildcard certificate, which the TLS library would accept."""
        if self._tls is None or isinstance(self._peer, Address):
            return
        names = dns_names(peer.cert() if peer is not None else None)
        if self._peer not in names:
            raise WrongPeerError(self._peer, names)

    def _take_batch(self, first: PeerMessage) -> list[PeerMessage]:
        batch = [first]
        while len(self._inbox) and len(batch) < MAX_SENT_FRAME_MESSAGES:
            queued = self._inbox.get_nowait()
            if self._is_current(queued):
                batch.append(queued.message)
        return batch

    async def _async_next_message(self) -> PeerMessage | None:
        """Return the next message; None after `LINK_IDLE_SECONDS` without one."""
        deadline = self._clock.monotonic() + LINK_IDLE_SECONDS
        while True:
            queued = await self._inbox.async_get_until(deadline)
            if queued is None:
                return None
            if self._is_current(queued):
                return queued.message

    def _is_current(self, queued: _QueuedMessage) -> bool:
        """Return whether a message may still be sent; count it as dropped if not."""
        age = self._clock.monotonic() - queued.queued_at
        if age <= MAX_LINK_QUEUE_SECONDS or not queued.message.expires_in_queue:
            return True
        self._dropped_messages += 1
        return False

    def _back_off(self, error: BaseException) -> None:
        self._failures += 1
        self._dropped_messages += 1
        delay = min(RETRY_MAX_SECONDS, RETRY_MIN_SECONDS * 2**self._failures)
        self._retry_at = self._clock.monotonic() + delay * self._rng.uniform(0.5, 1.0)
        # Only a wrong certificate needs an operator; a peer that is down does not.
        is_certificate_error = isinstance(error, CERTIFICATE_ERRORS)
        level = "WARNING" if is_certificate_error and self._failures == 1 else "DEBUG"
        logger.log(level, "link to peer {} failed: {!r}", self._peer, error)
