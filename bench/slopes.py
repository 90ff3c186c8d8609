"""Slopes of the costs of control, measured at several sizes on one machine.

Message counts and bytes come from virtual time with fixed seeds and are the same on
each run. Processor time and memory are of this machine and vary; the date stands
beside them. ``make slopes`` writes ``docs/slopes.json`` and ``docs/slopes.png``, from
which ``docs/CAPACITY.md`` is worked out.
"""

import gc
import platform
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Sequence
from datetime import UTC, datetime
from hashlib import sha256
from pathlib import Path
from random import Random
from typing import Any

import orjson
from attrs import asdict, frozen

from catkinspan.coordination.configuration.models import Document
from catkinspan.coordination.host.coordinator import CONCERNS, PEER_MESSAGES
from catkinspan.coordination.keys.coordinator import KeyCoordinator
from catkinspan.coordination.membership.models import Probe
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.coordination.routing.coordinator import RoutingCoordinator
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.protocol.settings.tree import TreeParser, split_documents
from catkinspan.state.hosts import ListedHost
from catkinspan.state.ids import DataCentre, HostId, RequestId, Revision
from catkinspan.state.tree import Address
from catkinspan.testing.hosts import VirtualFleet

HOST_COUNTS = (20, 40, 80, 160)
SERVICE_COUNTS = (2, 8, 32)
REQUEST_RATES = (0.0, 4.0, 40.0, 160.0)
RATE_HOSTS = 20
STATE_COUNTS = (500, 2000, 8000)
DATA_CENTRES = 3
SETTLE_SECONDS = 12.0
MEASURED_SECONDS = 10.0
FRAME_BYTES = 94
"""Overhead of a frame with one message: 40 of TCP/IP, 14 of HTTP/2 and gRPC, about 40
of the frame's own head."""

KEY = "slopes-key"
OUTPUT = Path("docs/slopes.json")
PLOT = Path("docs/slopes.png")


@frozen
class FleetCost:
    """Control cost of one host, averaged over a fleet."""

    hosts: int
    services: int
    requests_per_second: float
    messages_per_second: float
    bytes_per_second: float
    by_concern: dict[str, float]
    """Bytes per second of each concern."""

    cpu_ms_per_second: float
    """Processor time of coordination, encoding left out."""

    finished: int
    refused: int


@frozen
class Slope:
    """Least-squares line of a cost over a size."""

    intercept: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.intercept + self.per_unit * size


def fit(sizes: Sequence[float], costs: Sequence[float]) -> Slope:
    """Fit a line by least squares."""
    mean_size = sum(sizes) / len(sizes)
    mean_cost = sum(costs) / len(costs)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, costs, strict=True)
    covered = sum((s - mean_size) * (c - mean_cost) for s, c in pairs)
    per_unit = covered / spread
    return Slope(mean_cost - per_unit * mean_size, per_unit)


def listings(count: int) -> list[ListedHost]:
    """Return hosts spread over the data centres."""
    return [
        ListedHost(
            HostId(f"host-{i:04}"),
            DataCentre(f"dc-{i % DATA_CENTRES}"),
            Address("127.0.0.1", 10_000 + i),
        )
        for i in range(count)
    ]


def tree(hosts: Sequence[ListedHost], services: int) -> dict[str, Any]:
    """Return a settings tree with 4 servers a service and 8 workspaces."""
    return {
        "fleet": {"max_hosts": len(hosts)},
        "services": {f"service-{i}": service(i) for i in range(services)},
        "workspaces": {
            f"workspace-{i}": {
                "keys": [{"id": "k", "sha256": digest(f"{KEY}-{i}")}],
                "rate": 100_000.0,
                "burst": 100_000.0,
            }
            for i in range(8)
        },
        "hosts": [
            {
                "id": host.id,
                "data_centre": host.data_centre,
                "peer_address": str(host.peer_address),
            }
            for host in hosts
        ],
    }


def service(number: int) -> dict[str, Any]:
    """Return a service with 4 servers and one route."""
    return {
        "upstreams": [
            {
                "id": f"server-{number}-{n}",
                "address": f"127.0.0.1:{20_000 + 10 * number + n}",
                "data_centre": f"dc-{n % DATA_CENTRES}",
                "slots": 50,
            }
            for n in range(4)
        ],
        "routes": {"all": {"match": {"path_prefix": f"/service-{number}"}}},
    }


def digest(key: str) -> str:
    """Return the published hash of a key."""
    return sha256(key.encode()).hexdigest()


def measure_fleet(hosts: int, services: int, rate: float) -> FleetCost:
    """Run a fleet twice: for processor time, and for messages and bytes."""
    cpu, _, _ = run_fleet(hosts, services, rate, count_bytes=False)
    _, counts, fleet = run_fleet(hosts, services, rate, count_bytes=True)
    share = hosts * MEASURED_SECONDS
    finished = sum(len(host.finished) for host in fleet.hosts.values())
    refused = sum(len(host.refusals) for host in fleet.hosts.values())
    total = sum(value for name, value in counts.items() if name != "messages")
    return FleetCost(
        hosts=hosts,
        services=services,
        requests_per_second=rate,
        messages_per_second=counts["messages"] / share,
        bytes_per_second=total / share,
        by_concern={
            name: round(value / share, 1)
            for name, value in sorted(counts.items())
            if name != "messages"
        },
        cpu_ms_per_second=cpu * 1000 / share,
        finished=finished,
        refused=refused,
    )


def run_fleet(
    hosts: int, services: int, rate: float, count_bytes: bool
) -> tuple[float, Counter[str], VirtualFleet]:
    """Return processor seconds, bytes by concern and the fleet after the run."""
    places = listings(hosts)
    texts = split_documents(tree(places, services)).unwrap()
    rng = Random(1)
    fleet = VirtualFleet(places, texts, TreeParser, rng)
    fleet.channel.run(SETTLE_SECONDS)
    counts: Counter[str] = Counter()
    if count_bytes:
        fleet.channel.watch_sends(counter(counts))
    schedule_requests(fleet, services, rate, rng)
    gc.collect()
    started = time.process_time()
    fleet.channel.run(SETTLE_SECONDS + MEASURED_SECONDS)
    return time.process_time() - started, counts, fleet


def counter(counts: Counter[str]) -> Any:
    """Return a callback that adds up the encoded bytes of each message."""
    codec = PeerCodec(PEER_MESSAGES)
    concern_of = {
        message: concern.__name__.removesuffix("Coordinator").lower()
        for concern in CONCERNS
        for message in concern.handles
    }

    def count(source: HostId, target: HostId, message: PeerMessage) -> None:
        size = len(codec.encode(Origin(HostId(""), 0), [message]))
        counts[concern_of[type(message)]] += size + FRAME_BYTES
        counts["messages"] += 1

    return count


def schedule_requests(
    fleet: VirtualFleet, services: int, rate: float, rng: Random
) -> None:
    """Let Poisson requests arrive at each host during the measurement."""
    if rate <= 0:
        return
    number = 0
    for host in fleet.hosts:
        when = SETTLE_SECONDS + rng.expovariate(rate)
        while when < SETTLE_SECONDS + MEASURED_SECONDS:
            number += 1
            arrived = RequestArrived(
                request_id=RequestId(f"r{number}"),
                method="GET",
                host="fleet.example",
                path=f"/service-{number % services}/x",
                presented_key=f"{KEY}-{number % 8}",
            )
            fleet.channel.at(when, arrival(fleet, host, arrived))
            when += rng.expovariate(rate)


def arrival(fleet: VirtualFleet, host: HostId, arrived: RequestArrived) -> Any:
    """Return the action that gives a host a request."""
    return lambda: fleet.arrive(host, arrived)


def measure_state(kind: str, count: int) -> dict[str, float]:
    """Return bytes held and parse time for a number of workspaces or routes."""
    settings = tree(listings(3), 1)
    if kind == "workspaces":
        settings["workspaces"] = {
            f"workspace-{i:06}": {
                "keys": [{"id": "k", "sha256": digest(f"{KEY}-{i}")}],
                "rate": 5.0,
                "burst": 10.0,
            }
            for i in range(count)
        }
    else:
        settings["services"]["service-0"]["routes"] = {
            f"route-{i:06}": {"match": {"path_prefix": f"/area-{i % 97}/path-{i}"}}
            for i in range(count)
        }
    texts = split_documents(settings).unwrap()
    documents = {n: Document(n, Revision(1), text) for n, text in texts.items()}
    text_bytes = sum(sys.getsizeof(text) for text in texts.values())
    gc.collect()
    tracemalloc.start()
    parser = TreeParser()
    keys, routing = KeyCoordinator(Outbox()), RoutingCoordinator()
    started = time.process_time()
    parsed = parser.parse(documents, Revision(1)).unwrap()
    parse_seconds = time.process_time() - started
    keys.apply_tree(parsed.tree, 0.0)
    routing.apply_tree(parsed.tree, 0.0)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "count": count,
        "parsed_bytes": held,
        "text_bytes": text_bytes,
        "parse_ms": parse_seconds * 1000,
    }


def measure_codec() -> dict[str, float]:
    """Return microseconds to encode and to decode a frame with one message."""
    codec = PeerCodec(PEER_MESSAGES)
    origin = Origin(HostId("host-0001"), 1)
    message = Probe(7, Revision(12))
    repeats = 5000
    started = time.process_time()
    for _ in range(repeats):
        data = codec.encode(origin, [message])
    encoded = time.process_time()
    for _ in range(repeats):
        codec.decode(data)
    decoded = time.process_time()
    return {
        "encode_us": (encoded - started) / repeats * 1e6,
        "decode_us": (decoded - encoded) / repeats * 1e6,
        "bytes": len(data),
    }


def measure_all() -> dict[str, Any]:
    """Measure everything; takes a few minutes."""
    by_hosts = [measure_fleet(count, 2, 0.0) for count in HOST_COUNTS]
    by_services = [measure_fleet(RATE_HOSTS, n, 4.0) for n in SERVICE_COUNTS]
    by_rate = [measure_fleet(RATE_HOSTS, 2, rate) for rate in REQUEST_RATES]
    states = {
        kind: [measure_state(kind, count) for count in STATE_COUNTS]
        for kind in ("workspaces", "routes")
    }
    return {
        "date": f"{datetime.now(UTC):%Y-%m-%d}",
        "python": platform.python_version(),
        "machine": f"{platform.machine()}, shared",
        "by_hosts": [asdict(cost) for cost in by_hosts],
        "by_services": [asdict(cost) for cost in by_services],
        "by_request_rate": [asdict(cost) for cost in by_rate],
        "state": states,
        "codec": measure_codec(),
        "slopes": slopes(by_hosts, by_services, by_rate, states),
    }


def slopes(
    by_hosts: list[FleetCost],
    by_services: list[FleetCost],
    by_rate: list[FleetCost],
    states: dict[str, list[dict[str, float]]],
) -> dict[str, Any]:
    """Fit a line to each cost."""
    result: dict[str, Any] = {}
    groups = {
        "hosts": ([float(c.hosts) for c in by_hosts], by_hosts),
        "services": ([float(c.services) for c in by_services], by_services),
        "request_rate": ([c.requests_per_second for c in by_rate], by_rate),
    }
    for name, (sizes, costs) in groups.items():
        for cost in ("messages_per_second", "bytes_per_second", "cpu_ms_per_second"):
            line = fit(sizes, [getattr(c, cost) for c in costs])
            result[f"{cost} over {name}"] = asdict(line)
    for kind, rows in states.items():
        sizes = [row["count"] for row in rows]
        for cost in ("parsed_bytes", "text_bytes", "parse_ms"):
            line = fit(sizes, [row[cost] for row in rows])
            result[f"{cost} over {kind}"] = asdict(line)
    return result


def plot(results: dict[str, Any]) -> None:
    """Draw the bytes and the processor time over the number of hosts."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = results["by_hosts"]
    sizes = [row["hosts"] for row in rows]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    left.plot(sizes, [row["bytes_per_second"] for row in rows], "o-")
    left.set(xlabel="hosts", ylabel="bytes/s per host", title="control traffic, idle")
    right.plot(sizes, [row["cpu_ms_per_second"] for row in rows], "o-")
    right.set(xlabel="hosts", ylabel="ms/s per host", title="coordination, idle")
    for axes in (left, right):
        axes.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(PLOT, dpi=80)


def run() -> None:
    """Measure, write the results and print the slopes."""
    results = measure_all()
    OUTPUT.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2) + b"\n")
    plot(results)
    print(f"slopes, {results['date']}, written to {OUTPUT} and {PLOT}")
    for name, line in results["slopes"].items():
        print(f"  {name:<44} {line['intercept']:>14.3f} + {line['per_unit']:.5f} x")


if __name__ == "__main__":
    run()
