"""Builders that the tests of the rates concern share."""

from random import Random

from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.shards import role_name
from catkinspan.coordination.rendezvous import owner
from catkinspan.state.hosts import FleetView, HostRecord, HostStatus
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import Address, FleetSettings, SettingsTree, Workspace

A, B, C = HostId("a"), HostId("b"), HostId("c")
SHOP = WorkspaceId("shop")
LIMITS = Workspace(SHOP, (), 10.0, 20.0)
LIFE = 1_767_225_600_000


def view_of(
    self_id: HostId,
    listed: tuple[HostId, ...],
    slots: int,
    status: HostStatus = HostStatus.ALIVE,
    incarnation: int = 0,
) -> FleetView:
    address = Address("127.0.0.1", 1)
    centre = DataCentre("dc")
    records = {host: HostRecord(host, centre, address) for host in listed}
    records[self_id] = HostRecord(self_id, centre, address, status, incarnation)
    return FleetView(self_id, centre, records, listed, slots, listed)


def tree_of(limits: Workspace = LIMITS) -> SettingsTree:
    fleet = FleetSettings(max_hosts=2, rate_shards=1)
    return SettingsTree(fleet=fleet, workspaces={limits.id: limits})


def grantor_first(hosts: tuple[HostId, ...]) -> tuple[HostId, ...]:
    """Return the hosts with the grantor of the only shard first."""
    holder = owner(role_name(0), hosts)
    assert holder is not None
    return (holder, *(host for host in hosts if host != holder))


class Node:
    """One coordinator whose messages the test carries by hand."""

    def __init__(
        self, host: HostId, listed: tuple[HostId, ...], slots: int = 2, life: int = LIFE
    ) -> None:
        self.host, self.life, self.outbox = host, life, Outbox()
        self.rates = RateCoordinator(host, life, self.outbox, Random(1))
        self.rates.apply_tree(tree_of(), 0.0)
        self.rates.apply_view(view_of(host, listed, slots), 0.0)

    @property
    def origin(self) -> Origin:
        return Origin(self.host, self.life)

    def sent(self, kind: type[PeerMessage]) -> list[PeerMessage]:
        envelopes = self.outbox.take_envelopes()
        return [e.message for e in envelopes if isinstance(e.message, kind)]


def carry(nodes: list[Node], now: float) -> None:
    """Tick all nodes and deliver their messages until none is left."""
    by_id = {node.host: node for node in nodes}
    for node in nodes:
        node.rates.tick(now)
    for _ in range(10):
        for node in nodes:
            for envelope in node.outbox.take_envelopes():
                if envelope.to in by_id:
                    target = by_id[envelope.to]
                    target.rates.handle(envelope.message, node.origin, now)


def carry_until(nodes: list[Node], end: float, start: float = 0.0) -> None:
    steps = int((end - start) / 0.05)
    for step in range(steps + 1):
        carry(nodes, start + step * 0.05)
