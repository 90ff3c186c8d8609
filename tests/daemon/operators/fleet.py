"""Commands and conditions for tests of the operators' side."""

import asyncio
from typing import Any

from catkinspan.daemon.cli import main
from tests.fleet import SAFETY_SECONDS, Fleet

ROUTE = "catalogue/suites"


async def run_cli(fleet: Fleet, *arguments: str) -> int:
    """Run a command against the first host and return its exit status."""
    operators = ["--operators", str(fleet.hosts[0].operators_address)]
    return await asyncio.to_thread(main, [*arguments, *operators])


async def until(fleet: Fleet, condition: Any) -> None:
    """Wait until a condition on the first host's coordinator holds."""
    async with asyncio.timeout(SAFETY_SECONDS):
        while not await fleet.hosts[0].async_query(condition):  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def publish(fleet: Fleet) -> None:
    """Publish the fleet's tree and wait until it is in force."""
    await fleet.publish()
    await fleet.wait_revision(fleet.platform.revision)
