"""Cost of the operators' side at the size to design for.

It builds one host's coordinators by hand, with a fleet view of 1,100 hosts, 180
services of 61 servers and 26,000 workspaces, and measures processor time of what runs
within the host task: records, the judgement of one service a tick, and the queries
behind the reports. No sockets are open. Figures depend on the machine; read them as
shares of the control budget of 25 ms of processor time a second.
"""

import time
from collections.abc import Callable
from random import Random

from catkinspan.coordination.configuration.models import PLATFORM, Document, Snapshot
from catkinspan.coordination.host.coordinator import HostCoordinator, HostIdentity
from catkinspan.coordination.metrics.models import FinishedRequest
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.reports.const import SAMPLE_SECONDS
from catkinspan.coordination.reports.gather import (
    gather_host,
    gather_service,
    gather_workspaces,
)
from catkinspan.coordination.reports.instants import Instants
from catkinspan.coordination.reports.status import status_report
from catkinspan.daemon.clock import SystemClock
from catkinspan.protocol.operators.codec import encode_report
from catkinspan.protocol.settings.tree import TreeParser, split_documents
from catkinspan.state.hosts import ListedHost
from catkinspan.state.ids import DataCentre, HostId, Revision, ServiceId, WorkspaceId
from catkinspan.state.tree import Address
from catkinspan.transport.operators.listener import SERIES_PER_QUERY

HOSTS = 1100
SERVICES = 180
SERVERS = 11_000 // SERVICES
WORKSPACES = 26_000
ACTIVE_WORKSPACES = 2000
DATA_CENTRES = 13
REQUESTS_PER_HOST = 310_000 / HOSTS
BUDGET_MS = 25.0


def settings() -> dict[str, object]:
    """Return a settings tree of the design size."""

    def place(number: int) -> str:
        return f"dc-{number % DATA_CENTRES}"

    def server(service: int, number: int) -> dict[str, object]:
        name, ip = f"s-{service}-{number}", f"10.{service}.{number}.1"
        return {
            "id": name,
            "address": f"{ip}:80",
            "data_centre": place(number),
            "slots": 3,
        }

    return {
        "fleet": {"max_hosts": HOSTS},
        "services": {
            f"service-{s}": {"upstreams": [server(s, n) for n in range(SERVERS)]}
            for s in range(SERVICES)
        },
        "workspaces": {
            f"w-{n}": {
                "keys": [{"id": "k", "sha256": f"{n:064x}"}],
                "rate": 50,
                "burst": 100,
            }
            for n in range(WORKSPACES)
        },
        "hosts": [
            {
                "id": f"host-{n}",
                "data_centre": place(n),
                "peer_address": f"10.200.{n // 250}.{n % 250}:9700",
            }
            for n in range(HOSTS)
        ],
    }


def new_host() -> HostCoordinator:
    """Return a host with the settings in force."""
    listing = ListedHost(HostId("host-0"), DataCentre("dc-0"), Address("10.200.0.0", 1))
    identity = HostIdentity(listing, 1)
    host = HostCoordinator(identity, TreeParser(), Outbox(), Random(1), 2000, 0.0)
    texts = split_documents(settings()).unwrap()
    revision = Revision(1)
    documents = tuple(Document(n, revision, text) for n, text in texts.items())
    host.configuration.offer(Snapshot(revision, documents), PLATFORM, 0.0)
    host.tick(0.05)
    return host


def record_requests(host: HostCoordinator, count: int, now: float) -> None:
    """Record finished requests of many workspaces."""
    for number in range(count):
        service = ServiceId(f"service-{number % SERVICES}")
        workspace = WorkspaceId(f"w-{number % ACTIVE_WORKSPACES}")
        request = FinishedRequest(service, workspace, 200, "passed", 0.02, 1)
        host.metrics.record(request, now)


def milliseconds(run: Callable[[], object], times: int) -> float:
    """Return the processor time of one call in milliseconds."""
    begun = time.process_time()
    for _ in range(times):
        run()
    return (time.process_time() - begun) * 1000 / times


def run() -> None:
    """Print the cost of each step."""
    host, now = new_host(), 10.0
    count = 20_000
    per_request = milliseconds(lambda: record_requests(host, count, now), 1) / count
    names = list(host.tree.services)
    judged = iter(names * 3)
    per_judgement = milliseconds(
        lambda: host.history.observe(next(judged), now), len(names) * 3
    )
    _print("one request recorded", per_request, "ms")
    _print("one service judged", per_judgement, "ms")
    share = per_request * REQUESTS_PER_HOST + per_judgement / SAMPLE_SECONDS
    _print(f"both, of the budget of {BUDGET_MS:.0f} ms/s", share, "ms/s")
    service = ServiceId("service-7")
    _print("query: host", milliseconds(lambda: gather_host(host, now), 20), "ms")
    one = milliseconds(lambda: gather_service(host, service, now), 200)
    _print("query: one service", one, "ms")
    workspaces = milliseconds(lambda: gather_workspaces(host, now), 10)
    _print("query: workspaces", workspaces, "ms")
    _print("query: metrics", milliseconds(lambda: host.metrics.snapshot(now), 20), "ms")
    encode = milliseconds(lambda: host.metrics.latencies(0, SERIES_PER_QUERY), 20)
    _print(f"query: {SERIES_PER_QUERY} histograms", encode, "ms")
    _print_status(host, now)


def _print_status(host: HostCoordinator, now: float) -> None:
    facts = gather_host(host, now)
    found = [gather_service(host, name, now) for name in facts.tree.services]
    services = [service for service in found if service is not None]
    workspaces = gather_workspaces(host, now)
    instants = Instants(now, SystemClock().now())

    def build() -> bytes:
        report = status_report(facts, services, workspaces, False, instants)
        return encode_report(report)

    _print("listener: status built and encoded", milliseconds(build, 5), "ms")
    _print("status of all services", len(build()) / 1000, "KB")


def _print(name: str, value: float, unit: str) -> None:
    print(f"{name:<42} {value:10.4f} {unit}")


if __name__ == "__main__":
    run()
