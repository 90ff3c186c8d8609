"""Helpers for the tests of the operators' commands and listener."""

import asyncio
from typing import Any

from catkinspan.daemon.cli import main
from tests.fleet import TEST_TIMEOUT_SECONDS, Fleet

ROUTE = "catalogue/suites"


async def run_cli(fleet: Fleet, *arguments: str) -> int:
    """Run a command against the first host and return its exit status."""
    operators = ["--operators", str(fleet.hosts[0].operators_address)]
    return await asyncio.to_thread(main, [*arguments, *operators])


async def wait_until(fleet: Fleet, condition: Any) -> None:
    """Wait until a condition holds for the coordinator of the first host."""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not await fleet.hosts[0].async_query(condition):  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def publish_tree(fleet: Fleet) -> None:
    """Publish the settings tree and wait until all hosts have applied it."""
    await fleet.publish()
    await fleet.wait_revision(fleet.platform.revision)
