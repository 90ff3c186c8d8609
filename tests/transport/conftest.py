"""A fleet shared by the tests of a module, since its start takes seconds."""

from collections.abc import AsyncIterator

import pytest_asyncio

from catkinspan.standin.upstream import UpstreamFaults
from tests.fleet import Fleet, running_fleet


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def shared_fleet() -> AsyncIterator[Fleet]:
    async with running_fleet() as fleet:
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def fleet(shared_fleet: Fleet) -> AsyncIterator[Fleet]:
    """Yield the shared fleet; clear the upstreams' faults afterwards."""
    yield shared_fleet
    for upstream in shared_fleet.upstreams.values():
        upstream.set_faults(UpstreamFaults())
