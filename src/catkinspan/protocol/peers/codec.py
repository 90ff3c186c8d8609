"""Frames of peer messages: attrs classes through cattrs and orjson.

A frame is one JSON array ``[host, incarnation, [[tag, fields], ...]]``. Tags are class
names. Fields travel as arrays in the order of declaration, which keeps a small message
near 60 bytes.
"""

from collections.abc import Iterable, Sequence
from typing import Any

import orjson
from attrs import frozen
from cattrs import UnstructureStrategy
from cattrs.preconf.orjson import make_converter
from result import Err, Ok, Result

from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.state.ids import HostId

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""A snapshot chunk carries one document of up to 1 MB; JSON escapes may double it."""


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

    origin: Origin
    messages: tuple[PeerMessage, ...]
    unknown: int = 0
    """Messages left out because their tag or content is not understood."""


class PeerCodec:
    """Encodes and decodes frames of the registered message classes."""

    def __init__(self, classes: Iterable[type[PeerMessage]]) -> None:
        self._classes = {cls.__name__: cls for cls in classes}
        self._converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)

    @property
    def tags(self) -> frozenset[str]:
        """Return the tags of the registered classes."""
        return frozenset(self._classes)

    def encode(self, origin: Origin, messages: Sequence[PeerMessage]) -> bytes:
        """Return the bytes of a frame."""
        unstructure = self._converter.unstructure
        tagged = [[type(m).__name__, unstructure(m)] for m in messages]
        return orjson.dumps([origin.host, origin.incarnation, tagged])

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
        messages = [m for m in map(self._decode_message, tagged) if m is not None]
        origin = Origin(HostId(host), incarnation)
        return Ok(Frame(origin, tuple(messages), len(tagged) - len(messages)))

    def _decode_message(self, tagged: Any) -> PeerMessage | None:
        try:
            tag, fields = tagged
            return self._converter.structure(fields, self._classes[tag])
        except Exception:  # noqa: BLE001 - cattrs raises many kinds on bad input
            return None


def _is_valid_head(host: object, incarnation: object, tagged: object) -> bool:
    if not isinstance(host, str) or not host:
        return False
    if not isinstance(incarnation, int) or isinstance(incarnation, bool):
        return False
    return isinstance(tagged, list)
