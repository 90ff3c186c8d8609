"""Reading of a request body: a buffered prefix, then the rest in chunks."""

from enum import Enum, auto

import h11
import xxhash

from catkinspan.coordination.clock import Clock
from catkinspan.protocol.http.const import BODY_PREFIX_BYTES
from catkinspan.protocol.http.heads import CallerHead
from catkinspan.transport.callers.const import MAX_CHUNKS_PER_TURN
from catkinspan.transport.callers.stream import CallerStream
from catkinspan.transport.upstreams.messages import (
    BodyChunk,
)


class BodyStatus(Enum):
    """Result of reading from the body."""

    WAITING = auto()
    """More bytes must arrive first."""

    PAUSED = auto()
    """More bytes have arrived; other tasks must run before they are read."""

    READY = auto()
    TOO_LARGE = auto()


class RequestBody:
    """Reads a request body on demand.

    The prefix is kept, so that an attempt can be retried as long as nothing beyond the
    prefix has been forwarded. Reading raises h11.RemoteProtocolError on malformed
    input.
    """

    def __init__(
        self, stream: CallerStream, head: CallerHead, read_timeout: float, clock: Clock
    ) -> None:
        self._stream = stream
        self._head = head
        self._read_timeout = read_timeout
        self._clock = clock
        self._prefix = b""
        self._complete = not head.has_body
        self._received_bytes = 0
        self._max_bytes = 0
        self._streamed = False
        self._read_deadline: float | None = None

    @property
    def prefix(self) -> bytes:
        """Return the buffered prefix."""
        return self._prefix

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body has been read."""
        return self._complete

    @property
    def is_replayable(self) -> bool:
        """Return whether the prefix still covers everything that was forwarded."""
        return not self._streamed

    @property
    def read_deadline(self) -> float | None:
        """Return the monotonic time in seconds by which the next bytes must arrive."""
        return self._read_deadline

    @property
    def digest(self) -> bytes:
        """Return a digest of the prefix and the announced length."""
        digest = xxhash.xxh3_128(self._prefix)
        digest.update(str(self._head.content_length).encode())
        return digest.digest()

    def start(self, max_bytes: int) -> BodyStatus:
        """Start to read, unless the announced length is over `max_bytes`.

        Sends "100 Continue" if the caller expects it.
        """
        self._max_bytes = max_bytes
        length = self._head.content_length
        if length is not None and length > max_bytes:
            return BodyStatus.TOO_LARGE
        if self._head.expects_continue:
            self._stream.send(
                h11.InformationalResponse(
                    status_code=100, headers=[], reason=b"Continue"
                )
            )
        return self.read_prefix()

    def read_prefix(self) -> BodyStatus:
        """Continue to read the prefix."""
        chunks = [self._prefix]
        size = len(self._prefix)
        is_paused = False
        while size < BODY_PREFIX_BYTES and not self._complete and not is_paused:
            chunk = self._next_chunk()
            if chunk is None:
                break
            chunks.append(chunk)
            size += len(chunk)
            is_paused = len(chunks) > MAX_CHUNKS_PER_TURN
        self._prefix = b"".join(chunks)
        if self._received_bytes > self._max_bytes:
            return BodyStatus.TOO_LARGE
        if self._complete or size >= BODY_PREFIX_BYTES:
            self._read_deadline = None
            return BodyStatus.READY
        if is_paused:
            return BodyStatus.PAUSED
        self._start_read_timeout()
        return BodyStatus.WAITING

    def read_chunk(self) -> BodyChunk | BodyStatus:
        """Return the next chunk after the prefix, or why there is none."""
        chunk = self._next_chunk()
        if chunk is None and not self._complete:
            self._start_read_timeout()
            return BodyStatus.WAITING
        self._read_deadline = None
        self._streamed = True
        if self._received_bytes > self._max_bytes:
            return BodyStatus.TOO_LARGE
        return BodyChunk(chunk or b"", self._complete)

    def _next_chunk(self) -> bytes | None:
        event = self._stream.next_event()
        if isinstance(event, h11.Data):
            self._received_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._complete = True
        return None

    def _start_read_timeout(self) -> None:
        self._read_deadline = self._clock.monotonic() + self._read_timeout
