"""Endless answers over TLS, of failing servers, and while the request is given up.

Guards against connections that stay open, and bytes that are read for nobody.
"""

import asyncio
from typing import Any

import pytest
from attrs import evolve

from catkinspan.state.node import NodeSettings, TlsFiles
from tests.certificates import Authority, server_context
from tests.endless_server import CHUNKED, EndlessServer, Flood, running_server
from tests.fleet import TEST_TIMEOUT_SECONDS, Caller, Fleet, request, running_fleet

pytestmark = pytest.mark.asyncio

DEADLINE_MS = 1500
MAX_UNREAD_BYTES = 16 * 1024 * 1024
MAX_CLOSE_SECONDS = 5.0
"""Allows for a busy machine; a TLS connection that waits for its peer takes 30 s."""

CHUNK = b"400\r\n" + b"b" * 1024 + b"\r\n"
ERROR = CHUNKED.replace(b"200 OK", b"500 Internal Server Error")
OK = b"HTTP/1.1 200 OK\r\n"
FLOODS = {
    "no-newline": Flood(b"", b"x"),
    "informational": Flood(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunked": Flood(CHUNKED, CHUNK),
    "after-answer": Flood(b"{sound}", b"x"),
    "error": Flood(ERROR, CHUNK),
}
SLOW = {
    f"slow-{mode}": evolve(flood, interval=0.05, repeated=flood.repeated[-1:] or b"x")
    for mode, flood in FLOODS.items()
    if mode in ("no-newline", "after-answer")
}
SLOW["slow-chunked"] = Flood(CHUNKED, b"1\r\nb\r\n", interval=0.05)
SLOW["slow-error"] = Flood(ERROR, b"1\r\nb\r\n", interval=0.05)
FLOODS |= SLOW


def short_deadline(tree: dict[str, Any]) -> None:
    tree["defaults"].update(deadline_ms=DEADLINE_MS, target_latency_ms=5000)


async def wait_closed(fleet: Fleet, server: EndlessServer, mode: str) -> None:
    """Wait until the host has closed each connection with a flood."""
    async with asyncio.timeout(MAX_CLOSE_SECONDS):
        await fleet.wait_until(lambda: server.flood_records(mode))
        records = server.flood_records(mode)
        await fleet.wait_until(lambda: not any(r.is_running for r in records))
    assert all(record.closed_by_host for record in records)


@pytest.mark.parametrize("mode", FLOODS)
async def test_endless_bytes_over_tls_are_closed(tmp_path: Any, mode: str) -> None:
    """Guards against a TLS close that waits for a server which sends on."""
    authority = Authority(tmp_path)
    server_tls = server_context(authority.issue("endless", "endless"))

    def edit_settings(settings: NodeSettings) -> NodeSettings:
        return evolve(settings, upstreams_tls=TlsFiles(authority=authority.path))

    async with (
        running_server(FLOODS, server_tls) as (server, server_address),
        running_fleet(
            edit_tree=short_deadline,
            edit_settings=edit_settings,
            upstream_addresses={"endless": server_address},
        ) as fleet,
    ):
        address = fleet.hosts[0].callers_address
        reply = await request(address, f"/prints/{mode}", "POST")
        if "after-answer" in mode:
            assert (reply.status, reply.body, reply.complete) == (200, b"sound", True)
        elif reply.status in (502, 504):
            assert reply.ran == "maybe"
        else:
            assert not reply.complete
        await wait_closed(fleet, server, mode)
        assert (await request(address, "/suites/sound")).body == b"sound"
        assert server.runs[f"/prints/{mode}"] == 1
        if mode != "chunked" and mode != "error":
            assert server.flood_records(mode)[0].sent_bytes <= MAX_UNREAD_BYTES


@pytest.mark.parametrize("mode", ["error", "slow-error"])
async def test_endless_failure_is_cut_at_the_deadline(mode: str) -> None:
    """Guards against a 5xx answer without end, whose outcome is known at its head."""
    async with (
        running_server(FLOODS) as (server, server_address),
        running_fleet(
            edit_tree=short_deadline, upstream_addresses={"endless": server_address}
        ) as fleet,
    ):
        address = fleet.hosts[0].callers_address
        reply = await request(address, f"/prints/{mode}", "POST")
        assert (reply.status, reply.complete) in ((500, False), (0, False))
        await wait_closed(fleet, server, mode)
        assert server.runs[f"/prints/{mode}"] == 1


@pytest.mark.parametrize("mode", ["chunked", "slow-chunked", "slow-no-newline"])
async def test_endless_answer_ends_with_its_caller(mode: str) -> None:
    """Guards against a server that works on for a caller that has left."""

    def long_deadline(tree: dict[str, Any]) -> None:
        tree["defaults"]["deadline_ms"] = 60_000

    async with (
        running_server(FLOODS) as (server, server_address),
        running_fleet(
            edit_tree=long_deadline, upstream_addresses={"endless": server_address}
        ) as fleet,
    ):
        caller = await Caller.connect(fleet.hosts[0].callers_address)
        caller.send_request(f"/prints/{mode}", "POST")
        await fleet.wait_until(lambda: server.flood_records(mode))
        caller.writer.transport.abort()
        await wait_closed(fleet, server, mode)


@pytest.mark.parametrize("mode", ["chunked", "slow-chunked", "after-answer"])
async def test_endless_answer_does_not_hold_up_a_drain(mode: str) -> None:
    """Guards against a graceful shutdown that waits for an answer without end."""
    async with (
        running_server(FLOODS) as (server, server_address),
        running_fleet(
            edit_tree=short_deadline, upstream_addresses={"endless": server_address}
        ) as fleet,
    ):
        host = fleet.hosts[0]
        caller = await Caller.connect(host.callers_address)
        caller.send_request(f"/prints/{mode}", "POST")
        await fleet.wait_until(lambda: server.flood_records(mode))
        async with asyncio.timeout(MAX_CLOSE_SECONDS):
            assert await host.async_drain()
        reply = await caller.read_reply()
        assert reply.complete == (mode == "after-answer")
        await wait_closed(fleet, server, mode)
        caller.close()


async def test_endless_answer_of_a_hedged_request_is_cut_when_the_other_wins() -> None:
    def hedged(tree: dict[str, Any]) -> None:
        settings = {"target_latency_ms": 100, "deadline_ms": 20_000}
        tree["defaults"].update(settings, retry_ratio=1.0)

    mode = "slow-chunked"
    floods = {mode: FLOODS[mode]}
    async with (
        running_server(floods) as (endless_server, endless_address),
        running_server({}) as (_, sound_address),
        running_fleet(
            edit_tree=hedged,
            upstream_addresses={"endless": endless_address, "sound": sound_address},
        ) as fleet,
    ):
        address = fleet.hosts[0].callers_address
        for number in range(30):
            await request(address, f"/suites/sound/{number}")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            for number in range(20):
                await request(address, f"/suites/{mode}/{number}")
                if endless_server.flood_records(mode):
                    break
        await wait_closed(fleet, endless_server, mode)
