"""Three hosts share one workspace's rate, with the coordination parts as a library.

Nothing here opens a socket: `FakeChannel` carries the messages in virtual time. In a
program of your own, deliver what `outbox.take_envelopes()` returns by any transport,
pass what arrives to `handle`, and call `tick` every `TICK_SECONDS`.
"""

from random import Random

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.models import RateVerdict
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, RequestId, WorkspaceId
from catkinspan.state.tree import (
    Address,
    FleetSettings,
    SettingsTree,
    Workspace,
)
from catkinspan.testing.channel import FakeChannel

HOSTS = tuple(HostId(f"host-{number}") for number in (1, 2, 3))
MUSEUM = WorkspaceId("museum")
RATE = 30.0
BURST = 30.0
OFFERED_PER_SECOND = 100
SECONDS = 30


def settings() -> SettingsTree:
    """Return settings with one workspace and room for three hosts."""
    workspace = Workspace(MUSEUM, (), RATE, BURST)
    return SettingsTree(
        fleet=FleetSettings(max_hosts=len(HOSTS)), workspaces={MUSEUM: workspace}
    )


def view_of(host: HostId) -> FleetView:
    """Return a view in which all hosts are alive."""
    place = DataCentre("tirano")
    records = {
        other: HostRecord(other, place, Address("127.0.0.1", 9700), incarnation=1)
        for other in HOSTS
    }
    return FleetView(host, place, records, HOSTS, len(HOSTS), HOSTS)


def main() -> None:
    """Offer more than the rate at one host only, and count what is admitted."""
    channel = FakeChannel(Random(1))
    hosts: dict[HostId, RateCoordinator] = {}
    for number, host in enumerate(HOSTS):
        outbox = Outbox()
        rates = RateCoordinator(host, 1, outbox, Random(number))
        rates.apply_tree(settings(), channel.now)
        rates.apply_view(view_of(host), channel.now)
        channel.attach(host, rates, outbox)
        hosts[host] = rates

    entry = hosts[HOSTS[0]]
    admitted = 0
    for number in range(SECONDS * OFFERED_PER_SECOND):
        channel.run((number + 1) / OFFERED_PER_SECOND)
        verdict = entry.take(RequestId(str(number)), MUSEUM, channel.now)
        channel.flush(HOSTS[0])
        admitted += verdict is RateVerdict.ADMITTED
        admitted += sum(settled.admitted for settled in entry.take_settled())

    allowed = RATE * SECONDS + BURST
    print(f"offered {SECONDS * OFFERED_PER_SECOND} requests in {SECONDS} s at one host")
    print(f"admitted {admitted}; rate and burst allow {allowed:.0f}")


if __name__ == "__main__":
    main()
