"""A host with its stand-ins on loopback, on ports that the system chooses."""

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

from attrs import define

from catkinspan.daemon.cli import main
from catkinspan.daemon.clock import SystemClock
from catkinspan.daemon.node import HostNode
from catkinspan.standin.platform import StandinPlatform
from catkinspan.standin.upstream import StandinUpstream, UpstreamOptions
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.node import NodeSettings
from catkinspan.state.tree import Address

KEY = "a-key-of-the-museum-that-must-not-appear"
ANY_PORT = Address("127.0.0.1", 0)
SAFETY_SECONDS = 30.0


def digest(key: str = KEY) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


@define
class SmallFleet:
    """One host, one service with two servers, and the platform."""

    platform: StandinPlatform
    node: HostNode
    tree: dict[str, Any]

    async def publish(self) -> None:
        """Publish the tree and wait until it is in force."""
        revision = await self.platform.async_publish(self.tree)
        await self.until(lambda c, now: c.tree.revision >= revision)

    async def until(self, condition: Any) -> None:
        async with asyncio.timeout(SAFETY_SECONDS):
            while not await self.node.async_query(condition):  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def get(self, path: str, key: str = KEY) -> int:
        """Send a caller's request and return the status."""
        address = self.node.callers_address
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        head = f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        writer.write(f"{head}Authorization: Bearer {key}\r\n\r\n".encode())
        async with asyncio.timeout(SAFETY_SECONDS):
            answer = await reader.read()
        writer.close()
        return int(answer.split()[1])

    async def serve(self, path: str, count: int) -> None:
        """Send requests until so many were served; a new host mints tokens late."""
        served = 0
        async with asyncio.timeout(SAFETY_SECONDS):
            while served < count:
                status = await self.get(path)
                served += status == 200
                await asyncio.sleep(0 if status == 200 else 0.05)

    async def cli(self, *arguments: str) -> int:
        """Run a command against the host and return its exit status."""
        operators = ["--operators", str(self.node.operators_address)]
        return await asyncio.to_thread(main, [*arguments, *operators])


def settings_tree(upstreams: list[dict[str, Any]], host: str) -> dict[str, Any]:
    route = {"match": {"path_prefix": "/repairs"}, "settings": {"deadline_ms": 4000}}
    return {
        "fleet": {"max_hosts": 1},
        "services": {
            "accettazione": {"upstreams": upstreams, "routes": {"repairs": route}}
        },
        "workspaces": {
            "museum": {
                "keys": [{"id": "first", "sha256": digest()}],
                "rate": 1000,
                "burst": 1000,
            }
        },
        "hosts": [{"id": host, "data_centre": "lecco", "peer_address": "127.0.0.1:1"}],
    }


@asynccontextmanager
async def small_fleet(host: str = "host-1") -> AsyncIterator[SmallFleet]:
    platform = StandinPlatform()
    platform_address = await platform.async_start(ANY_PORT)
    servers = [
        StandinUpstream(UpstreamOptions(f"s-{n}", "accettazione", service_seconds=0))
        for n in (1, 2)
    ]
    upstreams = [
        {
            "id": server.options.name,
            "address": str(await server.async_start(ANY_PORT)),
            "data_centre": "lecco",
            "slots": 3,
        }
        for server in servers
    ]
    settings = NodeSettings(
        host_id=HostId(host),
        data_centre=DataCentre("lecco"),
        callers=ANY_PORT,
        operators=ANY_PORT,
        peers=ANY_PORT,
        peer_address=ANY_PORT,
        platform=platform_address,
        drain_notice=timedelta(milliseconds=1),
    )
    node = HostNode(settings, SystemClock())
    fleet = SmallFleet(platform, node, settings_tree(upstreams, host))
    await platform.async_publish(fleet.tree)
    await node.async_start()
    try:
        await fleet.until(lambda c, now: c.is_ready(now))
        yield fleet
    finally:
        await node.async_stop()
        for server in servers:
            await server.async_stop()
        await platform.async_stop()


def json_of(text: str) -> Any:
    return json.loads(text)
