"""A small fleet on loopback with stand-ins for platform and upstreams."""

import asyncio
import hashlib
from datetime import timedelta
from typing import Any

from catkinspan.daemon.clock import SystemClock
from catkinspan.daemon.node import HostNode
from catkinspan.standin.platform import StandinPlatform
from catkinspan.standin.upstream import StandinUpstream, UpstreamOptions
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.node import NodeSettings
from catkinspan.state.tree import Address

LOOPBACK = "127.0.0.1"
DEMO_KEY = "demo-key-of-workspace-museo-0001"
"""Fixed, so that the printed commands work; real keys are random."""

ARCHIVIO_KEY = "demo-key-of-workspace-archivio-02"
DATA_CENTRES = ("tirano", "tirano", "tirano")
"""Data centre of each host."""

SERVERS_PER_SERVICE = {"accettazione": 4, "laboratorio": 3}
START_TIMEOUT_SECONDS = 10.0

PLATFORM_PORT_OFFSET = 0
CALLERS_PORT_OFFSET = 10
OPERATORS_PORT_OFFSET = 20
PEERS_PORT_OFFSET = 30
UPSTREAMS_PORT_OFFSET = 40


class DemoFleet:
    """Stand-in platform, two services and three entry hosts."""

    def __init__(
        self, first_port: int, slots: int = 3, service_seconds: float = 0.01
    ) -> None:
        self._first_port = first_port
        self._slots = slots
        self._service_seconds = service_seconds
        self._platform = StandinPlatform()
        self._upstreams = self._new_upstreams()
        self._hosts = [self._new_host(i) for i in range(len(DATA_CENTRES))]

    @property
    def platform(self) -> StandinPlatform:
        """Return the stand-in platform."""
        return self._platform

    @property
    def upstreams(self) -> list[tuple[Address, StandinUpstream]]:
        """Return the stand-in upstream servers with their addresses."""
        return self._upstreams

    @property
    def hosts(self) -> list[HostNode]:
        """Return the entry hosts."""
        return self._hosts

    async def async_start(self) -> None:
        """Start the fleet and wait until the hosts are ready."""
        await self._platform.async_start(self._address(PLATFORM_PORT_OFFSET))
        await self._platform.async_publish(self.settings_tree())
        for address, upstream in self._upstreams:
            await upstream.async_start(address)
        for host in self._hosts:
            await host.async_start()
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            for host in self._hosts:
                await self._async_wait_ready(host)

    async def async_stop(self) -> None:
        """Stop the fleet without waiting for running requests."""
        for host in self._hosts:
            await host.async_stop()
        for _, upstream in self._upstreams:
            await upstream.async_stop()
        await self._platform.async_stop()

    def settings_tree(self) -> dict[str, Any]:
        """Return the settings that the platform publishes at start."""
        return {
            "defaults": {"deadline_ms": 5000},
            "services": {
                name: self._service_settings(name) for name in SERVERS_PER_SERVICE
            },
            "workspaces": {
                "museo": _workspace_settings(DEMO_KEY, rate=200, burst=400),
                "archivio": _workspace_settings(ARCHIVIO_KEY, rate=5, burst=10),
            },
        }

    def instructions(self) -> str:
        """Return the addresses of the fleet and example commands."""
        callers = [str(host.settings.callers) for host in self._hosts]
        operators = str(self._hosts[0].settings.operators)
        platform = self._address(PLATFORM_PORT_OFFSET)
        upstream = self._upstreams[0][0]
        lines = [
            "catkinspan demo: 3 entry hosts, 2 services, 1 stand-in platform",
            f"  callers:   {', '.join(callers)}",
            f"  operators: {operators}",
            f"  platform:  {platform}",
            f"  key:       {DEMO_KEY}",
            "",
            "Send a request through the fleet:",
            f"  curl -i -H 'Authorization: Bearer {DEMO_KEY}' "
            f"http://{callers[0]}/repairs/17",
            "Send a non-idempotent request:",
            f"  curl -i -X POST -H 'Authorization: Bearer {DEMO_KEY}' "
            f"-d amount=20 http://{callers[1]}/deposits",
            "Send a request that is refused because it has no key:",
            f"  curl -i http://{callers[2]}/repairs/17",
            "Make a server answer half of its requests with an error, send load, and "
            "show the cause:",
            f"  curl -d '{{\"error_share\": 0.5}}' http://{upstream}/operators/fault",
            "  seq 400 | xargs -P 12 -I{} curl -s -o /dev/null "
            f"-H 'Authorization: Bearer {DEMO_KEY}' http://{callers[0]}/repairs/{{}}",
            f"  catkinspan status accettazione --operators {operators}",
            "Make the store unavailable, and available again:",
            f"  curl -X POST 'http://{platform}/operators/mode?name=down'",
            f"  curl -X POST 'http://{platform}/operators/mode?name=ok'",
            "",
            "Press Ctrl-C to stop the demo.",
        ]
        return "\n".join(lines)

    def _address(self, offset: int) -> Address:
        return Address(LOOPBACK, self._first_port + offset)

    def _new_upstreams(self) -> list[tuple[Address, StandinUpstream]]:
        upstreams: list[tuple[Address, StandinUpstream]] = []
        for service, count in SERVERS_PER_SERVICE.items():
            for number in range(1, count + 1):
                options = UpstreamOptions(
                    name=f"{service}-{number}",
                    service=service,
                    slots=self._slots,
                    service_seconds=self._service_seconds,
                    seed=len(upstreams),
                )
                address = self._address(UPSTREAMS_PORT_OFFSET + len(upstreams))
                upstreams.append((address, StandinUpstream(options)))
        return upstreams

    def _new_host(self, index: int) -> HostNode:
        settings = NodeSettings(
            host_id=HostId(f"host-{index + 1}"),
            data_centre=DataCentre(DATA_CENTRES[index]),
            callers=self._address(CALLERS_PORT_OFFSET + index),
            operators=self._address(OPERATORS_PORT_OFFSET + index),
            peers=self._address(PEERS_PORT_OFFSET + index),
            peer_address=self._address(PEERS_PORT_OFFSET + index),
            platform=self._address(PLATFORM_PORT_OFFSET),
            seeds=(
                self._address(PEERS_PORT_OFFSET),
                self._address(PEERS_PORT_OFFSET + 1),
            ),
            drain_notice=timedelta(milliseconds=200),
        )
        return HostNode(settings, SystemClock())

    def _service_settings(self, name: str) -> dict[str, Any]:
        upstreams = [
            {
                "id": upstream.options.name,
                "address": str(address),
                "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
                "slots": upstream.options.slots,
            }
            for index, (address, upstream) in enumerate(self._upstreams)
            if upstream.options.service == name
        ]
        return {"upstreams": upstreams, "routes": _ROUTES[name]}

    async def _async_wait_ready(self, host: HostNode) -> None:
        # Polls, since readiness also depends on time and no event signals it.
        while not await host.async_query(lambda c, now: c.is_ready(now)):  # noqa: ASYNC110
            await asyncio.sleep(0.05)


_ROUTES: dict[str, dict[str, Any]] = {
    "accettazione": {
        "repairs": {"match": {"methods": ["GET"], "path_prefix": "/repairs"}},
        "deposits": {"match": {"methods": ["POST"], "path_prefix": "/deposits"}},
        "catalogue": {
            "match": {"methods": ["GET"], "path_prefix": "/catalogue"},
            "settings": {"open": True},
        },
    },
    "laboratorio": {
        "jobs": {"match": {"path_prefix": "/jobs"}},
    },
}


def _workspace_settings(key: str, rate: float, burst: float) -> dict[str, Any]:
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {
        "keys": [{"id": "first", "sha256": digest}],
        "rate": rate,
        "burst": burst,
    }
