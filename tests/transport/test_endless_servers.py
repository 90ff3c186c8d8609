"""A server that sends bytes without end beside a sound one, until the host closes.

Guards against requests that outlive their deadline, connections and slots that stay
taken, memory that grows, and a server that goes on getting requests.
"""

import asyncio
import tracemalloc
from collections.abc import Awaitable
from typing import Any

import pytest
from attrs import evolve, frozen

from catkinspan.coordination.balancing.const import MIN_CONNECTIONS_PER_HOST
from catkinspan.coordination.balancing.models import ServerRequest
from catkinspan.coordination.health.models import ServerView
from catkinspan.state.ids import ServerId, ServiceId
from tests.endless_server import CHUNKED, EndlessServer, Flood, running_server
from tests.fleet import Caller, Fleet, Reply, request, running_fleet

pytestmark = pytest.mark.asyncio

DEADLINE_SECONDS = 1.5
ATTEMPT_TIMEOUT_SECONDS = 0.7
MAX_LATE_SECONDS = 0.5
"""Time after its deadline by which a request must have its final answer."""

MAX_HOST_BYTES = 16 * 1024 * 1024
"""Memory that one endless response may take in the host, its server and its caller."""

FAILURES_TO_AVOID = 2
"""Failures after which a server beside a sound one gets trials only."""

MAX_NEWS_SECONDS = 1.0
"""Time until the choice takes failures into account."""

ENDLESS = ServerId("endless")
OK = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"400\r\n" + b"b" * 1024 + b"\r\n"

KNOWN_INVALID = {
    "noise-lines": Flood(b"", b"noise\r\n"),
    "no-newline": Flood(b"", b"x"),
    "blank-lines": Flood(b"", b"\r\n"),
    "binary": Flood(b"", bytes(range(256))),
}
"""Heads whose first bytes show that they are no response."""

HEADS = {
    "status-without-newline": Flood(b"HTTP/1.1 200 ", b"x"),
    "header-lines": Flood(OK, b"X-Line: more\r\n"),
    "one-header": Flood(OK + b"X-Line: ", b"x"),
    "informational": Flood(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
}
"""Heads that only their size shows to be no response."""

SLOW_HEADS = {
    f"slow-{mode}": evolve(flood, interval=0.05) for mode, flood in HEADS.items()
}
BODIES = {
    "chunked": Flood(CHUNKED, CHUNK),
    "noise-in-chunked": Flood(CHUNKED, b"noise\r\n"),
    "no-length": Flood(OK + b"X-Request-Id: {id}\r\nConnection: close\r\n\r\n", b"b"),
    "slow-chunked": Flood(CHUNKED, b"1\r\nb\r\n", interval=0.05),
}
FLOODS = KNOWN_INVALID | HEADS | SLOW_HEADS | BODIES
IN_TIME = KNOWN_INVALID | HEADS
"""Floods whose request needs no timeout to get its final answer."""


def short_deadline(tree: dict[str, Any]) -> None:
    tree["defaults"].update(
        deadline_ms=int(DEADLINE_SECONDS * 1000),
        attempt_timeout_ms=int(ATTEMPT_TIMEOUT_SECONDS * 1000),
        retry_ratio=1.0,
    )


@frozen
class Timed:
    """A reply and the seconds until it was complete."""

    reply: Reply
    seconds: float


async def timed(reply: Awaitable[Reply]) -> Timed:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    return Timed(await reply, loop.time() - started_at)


async def server_view(fleet: Fleet) -> ServerView:
    return await fleet.hosts[0].async_query(
        lambda coordinator, now: coordinator.health.server_view(ENDLESS, now)
    )


async def regular_choices(fleet: Fleet, count: int = 40) -> set[ServerId]:
    """Return the servers that non-idempotent requests would get now, without trials."""
    sent = ServerRequest(
        ServiceId("catalogue"), False, frozenset(), 0.1, DEADLINE_SECONDS, False
    )
    choices = await fleet.hosts[0].async_query(
        lambda coordinator, now: [
            coordinator.balancer.choose(sent, now).unwrap() for _ in range(count)
        ]
    )
    return {choice.upstream.id for choice in choices if not choice.is_trial}


async def wait_released(fleet: Fleet, server: EndlessServer) -> None:
    """Wait until the host has closed each flood and counts no request as running."""
    async with asyncio.timeout(MAX_LATE_SECONDS):
        while any(record.is_running for record in server.records):
            await asyncio.sleep(0.02)
    assert all(record.closed_by_host for record in server.records)
    assert (await server_view(fleet)).in_flight == 0


@pytest.mark.parametrize("mode", FLOODS)
async def test_endless_bytes_end_with_the_request(mode: str) -> None:
    """Guards against an endless answer that outlives its request in any respect."""
    async with (
        running_server(FLOODS) as (server, address),
        running_fleet(
            edit_tree=short_deadline, upstream_addresses={ENDLESS: address}
        ) as fleet,
    ):
        callers_address = fleet.hosts[0].callers_address
        target = f"/prints/{mode}"
        endless = asyncio.create_task(timed(request(callers_address, target, "POST")))
        await fleet.wait_until(lambda: server.records)
        for number in range(10):
            sound = await timed(request(callers_address, f"/suites/sound/{number}"))
            assert sound.reply.body == b"sound"
            assert sound.seconds <= DEADLINE_SECONDS
        ended = await endless
        limit = (
            ATTEMPT_TIMEOUT_SECONDS
            if mode in IN_TIME
            else DEADLINE_SECONDS + MAX_LATE_SECONDS
        )
        assert ended.seconds <= limit
        if mode in BODIES:
            assert not (ended.reply.status == 200 and ended.reply.complete)
        else:
            assert ended.reply.status == (504 if mode in SLOW_HEADS else 502)
            assert ended.reply.ran == "maybe"
        assert server.runs[target] == 1
        await wait_released(fleet, server)


@pytest.mark.parametrize("mode", [*KNOWN_INVALID, *HEADS, *SLOW_HEADS])
async def test_idempotent_request_is_served_by_another_server_in_time(
    mode: str,
) -> None:
    """Guards against a request whose time an endless head uses up."""
    async with (
        running_server(FLOODS) as (server, address),
        running_server({}) as (_, sound_address),
        running_fleet(
            edit_tree=short_deadline,
            upstream_addresses={ENDLESS: address, "sound": sound_address},
        ) as fleet,
    ):
        callers_address = fleet.hosts[0].callers_address
        for number in range(40):
            target = f"/suites/{mode}/{number}"
            answer = await timed(request(callers_address, target))
            assert (answer.reply.status, answer.reply.body) == (200, b"sound")
            assert answer.seconds <= DEADLINE_SECONDS
            if server.records:
                break
        assert server.records
        await wait_released(fleet, server)


@pytest.mark.parametrize("mode", FLOODS)
async def test_endless_server_counts_as_failing(mode: str) -> None:
    """Guards against a server that takes requests on, since it sent something."""
    async with (
        running_server(FLOODS) as (server, address),
        running_server({}) as (_, sound_address),
        running_fleet(
            edit_tree=short_deadline,
            upstream_addresses={ENDLESS: address, "sound": sound_address},
        ) as fleet,
    ):
        callers_address = fleet.hosts[0].callers_address
        before = (await server_view(fleet)).risk
        for number in range(40):
            await request(callers_address, f"/prints/{mode}/{number}", "POST")
            if len(server.records) == FAILURES_TO_AVOID:
                break
        assert server.records
        assert (await server_view(fleet)).risk > before
        async with asyncio.timeout(MAX_NEWS_SECONDS):
            while ENDLESS in await regular_choices(fleet):
                await asyncio.sleep(0.02)
        await wait_released(fleet, server)


@pytest.mark.parametrize("mode", ["chunked", "no-length", "header-lines"])
async def test_endless_answers_take_bounded_memory(mode: str) -> None:
    """Guards against a host that keeps what it has passed on, or what is no answer."""
    async with (
        running_server(FLOODS) as (server, address),
        running_fleet(
            edit_tree=short_deadline, upstream_addresses={ENDLESS: address}
        ) as fleet,
    ):
        caller = await Caller.connect(fleet.hosts[0].callers_address)
        tracemalloc.start()
        try:
            headers = [("Connection", "close")]
            caller.send_request(f"/prints/{mode}", "POST", headers=headers)
            while await caller.reader.read(65536):
                pass
        except ConnectionError:
            pass
        finally:
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            caller.close()
        assert peak_bytes <= MAX_HOST_BYTES
        await wait_released(fleet, server)


@pytest.mark.parametrize("mode", FLOODS)
async def test_endless_answers_give_their_connections_back(mode: str) -> None:
    """Guards against a limit of connections that closed ones use up."""

    def one_connection(tree: dict[str, Any]) -> None:
        short_deadline(tree)
        (upstream,) = tree["services"]["catalogue"]["upstreams"]
        upstream["max_connections"] = 1

    async with (
        running_server(FLOODS) as (server, address),
        running_fleet(
            edit_tree=one_connection, upstream_addresses={ENDLESS: address}
        ) as fleet,
    ):
        callers_address = fleet.hosts[0].callers_address
        for number in range(MIN_CONNECTIONS_PER_HOST):
            await request(callers_address, f"/prints/{mode}/{number}", "POST")
        assert len(server.records) == MIN_CONNECTIONS_PER_HOST
        reply = await request(callers_address, "/prints/sound", "POST")
        assert (reply.status, reply.body) == (200, b"sound")
