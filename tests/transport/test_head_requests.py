"""HEAD requests that the proxy answers itself.

Guards against a connection that is closed without an answer, since a response to HEAD
may have no body.
"""

from typing import Any

import pytest

from catkinspan.standin.upstream import UpstreamFaults
from tests.fleet import KEY, Caller, Fleet, Reply, running_fleet

TIMEOUT_MS = 300
FAULTS: dict[int, UpstreamFaults] = {
    504: UpstreamFaults(hang=True),
    502: UpstreamFaults(reset_share=1.0),
    503: UpstreamFaults(shed_all=True),
}


def _short_limit(tree: dict[str, Any]) -> None:
    tree["defaults"] = {"deadline_ms": TIMEOUT_MS}


async def _head(fleet: Fleet, target: str, key: str | None) -> Reply:
    """Send HEAD on a connection on which HEAD has been answered before."""
    caller = await Caller.connect(fleet.hosts[0].callers_address)
    try:
        caller.send_request("/nowhere", "HEAD")
        first = await caller.read_reply()
        assert (first.status, first.complete, first.body) == (404, True, b"")
        caller.start_next_cycle()
        caller.send_request(target, "HEAD", key=key)
        return await caller.read_reply()
    finally:
        caller.close()


def _check(reply: Reply, status: int) -> None:
    assert (reply.status, reply.complete, reply.body) == (status, True, b"")
    assert int(reply.headers["content-length"]) > 0


@pytest.mark.parametrize("status", FAULTS)
async def test_head_request_that_fails_gets_the_status(status: int) -> None:
    async with running_fleet(edit_tree=_short_limit) as fleet:
        (server,) = fleet.upstreams.values()
        server.set_faults(FAULTS[status])
        _check(await _head(fleet, "/suites/1", KEY), status)


async def test_refused_head_request_gets_the_status() -> None:
    async with running_fleet() as fleet:
        _check(await _head(fleet, "/suites/1", None), 401)
        _check(await _head(fleet, "/nowhere", KEY), 404)
        _check(await _head(fleet, "/suites//1", KEY), 400)
        _check(await _head(fleet, f"/suites/{KEY}", KEY), 400)


async def test_refused_head_request_leaves_the_connection_usable() -> None:
    """Guards against a length without a body that shifts the next response."""
    async with running_fleet() as fleet:
        caller = await Caller.connect(fleet.hosts[0].callers_address)
        for method, target, status in (
            ("HEAD", "/nowhere", 404),
            ("GET", "/nowhere", 404),
            ("HEAD", "/suites/1", 200),
            ("GET", "/suites/1", 200),
        ):
            caller.send_request(target, method)
            reply = await caller.read_reply()
            assert (reply.status, reply.complete) == (status, True)
            assert bool(reply.body) == (method == "GET")
            caller.start_next_cycle()
        caller.close()
