"""The task that asks the health endpoints of the upstream servers."""

import asyncio
import ssl
from collections.abc import Callable
from random import Random

from catkinspan.coordination.clock import Clock
from catkinspan.state.ids import ServerId, ServiceId
from catkinspan.state.tree import SettingsTree, Upstream
from catkinspan.transport.http_client import FetchError, async_fetch
from catkinspan.transport.mailbox import Mailbox

HEALTH_TARGET = "/healthz"
PROBE_TIMEOUT_SECONDS = 1.0
PROBES_AT_ONCE = 8
TREES = 16
"""Settings trees that may wait in the inbox; only the latest one counts."""

OnResult = Callable[[ServiceId, ServerId, bool, float], None]


class ProberTask:
    """Probes each server once an interval, spread evenly over it."""

    def __init__(
        self,
        interval: float,
        on_result: OnResult,
        clock: Clock,
        rng: Random,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._interval = interval
        self._on_result = on_result
        self._clock = clock
        self._rng = rng
        self._tls = tls
        self._inbox: Mailbox[SettingsTree] = Mailbox(TREES)
        self._servers: list[tuple[ServiceId, Upstream]] = []

    def apply_tree(self, tree: SettingsTree) -> None:
        """Probe the servers of a new tree from now on."""
        self._inbox.force(tree)

    async def async_run(self) -> None:
        """Probe until cancelled."""
        while True:
            self._servers = await self._async_servers()
            self._rng.shuffle(self._servers)
            gap = self._interval / max(1, len(self._servers))
            limit = asyncio.Semaphore(PROBES_AT_ONCE)
            async with asyncio.TaskGroup() as group:
                for service, upstream in self._servers:
                    async with limit:
                        group.create_task(self._async_probe(service, upstream))
                    await asyncio.sleep(gap)

    async def _async_servers(self) -> list[tuple[ServiceId, Upstream]]:
        tree: SettingsTree | None = None
        while len(self._inbox) or (tree is None and not self._servers):
            tree = await self._inbox.async_get()
        if tree is None:
            return self._servers
        return [
            (service.id, upstream)
            for service in tree.services.values()
            for upstream in service.upstreams
        ]

    async def _async_probe(self, service: ServiceId, upstream: Upstream) -> None:
        started = self._clock.monotonic()
        try:
            answer = await async_fetch(
                upstream.address,
                HEALTH_TARGET,
                PROBE_TIMEOUT_SECONDS,
                self._tls,
                server=upstream.id,
            )
            ok = answer.status < 500
        except FetchError:
            ok = False
        latency = self._clock.monotonic() - started
        self._on_result(service, upstream.id, ok, latency)
