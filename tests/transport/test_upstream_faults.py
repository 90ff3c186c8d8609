"""Upstream faults over sockets.

Guards against truncated responses, requests that run twice and false "not run".
"""

import asyncio
import json
from datetime import timedelta

import pytest
from attrs import evolve

from catkinspan.standin.upstream import UpstreamFaults, UpstreamOptions
from catkinspan.state.tree import Address
from tests.fleet import Caller, Fleet, request, running_fleet

pytestmark = pytest.mark.asyncio(loop_scope="module")


def set_faults(fleet: Fleet, faults: UpstreamFaults) -> None:
    for upstream in fleet.upstreams.values():
        upstream.set_faults(faults)


async def test_truncated_response_is_never_passed_on_as_complete() -> None:
    """Guards against a truncated response that looks complete, buffered or streamed."""
    for body_bytes in (5_000, 1_000_000):
        options = UpstreamOptions("", "catalogue", 50, 2, 0.0, body_bytes)
        async with running_fleet(options=options) as fleet:
            set_faults(fleet, UpstreamFaults(truncate_share=1.0))
            address = fleet.hosts[0].callers_address
            for target in ("/suites/1", "/suites/chunked"):
                reply = await request(address, target, "POST")
                held = body_bytes < 256 * 1024
                assert reply.complete is held
                if held:
                    assert (reply.status, reply.ran) == (502, "maybe")


async def test_idempotent_request_is_retried_on_another_server() -> None:
    async with running_fleet(upstreams=3) as fleet:
        first = next(iter(fleet.upstreams.values()))
        first.set_faults(UpstreamFaults(reset_share=1.0))
        address = fleet.hosts[0].callers_address
        replies = [await request(address, f"/suites/{n}") for n in range(6)]
        assert [reply.status for reply in replies] == [200] * 6


async def test_non_idempotent_request_runs_at_most_once() -> None:
    """Guards against a second run after a reset, and a false "not run"."""
    async with running_fleet(upstreams=3) as fleet:
        set_faults(fleet, UpstreamFaults(reset_share=0.5))
        address = fleet.hosts[0].callers_address
        replies = await asyncio.gather(
            *(request(address, f"/prints/{n}", "POST", b"x") for n in range(40))
        )
        counts: dict[str, int] = {}
        for upstream in fleet.upstreams.values():
            for run in upstream.runs:
                counts[run.target] = counts.get(run.target, 0) + 1
        assert max(counts.values()) == 1 or "/suites/warm" in counts
        for number, reply in enumerate(replies):
            runs = counts.get(f"/prints/{number}", 0)
            assert runs <= 1
            if reply.status != 200:
                assert reply.ran == ("no" if runs == 0 else "maybe")


async def test_request_to_a_stopped_server_is_retried() -> None:
    async with running_fleet(upstreams=2) as fleet:
        await next(iter(fleet.upstreams.values())).async_stop()
        address = fleet.hosts[0].callers_address
        replies = [await request(address, f"/prints/{n}", "POST") for n in range(4)]
        assert [reply.status for reply in replies] == [200] * 4


async def test_all_servers_stopped_is_reported_as_not_run() -> None:
    async with running_fleet() as fleet:
        await fleet.upstreams["catalogue-1"].async_stop()
        reply = await request(fleet.hosts[0].callers_address, "/prints/1", "POST")
        assert (reply.status, reply.ran) == (503, "no")
        assert "retry-after" in reply.headers


async def test_response_to_another_request_is_not_passed_on(fleet: Fleet) -> None:
    """Guards against the response to another request reaching the caller."""
    set_faults(fleet, UpstreamFaults(cross_share=1.0))
    reply = await request(fleet.hosts[0].callers_address, "/prints/1", "POST")
    assert (reply.status, reply.ran) == (504, "maybe")


async def test_late_bytes_never_reach_the_next_request(fleet: Fleet) -> None:
    """Guards against bytes after a response being read as the next response."""
    set_faults(fleet, UpstreamFaults(late_bytes_share=1.0))
    caller = await Caller.connect(fleet.hosts[0].callers_address)
    for number in range(5):
        caller.send_request(f"/suites/{number}")
        reply = await caller.read_reply()
        caller.start_next_cycle()
        assert json.loads(reply.body.rstrip(b"."))["target"] == f"/suites/{number}"


async def test_shed_request_is_reported_as_not_run(fleet: Fleet) -> None:
    set_faults(fleet, UpstreamFaults(shed_all=True))
    before = fleet.count_runs()
    reply = await request(fleet.hosts[0].callers_address, "/prints/1", "POST")
    assert (reply.status, reply.ran) == (503, "no")
    assert fleet.count_runs() == before


async def test_upstream_error_is_passed_on_whole(fleet: Fleet) -> None:
    set_faults(fleet, UpstreamFaults(error_share=1.0))
    reply = await request(fleet.hosts[0].callers_address, "/prints/1", "POST")
    assert (reply.status, reply.body) == (500, b"fault\n")


async def test_hang_ends_at_the_deadline() -> None:
    def short_deadlines(tree: dict) -> None:
        tree["defaults"] = {"attempt_timeout_ms": 300, "deadline_ms": 1000}

    async with running_fleet(edit_tree=short_deadlines) as fleet:
        set_faults(fleet, UpstreamFaults(hang=True))
        reply = await request(fleet.hosts[0].callers_address, "/prints/1", "POST")
        assert (reply.status, reply.ran) == (504, "maybe")


async def test_caller_disconnect_cancels_the_upstream_request(fleet: Fleet) -> None:
    upstream = fleet.upstreams["catalogue-1"]
    set_faults(fleet, UpstreamFaults(hang=True))
    caller = await Caller.connect(fleet.hosts[0].callers_address)
    caller.send_request("/suites/leaves")
    await fleet.wait_until(lambda: upstream.runs[-1].target == "/suites/leaves")
    caller.close()
    await fleet.wait_until(lambda: upstream.cancelled_count == 1)


async def test_hedge_answers_while_the_first_attempt_hangs() -> None:
    def low_target_latency(tree: dict) -> None:
        tree["defaults"] = {"target_latency_ms": 200, "deadline_ms": 5000}

    async with running_fleet(upstreams=2, edit_tree=low_target_latency) as fleet:
        address = fleet.hosts[0].callers_address
        for number in range(20):
            await request(address, f"/suites/{number}")
        slow = fleet.upstreams["catalogue-1"]
        slow.set_faults(UpstreamFaults(hang=True))
        replies = [await request(address, f"/suites/h{n}") for n in range(2)]
        assert [reply.status for reply in replies] == [200, 200]


async def test_unreachable_platform_does_not_stop_the_fleet() -> None:
    async with running_fleet(hosts=2) as fleet:
        await fleet.platform.async_stop()
        for host in fleet.hosts:
            assert (await request(host.callers_address, "/suites/1")).status == 200


async def test_drain_aborts_no_request() -> None:
    """Guards against a graceful shutdown that drops a running request."""
    options = UpstreamOptions("", "catalogue", 50, 2, service_seconds=0.5)
    async with running_fleet(options=options) as fleet:
        host = fleet.hosts[0]
        idle = await Caller.connect(host.callers_address)
        running = [
            asyncio.create_task(request(host.callers_address, f"/prints/{n}", "POST"))
            for n in range(10)
        ]
        await fleet.wait_until(
            lambda: sum("prints" in r.target for r in _runs(fleet)) == 10,
        )
        assert await host.async_drain()
        replies = await asyncio.gather(*running)
        assert [(r.status, r.complete) for r in replies] == [(200, True)] * 10
        assert all(r.headers.get("connection") == "close" for r in replies)
        assert await idle.reader.read() == b""


async def test_request_accepted_during_the_drain_is_answered() -> None:
    """Guards against a process that ends when the connections of the begin of its stop
    have ended, and cuts those that it accepted since."""

    def short_notice(settings):
        return evolve(
            settings,
            drain=timedelta(seconds=10),
            drain_notice=timedelta(milliseconds=100),
        )

    options = UpstreamOptions("", "catalogue", 200, 20, 0.5)
    async with running_fleet(options=options, edit_settings=short_notice) as fleet:
        host = fleet.hosts[0]
        address = host.callers_address
        replies = [asyncio.create_task(request(address, "/prints/0", "POST", b"x"))]
        await fleet.wait_until(lambda: fleet.count_runs() >= 1)

        async def stop() -> None:
            await host.async_drain()
            await host.async_stop()

        stopping = asyncio.create_task(stop())
        for number in range(1, 3):
            await asyncio.sleep(0.2)
            sent = request(address, f"/prints/{number}", "POST", b"x")
            replies.append(asyncio.create_task(sent))
        answered = await asyncio.gather(*replies)
        await stopping
    assert [(r.status, r.complete) for r in answered] == [(200, True)] * 3


async def test_unused_connection_does_not_hold_a_drain_until_its_end() -> None:
    """Guards against a process that is killed since a caller opened a connection during
    the drain and sends nothing on it."""

    def long_drain(settings):
        return evolve(
            settings,
            drain=timedelta(seconds=10),
            drain_notice=timedelta(milliseconds=100),
        )

    options = UpstreamOptions("", "catalogue", 200, 20, 0.5)
    async with running_fleet(options=options, edit_settings=long_drain) as fleet:
        host = fleet.hosts[0]
        running = asyncio.create_task(
            request(host.callers_address, "/prints/0", "POST", b"x")
        )
        await fleet.wait_until(lambda: fleet.count_runs() >= 1)
        draining = asyncio.create_task(host.async_drain())
        await asyncio.sleep(0.2)
        unused = await Caller.connect(host.callers_address)
        assert await draining
        assert (await running).status == 200
        assert await unused.reader.read() == b""


async def test_balancer_check_fails_before_the_drain_refuses_anything() -> None:
    async with running_fleet() as fleet:
        host = fleet.hosts[0]
        address = host.callers_address
        assert (await request(address, "/healthz", key=None)).status == 200
        draining = asyncio.create_task(host.async_drain())
        await asyncio.sleep(0.01)
        assert (await request(address, "/healthz", key=None)).status == 503
        await draining


def _runs(fleet: Fleet) -> list:
    return [run for up in fleet.upstreams.values() for run in up.runs]


async def test_many_idle_connections_are_bounded() -> None:
    """Guards against idle callers that exhaust the host's memory."""

    def limited_connections(settings):
        return evolve(settings, http=evolve(settings.http, max_connections=20))

    async with running_fleet(edit_settings=limited_connections) as fleet:
        address: Address = fleet.hosts[0].callers_address
        callers = [await Caller.connect(address) for _ in range(30)]
        closed = 0
        for caller in callers[20:]:
            closed += (await caller.reader.read()) == b""
        assert closed == 10
        for caller in callers:
            caller.close()
