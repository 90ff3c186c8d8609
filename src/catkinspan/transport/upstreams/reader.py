"""Reading of the response to one request, within limits."""

import asyncio
from collections import deque

import h11

from catkinspan.protocol.http.upstream import is_response_start
from catkinspan.transport.socket_port import SocketData
from catkinspan.transport.upstreams.connection import UpstreamConnection
from catkinspan.transport.upstreams.const import (
    MAX_BYTES_BEFORE_RESPONSE,
    MAX_SKIPPED_RESPONSES,
    SLICE_BYTES,
)

UpstreamEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class ResponseReader:
    """Parses received bytes in slices, and lets other tasks run between them.

    Bytes that are not parsed yet stay unacknowledged, so that the socket stops reading.
    A server that sends bytes without end gets an error once they cannot become the
    response that is expected.
    """

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        self._received: deque[SocketData] = deque()
        self._offset = 0
        self._bytes_since_yield = 0
        self._bytes_before_response = 0
        self._skipped_responses = 0
        self._is_start_checked = False
        self._is_response_accepted = False

    def receive(self, message: SocketData) -> None:
        """Queue received bytes until h11 needs them."""
        self._received.append(message)

    def accept_response(self) -> None:
        """End the limits on what precedes the response, whose head has been read."""
        self._is_response_accepted = True

    def skip_response(self, method: bytes) -> None:
        """Expect another response after one that belongs to an earlier request.

        Raises h11.RemoteProtocolError after too many of them.
        """
        self._count_skipped_response()
        rest, _ = self._connection.http.trailing_data
        self._connection.expect_another_response(method, rest)

    async def async_next_event(self) -> UpstreamEvent:
        """Return the next event, or NEED_DATA if more bytes must arrive.

        Informational responses are skipped. Raises h11.RemoteProtocolError on bytes
        that are no response.
        """
        while True:
            event = self._connection.http.next_event()
            if isinstance(event, h11.InformationalResponse):
                self._count_skipped_response()
                continue
            if event is not h11.NEED_DATA:
                return event
            self._check_start()
            if not self._received:
                return event
            self._parse_slice()
            if self._bytes_since_yield >= SLICE_BYTES:
                self._bytes_since_yield = 0
                await asyncio.sleep(0)

    def _parse_slice(self) -> None:
        message = self._received[0]
        data = message.data[self._offset : self._offset + SLICE_BYTES]
        self._offset += len(data)
        if self._offset == len(message.data):
            self._received.popleft()
            self._offset = 0
        self._bytes_since_yield += len(data)
        if not self._is_response_accepted:
            self._bytes_before_response += len(data)
            if self._bytes_before_response > MAX_BYTES_BEFORE_RESPONSE:
                raise h11.RemoteProtocolError("too many bytes before the response")
        message.port.acknowledge(len(data), ends_read=self._offset == 0)
        self._connection.http.receive_data(data)

    def _check_start(self) -> None:
        """Check the first bytes of a head, which h11 checks only when it is whole."""
        http = self._connection.http
        if self._is_start_checked or http.their_state is not h11.SEND_RESPONSE:
            return
        start, _ = http.trailing_data
        if not is_response_start(start):
            raise h11.RemoteProtocolError("no status line at the start of a response")
        self._is_start_checked = len(start) >= len(b"HTTP/")

    def _count_skipped_response(self) -> None:
        self._is_start_checked = False
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise h11.RemoteProtocolError("too many responses before the expected one")
