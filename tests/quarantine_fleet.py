"""Test helpers that run quarantine coordinators on a fake channel."""

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


def make_view(
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
    hubs = {name: _hubs(listed, name) for name in DATA_CENTRES}
    is_hub = self_id in hubs[own]
    members = [host for host in listed if listed[host] == own and host != self_id]
    followers = tuple(sorted(members)) if is_hub else ()
    remote = [host for name in DATA_CENTRES if name != own for host in hubs[name]]
    return FleetView(
        self_id,
        own,
        records,
        usable=tuple(sorted(listed)),
        hubs=hubs[own],
        followers=followers,
        primary_followers=followers if self_id == hubs[own][0] else (),
        remote_hubs=tuple(remote) if is_hub else (),
    )


def _hubs(listed: dict[HostId, DataCentre], name: DataCentre) -> tuple[HostId, ...]:
    return tuple(sorted(host for host in listed if listed[host] == name)[:2])


@define
class QuarantineSpread:
    """How many hosts refused a request, and how soon after its second crash."""

    reached: int
    median: float
    last: float
    messages: float
    """Messages per host for the two crashes."""


class ObservedHost:
    """A host that records when it began to refuse a request."""

    def __init__(self, quarantine: QuarantineCoordinator, outbox: Outbox) -> None:
        self.quarantine = quarantine
        self.outbox = outbox
        self.refused_at: float | None = None
        self.watched: Fingerprint | None = None

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        """Forward a message to the coordinator."""
        self.quarantine.handle(message, sender, now)
        self.observe(now)

    def tick(self, now: float) -> None:
        """Forward a tick to the coordinator."""
        self.quarantine.tick(now)

    def resume(self, gap: float, now: float) -> None:
        """Forward the end of a pause to the coordinator."""
        self.quarantine.resume(gap, now)

    def observe(self, now: float) -> None:
        """Record the time if the host has begun to refuse the watched request."""
        if self.watched is None or self.refused_at is not None:
            return
        if self.quarantine.check(self.watched, now).is_err():
            self.refused_at = now


class QuarantineFleet:
    """Quarantine coordinators on a fake channel."""

    def __init__(self, seed: int, count: int = 40, loss: float = 0.0) -> None:
        rng = Random(seed)
        self.channel = FakeChannel(rng, loss=loss)
        self.hosts: dict[HostId, ObservedHost] = {}
        self.listed = {
            HostId(f"h{n:04d}"): DATA_CENTRES[n % len(DATA_CENTRES)]
            for n in range(count)
        }
        for host in self.listed:
            outbox = Outbox()
            quarantine = QuarantineCoordinator(host, outbox, Random(rng.random()))
            quarantine.apply_view(make_view(host, self.listed), 0.0)
            self.hosts[host] = ObservedHost(quarantine, outbox)
            self.channel.attach(host, self.hosts[host], outbox)

    def crash(
        self, host: HostId, request_fingerprint: Fingerprint, server: str
    ) -> None:
        """Fail an upstream connection of a host."""
        now = self.channel.now
        self.hosts[host].quarantine.record_crash(
            request_fingerprint, ServerId(server), now
        )
        self.channel.flush(host)

    def success(self, host: HostId, request_fingerprint: Fingerprint) -> None:
        """Complete a request of a host."""
        self.hosts[host].quarantine.record_success(
            request_fingerprint, self.channel.now
        )
        self.channel.flush(host)

    def count_refusing(self, request_fingerprint: Fingerprint) -> int:
        """Return the number of hosts that refuse a request."""
        now = self.channel.now
        return sum(
            h.quarantine.check(request_fingerprint, now).is_err()
            for h in self.hosts.values()
        )

    def quarantine_events(self) -> int:
        """Return the number of quarantine events since the last call."""
        return sum(
            isinstance(event, RequestQuarantined)
            for host in self.hosts.values()
            for event in host.outbox.take_events()
        )


def make_fingerprint(path: str = "/crash", workspace: str = "workspace") -> Fingerprint:
    return fingerprint(WorkspaceId(workspace), RouteId("route"), "POST", path, b"")


def measure_spread(seed: int, count: int = 40, loss: float = 0.0) -> QuarantineSpread:
    """Crash two servers through two hosts; measure when each host begins to refuse."""
    fleet = QuarantineFleet(seed, count, loss)
    fleet.channel.run(1.0)
    crashing_request = make_fingerprint()
    first, second = HostId("h0000"), HostId("h0001")
    fleet.crash(first, crashing_request, "server-1")
    fleet.channel.run(1.5)
    for observed in fleet.hosts.values():
        observed.watched = crashing_request
    fleet.crash(second, crashing_request, "server-2")
    fleet.hosts[second].observe(fleet.channel.now)
    begun = fleet.channel.now
    fleet.channel.run(begun + 1.0)
    instants = sorted(
        host.refused_at - begun
        for host in fleet.hosts.values()
        if host.refused_at is not None
    )
    messages = fleet.channel.sent_messages / count
    return QuarantineSpread(
        len(instants), instants[len(instants) // 2], instants[-1], messages
    )
