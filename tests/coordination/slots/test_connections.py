"""Guards against more connections to a server than it takes."""

import pytest

from catkinspan.coordination.slots.connections import ConnectionShares
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, ServerId
from catkinspan.state.tree import Address, Upstream

ADDRESS = Address("127.0.0.1", 1)


def shares(hosts: int, centres: int, max_hosts: int) -> ConnectionShares:
    records = {
        HostId(f"h{i:04}"): HostRecord(
            HostId(f"h{i:04}"), DataCentre(f"dc{i % centres}"), ADDRESS
        )
        for i in range(hosts)
    }
    view = FleetView(
        HostId("h0000"), DataCentre("dc0"), records, tuple(sorted(records)), max_hosts
    )
    return ConnectionShares(view)


@pytest.mark.parametrize(
    ("hosts", "centres", "connections"),
    [(40, 3, 350), (32, 3, 330), (40, 3, 20), (1100, 13, 350), (1100, 2, 350)],
)
def test_connections_stay_within_the_published_number(
    hosts: int, centres: int, connections: int
) -> None:
    # Guards against a fleet that opens more connections than the server allows, and
    # against a server or a host that is left without any.
    split = shares(hosts, centres, hosts)
    used: dict[HostId, int] = {}
    for i in range(60):
        centre = DataCentre(f"dc{i % centres}")
        server = Upstream(ServerId(f"s{i}"), ADDRESS, centre, 3, connections)
        limits = {
            HostId(f"h{n:04}"): split.limit(server, HostId(f"h{n:04}"))
            for n in range(hosts)
        }
        assert 0.4 * connections <= sum(limits.values()) <= connections
        for host, limit in limits.items():
            used[host] = used.get(host, 0) + (limit > 0)
    assert min(used.values()) >= 1


def test_missing_hosts_leave_their_part_unused() -> None:
    # Guards against hosts whose views differ and that together exceed the number.
    server = Upstream(ServerId("s"), ADDRESS, DataCentre("dc0"), 3, 350)
    assert shares(32, 3, 40).limit(server, HostId("h0000")) == 350 // 40
