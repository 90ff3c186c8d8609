"""Frames of peer messages: attrs classes through cattrs and orjson.

A frame is one JSON array ``[host, incarnation, [[tag, fields], ...]]``. Tags are class
names. Fields travel as arrays in the order of declaration, which keeps a small message
near 60 bytes; those at the end that have their default are left out.
"""

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
from catkinspan.protocol.settings.reader import MAX_PORT
from catkinspan.state.ids import HostId
from catkinspan.state.tree import Address

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""A snapshot chunk carries one document of up to 1 MB; JSON escapes may double it."""

CACHED_MESSAGES = 32
"""Messages whose encoding is kept: a hub sends the same one to each follower."""

MAX_FRAME_MESSAGES = 1024
"""Links put up to 64 messages into a frame. The host task handles a frame in one go,
so a frame of very many small messages would delay its tick."""


@frozen
class MalformedFrame:
    """A frame that cannot be decoded."""

    reason: str

    def __str__(self) -> str:
        """Return the error with its remedy."""
        return f"malformed peer frame: {self.reason}; run the same version on all hosts"


@frozen
class Frame:
    """Messages of one sender, in their order."""

    sender: Sender
    messages: tuple[PeerMessage, ...]
    unknown: int = 0
    """Messages left out because their tag or content is not understood."""


class PeerCodec:
    """Encodes and decodes frames of the registered message classes."""

    def __init__(self, classes: Iterable[type[PeerMessage]]) -> None:
        self._classes = {cls.__name__: cls for cls in classes}
        self._converter = _make_converter()
        self._defaults = {
            tag: _plain_defaults(cls, self._converter)
            for tag, cls in self._classes.items()
        }
        self._encoded: OrderedDict[int, tuple[PeerMessage, bytes]] = OrderedDict()
        """Latest messages by identity; holding them keeps the identity theirs."""

    @property
    def tags(self) -> frozenset[str]:
        """Return the tags of the registered classes."""
        return frozenset(self._classes)

    def encode(self, sender: Sender, messages: Sequence[PeerMessage]) -> bytes:
        """Return the bytes of a frame."""
        encoded = [orjson.Fragment(self._encode_message(m)) for m in messages]
        return orjson.dumps([sender.host, sender.incarnation, encoded])

    def size(self, message: PeerMessage) -> int:
        """Return the bytes that a message takes in a frame."""
        return len(self._encode_message(message)) + 1

    def _encode_message(self, message: PeerMessage) -> bytes:
        """Encode a message once, also if it goes to many peers."""
        known = self._encoded.get(id(message))
        if known is not None and known[0] is message:
            return known[1]
        tagged = [type(message).__name__, self._fields(message)]
        encoded = orjson.dumps(tagged)
        self._encoded[id(message)] = (message, encoded)
        if len(self._encoded) > CACHED_MESSAGES:
            self._encoded.popitem(last=False)
        return encoded

    def _fields(self, message: PeerMessage) -> Sequence[Any]:
        """Return the fields without those at the end that have their default."""
        kept = list(self._converter.unstructure(message))
        defaults = self._defaults[type(message).__name__]
        while kept and len(kept) in defaults and kept[-1] == defaults[len(kept)]:
            kept.pop()
        return kept

    def decode(self, data: bytes) -> Result[Frame, MalformedFrame]:
        """Return the messages of a frame.

        Messages with an unknown tag or content are counted and left out, so that
        hosts of two versions can work side by side during an upgrade.
        """
        if len(data) > MAX_FRAME_BYTES:
            return Err(MalformedFrame(f"{len(data)} bytes are over the limit"))
        try:
            host, incarnation, tagged = orjson.loads(data)
        except (orjson.JSONDecodeError, TypeError, ValueError) as error:
            return Err(MalformedFrame(str(error)))
        if not _is_valid_head(host, incarnation, tagged):
            return Err(MalformedFrame("head is not [host, incarnation, messages]"))
        if len(tagged) > MAX_FRAME_MESSAGES:
            return Err(MalformedFrame(f"{len(tagged)} messages are over the limit"))
        messages = [m for m in map(self._decode_message, tagged) if m is not None]
        sender = Sender(HostId(host), incarnation)
        return Ok(Frame(sender, tuple(messages), len(tagged) - len(messages)))

    def _decode_message(self, tagged: Any) -> PeerMessage | None:
        try:
            tag, fields = tagged
            return self._converter.structure(fields, self._classes[tag])
        except Exception:  # noqa: BLE001 - cattrs raises many kinds on bad input
            return None


def _plain_defaults(
    cls: type[PeerMessage], converter: OrjsonConverter
) -> dict[int, Any]:
    """Return the unstructured default of each field that has one, counted from 1.

    Fields whose default comes from a factory are always sent.
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
    return _is_whole(incarnation, INTEGER_BOUNDS) and isinstance(tagged, list)


def _is_whole(value: object, bounds: Bounds) -> bool:
    return type(value) is int and bounds.contains(value)


def _make_converter() -> OrjsonConverter:
    """Return a converter that accepts only the JSON types of the fields.

    cattrs would convert, such as the text "nan" to a float that no bound holds.
    """
    converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)
    converter.register_structure_hook(int, _whole_hook(INTEGER_BOUNDS))
    converter.register_structure_hook(float, _number_hook(FLOAT_BOUNDS))
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    # The hooks of int and str would else serve their enums, and pass any value.
    converter.register_structure_hook(IntEnum, _structure_enum)
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_structure_hook_factory(_is_bounded, _bounded_hook)
    converter.register_structure_hook(Address, _structure_address)
    return converter


def _is_bounded(kind: Any) -> bool:
    return isinstance(getattr(kind, "__metadata__", (None,))[0], Bounds)


def _whole_hook(bounds: Bounds) -> Callable[[Any, Any], int]:
    low, high = bounds.low, bounds.high

    def structure(value: Any, _: Any) -> int:
        if type(value) is not int or not low <= value <= high:
            raise ValueError(f"not a whole number from {low} to {high}")
        return value

    return structure


def _number_hook(bounds: Bounds) -> Callable[[Any, Any], float]:
    def structure(value: Any, _: Any) -> float:
        if type(value) not in (float, int) or not bounds.contains(value):
            raise ValueError(f"not a number from {bounds.low} to {bounds.high}")
        return float(value)

    return structure


def _bounded_hook(kind: Any) -> Callable[[Any, Any], Any]:
    """Return the hook of a number whose annotation names its bounds."""
    bounds = kind.__metadata__[0]
    return _number_hook(bounds) if kind.__origin__ is float else _whole_hook(bounds)


def _structure_address(value: Any, _: Any) -> Address:
    """Accept a numeric address only; a name would be looked up."""
    ip, port = value
    ip_address(ip)
    if type(port) is not int or not 0 <= port <= MAX_PORT:
        raise ValueError(f"no port from 0 to {MAX_PORT}")
    return Address(ip, port)


def _structure_str(value: Any, _: Any) -> str:
    if type(value) is not str:
        raise TypeError("not a text")
    return value


def _structure_bool(value: Any, _: Any) -> bool:
    if type(value) is not bool:
        raise TypeError("not a boolean")
    return value


def _structure_enum(value: Any, kind: type[Enum]) -> Enum:
    return kind(value)
