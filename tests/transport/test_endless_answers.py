"""Servers whose bytes are no answer, or belong to one that never ends, over sockets.

Guards against unbounded memory, hosts that serve nobody else meanwhile, requests that
outlive their deadline, and answers that look complete or not run although they ran.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio
from attrs import evolve, frozen

from catkinspan.coordination.health.observer import FAILURE_OUTCOMES
from tests.endless_server import CHUNKED, EndlessServer, Flood, running_server
from tests.fleet import Caller, Fleet, Reply, request, running_fleet

pytestmark = pytest.mark.asyncio(loop_scope="module")

DEADLINE_MS = 1500
ATTEMPT_TIMEOUT_MS = 700
"""Limits of the route with the floods; the sound requests have longer ones."""

MAX_UNREAD_BYTES = 16 * 1024 * 1024
"""Bytes that a server may send before an invalid answer is cut or an unread one stops;
the buffers of the kernel on both sides take most of them."""

OK = b"HTTP/1.1 200 OK\r\n"
OTHER = OK + b"X-Request-Id: other\r\n"

INVALID = {
    "no-newline": Flood(b"", b"x"),
    "status-without-newline": Flood(b"HTTP/1.1 200 ", b"x"),
    "header-lines": Flood(OK, b"X-Line: more\r\n"),
    "one-header": Flood(OK + b"X-Line: ", b"x"),
    "informational": Flood(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "noise-lines": Flood(b"", b"noise\r\n"),
    "noise-before-status": Flood(b"noise\r\n" + OK, b"X-Line: more\r\n"),
    "blank-lines": Flood(b"", b"\r\n"),
    "chunk-extension": Flood(CHUNKED + b"5;", b"e"),
    "chunk-size": Flood(CHUNKED, b"0"),
    "trailers": Flood(CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Trailer: more\r\n"),
    "other-body": Flood(OTHER + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "other-answers": Flood(b"", OTHER + b"Content-Length: 1\r\n\r\nx"),
}
"""Answers that can be known to be invalid after a bounded number of bytes."""

ENDLESS = {
    "chunked": Flood(CHUNKED, b"400\r\n" + b"b" * 1024 + b"\r\n"),
    "small-chunks": Flood(CHUNKED, b"1\r\nb\r\n"),
    "no-length": Flood(OK + b"X-Request-Id: {id}\r\nConnection: close\r\n\r\n", b"b"),
    "long-length": Flood(
        OK + b"X-Request-Id: {id}\r\nContent-Length: 99999999999999\r\n\r\n", b"b"
    ),
}
"""Bodies that may be valid, so that only the deadline ends them."""

AFTER_ANSWER = {
    "after-answer": Flood(b"{sound}", b"x"),
    "answers-after-answer": Flood(b"{sound}", OK + b"Content-Length: 1\r\n\r\nx"),
}
DURING_BODY = {
    "body-unread": evolve(INVALID["informational"], interval=0.3, reads_body=False),
    "body-unread-noise": Flood(b"", b"noise\r\n", 0.0, False),
    "body-unread-endless": evolve(ENDLESS["chunked"], reads_body=False),
}
SLOW = {
    f"slow-{mode}": evolve(flood, interval=0.05)
    for mode, flood in (INVALID | ENDLESS | AFTER_ANSWER).items()
}
FLOODS = INVALID | ENDLESS | AFTER_ANSWER | DURING_BODY | SLOW


@frozen
class EndlessFleet:
    fleet: Fleet
    server: EndlessServer

    @property
    def address(self) -> Any:
        return self.fleet.hosts[0].callers_address

    async def count_failures(self) -> int:
        """Return the attempts that count as failures of the server."""

        def read(coordinator: Any, now: float) -> int:
            attempts = coordinator.metrics.snapshot(now).attempts
            return sum(
                count
                for (_, kind), count in attempts.items()
                if kind in FAILURE_OUTCOMES
            )

        return await self.fleet.hosts[0].async_query(read)

    async def wait_closed(self, mode: str) -> None:
        """Wait until no flood runs; each must have been closed by the host."""
        records = self.server.flood_records(mode)
        await self.fleet.wait_until(lambda: not any(r.is_running for r in records))
        assert records
        assert all(record.closed_by_host for record in records)


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def endless() -> AsyncIterator[EndlessFleet]:
    def short_deadlines(tree: dict[str, Any]) -> None:
        tree["services"]["catalogue"]["routes"]["prints"]["settings"] = {
            "attempt_timeout_ms": ATTEMPT_TIMEOUT_MS,
            "deadline_ms": DEADLINE_MS,
            "target_latency_ms": 5000,
        }

    async with (
        running_server(FLOODS) as (server, address),
        running_fleet(
            edit_tree=short_deadlines, upstream_addresses={"endless": address}
        ) as fleet,
    ):
        yield EndlessFleet(fleet, server)


async def send_with_others(
    endless: EndlessFleet, target: str, method: str, body: bytes = b""
) -> tuple[Reply, int]:
    """Return the reply, and how many requests one after another got a sound answer."""
    first = asyncio.create_task(request(endless.address, target, method, body))
    served = 0
    for number in range(10):
        reply = await request(endless.address, f"/suites/sound/{number}")
        served += reply.body == b"sound"
    return await first, served


def assert_may_have_run(reply: Reply) -> None:
    """Check that the reply neither looks complete nor claims that nothing ran."""
    if reply.status in {502, 504}:
        assert (reply.ran, reply.complete) == ("maybe", True)
    else:
        assert reply.status in {0, 200}
        assert not reply.complete


@pytest.mark.parametrize("mode", [*INVALID, *(f"slow-{mode}" for mode in INVALID)])
async def test_endless_bytes_that_are_no_answer_end_as_a_failure(
    endless: EndlessFleet, mode: str
) -> None:
    target = f"/prints/{mode}"
    failures = await endless.count_failures()
    reply, served = await send_with_others(endless, target, "POST")
    assert_may_have_run(reply)
    await endless.wait_closed(mode)
    record = endless.server.flood_records(mode)[-1]
    assert record.sent_bytes <= MAX_UNREAD_BYTES
    assert endless.server.runs[target] == 1
    assert served == 10
    assert await endless.count_failures() == failures + 1


@pytest.mark.parametrize("mode", ["no-newline", "noise-lines", "noise-before-status"])
async def test_first_bytes_that_begin_no_answer_end_the_attempt(
    endless: EndlessFleet, mode: str
) -> None:
    """Guards against a wait for the rest of a head that cannot become valid."""
    reply = await request(endless.address, f"/prints/slow-{mode}/first", "POST")
    assert (reply.status, reply.ran) == (502, "maybe")


@pytest.mark.parametrize("mode", [*ENDLESS, *(f"slow-{mode}" for mode in ENDLESS)])
async def test_endless_body_is_cut_at_the_deadline(
    endless: EndlessFleet, mode: str
) -> None:
    target = f"/prints/{mode}"
    failures = await endless.count_failures()
    reply, served = await send_with_others(endless, target, "POST")
    assert_may_have_run(reply)
    await endless.wait_closed(mode)
    assert endless.server.runs[target] == 1
    assert served == 10
    assert await endless.count_failures() == failures + 1


@pytest.mark.parametrize("mode", ["chunked", "small-chunks", "no-length"])
async def test_endless_body_stops_while_its_caller_does_not_read(
    endless: EndlessFleet, mode: str
) -> None:
    """Guards against a host that buffers what its caller does not read."""
    before = len(endless.server.flood_records(mode))
    caller = await Caller.connect(endless.address)
    caller.writer.transport.pause_reading()
    caller.send_request(f"/prints/{mode}", "POST")
    records = endless.server.flood_records
    await endless.fleet.wait_until(lambda: len(records(mode)) > before)
    await endless.wait_closed(mode)
    assert records(mode)[-1].sent_bytes <= MAX_UNREAD_BYTES
    caller.close()


@pytest.mark.parametrize(
    "mode", [*AFTER_ANSWER, *(f"slow-{mode}" for mode in AFTER_ANSWER)]
)
async def test_endless_bytes_after_an_answer_reach_no_request(
    endless: EndlessFleet, mode: str
) -> None:
    caller = await Caller.connect(endless.address)
    for target in (f"/prints/{mode}", "/suites/sound/next"):
        caller.send_request(target)
        reply = await caller.read_reply()
        assert (reply.status, reply.body, reply.complete) == (200, b"sound", True)
        caller.start_next_cycle()
    caller.close()
    await endless.wait_closed(mode)
    assert endless.server.flood_records(mode)[-1].sent_bytes <= MAX_UNREAD_BYTES


@pytest.mark.parametrize("mode", DURING_BODY)
async def test_bytes_during_the_request_body_do_not_outlive_the_deadline(
    endless: EndlessFleet, mode: str
) -> None:
    """Guards against a request that waits only for its server to read the body."""
    target = f"/prints/{mode}"
    body = b"y" * 9_000_000
    reply, served = await send_with_others(endless, target, "POST", body)
    assert_may_have_run(reply)
    await endless.wait_closed(mode)
    assert endless.server.runs[target] == 1
    assert served == 10


async def test_idempotent_request_gets_the_answer_of_another_server() -> None:
    """Guards against a flood that takes a request which another server can answer."""
    modes = ("informational", "noise-lines", "other-answers", "chunk-extension")
    floods = {mode: INVALID[mode] for mode in modes}
    async with (
        running_server(floods) as (endless_server, endless_address),
        running_server({}) as (_, sound_address),
        running_fleet(
            edit_tree=lambda tree: tree["defaults"].update(retry_ratio=1.0),
            upstream_addresses={"endless": endless_address, "sound": sound_address},
        ) as fleet,
    ):
        address = fleet.hosts[0].callers_address
        for mode in modes * 3:
            reply = await request(address, f"/suites/{mode}")
            assert (reply.status, reply.body) == (200, b"sound")
        assert endless_server.records
