"""A fleet of rate coordinators with fixed hubs, and traffic of clients that keep hosts.

The load balancer sends a client to the same host each time, so the requests of a small
workspace reach a part of the hosts only.
"""

from bisect import bisect_left
from collections.abc import Iterable
from datetime import timedelta
from random import Random

from attrs import define, evolve, field

from catkinspan.coordination.membership.const import HOST_SILENT_SECONDS
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.bucket import TokenBucket
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.policy import rate_policy
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import HostId, WorkspaceId
from catkinspan.state.node import RateWindow
from catkinspan.state.tree import SettingsTree, Workspace
from catkinspan.testing.channel import FakeChannel
from tests.virtual_fleet import host_records

WINDOW = RateWindow(timedelta(seconds=5), overshoot=0.25, slack=20)
REQUESTS_PER_CLIENT_SECOND = 0.4


def window_bound(workspace: Workspace) -> float:
    """Return how many requests of a workspace may run in a window."""
    published = workspace.rate * WINDOW.length.total_seconds() + workspace.burst
    return published * (1 + WINDOW.overshoot) + WINDOW.slack


@define
class RatesHost:
    """A rate coordinator; implements `ChannelNode`."""

    coordinator: RateCoordinator

    def handle(self, message: PeerMessage, sender: Sender, now: float) -> None:
        self.coordinator.handle(message, sender, now)

    def tick(self, now: float) -> None:
        self.coordinator.tick(now)

    def resume(self, gap: float, now: float) -> None:
        self.coordinator.resume(gap, now)


@define
class Request:
    """A request and whether it was admitted."""

    at: float
    workspace: WorkspaceId
    is_admitted: bool
    is_over_rate: bool


@define
class Client:
    """A client of a workspace that uses one host."""

    workspace: WorkspaceId
    host: HostId


@define
class RatesFleet:
    """Hosts in three data centres with two hubs each."""

    workspaces: dict[WorkspaceId, Workspace]
    host_count: int = 135
    seed: int = 1
    channel: FakeChannel = field(init=False)
    nodes: dict[HostId, RatesHost] = field(factory=dict)
    clients: list[Client] = field(factory=list)
    requests: list[Request] = field(factory=list)
    _rng: Random = field(init=False)
    _records: dict[HostId, HostRecord] = field(init=False)
    _incarnation: int = 0

    def __attrs_post_init__(self) -> None:
        self._rng = Random(self.seed)
        self.channel = FakeChannel(Random(self.seed))
        self._records = {r.id: r for r in host_records(self.host_count)}
        for host in self._records:
            self.start_host(host)

    def start_host(self, host: HostId) -> None:
        """Start a host, or a new process of it, which knows the fleet's size."""
        self._incarnation += 1
        outbox = Outbox()
        coordinator = RateCoordinator(
            host,
            self._incarnation,
            outbox,
            Random(self._rng.random()),
            rate_policy(WINDOW),
        )
        coordinator.apply_tree(
            SettingsTree(workspaces=self.workspaces), self.channel.now
        )
        coordinator.apply_view(self._view(host), self.channel.now)
        self.nodes[host] = RatesHost(coordinator)
        self.channel.attach(host, self.nodes[host], outbox, self._incarnation)

    def restart(self, hosts: Iterable[HostId]) -> None:
        """Replace the processes of some hosts."""
        for host in list(hosts):
            self.channel.detach(host)
            self.start_host(host)

    def lose_levels(self, hosts: Iterable[HostId] | None = None) -> None:
        """Cut some hosts, or all, off from all others; the others notice later."""
        cut_off = set(self.nodes if hosts is None else hosts)
        self.channel.partition(cut_off, self.nodes)
        heard = [host for host in self.nodes if host not in cut_off]
        noticed_at = self.channel.now + HOST_SILENT_SECONDS
        self.channel.call_at(noticed_at, lambda: self._apply_views(heard))

    def lose_hosts(self, hosts: Iterable[HostId]) -> None:
        """Stop some hosts; their callers use others, and the hubs notice later."""
        dead = set(hosts)
        heard = [host for host in self.nodes if host not in dead]
        for host in dead:
            self.channel.detach(host)
        for client in self.clients:
            if client.host in dead:
                client.host = self._rng.choice(heard)
        noticed_at = self.channel.now + HOST_SILENT_SECONDS
        self.channel.call_at(noticed_at, lambda: self._apply_views(heard))

    def _apply_views(self, heard: list[HostId]) -> None:
        for host in heard:
            view = evolve(self._view(host), alive_count=len(heard))
            self.nodes[host].coordinator.apply_view(view, self.channel.now)

    def _view(self, host: HostId) -> FleetView:
        centre = self._records[host].data_centre
        local = [r.id for r in self._records.values() if r.data_centre == centre]
        hubs = tuple(local[:2])
        followers = tuple(h for h in local if h != host) if host in hubs else ()
        remote = [
            h
            for name in {r.data_centre for r in self._records.values()} - {centre}
            for h in [r.id for r in self._records.values() if r.data_centre == name][:2]
        ]
        return FleetView(
            host,
            centre,
            hosts=self._records,
            usable=tuple(sorted(self._records)),
            hubs=hubs,
            followers=followers,
            primary_followers=followers if host == hubs[0] else (),
            remote_hubs=tuple(remote) if host in hubs else (),
            known_count=len(self._records),
            alive_count=len(self._records),
        )

    def add_clients(self, demand: dict[WorkspaceId, float]) -> None:
        """Add clients, each on a random host, for a demand in requests per second."""
        for workspace, per_second in demand.items():
            for _ in range(max(1, round(per_second / REQUESTS_PER_CLIENT_SECOND))):
                host = self._rng.choice(list(self.nodes))
                self.clients.append(Client(workspace, host))

    def run(
        self,
        seconds: float,
        hot: dict[WorkspaceId, float] | None = None,
        published: dict[WorkspaceId, TokenBucket] | None = None,
    ) -> None:
        """Send each client's requests at random times; `hot` multiplies them.

        With `published` buckets, only requests that these admit are sent.
        """
        until = self.channel.now + seconds
        arrivals = []
        for client in self.clients:
            rate = REQUESTS_PER_CLIENT_SECOND * (hot or {}).get(client.workspace, 1.0)
            at = self.channel.now
            while (at := at + self._rng.expovariate(rate)) < until:
                arrivals.append((at, client.host, client.workspace))
        for at, host, workspace in sorted(arrivals):
            if published is not None and not published[workspace].try_take(at):
                continue
            self.channel.run(at)
            coordinator = self.nodes[host].coordinator
            is_admitted = coordinator.admit(workspace, at)
            is_over_rate = not is_admitted and coordinator.is_over_rate(workspace)
            self.requests.append(Request(at, workspace, is_admitted, is_over_rate))
        self.channel.run(until)

    def refused_share(self, since: float) -> float:
        """Return the share of the requests refused since a time."""
        recent = [r for r in self.requests if r.at >= since]
        return sum(not r.is_admitted for r in recent) / len(recent)

    def excess(self) -> dict[WorkspaceId, float]:
        """Return the fullest window of each workspace as a share of its bound."""
        seconds = WINDOW.length.total_seconds()
        shares = {}
        for name, workspace in self.workspaces.items():
            times = [
                r.at for r in self.requests if r.workspace == name and r.is_admitted
            ]
            fullest = max(
                (
                    index + 1 - bisect_left(times, at - seconds)
                    for index, at in enumerate(times)
                ),
                default=0,
            )
            shares[name] = fullest / window_bound(workspace)
        return shares
