"""End-to-end tests on the platform interface: store, entries, headers, readiness."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from attrs import define, field

from catkinspan.daemon.clock import SystemClock
from catkinspan.daemon.node import HostNode
from catkinspan.standin.platform import StandinPlatform
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.node import Interface, NodeSettings
from catkinspan.state.tree import Address
from catkinspan.transport.http_client import async_fetch
from tests.fleet import TEST_TIMEOUT_SECONDS, Caller, Reply, free_addresses
from tests.platform.entries import KEY, configuration, server_entry

STAMP = "X-Server-Stamp: 3e1b.07\r\n"
ResponseScript = Callable[[str, str], str]
"""Builds the raw response from the request id and the request head."""


def make_response(
    request_id: str, status: str = "200 OK", extra: str = STAMP, body: str = "whole"
) -> str:
    return (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )


@define
class RawServer:
    """Server that builds each response with a script and records the request heads."""

    script: ResponseScript = lambda request_id, head: make_response(request_id)
    heads: list[str] = field(factory=list)
    connections: int = 0
    address: Address = Address("127.0.0.1", 0)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"(?i)content-length: (\d+)", head)
                if length:
                    await reader.readexactly(int(length[1]))
                self.heads.append(head)
                found = re.search(r"(?i)x-request-id: (\S+)", head)
                assert found is not None
                writer.write(self.script(found[1], head).encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@define
class RunningPlatform:
    store: StandinPlatform
    node: HostNode
    servers: list[RawServer]
    ready: Address

    async def send(
        self, path: str = "/lohu930/2f", method: str = "GET", body: bytes = b""
    ) -> Reply:
        caller = await Caller.connect(self.node.callers_address)
        headers = [
            ("X-Request-Id", "9c41d07be2a35f68"),
            ("X-Deadline-Ms", "1500"),
            ("X-Tenant", "forged"),
            ("X-Expect-Instance", "forged"),
            ("Host", "ficu95.example"),
        ]
        caller.send_request(path, method, body, KEY, headers[:-1])
        try:
            return await caller.read_reply()
        finally:
            caller.close()


@asynccontextmanager
async def running_platform(count: int = 1) -> AsyncIterator[RunningPlatform]:
    servers = [RawServer() for _ in range(count)]
    for server in servers:
        await server.start()
    store = StandinPlatform()
    store_address = await store.async_start(Address("127.0.0.1", 0))
    listeners = configuration().replace("ficu95.example", "fleet.example")
    entries: dict[str, bytes | None] = {"op/config": listeners.encode()}
    for n, server in enumerate(servers):
        entry = server_entry(n, address=str(server.address))
        entries[f"servers/i-{n}"] = entry.encode()
    await store.async_put(entries)
    peers, operators, ready = free_addresses(3)
    settings = NodeSettings(
        host_id=HostId("front-1"),
        data_centre=DataCentre("north"),
        callers=Address("127.0.0.1", 0),
        operators=operators,
        peers=peers,
        peer_address=peers,
        platform=store_address,
        interface=Interface.OPERATOR,
        ready=ready,
        drain=timedelta(seconds=3),
        drain_notice=timedelta(milliseconds=300),
        seed=1,
    )
    node = HostNode(settings, SystemClock())
    await node.async_start()
    try:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while (await async_fetch(ready, "/ready", 2.0)).status != 200:
                await asyncio.sleep(0.05)
        yield RunningPlatform(store, node, servers, ready)
    finally:
        await node.async_stop()
        await store.async_stop()
        for server in servers:
            assert server.server is not None
            server.server.close()


async def test_request_carries_the_headers_of_the_platform() -> None:
    async with running_platform() as running:
        reply = await running.send("/pufi791/2f", "POST", b"body")
        (head,) = running.servers[0].heads
    assert (reply.status, reply.body) == (200, b"whole")
    assert reply.headers["x-server-stamp"] == "3e1b.07"
    assert reply.headers["x-request-id"] == "9c41d07be2a35f68"
    lower = head.lower()
    assert "x-expect-instance: i-0\r\n" in lower
    assert "x-tenant: huka270\r\n" in lower
    assert "forged" not in lower
    assert KEY not in head
    left = re.search(r"x-deadline-ms: (\d+)", lower)
    assert left is not None
    assert 1000 < int(left[1]) <= 1500


async def test_unknown_route_and_key() -> None:
    async with running_platform() as running:
        assert (await running.send("/nowhere/")).status == 404
        caller = await Caller.connect(running.node.callers_address)
        caller.send_request("/pufi791/2f", key="unknown")
        assert (await caller.read_reply()).status == 401
        assert running.servers[0].heads == []


@pytest.mark.parametrize(
    "extra",
    ["", STAMP + "Content-Encoding: gzip\r\n"],
    ids=["without a stamp", "with a coding"],
)
async def test_success_from_an_intermediary_is_not_forwarded(extra: str) -> None:
    async with running_platform() as running:
        running.servers[0].script = lambda i, head: make_response(i, extra=extra)
        reply = await running.send("/pufi791/2f", "POST", b"x")
    assert reply.status == 502


async def test_server_error_is_forwarded_unchanged() -> None:
    async with running_platform() as running:
        running.servers[0].script = lambda i, head: make_response(
            i, "500 Fault", body="oh"
        )
        reply = await running.send("/pufi791/2f", "POST", b"x")
    assert (reply.status, reply.body) == (500, b"oh")
    assert reply.headers["x-server-stamp"] == "3e1b.07"


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        ("421 Misdirected Request", "X-Instance-Id: other\r\n"),
        ("503 Full", "X-Not-Executed: 1\r\n"),
        ("429 Many", "X-Not-Executed: 1\r\n"),
    ],
)
async def test_request_that_did_not_run_is_retried_on_another_server(
    status: str, extra: str
) -> None:
    """Non-idempotent requests are retried too, as the server did not run them."""
    async with running_platform(2) as running:
        ran: list[str] = []

        def refuse_first(request_id: str, head: str) -> str:
            if not ran:
                ran.append("first")
                return make_response(request_id, status, extra)
            return make_response(request_id)

        for server in running.servers:
            server.script = refuse_first
        reply = await running.send("/pufi791/2f", "POST", b"x")
        heads = [len(server.heads) for server in running.servers]
    assert reply.status == 200
    assert heads == [1, 1]


async def test_rejection_by_all_servers_returns_503_with_retry_after() -> None:
    async with running_platform(2) as running:
        for server in running.servers:
            server.script = lambda i, h: make_response(
                i, "503 Full", "X-Not-Executed: 1\r\n"
            )
        reply = await running.send("/pufi791/2f", "POST", b"x")
    assert reply.status == 503
    assert 0 < float(reply.headers["retry-after"]) < 1


async def test_lost_response_is_not_reported_as_not_run() -> None:
    async with running_platform() as running:

        def cut(request_id: str, head: str) -> str:
            raise ConnectionError

        running.servers[0].script = cut
        reply = await running.send("/pufi791/2f", "POST", b"x")
    assert reply.status == 502


async def test_late_response_to_an_earlier_request_is_skipped() -> None:
    """A late response can arrive before the expected one; its request id differs."""
    async with running_platform() as running:
        running.servers[0].script = lambda i, h: (
            make_response("earlier", body="wrong") + make_response(i, body="right")
        )
        reply = await running.send("/pufi791/2f", "POST", b"x")
    assert (reply.status, reply.body) == (200, b"right")


async def test_drain_fails_the_readiness_check_at_once_and_keeps_serving() -> None:
    async with running_platform() as running:
        draining = asyncio.create_task(running.node.async_drain())
        await asyncio.sleep(0.05)
        assert (await async_fetch(running.ready, "/ready", 2.0)).status == 503
        reply = await running.send()
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
        assert await draining


async def test_host_without_a_configuration_is_not_ready() -> None:
    """Such a host knows no routes and keys, and must not respond with 404 or 401."""
    async with running_platform() as running:
        await running.store.async_stop()
        peers, operators, ready = free_addresses(3)
        settings = NodeSettings(
            host_id=HostId("front-2"),
            data_centre=DataCentre("south"),
            callers=Address("127.0.0.1", 0),
            operators=operators,
            peers=peers,
            peer_address=peers,
            platform=free_addresses(1)[0],
            interface=Interface.OPERATOR,
            ready=ready,
        )
        node = HostNode(settings, SystemClock())
        await node.async_start()
        assert (await async_fetch(ready, "/ready", 2.0)).status == 503
        caller = await Caller.connect(node.callers_address)
        caller.send_request("/lohu930/2f", key=KEY)
        reply = await caller.read_reply()
        assert reply.status == 503
        assert "retry-after" in reply.headers
        await node.async_stop()
