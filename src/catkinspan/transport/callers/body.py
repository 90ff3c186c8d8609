"""The body of a caller's request: its first part, then the rest piece by piece."""

from enum import Enum, auto

import h11
import xxhash

from catkinspan.coordination.clock import Clock
from catkinspan.protocol.http.const import BODY_PREFIX_BYTES
from catkinspan.protocol.http.heads import CallerHead
from catkinspan.transport.callers.stream import CallerStream
from catkinspan.transport.upstreams.attempt import BodyChunk


class BodyStatus(Enum):
    """What a reading of the body came to."""

    WAITING = auto()
    """More bytes must arrive."""

    READY = auto()
    TOO_LARGE = auto()


class RequestBody:
    """Reads a body only as far as somebody asks for it.

    The first part is kept, so that an attempt can be sent again as long as nothing
    beyond it was handed out. Reading raises h11.RemoteProtocolError on malformed
    input.
    """

    def __init__(
        self, stream: CallerStream, head: CallerHead, timeout: float, clock: Clock
    ) -> None:
        self._stream = stream
        self._head = head
        self._timeout = timeout
        self._clock = clock
        self._prefix = b""
        self._complete = not head.has_body
        self._size = 0
        self._limit = 0
        self._streamed = False
        self._due: float | None = None

    @property
    def prefix(self) -> bytes:
        """Return the first part."""
        return self._prefix

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body has arrived."""
        return self._complete

    @property
    def is_replayable(self) -> bool:
        """Return whether all that was handed out is still held."""
        return not self._streamed

    @property
    def due(self) -> float | None:
        """Return when the next bytes must have arrived, in monotonic seconds."""
        return self._due

    @property
    def digest(self) -> bytes:
        """Return a digest of the first part and the announced length."""
        digest = xxhash.xxh3_128(self._prefix)
        digest.update(str(self._head.content_length).encode())
        return digest.digest()

    def begin(self, limit: int) -> BodyStatus:
        """Invite the body, unless its announced length is over `limit` bytes."""
        self._limit = limit
        length = self._head.content_length
        if length is not None and length > limit:
            return BodyStatus.TOO_LARGE
        if self._head.expects_continue:
            self._stream.send(
                h11.InformationalResponse(
                    status_code=100, headers=[], reason=b"Continue"
                )
            )
        return self.read_prefix()

    def read_prefix(self) -> BodyStatus:
        """Read on with the first part."""
        pieces = [self._prefix]
        size = len(self._prefix)
        while size < BODY_PREFIX_BYTES and not self._complete:
            piece = self._next_piece()
            if piece is None:
                break
            pieces.append(piece)
            size += len(piece)
        self._prefix = b"".join(pieces)
        if self._size > self._limit:
            return BodyStatus.TOO_LARGE
        if self._complete or size >= BODY_PREFIX_BYTES:
            self._due = None
            return BodyStatus.READY
        self._await_bytes()
        return BodyStatus.WAITING

    def read_chunk(self) -> BodyChunk | BodyStatus:
        """Return the next piece after the first part, or why there is none."""
        piece = self._next_piece()
        if piece is None and not self._complete:
            self._await_bytes()
            return BodyStatus.WAITING
        self._due = None
        self._streamed = True
        if self._size > self._limit:
            return BodyStatus.TOO_LARGE
        return BodyChunk(piece or b"", self._complete)

    def _next_piece(self) -> bytes | None:
        event = self._stream.next_event()
        if isinstance(event, h11.Data):
            self._size += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._complete = True
        return None

    def _await_bytes(self) -> None:
        self._due = self._clock.monotonic() + self._timeout
