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
from collections.abc import Callable, Iterable, Sequence
from enum import Enum, IntEnum, StrEnum
from ipaddress import ip_address
from typing import Any

import orjson
from attrs import NOTHING, fields, frozen
from cattrs import UnstructureStrategy
from cattrs.preconf.orjson import OrjsonConverter, make_converter
from result import Err, Ok, Result

from catkinspan.coordination.models import (
    FLOAT_BOUNDS,
    INTEGER_BOUNDS,
    Bounds,
    PeerMessage,
    Sender,
)
from catkinspan.protocol.peers.packed_states import (
    STATES_TYPE,
    pack_states,
    unpack_states,
)
from catkinspan.protocol.settings.reader import MAX_PORT
from catkinspan.state.ids import HostId
from catkinspan.state.tree import Address

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
        self._converter = _make_converter()
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


def _make_converter() -> OrjsonConverter:
    """Return a converter that accepts only the JSON types of the fields.

    By default cattrs converts other types, for example the text "nan" to a float that
    is within no bounds.
    """
    converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)
    converter.register_structure_hook(int, _integer_hook(INTEGER_BOUNDS))
    converter.register_structure_hook(float, _float_hook(FLOAT_BOUNDS))
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    # Without these, the hooks of int and str also apply to enums and accept any value.
    converter.register_structure_hook(IntEnum, _structure_enum)
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_structure_hook_factory(_is_bounded, _bounded_hook)
    converter.register_structure_hook(Address, _structure_address)
    converter.register_structure_hook_func(_is_states, unpack_states)
    converter.register_unstructure_hook_func(_is_states, pack_states)
    return converter


def _is_states(kind: Any) -> bool:
    return bool(kind == STATES_TYPE)


def _is_bounded(kind: Any) -> bool:
    return isinstance(getattr(kind, "__metadata__", (None,))[0], Bounds)


def _integer_hook(bounds: Bounds) -> Callable[[Any, Any], int]:
    low, high = bounds.low, bounds.high

    def structure(value: Any, _: Any) -> int:
        if type(value) is not int or not low <= value <= high:
            raise ValueError(f"not an integer from {low} to {high}")
        return value

    return structure


def _float_hook(bounds: Bounds) -> Callable[[Any, Any], float]:
    def structure(value: Any, _: Any) -> float:
        if type(value) not in (float, int) or not bounds.contains(value):
            raise ValueError(f"not a number from {bounds.low} to {bounds.high}")
        return float(value)

    return structure


def _bounded_hook(kind: Any) -> Callable[[Any, Any], Any]:
    """Return the hook for a number annotated with its bounds."""
    bounds = kind.__metadata__[0]
    return _float_hook(bounds) if kind.__origin__ is float else _integer_hook(bounds)


def _structure_address(value: Any, _: Any) -> Address:
    """Accept only numeric addresses; a host name would require a DNS lookup."""
    ip, port = value
    ip_address(ip)
    if type(port) is not int or not 0 <= port <= MAX_PORT:
        raise ValueError(f"not a port from 0 to {MAX_PORT}")
    return Address(ip, port)


def _structure_str(value: Any, _: Any) -> str:
    if type(value) is not str:
        raise TypeError("not a string")
    return value


def _structure_bool(value: Any, _: Any) -> bool:
    if type(value) is not bool:
        raise TypeError("not a boolean")
    return value


def _structure_enum(value: Any, kind: type[Enum]) -> Enum:
    return kind(value)
