"""Guards against a restarted host that its peers take for an older process."""

import asyncio
from datetime import datetime, timedelta

from attrs import evolve

from catkinspan.coordination.host.coordinator import HostCoordinator
from catkinspan.daemon.clock import SystemClock
from catkinspan.daemon.node import HostNode
from tests.fleet import SAFETY_SECONDS, request, running_fleet


class LateClock(SystemClock):
    """A clock that is an hour behind that of the process before."""

    def now(self) -> datetime:
        return super().now() - timedelta(hours=1)


def is_minting(coordinator: HostCoordinator, now: float) -> bool:
    return coordinator.rates.snapshot(now).minting


async def test_host_with_a_clock_behind_its_predecessors_mints_again() -> None:
    async with running_fleet(hosts=2) as fleet:
        old = fleet.hosts[1]
        await old.async_stop()
        new = HostNode(evolve(old.settings), LateClock())
        fleet.hosts[1] = new
        await new.async_start()
        try:
            async with asyncio.timeout(SAFETY_SECONDS):
                while not await new.async_query(is_minting):
                    await asyncio.sleep(0.05)
                while (await request(new.callers_address, "/suites/1")).status != 200:
                    await asyncio.sleep(0.05)
            assert not await new.async_query(lambda c, _: c.membership.superseded)
        finally:
            await new.async_stop()
