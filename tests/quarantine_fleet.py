"""Quarantine coordinators on a fake channel, for tests."""

from random import Random

from attrs import define

from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.quarantine.coordinator import QuarantineCoordinator
from catkinspan.coordination.quarantine.models import (
    Fingerprint,
    RequestQuarantined,
    fingerprint,
)
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, RouteId, ServerId, WorkspaceId
from catkinspan.state.tree import Address
from catkinspan.testing.channel import FakeChannel

DATA_CENTRES = tuple(DataCentre(name) for name in ("dc0", "dc1", "dc2"))


def view_of(
    self_id: HostId,
    listed: dict[HostId, DataCentre],
    incarnations: dict[HostId, int] | None = None,
) -> FleetView:
    numbers = incarnations or {}
    records = {
        host: HostRecord(
            host, data_centre, Address("127.0.0.1", 1), incarnation=numbers.get(host, 1)
        )
        for host, data_centre in listed.items()
    }
    own = listed.get(self_id, DATA_CENTRES[0])
    return FleetView(self_id, own, records, usable=tuple(sorted(listed)))


@define
class Spread:
    """When the hosts of a fleet came to refuse a request, after its second crash."""

    reached: int
    median: float
    last: float
    messages: float
    """Messages sent by each host for the two crashes."""


class Watch:
    """A host with a quarantine, and the instant at which it began to refuse."""

    def __init__(self, node: QuarantineCoordinator, outbox: Outbox) -> None:
        self.node = node
        self.outbox = outbox
        self.refused_at: float | None = None
        self.awaited: Fingerprint | None = None

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Pass a message on."""
        self.node.handle(message, sender, now)
        self.look(now)

    def tick(self, now: float) -> None:
        """Pass a tick on."""
        self.node.tick(now)

    def resume(self, gap: float, now: float) -> None:
        """Pass a pause on."""
        self.node.resume(gap, now)

    def look(self, now: float) -> None:
        """Note whether the host refuses the awaited request."""
        if self.awaited is None or self.refused_at is not None:
            return
        if self.node.check(self.awaited, now).is_err():
            self.refused_at = now


class QuarantineFleet:
    """Quarantine coordinators on a fake channel."""

    def __init__(self, seed: int, count: int = 40, loss: float = 0.0) -> None:
        rng = Random(seed)
        self.channel = FakeChannel(rng, loss=loss)
        self.hosts: dict[HostId, Watch] = {}
        self.listed = {
            HostId(f"h{n:04d}"): DATA_CENTRES[n % len(DATA_CENTRES)]
            for n in range(count)
        }
        for host in self.listed:
            outbox = Outbox()
            node = QuarantineCoordinator(host, outbox, Random(rng.random()))
            node.apply_view(view_of(host, self.listed), 0.0)
            self.hosts[host] = Watch(node, outbox)
            self.channel.attach(host, self.hosts[host], outbox)

    def crash(self, host: HostId, print_: Fingerprint, server: str) -> None:
        """Let an upstream connection of a host die."""
        now = self.channel.now
        self.hosts[host].node.record_crash(print_, ServerId(server), now)
        self.channel.flush(host)

    def success(self, host: HostId, print_: Fingerprint) -> None:
        """Let a request of a host succeed."""
        self.hosts[host].node.record_success(print_, self.channel.now)
        self.channel.flush(host)

    def refusing(self, print_: Fingerprint) -> int:
        """Return how many hosts refuse a request."""
        now = self.channel.now
        return sum(h.node.check(print_, now).is_err() for h in self.hosts.values())

    def quarantine_events(self) -> int:
        """Return and forget how many hosts reported a quarantine."""
        return sum(
            isinstance(event, RequestQuarantined)
            for host in self.hosts.values()
            for event in host.outbox.take_events()
        )


def make_print(path: str = "/crash", workspace: str = "workspace") -> Fingerprint:
    return fingerprint(WorkspaceId(workspace), RouteId("route"), "POST", path, b"")


def quarantine_spread(seed: int, count: int = 40, loss: float = 0.0) -> Spread:
    """Crash two servers through two hosts and watch the fleet in steps of 1 ms."""
    fleet = QuarantineFleet(seed, count, loss)
    fleet.channel.run(1.0)
    culprit = make_print()
    first, second = HostId("h0000"), HostId("h0001")
    fleet.crash(first, culprit, "server-1")
    fleet.channel.run(1.5)
    for watch in fleet.hosts.values():
        watch.awaited = culprit
    fleet.crash(second, culprit, "server-2")
    fleet.hosts[second].look(fleet.channel.now)
    begun = fleet.channel.now
    fleet.channel.run(begun + 1.0)
    instants = sorted(
        host.refused_at - begun
        for host in fleet.hosts.values()
        if host.refused_at is not None
    )
    messages = fleet.channel.sent_messages / count
    return Spread(len(instants), instants[len(instants) // 2], instants[-1], messages)
