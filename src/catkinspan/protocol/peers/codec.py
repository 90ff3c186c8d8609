"""Encoding of peer messages into frames, with attrs classes, cattrs and orjson.

A frame is one JSON array ``[host, incarnation, [[tag, fields], ...]]``. Tags are class
names. Fields are encoded as arrays in the order of declaration, which keeps small
messages at about 60 bytes; trailing fields with their default value are omitted. A
message above `MIN_COMPRESSED_BYTES` is sent as ``["Z", TEXT]``, where the text is the
base64 form of its zlib-compressed JSON: a hub sends such messages to each follower.
"""

import base64
import binascii
import zlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Any

import orjson
from attrs import NOTHING, fields, frozen
from cattrs.preconf.orjson import OrjsonConverter
from result import Err, Ok, Result

from catkinspan.coordination.models import (
    INTEGER_BOUNDS,
    Bounds,
    PeerMessage,
    Sender,
)
from catkinspan.protocol.peers.converter import make_peer_converter
from catkinspan.state.ids import HostId

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""A snapshot chunk contains a document of up to 1 MB; JSON escapes may double it."""

COMPRESSED_TAG = "Z"
MIN_COMPRESSED_BYTES = 1_200
"""Size from which messages are compressed; smaller ones fit into a datagram."""

COMPRESSION_LEVEL = 3
MAX_CACHED_MESSAGES = 32
"""Encoded messages are cached because a hub sends the same one to each follower."""

MAX_FRAME_MESSAGES = 1024
"""Links send up to 64 messages per frame. The host task handles a frame without
interruption, so a frame with too many small messages would delay its tick."""


@frozen
class MalformedFrame:
    """A frame that cannot be decoded."""

    reason: str

    def __str__(self) -> str:
        """Return the error with its remedy."""
        return f"malformed peer frame: {self.reason}; run the same version on all hosts"


@frozen
class Frame:
    """Messages of one sender, in the order of sending."""

    sender: Sender
    messages: tuple[PeerMessage, ...]
    skipped_count: int = 0
    """Number of skipped messages, which had an unknown tag or invalid content."""


class PeerCodec:
    """Encodes and decodes frames of the registered message classes."""

    def __init__(self, classes: Iterable[type[PeerMessage]]) -> None:
        self._classes = {cls.__name__: cls for cls in classes}
        self._converter = make_peer_converter()
        self._defaults = {
            tag: _constant_defaults(cls, self._converter)
            for tag, cls in self._classes.items()
        }
        self._cache: OrderedDict[int, tuple[PeerMessage, bytes]] = OrderedDict()
        """Latest messages by `id()`; keeping a message prevents reuse of its id."""

    @property
    def tags(self) -> frozenset[str]:
        """Return the tags of the registered classes."""
        return frozenset(self._classes)

    def encode(self, sender: Sender, messages: Sequence[PeerMessage]) -> bytes:
        """Return an encoded frame."""
        encoded = [orjson.Fragment(self._encode_message(m)) for m in messages]
        return orjson.dumps([sender.host, sender.incarnation, encoded])

    def size(self, message: PeerMessage) -> int:
        """Return the size of a message in a frame, in bytes."""
        return len(self._encode_message(message)) + 1

    def _encode_message(self, message: PeerMessage) -> bytes:
        """Return the encoded message, cached because many peers may receive it."""
        cached = self._cache.get(id(message))
        if cached is not None and cached[0] is message:
            return cached[1]
        tagged = [type(message).__name__, self._encode_fields(message)]
        encoded = _compress(orjson.dumps(tagged))
        self._cache[id(message)] = (message, encoded)
        if len(self._cache) > MAX_CACHED_MESSAGES:
            self._cache.popitem(last=False)
        return encoded

    def _encode_fields(self, message: PeerMessage) -> Sequence[Any]:
        """Return the field values without trailing default values."""
        kept = list(self._converter.unstructure(message))
        defaults = self._defaults[type(message).__name__]
        while kept and len(kept) in defaults and kept[-1] == defaults[len(kept)]:
            kept.pop()
        return kept

    def decode(self, data: bytes) -> Result[Frame, MalformedFrame]:
        """Return the messages of a frame.

        Messages with an unknown tag or invalid content are counted and skipped, so that
        hosts of two versions can run side by side during an upgrade.
        """
        if len(data) > MAX_FRAME_BYTES:
            return Err(MalformedFrame(f"{len(data)} bytes exceed the limit"))
        try:
            host, incarnation, tagged = orjson.loads(data)
        except (orjson.JSONDecodeError, TypeError, ValueError) as error:
            return Err(MalformedFrame(str(error)))
        if not _is_valid_head(host, incarnation, tagged):
            return Err(MalformedFrame("head is not [host, incarnation, messages]"))
        if len(tagged) > MAX_FRAME_MESSAGES:
            return Err(MalformedFrame(f"{len(tagged)} messages exceed the limit"))
        messages = [m for m in map(self._decode_message, tagged) if m is not None]
        sender = Sender(HostId(host), incarnation)
        return Ok(Frame(sender, tuple(messages), len(tagged) - len(messages)))

    def _decode_message(self, tagged: Any) -> PeerMessage | None:
        try:
            tag, fields = _decompress(tagged)
            return self._converter.structure(fields, self._classes[tag])
        except Exception:  # noqa: BLE001 - cattrs raises many types on invalid input
            return None


def _compress(encoded: bytes) -> bytes:
    """Return a large message in its compressed form, and a small one unchanged."""
    if len(encoded) <= MIN_COMPRESSED_BYTES:
        return encoded
    compressed = zlib.compress(encoded, COMPRESSION_LEVEL)
    return orjson.dumps([COMPRESSED_TAG, base64.b64encode(compressed).decode()])


def _decompress(tagged: Any) -> Any:
    """Return a message without compression; raises ValueError if it is too large."""
    tag, content = tagged
    if tag != COMPRESSED_TAG:
        return tagged
    try:
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(
            base64.b64decode(content, validate=True), MAX_FRAME_BYTES
        )
    except (binascii.Error, zlib.error) as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError(f"not complete within {MAX_FRAME_BYTES} bytes")
    return orjson.loads(encoded)


def _constant_defaults(
    cls: type[PeerMessage], converter: OrjsonConverter
) -> dict[int, Any]:
    """Return the unstructured defaults by the number of the field, counted from 1.

    Fields whose default comes from a factory are always encoded.
    """
    required = object()
    defaults = [
        required if attribute.default is NOTHING else attribute.default
        for attribute in fields(cls)
    ]
    return {
        number: converter.unstructure(default)
        for number, default in enumerate(defaults, 1)
        if default is not required and not hasattr(default, "takes_self")
    }


def _is_valid_head(host: object, incarnation: object, tagged: object) -> bool:
    if not isinstance(host, str) or not host:
        return False
    return _is_integer(incarnation, INTEGER_BOUNDS) and isinstance(tagged, list)


def _is_integer(value: object, bounds: Bounds) -> bool:
    return type(value) is int and bounds.contains(value)
