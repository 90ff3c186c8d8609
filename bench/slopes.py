"""Control traffic of one host by the size of the fleet and its load.

Whole hosts run in virtual time, so that messages and bytes are the same on each run.
Run it with ``python -m bench.slopes``.
"""

import time
from collections import Counter
from random import Random

from attrs import define, field
from tests.virtual_fleet import Traffic, small_settings_tree, virtual_fleet

from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.ids import HostId
from catkinspan.testing.hosts import VirtualAttempt

SIZES = (20, 40, 80, 160)
REQUESTS_PER_HOST = (0.0, 4.0)
SECONDS = 5.0
WORKSPACES = 8
SERVICE_SECONDS = 0.2


@define
class Count:
    """What hosts sent."""

    codec: PeerCodec = field(factory=lambda: PeerCodec(PEER_MESSAGES))
    bytes_by_host: Counter[HostId] = field(factory=Counter)
    messages: int = 0

    def add(self, source: HostId, target: HostId, message: PeerMessage) -> None:
        """Count one message."""
        self.messages += 1
        self.bytes_by_host[source] += len(
            self.codec.encode(Sender(source, 1), [message])
        )


def respond(attempt: VirtualAttempt, rng: Random) -> tuple[OutcomeKind, float]:
    """Answer after a usual time."""
    return OutcomeKind.OK, SERVICE_SECONDS * rng.uniform(0.5, 1.5)


def measure(hosts: int, rate: float) -> str:
    """Return one row: bytes and messages a second, and processor time, by host."""
    tree = small_settings_tree(servers=hosts, workspaces=WORKSPACES)
    fleet = virtual_fleet(hosts, tree, respond=respond)
    count = Count()
    fleet.channel.watch_sends(count.add)
    calls, began = fleet.store.calls, time.process_time()
    until = fleet.channel.now + SECONDS
    if rate:
        Traffic(fleet, Random(1)).run(until, rate * hosts)
    else:
        fleet.channel.run(until)
    spent = time.process_time() - began
    loads = sorted(count.bytes_by_host.values())
    median, most = loads[len(loads) // 2] / SECONDS, loads[-1] / SECONDS
    return (
        f"| {hosts} | {rate:g} | {median:,.0f} | {most:,.0f} | "
        f"{count.messages / SECONDS / hosts:.1f} | "
        f"{spent / SECONDS / hosts * 1000:.1f} | "
        f"{(fleet.store.calls - calls) / SECONDS:.1f} |"
    )


def main() -> None:
    """Print the table of docs/CAPACITY.md."""
    print("| hosts | requests/s a host | B/s median | B/s most | messages/s | ms/s |")
    for rate in REQUESTS_PER_HOST:
        for hosts in SIZES:
            print(measure(hosts, rate), flush=True)


if __name__ == "__main__":
    main()
