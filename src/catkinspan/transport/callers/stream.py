"""A caller's connection as a stream of HTTP events."""

from collections import deque

import h11

from catkinspan.transport.socket_port import SocketData, SocketPort

_ServerEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class CallerStream:
    """Parses received bytes on demand.

    Bytes that h11 does not need yet stay unacknowledged, so that the socket stops
    reading.
    """

    def __init__(self, port: SocketPort, max_head_bytes: int) -> None:
        self._port = port
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_head_bytes
        )
        self._received: deque[SocketData] = deque()
        self._request_started = False
        self._method = b""
        """Method of the current request; empty before its head is complete."""

    @property
    def port(self) -> SocketPort:
        """Return the socket."""
        return self._port

    @property
    def http(self) -> h11.Connection:
        """Return the h11 connection state."""
        return self._http

    @property
    def request_started(self) -> bool:
        """Return whether bytes of the next request have arrived."""
        return self._request_started or bool(self._received)

    @property
    def can_keep_alive(self) -> bool:
        """Return whether the connection can serve another request."""
        states = (self._http.our_state, self._http.their_state)
        return states == (h11.DONE, h11.DONE)

    def receive(self, message: SocketData) -> None:
        """Queue received bytes until h11 needs them."""
        self._received.append(message)

    def next_event(self) -> _ServerEvent:
        """Return the next event, or NEED_DATA if more bytes must arrive.

        Raises h11.RemoteProtocolError on malformed input.
        """
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._method = event.method
            if event is not h11.NEED_DATA or not self._received:
                return event
            message = self._received.popleft()
            self._request_started = True
            self._port.acknowledge(len(message.data))
            self._http.receive_data(message.data)

    def send(self, *events: h11.Event) -> None:
        """Write events to the socket."""
        parts = [self._http.send(event) or b"" for event in events]
        self._port.write(b"".join(parts))

    def send_response(self, response: h11.Response, body: bytes) -> None:
        """Write a complete response, whose body a HEAD request does not get."""
        parts = [] if self._method == b"HEAD" else [h11.Data(data=body)]
        self.send(response, *parts, h11.EndOfMessage())

    def start_next_cycle(self) -> None:
        """Prepare for the next request."""
        self._method = b""
        self._request_started = bool(self._http.trailing_data[0])
        self._http.start_next_cycle()
