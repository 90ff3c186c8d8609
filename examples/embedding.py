"""Three hosts share one workspace's rate, with the coordination parts as a library.

Nothing here opens a socket: `FakeChannel` carries the messages in virtual time. In a
program of your own, deliver what `outbox.take_envelopes()` returns by any transport,
pass what arrives to `handle`, and call `tick` every `TICK_INTERVAL_SECONDS`.
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
MUSEUM = WorkspaceId("museum")
RATE = 30.0
BURST = 30.0
OFFERED_PER_SECOND = 100
SECONDS = 30
EXCHANGE_ROOM = 30
"""Requests that hosts may admit before they hear of each other's; paid back later."""


def view_of(host: HostId) -> FleetView:
    """Return a view in which all hosts are alive and the first one is the hub."""
    place = DataCentre("tirano")
    records = {
        other: HostRecord(other, place, Address("127.0.0.1", 9700), incarnation=1)
        for other in HOSTS
    }
    others = tuple(other for other in HOSTS if other != host)
    led = others if host == HOSTS[0] else ()
    return FleetView(
        self_id=host,
        self_data_centre=place,
        hosts=records,
        usable=HOSTS,
        hubs=HOSTS[:1],
        followers=led,
        primary_followers=led,
        known_count=len(HOSTS),
        alive_count=len(HOSTS),
    )


def main() -> None:
    """Offer more than the rate at one host only, and count what is admitted."""
    channel = FakeChannel(Random(1))
    hosts: dict[HostId, RateCoordinator] = {}
    settings = SettingsTree(workspaces={MUSEUM: Workspace(MUSEUM, (), RATE, BURST)})
    for number, host in enumerate(HOSTS):
        outbox = Outbox()
        rates = RateCoordinator(host, 1, outbox, Random(number), PublishedRates())
        rates.apply_tree(settings, channel.now)
        rates.apply_view(view_of(host), channel.now)
        channel.attach(host, rates, outbox)
        hosts[host] = rates

    entry = hosts[HOSTS[1]]
    admitted = 0
    for number in range(SECONDS * OFFERED_PER_SECOND):
        channel.run((number + 1) / OFFERED_PER_SECOND)
        admitted += entry.admit(MUSEUM, channel.now)

    allowed = RATE * SECONDS + BURST + EXCHANGE_ROOM
    print(f"offered {SECONDS * OFFERED_PER_SECOND} requests in {SECONDS} s at one host")
    print(f"admitted {admitted}; rate, burst and one exchange allow {allowed:.0f}")


if __name__ == "__main__":
    main()
