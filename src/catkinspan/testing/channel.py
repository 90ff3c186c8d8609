"""A fake message channel between hosts, in virtual time.

It delays, drops and duplicates messages with a seeded random source, blocks paths in
one direction, and runs the ticks of each host. It is meant for focused tests of
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
    """Interface that a host provides to the channel."""

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Process a message from a peer."""

    def tick(self, now: float) -> None:
        """Perform the work that is due."""

    def resume(self, gap: float, now: float) -> None:
        """React to a pause of the process that took `gap` seconds."""


@define
class AttachedHost:
    """A host that is attached to the channel."""

    node: ChannelNode
    outbox: Outbox
    incarnation: int = 1
    address: Address | None = None
    paused_since: float | None = None
    clock_rate: float = 1.0
    """Seconds on the host's clock for each virtual second."""

    clock_offset: float = 0.0
    queued_messages: list[tuple[PeerMessage, Sender]] = field(factory=list)
    """Messages that arrived during a pause; delivered when the host wakes."""

    def local_time(self, now: float) -> float:
        """Convert virtual time to the host's monotonic time."""
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
        late_share: float = 0.0,
        late_delay: tuple[float, float] = (0.5, 10.0),
    ) -> None:
        """Create a channel without hosts.

        `delay` is the range of the delay in seconds; `path_delay` returns it for each
        path instead. `loss`, `duplication` and `late_share` are shares of the
        messages; late messages take `late_delay`. `on_send` is called for each
        message, lost ones included.
        """
        self._late_share = late_share
        self._late_delay = late_delay
        self._rng = rng
        self._delay = delay
        self._loss = loss
        self._duplication = duplication
        self._path_delay = path_delay
        self._on_send = on_send
        self._attached_hosts: dict[HostId, AttachedHost] = {}
        self._cuts: set[tuple[HostId, HostId]] = set()
        self._order = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.now = 0.0
        self.sent_messages = 0
        self.sent_by_type: dict[str, int] = {}

    @property
    def attached_hosts(self) -> Mapping[HostId, AttachedHost]:
        """Return the attached hosts."""
        return self._attached_hosts

    def set_send_callback(
        self, on_send: Callable[[HostId, HostId, PeerMessage], None]
    ) -> None:
        """Call `on_send` for each message sent from now on."""
        self._on_send = on_send

    def set_path_delay(
        self, path_delay: Callable[[HostId, HostId], tuple[float, float]]
    ) -> None:
        """Use `path_delay` for the messages sent from now on."""
        self._path_delay = path_delay

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
        attached = AttachedHost(
            node,
            outbox,
            incarnation,
            address,
            clock_rate=clock_rate,
            clock_offset=clock_offset,
        )
        self._attached_hosts[host] = attached
        self.call_at(
            self.now + self._rng.random() * TICK_INTERVAL_SECONDS, self._make_tick(host)
        )

    def detach(self, host: HostId) -> None:
        """Remove a host at once, as a crash does."""
        del self._attached_hosts[host]

    def cut(self, source: HostId, target: HostId) -> None:
        """Drop all messages from `source` to `target`."""
        self._cuts.add((source, target))

    def is_connected(self, one: HostId, other: HostId) -> bool:
        """Return whether messages pass between two hosts in both directions."""
        return not self._cuts & {(one, other), (other, one)}

    def heal(self, source: HostId, target: HostId) -> None:
        """Undo a cut."""
        self._cuts.discard((source, target))

    def partition(self, one: Iterable[HostId], other: Iterable[HostId]) -> None:
        """Cut all paths between two groups, in both directions."""
        others = list(other)
        for a in one:
            for b in others:
                self._cuts.update({(a, b), (b, a)})

    def heal_all(self) -> None:
        """Undo all cuts."""
        self._cuts.clear()

    def pause(self, host: HostId) -> None:
        """Pause a host's process; messages to it are queued."""
        self._attached_hosts[host].paused_since = self.now

    def wake(self, host: HostId) -> None:
        """Wake a paused host; queued messages are delivered before its next tick."""
        attached = self._attached_hosts[host]
        if attached.paused_since is None:
            return
        attached.paused_since = None
        queued_messages, attached.queued_messages = attached.queued_messages, []
        for message, sender in queued_messages:
            attached.node.handle(message, sender, attached.local_time(self.now))
        self.flush(host)

    def call_at(self, when: float, action: Callable[[], Any]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self, until: float) -> None:
        """Run all actions due up to a virtual time, and advance to it."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def flush(self, host: HostId) -> None:
        """Send the messages in a host's outbox."""
        attached = self._attached_hosts[host]
        for envelope in attached.outbox.take_envelopes():
            target = self._resolve_target(envelope.to)
            if target is not None:
                self._send(host, attached.incarnation, target, envelope.message)

    def _resolve_target(self, target: HostId | Address) -> HostId | None:
        """Return the target host; None if no host has the address."""
        if not isinstance(target, Address):
            return target
        matches = (
            host
            for host, attached in self._attached_hosts.items()
            if attached.address == target
        )
        return next(matches, None)

    def _send(
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
        delay_of = self._path_delay
        path_delay_range = delay_of(source, target) if delay_of else self._delay
        for _ in range(copies):
            is_late = self._late_share > 0 and self._rng.random() < self._late_share
            delay = self._late_delay if is_late else path_delay_range
            when = self.now + self._rng.uniform(*delay)
            self.call_at(when, lambda: self._deliver(target, message, sender))

    def _deliver(self, target: HostId, message: PeerMessage, sender: Sender) -> None:
        attached = self._attached_hosts.get(target)
        if attached is None:
            return
        if attached.paused_since is not None:
            attached.queued_messages.append((message, sender))
            return
        attached.node.handle(message, sender, attached.local_time(self.now))
        self.flush(target)

    def _make_tick(self, host: HostId) -> Callable[[], None]:
        attached = self._attached_hosts[host]

        def tick() -> None:
            if self._attached_hosts.get(host) is not attached:
                return
            if attached.paused_since is None:
                attached.node.tick(attached.local_time(self.now))
                self.flush(host)
            self.call_at(self.now + TICK_INTERVAL_SECONDS, tick)

        return tick
