"""Embeds the coordination layer: three hosts share the request rate of a workspace.

Nothing here opens a socket: `FakeChannel` carries the messages in virtual time. In your
own program, send the envelopes that `outbox.take_envelopes()` returns over any
transport, pass received messages to `handle`, and call `tick` every
`TICK_INTERVAL_SECONDS`.
"""

from random import Random

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.policy import PublishedRates
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import Address, SettingsTree, Workspace
from catkinspan.testing.channel import FakeChannel

HOSTS = tuple(HostId(f"host-{number}") for number in (1, 2, 3))
WORKSPACE = WorkspaceId("museum")
RATE_PER_SECOND = 30.0
BURST_REQUESTS = 30.0
OFFERED_PER_SECOND = 100
SECONDS = 30
EXCHANGE_OVERSHOOT_REQUESTS = 30
"""Requests that hosts may admit before they learn what the others admitted; paid back
later."""


def fleet_view(host: HostId) -> FleetView:
    """Return a view in which all hosts are alive and the first one is the hub."""
    data_centre = DataCentre("tirano")
    records = {
        other: HostRecord(other, data_centre, Address("127.0.0.1", 9700), incarnation=1)
        for other in HOSTS
    }
    others = tuple(other for other in HOSTS if other != host)
    followers = others if host == HOSTS[0] else ()
    return FleetView(
        self_id=host,
        self_data_centre=data_centre,
        hosts=records,
        usable=HOSTS,
        hubs=HOSTS[:1],
        followers=followers,
        primary_followers=followers,
        known_count=len(HOSTS),
        alive_count=len(HOSTS),
    )


def main() -> None:
    """Offer more than the rate at one host, and print how many requests it admits."""
    channel = FakeChannel(Random(1))
    hosts: dict[HostId, RateCoordinator] = {}
    settings = SettingsTree(
        workspaces={
            WORKSPACE: Workspace(WORKSPACE, (), RATE_PER_SECOND, BURST_REQUESTS)
        }
    )
    for number, host in enumerate(HOSTS):
        outbox = Outbox()
        rates = RateCoordinator(host, 1, outbox, Random(number), PublishedRates())
        rates.apply_tree(settings, channel.now)
        rates.apply_view(fleet_view(host), channel.now)
        channel.attach(host, rates, outbox)
        hosts[host] = rates

    entry_host = hosts[HOSTS[1]]
    admitted = 0
    for number in range(SECONDS * OFFERED_PER_SECOND):
        channel.run((number + 1) / OFFERED_PER_SECOND)
        admitted += entry_host.admit(WORKSPACE, channel.now)

    allowed = RATE_PER_SECOND * SECONDS + BURST_REQUESTS + EXCHANGE_OVERSHOOT_REQUESTS
    print(f"offered {SECONDS * OFFERED_PER_SECOND} requests in {SECONDS} s at one host")
    print(f"admitted {admitted}; rate, burst and one exchange allow {allowed:.0f}")


if __name__ == "__main__":
    main()
