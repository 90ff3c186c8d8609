"""Measures the control traffic per host at several fleet sizes and request rates.

Whole hosts run in virtual time, so that messages and bytes are the same on each run.
Run it with ``python -m bench.slopes``.
"""

import time
from collections import Counter
from random import Random

from attrs import define, field
from tests.virtual_fleet import Traffic, small_settings_tree, virtual_fleet

from catkinspan.coordination.health.coordinator import HealthCoordinator
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.ids import HostId
from catkinspan.testing.hosts import VirtualAttempt

FLEET_SIZES = (20, 40, 80, 160)
REQUESTS_PER_SECOND_PER_HOST = (0.0, 4.0)
MEASURED_SECONDS = 5.0
WORKSPACES = 8
MEAN_SERVICE_SECONDS = 0.2


@define
class SentTraffic:
    """Messages and bytes that the hosts sent."""

    codec: PeerCodec = field(factory=lambda: PeerCodec(PEER_MESSAGES))
    bytes_by_host: Counter[HostId] = field(factory=Counter)
    health_bytes_by_host: Counter[HostId] = field(factory=Counter)
    """Bytes of the messages on servers."""

    messages: int = 0

    def add(self, source: HostId, target: HostId, message: PeerMessage) -> None:
        """Add one message to the counts."""
        self.messages += 1
        size = len(self.codec.encode(Sender(source, 1), [message]))
        self.bytes_by_host[source] += size
        if isinstance(message, HealthCoordinator.message_types):
            self.health_bytes_by_host[source] += size


def respond(attempt: VirtualAttempt, rng: Random) -> tuple[OutcomeKind, float]:
    """Answer with OK after 50 to 150 % of `MEAN_SERVICE_SECONDS`."""
    return OutcomeKind.OK, MEAN_SERVICE_SECONDS * rng.uniform(0.5, 1.5)


def measure_row(hosts: int, rate: float) -> str:
    """Return the table row of a fleet size and a request rate per host."""
    tree = small_settings_tree(servers=hosts, workspaces=WORKSPACES)
    fleet = virtual_fleet(hosts, tree, respond=respond)
    traffic = SentTraffic()
    fleet.channel.set_send_callback(traffic.add)
    calls_before, cpu_start = fleet.store.call_count, time.process_time()
    until = fleet.channel.now + MEASURED_SECONDS
    if rate:
        Traffic(fleet, Random(1)).run(until, rate * hosts)
    else:
        fleet.channel.run(until)
    cpu_seconds = time.process_time() - cpu_start
    sent_bytes = sorted(traffic.bytes_by_host.values())
    median, highest = (
        sent_bytes[len(sent_bytes) // 2] / MEASURED_SECONDS,
        sent_bytes[-1] / MEASURED_SECONDS,
    )
    health = max(traffic.health_bytes_by_host.values(), default=0) / MEASURED_SECONDS
    return (
        f"| {hosts} | {rate:g} | {median:,.0f} | {highest:,.0f} | {health:,.0f} | "
        f"{traffic.messages / MEASURED_SECONDS / hosts:.1f} | "
        f"{cpu_seconds / MEASURED_SECONDS / hosts * 1000:.1f} | "
        f"{(fleet.store.call_count - calls_before) / MEASURED_SECONDS:.1f} |"
    )


def main() -> None:
    """Print the table for docs/CAPACITY.md."""
    print(
        "| hosts | requests/s a host | B/s median | B/s most | B/s on servers "
        "| messages/s | ms/s | store calls/s |"
    )
    for rate in REQUESTS_PER_SECOND_PER_HOST:
        for hosts in FLEET_SIZES:
            print(measure_row(hosts, rate), flush=True)


if __name__ == "__main__":
    main()
