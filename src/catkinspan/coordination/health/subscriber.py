"""The states of servers that a host has received from its hubs."""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from catkinspan.coordination.health.const import (
    CATCH_UP_RETRY_SECONDS,
    CLOCK_DRIFT_PER_SECOND,
    MAX_STATE_AGE_SECONDS,
)
from catkinspan.coordination.health.models import ServerStates
from catkinspan.coordination.health.risk import decayed_risk
from catkinspan.coordination.models import Sender
from catkinspan.state.ids import HostId


@frozen
class ReceivedState:
    """State of a server as of the time at which a hub sent it."""

    in_flight: int
    risk: float
    at: float
    sent_ms: int
    """The same time on the hub's clock."""

    own_in_flight_included: int
    """Requests of this host that `in_flight` includes."""

    def risk_at(self, now: float) -> float:
        """Return the risk, which decays without evidence."""
        return decayed_risk(self.risk, now - self.at)


class _QueueingDelay:
    """Estimates how long messages of a peer were delayed on their way.

    The clocks of two hosts have no common zero. The least difference of sending and
    arrival is that of a message without delay (as in LEDBAT, RFC 6817).
    """

    def __init__(self) -> None:
        self._baseline = float("inf")
        self._updated_at = 0.0

    def record(self, sent_at: float, now: float) -> float:
        """Return the delay in seconds of a message that arrived now."""
        offset = now - sent_at
        drift = (now - self._updated_at) * CLOCK_DRIFT_PER_SECOND
        self._baseline = min(self._baseline + drift, offset)
        self._updated_at = now
        return offset - self._baseline


@define
class _HubStream:
    """The messages of one hub process."""

    incarnation: int
    sequence: int = 0
    """Up to which all messages have arrived."""

    current_at: float = float("-inf")
    """Time at which the hub sent its latest message, on this host's clock."""

    newest: int = 0
    """Up to which the hub has sent messages, as far as this host knows."""

    asked_at: float = float("-inf")
    """When missed states were last asked for."""

    states: dict[int, ReceivedState] = field(factory=dict)
    delay: _QueueingDelay = field(factory=_QueueingDelay)

    def is_current(self, now: float) -> bool:
        """Return whether the hub's states take precedence over own estimates."""
        return now - self.current_at <= MAX_STATE_AGE_SECONDS


@frozen
class _CurrentStreams:
    """The streams of the current hubs at one time."""

    hubs: tuple[HostId, ...]
    now: float
    states: tuple[Mapping[int, ReceivedState], ...]
    age: float | None


class StateSubscriber:
    """Keeps the states of each hub, ordered by sequence number."""

    def __init__(self) -> None:
        self._streams: dict[HostId, _HubStream] = {}
        self._current: _CurrentStreams | None = None

    def receive(
        self,
        message: ServerStates,
        sender: Sender,
        own_in_flight: dict[int, int],
        now: float,
    ) -> list[int]:
        """Store the states of a message; return the servers whose risk has changed.

        `own_in_flight` has the requests of this host in its last report, by server.
        """
        self._current = None
        stream = self._streams.get(sender.host)
        if stream is None or stream.incarnation != sender.incarnation:
            stream = self._streams[sender.host] = _HubStream(sender.incarnation)
        if message.last <= stream.sequence:
            return []
        stream.newest = max(stream.newest, message.last)
        if message.first <= stream.sequence:
            stream.sequence = message.last
        at = now - stream.delay.record(message.sent_ms / 1000.0, now)
        stream.current_at = max(stream.current_at, at)
        changed = []
        for state in message.states:
            known = stream.states.get(state.server)
            if known is not None and known.sent_ms > message.sent_ms:
                continue
            included = min(own_in_flight.get(state.server, 0), state.in_flight)
            stream.states[state.server] = ReceivedState(
                state.in_flight, state.risk, at, message.sent_ms, included
            )
            if known is None or known.risk != state.risk:
                changed.append(state.server)
        return changed

    def missed_states(
        self, hubs: Iterable[HostId], now: float
    ) -> list[tuple[HostId, int]]:
        """Return hubs to ask for missed states, with the sequence number so far.

        A hub is asked again after `CATCH_UP_RETRY_SECONDS`.
        """
        found = []
        for hub in hubs:
            stream = self._streams.get(hub)
            if stream is None or stream.sequence >= stream.newest:
                continue
            if now - stream.asked_at >= CATCH_UP_RETRY_SECONDS:
                stream.asked_at = now
                found.append((hub, stream.sequence))
        return found

    def state(
        self, server: int, hubs: tuple[HostId, ...], now: float
    ) -> ReceivedState | None:
        """Return the state of a server from the first current hub that has one."""
        for states in self._current_streams(hubs, now).states:
            state = states.get(server)
            if state is not None:
                return state
        return None

    def age(self, hubs: tuple[HostId, ...], now: float) -> float | None:
        """Return the age in seconds of the latest news of a current hub, if any."""
        return self._current_streams(hubs, now).age

    def _current_streams(self, hubs: tuple[HostId, ...], now: float) -> _CurrentStreams:
        """Return the current streams, which are the same for all servers."""
        known = self._current
        if known is not None and known.now == now and known.hubs is hubs:
            return known
        streams = [
            stream
            for hub in hubs
            if (stream := self._streams.get(hub)) and stream.is_current(now)
        ]
        self._current = _CurrentStreams(
            hubs,
            now,
            tuple(stream.states for stream in streams),
            min((now - stream.current_at for stream in streams), default=None),
        )
        return self._current

    def keep_only(self, hubs: Iterable[HostId]) -> None:
        """Drop the states of hosts that are no longer hubs."""
        self._current = None
        for host in self._streams.keys() - set(hubs):
            del self._streams[host]

    def clear(self) -> None:
        """Drop all states."""
        self._current = None
        self._streams.clear()
