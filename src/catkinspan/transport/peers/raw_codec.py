"""A grpclib codec that passes bytes through, so that frames are decoded only once."""

from typing import Any

from grpclib.encoding.base import CodecBase


class RawCodec(CodecBase):
    """Passes message bytes through unchanged."""

    __content_subtype__ = "catkinspan"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message."""
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the received bytes."""
        return data
