"""The states of servers that a hub sends to its followers."""

from collections.abc import Iterable, Mapping

from attrs import frozen

from catkinspan.coordination.budget import ByteBudget
from catkinspan.coordination.const import TICK_INTERVAL_SECONDS
from catkinspan.coordination.health.assessor import Assessor
from catkinspan.coordination.health.budget import states_size
from catkinspan.coordination.health.const import (
    CATCH_UP_RETRY_SECONDS,
    HUB_CATCH_UP_BYTES_PER_SECOND,
    HUB_LOAD_BYTES_PER_SECOND,
    HUB_URGENT_BYTES_PER_SECOND,
    KEEPALIVE_SECONDS,
    LOAD_REPORT_SECONDS,
    MAX_STATES_PER_MESSAGE,
    MESSAGE_BYTES,
    MIN_STATES_PER_MESSAGE,
    MINOR_STATE_SECONDS,
    NEGLIGIBLE_RISK,
    RISK_STEP,
    RISK_WEIGHT,
    STATE_BYTES,
    STATES_INTERVAL_SECONDS,
    URGENT_RISK_INCREASE,
)
from catkinspan.coordination.health.models import (
    ServerState,
    ServerStates,
    server_digest,
)
from catkinspan.coordination.health.risk import decayed_risk
from catkinspan.state.ids import ServerId


@frozen
class _SentState:
    """The state that followers have of a server."""

    in_flight: int
    risk: float
    at: float
    sequence: int


@frozen
class _Change:
    server: ServerId
    in_flight: int
    risk: float
    risk_increase: float
    load_difference: int
    is_new: bool

    @property
    def is_risk_changed(self) -> bool:
        """Return whether the risk differs by a step from what followers have."""
        return self.is_new or abs(self.risk_increase) >= RISK_STEP

    def is_load_changed(self, slots: int) -> bool:
        """Return whether the change of the load matters to the choice of servers."""
        previous = self.in_flight - self.load_difference
        is_crossed = (self.in_flight >= slots) != (previous >= slots)
        return is_crossed or abs(self.load_difference) >= slots

    @property
    def priority(self) -> float:
        """Return the weight of the change; those of large weight are sent first."""
        return RISK_WEIGHT * abs(self.risk_increase) + abs(self.load_difference)


class StatePublisher:
    """Chooses the states to send, so that a byte budget is kept at any fleet size.

    Only states are sent that differ from what the followers have; followers let a risk
    decay by themselves. Risks that have risen go first and have a budget of their own.
    Each message has a sequence number, by which a follower detects a loss and asks for
    the states that have changed since.
    """

    def __init__(self, assessor: Assessor) -> None:
        self._assessor = assessor
        self._sent: dict[ServerId, _SentState] = {}
        self._pending: dict[ServerId, None] = {}
        self._sequence = 0
        self._load_budget = ByteBudget(HUB_LOAD_BYTES_PER_SECOND)
        self._urgent_budget = ByteBudget(HUB_URGENT_BYTES_PER_SECOND)
        self._catch_up_budget = ByteBudget(
            HUB_CATCH_UP_BYTES_PER_SECOND, CATCH_UP_RETRY_SECONDS
        )
        self._load_message_at = float("-inf")
        self._minor_states_at = float("-inf")
        self._message_at = float("-inf")

    def next_message(
        self, receivers: int, local_slots: Mapping[ServerId, int], now: float
    ) -> ServerStates | None:
        """Return the message that is due for all followers, None if there is none.

        `local_slots` has the servers of the data centre. Loads of others, and small
        changes of load, are sent at a longer interval.
        """
        self._pending.update(dict.fromkeys(self._assessor.take_changed()))
        return self._urgent_message(receivers, now) or self._load_message(
            receivers, local_slots, now
        )

    def _urgent_message(self, receivers: int, now: float) -> ServerStates | None:
        if not self._assessor.has_failed or not self._urgent_budget.is_available(now):
            return None
        changes = [self._change(s, now) for s in self._assessor.take_failed()]
        urgent = [c for c in changes if c.risk_increase >= URGENT_RISK_INCREASE]
        if not urgent:
            return None
        return self._publish(urgent, self._urgent_budget, receivers, now)

    def _load_message(
        self, receivers: int, local_slots: Mapping[ServerId, int], now: float
    ) -> ServerStates | None:
        # Half a tick of tolerance, since ticks arrive late.
        earliest = self._load_message_at + LOAD_REPORT_SECONDS
        if now < earliest - TICK_INTERVAL_SECONDS / 2:
            return None
        if not self._load_budget.is_available(now):
            return None
        changes = self._pending_changes(local_slots, now)
        if not changes and now - self._message_at < KEEPALIVE_SECONDS:
            return None
        self._load_message_at = now
        return self._publish(changes, self._load_budget, receivers, now)

    def _pending_changes(
        self, local_slots: Mapping[ServerId, int], now: float
    ) -> list[_Change]:
        """Return the changes to send, and forget servers without any."""
        includes_minor = now - self._minor_states_at >= MINOR_STATE_SECONDS
        if includes_minor:
            self._minor_states_at = now
        found = []
        for server in list(self._pending):
            change = self._change(server, now)
            if not change.is_risk_changed and not change.load_difference:
                del self._pending[server]
                continue
            slots = local_slots.get(server)
            is_load_due = slots is not None and change.is_load_changed(slots)
            if includes_minor or change.is_risk_changed or is_load_due:
                found.append(change)
        return found

    def _publish(
        self, changes: list[_Change], budget: ByteBudget, receivers: int, now: float
    ) -> ServerStates:
        """Return a message with the most important changes, and charge the budget."""
        changes.sort(key=lambda change: change.priority, reverse=True)
        del changes[_max_states(budget, receivers) :]
        first, self._sequence = self._sequence, self._sequence + 1
        for change in changes:
            self._pending.pop(change.server, None)
            self._sent[change.server] = _SentState(
                change.in_flight, change.risk, now, self._sequence
            )
        budget.charge(states_size(len(changes), receivers), now)
        self._message_at = now
        return self._message(first, self._sequence, (c.server for c in changes), now)

    def catch_up(self, since: int, now: float) -> ServerStates | None:
        """Return the states that followers got after a sequence number.

        The message holds the oldest ones if there are too many, and its sequence number
        tells how far it reaches. There is none without budget.
        """
        if since >= self._sequence or not self._catch_up_budget.is_available(now):
            return None
        missed = sorted(
            (sent.sequence, server)
            for server, sent in self._sent.items()
            if sent.sequence > since
        )
        last = self._sequence
        if len(missed) > MAX_STATES_PER_MESSAGE:
            # States of one sequence number were one message, so that they all fit.
            last = missed[MAX_STATES_PER_MESSAGE][0] - 1
        servers = [server for sequence, server in missed if sequence <= last]
        self._catch_up_budget.charge(states_size(len(servers), 1), now)
        return self._message(since, last, servers, now)

    def _message(
        self, first: int, last: int, servers: Iterable[ServerId], now: float
    ) -> ServerStates:
        states = tuple(self._sent_state(server, now) for server in servers)
        return ServerStates(first, last, round(now * 1000), states)

    def _sent_state(self, server: ServerId, now: float) -> ServerState:
        sent = self._sent[server]
        risk = decayed_risk(sent.risk, now - sent.at)
        return ServerState(server_digest(server), sent.in_flight, _to_step(risk))

    def _change(self, server: ServerId, now: float) -> _Change:
        """Compare the current state of a server to the one that followers have."""
        in_flight, risk = self._assessor.load_and_risk(server, now)
        sent = self._sent.get(server)
        rounded_risk = _to_step(risk)
        if sent is None:
            return _Change(server, in_flight, rounded_risk, risk, in_flight, True)
        known_risk = decayed_risk(sent.risk, now - sent.at)
        return _Change(
            server,
            in_flight,
            rounded_risk,
            max(risk, NEGLIGIBLE_RISK) - max(known_risk, NEGLIGIBLE_RISK),
            in_flight - sent.in_flight,
            False,
        )

    def keep_only(self, servers: set[ServerId]) -> None:
        """Drop all servers but the given ones."""
        for table in (self._sent, self._pending):
            for server in table.keys() - servers:
                del table[server]


def _max_states(budget: ByteBudget, receivers: int) -> int:
    """Return the states for which the budget pays at the intended interval."""
    size = budget.bytes_per_second * STATES_INTERVAL_SECONDS / max(1, receivers)
    states = int((size - MESSAGE_BYTES) / STATE_BYTES)
    return min(MAX_STATES_PER_MESSAGE, max(MIN_STATES_PER_MESSAGE, states))


def _to_step(risk: float) -> float:
    return round(round(risk / RISK_STEP) * RISK_STEP, 2)
