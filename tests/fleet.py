"""A small fleet for tests: stand-ins and entry hosts in one event loop."""

import asyncio
import hashlib
import itertools
import socket
import ssl
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import cache
from typing import Any

import h11
from attrs import define, evolve, field, frozen

from catkinspan.daemon.clock import SystemClock
from catkinspan.daemon.node import HostNode
from catkinspan.standin.platform import StandinPlatform
from catkinspan.standin.upstream import StandinUpstream, UpstreamOptions
from catkinspan.state.ids import DataCentre, HostId, RequestId
from catkinspan.state.node import NodeSettings
from catkinspan.state.tree import Address

KEY = "test-key-aaaaaaaaaaaaaaaaaaaaaaaa"
OTHER_KEY = "test-key-bbbbbbbbbbbbbbbbbbbbbbbb"
TEST_TIMEOUT_SECONDS = 20.0
"""Ends a test that hangs; no assertion depends on it."""


FIRST_PORT = 10_000
END_PORT = 32_000
"""The system assigns the ports from 32,768 on to outgoing connections, which could take
one before a test binds it."""

PORTS_PER_PROCESS = 1_000


@define
class _Ports:
    """Ports of this test process; its bound socket claims them on the machine."""

    claim: socket.socket
    numbers: Iterator[int]


@cache
def _ports() -> _Ports:
    for first in range(FIRST_PORT, END_PORT, PORTS_PER_PROCESS):
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        ports = range(first + 1, first + PORTS_PER_PROCESS)
        return _Ports(claim, itertools.cycle(ports))
    raise RuntimeError("no free ports: run fewer tests at once")


def free_addresses(count: int) -> list[Address]:
    """Return free addresses that no other test process on this machine binds."""
    addresses: list[Address] = []
    while len(addresses) < count:
        address = Address("127.0.0.1", next(_ports().numbers))
        if _is_free(address):
            addresses.append(address)
    return addresses


def _is_free(address: Address) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((address.ip, address.port))
            except OSError:
                return False
    return True


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


@define
class Fleet:
    platform: StandinPlatform
    platform_address: Address
    upstreams: dict[str, StandinUpstream]
    upstream_addresses: dict[str, Address]
    hosts: list[HostNode]
    tree: dict[str, Any] = field(factory=dict)

    async def publish(self) -> None:
        await self.platform.async_publish(self.tree)

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_revision(self, revision: int) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            for host in self.hosts:
                while (await host.async_query(lambda c, _: c.tree.revision)) < revision:
                    await asyncio.sleep(0.02)

    def count_runs(self) -> int:
        return sum(len(upstream.runs) for upstream in self.upstreams.values())


def settings_tree(upstreams: dict[str, Address], slots: int) -> dict[str, Any]:
    return {
        "defaults": {"deadline_ms": 5000},
        "services": {
            "catalogue": {
                "upstreams": [
                    {
                        "id": name,
                        "address": str(address),
                        "data_centre": "perth-1",
                        "slots": slots,
                    }
                    for name, address in upstreams.items()
                ],
                "routes": {
                    "suites": {"match": {"path_prefix": "/suites"}},
                    "public": {
                        "match": {"path_prefix": "/public"},
                        "settings": {"open": True},
                    },
                    "prints": {"match": {"path_prefix": "/prints"}},
                    "linked": {
                        "match": {"path_prefix": "/linked"},
                        "settings": {"key_query_parameter": "key"},
                    },
                    "small": {
                        "match": {"path_prefix": "/small"},
                        "settings": {"max_body_bytes": 1000},
                    },
                },
            }
        },
        "workspaces": {
            "studio": {
                "keys": [{"id": "k1", "sha256": digest(KEY)}],
                "rate": 1e6,
                "burst": 1e6,
            },
            "planner": {
                "keys": [{"id": "k1", "sha256": digest(OTHER_KEY)}],
                "rate": 1e6,
                "burst": 1e6,
            },
        },
    }


@asynccontextmanager
async def running_fleet(
    hosts: int = 1,
    upstreams: int = 1,
    options: UpstreamOptions | None = None,
    edit_tree: Callable[[dict[str, Any]], None] | None = None,
    upstream_addresses: dict[str, Address] | None = None,
    new_request_id: Callable[[], RequestId] | None = None,
    edit_settings: Callable[[NodeSettings], NodeSettings] | None = None,
    callers_tls: ssl.SSLContext | None = None,
    upstreams_tls: ssl.SSLContext | None = None,
) -> AsyncIterator[Fleet]:
    """Run a fleet; `edit_tree` edits the settings tree before it is published, and
    `edit_settings` replaces the settings of each host.

    `callers_tls` is the TLS context of the test's callers, `upstreams_tls` that of the
    stand-ins.
    """
    options = options or UpstreamOptions(
        name="", service="catalogue", slots=50, service_seconds=0.0
    )
    platform = StandinPlatform()
    platform_address = await platform.async_start(Address("127.0.0.1", 0))
    servers: dict[str, StandinUpstream] = {}
    addresses = dict(upstream_addresses or {})
    for number in range(0 if upstream_addresses else upstreams):
        name = f"catalogue-{number + 1}"
        servers[name] = StandinUpstream(evolve(options, name=name, seed=number))
        address = Address("127.0.0.1", 0)
        addresses[name] = await servers[name].async_start(address, upstreams_tls)
    peers = free_addresses(hosts)
    settings = [node_settings(i, platform_address, peers) for i in range(hosts)]
    if edit_settings is not None:
        settings = [edit_settings(item) for item in settings]
    nodes = [HostNode(item, SystemClock(), new_request_id) for item in settings]
    tree = settings_tree(addresses, options.slots)
    if edit_tree is not None:
        edit_tree(tree)
    fleet = Fleet(platform, platform_address, servers, addresses, nodes, tree)
    await fleet.publish()
    try:
        for host in nodes:
            await host.async_start()
        await wait_ready(nodes, callers_tls)
        yield fleet
    finally:
        for host in nodes:
            await host.async_stop()
        for server in servers.values():
            await server.async_stop()
        await platform.async_stop()


def node_settings(index: int, platform: Address, peers: list[Address]) -> NodeSettings:
    peer_address = peers[index]
    (operators,) = free_addresses(1)
    return NodeSettings(
        host_id=HostId(f"host-{index + 1}"),
        data_centre=DataCentre("perth-1"),
        callers=Address("127.0.0.1", 0),
        operators=operators,
        peers=peer_address,
        peer_address=peer_address,
        platform=platform,
        seeds=tuple(peers[:3]),
        drain=timedelta(seconds=10),
        drain_notice=timedelta(milliseconds=50),
        seed=index,
    )


async def wait_ready(nodes: list[HostNode], tls: ssl.SSLContext | None = None) -> None:
    """Wait until the hosts are ready and have tokens for the test's workspace."""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        for host in nodes:
            while not await host.async_query(lambda c, now: c.is_ready(now)):
                await asyncio.sleep(0.02)
            address = host.callers_address
            while (await request(address, "/suites/warm", tls=tls)).status != 200:
                await asyncio.sleep(0.05)


@frozen
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def ran(self) -> str:
        return self.headers.get("x-request-ran", "")


class Caller:
    """A connection of a caller, implemented with h11."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(
        cls, address: Address, tls: ssl.SSLContext | None = None
    ) -> "Caller":
        return cls(*await asyncio.open_connection(address.ip, address.port, ssl=tls))

    def send(self, *events: h11.Event) -> None:
        for event in events:
            self.writer.write(self.http.send(event) or b"")

    def send_request(
        self,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        key: str | None = KEY,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        sent = [("Host", "fleet.example"), *(headers or [])]
        if key is not None:
            sent.append(("Authorization", f"Bearer {key}"))
        if body:
            sent.append(("Content-Length", str(len(body))))
        self.send(h11.Request(method=method, target=target, headers=sent))
        if body:
            self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())

    async def next_event(self) -> Any:
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.http.receive_data(await self.reader.read(65536))

    async def read_reply(self) -> Reply:
        """Return the response, marked as incomplete if the connection ends early."""
        status, headers, parts = 0, {}, []
        try:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while True:
                    event = await self.next_event()
                    if isinstance(event, h11.Response):
                        status = event.status_code
                        headers = {n.decode(): v.decode() for n, v in event.headers}
                    elif isinstance(event, h11.Data):
                        parts.append(bytes(event.data))
                    elif isinstance(event, h11.EndOfMessage):
                        return Reply(status, headers, b"".join(parts))
                    elif isinstance(event, h11.ConnectionClosed):
                        return Reply(status, headers, b"".join(parts), complete=False)
        except (h11.RemoteProtocolError, ConnectionError):
            return Reply(status, headers, b"".join(parts), complete=False)

    def start_next_cycle(self) -> None:
        self.http.start_next_cycle()

    def close(self) -> None:
        self.writer.close()


async def request(
    address: Address,
    target: str,
    method: str = "GET",
    body: bytes = b"",
    key: str | None = KEY,
    headers: list[tuple[str, str]] | None = None,
    tls: ssl.SSLContext | None = None,
) -> Reply:
    """Send one request on a new connection and return the response."""
    caller = await Caller.connect(address, tls)
    try:
        caller.send_request(target, method, body, key, headers)
        return await caller.read_reply()
    finally:
        caller.close()
