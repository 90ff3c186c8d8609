"""A fake message channel between hosts, in virtual time.

It delays, loses and duplicates messages with a seeded random source, cuts paths in
one direction, and runs the ticks of each host. It serves focused tests of
coordinators; it does not model sockets or processor time.
"""

import heapq
from collections.abc import Callable, Iterable, Mapping
from itertools import count
from random import Random
from typing import Any, Protocol

from attrs import define, field

from catkinspan.coordination.const import TICK_INTERVAL_SECONDS
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import HostId
from catkinspan.state.tree import Address


class ChannelNode(Protocol):
    """What the channel needs of a host."""

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a message from a peer."""

    def tick(self, now: float) -> None:
        """Do what is due."""

    def resume(self, gap: float, now: float) -> None:
        """React to a pause of the process."""


@define
class Member:
    """A host that is attached to the channel."""

    node: ChannelNode
    outbox: Outbox
    incarnation: int = 1
    address: Address | None = None
    paused_since: float | None = None
    clock_rate: float = 1.0
    """Seconds on the host's clock for each virtual second."""

    clock_offset: float = 0.0
    held: list[tuple[PeerMessage, Sender]] = field(factory=list)
    """Messages that arrived during a pause; delivered on waking."""

    def local_time(self, now: float) -> float:
        """Return the host's own monotonic time."""
        return now * self.clock_rate + self.clock_offset


class FakeChannel:
    """Carries messages between coordinators in virtual time.

    Example::

        channel = FakeChannel(Random(1))
        channel.attach(HostId("a"), node_a, outbox_a)
        channel.cut(HostId("a"), HostId("b"))
        channel.run(10.0)
    """

    def __init__(
        self,
        rng: Random,
        delay: tuple[float, float] = (0.001, 0.004),
        loss: float = 0.0,
        duplication: float = 0.0,
        path_delay: Callable[[HostId, HostId], tuple[float, float]] | None = None,
        on_send: Callable[[HostId, HostId, PeerMessage], None] | None = None,
        late: float = 0.0,
        late_delay: tuple[float, float] = (0.5, 10.0),
    ) -> None:
        """Create a channel without hosts.

        `path_delay` gives the range of the delay of a path in seconds, in place of
        `delay`. A share `late` of the messages takes `late_delay` instead. `on_send`
        is called for each message, lost ones included.
        """
        self._late = late
        self._late_delay = late_delay
        self._rng = rng
        self._delay = delay
        self._loss = loss
        self._duplication = duplication
        self._path_delay = path_delay
        self._on_send = on_send
        self._members: dict[HostId, Member] = {}
        self._cuts: set[tuple[HostId, HostId]] = set()
        self._order = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.now = 0.0
        self.sent_messages = 0
        self.sent_by_type: dict[str, int] = {}

    @property
    def members(self) -> Mapping[HostId, Member]:
        """Return the attached hosts."""
        return self._members

    def watch_sends(
        self, on_send: Callable[[HostId, HostId, PeerMessage], None]
    ) -> None:
        """Call `on_send` for each message from now on."""
        self._on_send = on_send

    def attach(
        self,
        host: HostId,
        node: ChannelNode,
        outbox: Outbox,
        incarnation: int = 1,
        clock_rate: float = 1.0,
        clock_offset: float = 0.0,
        address: Address | None = None,
    ) -> None:
        """Attach a host and start its ticks at a random phase."""
        member = Member(
            node,
            outbox,
            incarnation,
            address,
            clock_rate=clock_rate,
            clock_offset=clock_offset,
        )
        self._members[host] = member
        self.at(
            self.now + self._rng.random() * TICK_INTERVAL_SECONDS, self._ticker(host)
        )

    def detach(self, host: HostId) -> None:
        """Remove a host at once, as a crash does."""
        del self._members[host]

    def cut(self, source: HostId, target: HostId) -> None:
        """Lose all messages from `source` to `target`."""
        self._cuts.add((source, target))

    def connects(self, one: HostId, other: HostId) -> bool:
        """Return whether messages pass between two hosts in both directions."""
        return not self._cuts & {(one, other), (other, one)}

    def heal(self, source: HostId, target: HostId) -> None:
        """End a cut."""
        self._cuts.discard((source, target))

    def partition(self, one: Iterable[HostId], other: Iterable[HostId]) -> None:
        """Cut all paths between two groups, in both directions."""
        others = list(other)
        for a in one:
            for b in others:
                self._cuts.update({(a, b), (b, a)})

    def heal_all(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def pause(self, host: HostId) -> None:
        """Stop a host's process; messages to it wait."""
        self._members[host].paused_since = self.now

    def wake(self, host: HostId) -> None:
        """Wake a paused host; held messages arrive before its next tick."""
        member = self._members[host]
        if member.paused_since is None:
            return
        member.paused_since = None
        held, member.held = member.held, []
        for message, sender in held:
            member.node.handle(message, sender, member.local_time(self.now))
        self.flush(host)

    def at(self, when: float, action: Callable[[], Any]) -> None:
        """Run an action at a virtual time."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self, until: float) -> None:
        """Run all that is due up to a virtual time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def flush(self, host: HostId) -> None:
        """Put the messages in a host's outbox on their way."""
        member = self._members[host]
        for envelope in member.outbox.take_envelopes():
            target = self._host_at(envelope.to)
            if target is not None:
                self._post(host, member.incarnation, target, envelope.message)

    def _host_at(self, target: HostId | Address) -> HostId | None:
        """Return the host that is meant; None if nobody has the address."""
        if not isinstance(target, Address):
            return target
        found = (h for h, m in self._members.items() if m.address == target)
        return next(found, None)

    def _post(
        self, source: HostId, incarnation: int, target: HostId, message: PeerMessage
    ) -> None:
        self.sent_messages += 1
        name = type(message).__name__
        self.sent_by_type[name] = self.sent_by_type.get(name, 0) + 1
        if self._on_send:
            self._on_send(source, target, message)
        if (source, target) in self._cuts or self._rng.random() < self._loss:
            return
        copies = 2 if self._rng.random() < self._duplication else 1
        sender = Sender(source, incarnation)
        path = self._path_delay
        usual = path(source, target) if path else self._delay
        for _ in range(copies):
            is_late = self._late > 0 and self._rng.random() < self._late
            delay = self._late_delay if is_late else usual
            when = self.now + self._rng.uniform(*delay)
            self.at(when, lambda: self._deliver(target, message, sender))

    def _deliver(self, target: HostId, message: PeerMessage, sender: Sender) -> None:
        member = self._members.get(target)
        if member is None:
            return
        if member.paused_since is not None:
            member.held.append((message, sender))
            return
        member.node.handle(message, sender, member.local_time(self.now))
        self.flush(target)

    def _ticker(self, host: HostId) -> Callable[[], None]:
        member = self._members[host]

        def tick() -> None:
            if self._members.get(host) is not member:
                return
            if member.paused_since is None:
                member.node.tick(member.local_time(self.now))
                self.flush(host)
            self.at(self.now + TICK_INTERVAL_SECONDS, tick)

        return tick
