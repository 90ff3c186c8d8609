"""A limit on the size of the messages that a stream receives."""

from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError


def limit_message_size(stream: Any, max_bytes: int) -> None:
    """Reject messages whose announced size is over the limit.

    `stream` is the open stream of a grpclib client or server. grpclib has no such limit
    and would buffer up to 4 GB for one message.
    """
    grpc_stream = stream._stream
    receive = grpc_stream.recv_data

    async def async_receive(size: int) -> bytes:
        if size > max_bytes:
            message = f"{size} bytes in one frame; send at most {max_bytes}"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, message)
        data: bytes = await receive(size)
        return data

    grpc_stream.recv_data = async_receive
