"""Provides a fleet that is shared by the read-only tests of a module."""

from collections.abc import AsyncIterator

import pytest_asyncio

from tests.fleet import Fleet, running_fleet


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    async with running_fleet(hosts=1, upstreams=2) as running:
        yield running
