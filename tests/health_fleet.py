"""Health coordinators of one data centre in virtual time, without the other parts."""

from collections import Counter
from collections.abc import Callable
from random import Random

from attrs import define, field, frozen

from catkinspan.coordination.health.coordinator import HealthCoordinator
from catkinspan.coordination.health.models import ServerAvoided
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.outcomes import (
    AttemptOutcome,
    AttemptStarted,
    OutcomeKind,
)
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import (
    DataCentre,
    HostId,
    RequestId,
    Revision,
    ServerId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Address, Service, SettingsTree, Upstream
from catkinspan.testing.channel import FakeChannel

SERVICE = ServiceId("prints")
DATA_CENTRES = tuple(DataCentre(name) for name in ("north", "east", "south", "west"))
HUB, STANDBY = HostId("host-0"), HostId("host-1")
SERVICE_SECONDS = 0.2
TARGET_SECONDS = 0.6


@frozen
class Load:
    """Requests of the whole data centre, and the share that fails."""

    per_second: float
    local_share: float = 0.8
    failing: frozenset[ServerId] = frozenset()
    first_host: int = 0
    """Number of the first host that gets requests."""

    idle: frozenset[ServerId] = frozenset()
    """Servers that get no requests."""


@define
class HealthFleet:
    """Hosts of the first data centre, of which the first two are its hubs."""

    host_count: int
    server_count: int
    channel: FakeChannel = field(factory=lambda: FakeChannel(Random(1)))
    rng: Random = field(factory=lambda: Random(2))
    nodes: dict[HostId, HealthCoordinator] = field(factory=dict)
    views: dict[HostId, FleetView] = field(factory=dict)
    bytes_by_host: Counter[HostId] = field(factory=Counter)
    bytes_by_kind: Counter[str] = field(factory=Counter)
    messages_by_kind: Counter[str] = field(factory=Counter)
    outboxes: dict[HostId, Outbox] = field(factory=dict)
    _codec: PeerCodec = field(factory=lambda: PeerCodec(PEER_MESSAGES))
    _requests: int = 0

    def __attrs_post_init__(self) -> None:
        names = [HostId(f"host-{n}") for n in range(self.host_count)]
        records = {
            name: HostRecord(name, DATA_CENTRES[0], Address("10.0.0.1", 9700))
            for name in names
        }
        remote_hubs = tuple(HostId(f"hub-{name}") for name in DATA_CENTRES[1:])
        for name in names:
            followers = tuple(n for n in names if n != name) if name == HUB else ()
            candidates = {n: records[n] for n in (*names[:4], name)}
            view = FleetView(
                name,
                DATA_CENTRES[0],
                records if name in (HUB, STANDBY) else candidates,
                tuple(names),
                (HUB, STANDBY),
                followers,
                followers,
                remote_hubs,
                remote_hubs,
                data_centre_count=len(names),
                known_count=len(names) * len(DATA_CENTRES),
                alive_count=len(names) * len(DATA_CENTRES),
            )
            self.views[name] = view
            self._start_process(name, 1)
        self.channel.set_send_callback(self._count)

    def _start_process(self, name: HostId, incarnation: int) -> None:
        now = self.channel.now
        outbox = self.outboxes[name] = Outbox()
        node = self.nodes[name] = HealthCoordinator(name, incarnation, outbox)
        tree = SettingsTree(
            Revision(1), services={SERVICE: Service(SERVICE, self._servers(), Policy())}
        )
        node.apply_tree(tree, now)
        node.apply_view(self.views[name], now)
        self.channel.attach(name, node, outbox, incarnation)

    def restart(self, name: HostId) -> None:
        self.channel.detach(name)
        self._start_process(name, 2)

    def _servers(self) -> tuple[Upstream, ...]:
        return tuple(
            Upstream(
                ServerId(f"i-{n:010x}"),
                Address("10.9.0.1", 80),
                DATA_CENTRES[n % len(DATA_CENTRES)],
                2,
            )
            for n in range(self.server_count)
        )

    def avoided_events(self, host: HostId) -> list[ServerAvoided]:
        events = self.outboxes[host].take_events()
        return [event for event in events if isinstance(event, ServerAvoided)]

    def server(self, number: int) -> ServerId:
        return self._servers()[number].id

    def _count(self, source: HostId, target: HostId, message: PeerMessage) -> None:
        size = len(self._codec.encode(Sender(source, 53319042844276), [message]))
        self.bytes_by_host[source] += size
        self.bytes_by_kind[type(message).__name__] += size
        self.messages_by_kind[type(message).__name__] += 1

    def clear_counts(self) -> None:
        self.bytes_by_host.clear()
        self.bytes_by_kind.clear()
        self.messages_by_kind.clear()

    def run(self, seconds: float, load: Load | None = None) -> None:
        until = self.channel.now + seconds
        if load is not None:
            servers = [s for s in self._servers() if s.id not in load.idle]
            local = [s.id for s in servers if s.data_centre == DATA_CENTRES[0]]
            remote = [s.id for s in servers if s.data_centre != DATA_CENTRES[0]]
            at = self.channel.now
            while (at := at + self.rng.expovariate(load.per_second)) < until:
                is_local = self.rng.random() < load.local_share
                server = self.rng.choice(local if is_local else remote)
                host = self.rng.choice(list(self.nodes)[load.first_host :])
                self.channel.call_at(at, self._request(host, server, load))
        self.channel.run(until)

    def _request(
        self, host: HostId, server: ServerId, load: Load
    ) -> Callable[[], None]:
        def start() -> None:
            self.start(host, server)
            number = self._requests
            kind = OutcomeKind.OK
            if server in load.failing:
                kind = OutcomeKind.SERVER_ERROR
            delay = SERVICE_SECONDS * self.rng.uniform(0.5, 1.5)
            self.channel.call_at(
                self.channel.now + delay,
                lambda: self.finish(host, server, number, kind),
            )

        return start

    def start(self, host: HostId, server: ServerId) -> int:
        self._requests += 1
        request = RequestId(f"r{self._requests}")
        self.nodes[host].record_start(
            AttemptStarted(request, 1, SERVICE, server, "route"),
            TARGET_SECONDS,
            self.channel.now,
        )
        return self._requests

    def finish(
        self, host: HostId, server: ServerId, number: int, kind: OutcomeKind
    ) -> None:
        self.nodes[host].record_outcome(
            AttemptOutcome(
                RequestId(f"r{number}"),
                1,
                SERVICE,
                server,
                WorkspaceId("w"),
                kind,
                SERVICE_SECONDS,
                True,
                request_class="route",
            ),
            self.channel.now,
        )
