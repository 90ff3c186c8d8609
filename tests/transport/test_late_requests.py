"""Requests that reach a host late in its planned stop.

Guards against requests that are taken, passed on, and cut when the process ends.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import h11
from attrs import evolve

from catkinspan.daemon.node import HostNode
from catkinspan.standin.upstream import UpstreamOptions
from catkinspan.state.node import NodeSettings
from catkinspan.state.tree import Address
from tests.fleet import KEY, Caller, Fleet, Reply, request, running_fleet

WORK_SECONDS = 0.8
LIMIT_MS = 1000
DRAIN = timedelta(seconds=2.4)
DRAIN_NOTICE = timedelta(seconds=1)
SEND_INTERVAL_SECONDS = 0.1
PART = b"x" * 1000
PART_COUNT = 4
UPLOAD_SECONDS = 0.15
OPTIONS = UpstreamOptions("", "catalogue", 200, 50, WORK_SECONDS)

Send = Callable[[Address, str], Awaitable[Reply]]


def _short_drain(settings: NodeSettings) -> NodeSettings:
    return evolve(settings, drain=DRAIN, drain_notice=DRAIN_NOTICE)


def _limit(tree: dict[str, Any]) -> None:
    tree["defaults"] = {"deadline_ms": LIMIT_MS}


async def _send_on_new_connection(address: Address, target: str) -> Reply:
    return await request(address, target, "POST", PART)


async def _upload_in_parts(address: Address, target: str) -> Reply:
    caller = await Caller.connect(address)
    headers = [
        ("Host", "fleet.example"),
        ("Authorization", f"Bearer {KEY}"),
        ("Content-Length", str(len(PART) * PART_COUNT)),
    ]
    caller.send(h11.Request(method="POST", target=target, headers=headers))
    reply = asyncio.create_task(caller.read_reply())
    for _ in range(PART_COUNT):
        await asyncio.sleep(UPLOAD_SECONDS / PART_COUNT)
        if not reply.done():
            caller.send(h11.Data(data=PART))
    return await reply


class _KeptConnections:
    """Connections that have served a request before the host is stopped."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._callers: list[Caller] = []

    async def async_open(self, address: Address) -> None:
        for _ in range(self._count):
            caller = await Caller.connect(address)
            caller.send_request("/nowhere")
            assert (await caller.read_reply()).status == 404
            caller.start_next_cycle()
            self._callers.append(caller)

    async def send(self, address: Address, target: str) -> Reply:
        caller = self._callers.pop()
        caller.send_request(target, "POST", PART)
        return await caller.read_reply()


async def _send_during_stop(fleet: Fleet, send: Send, count: int) -> dict[str, Reply]:
    """Stop the first host; send it requests meanwhile and return their replies."""
    host = fleet.hosts[0]
    stopping = asyncio.create_task(_stop(host))
    sent: dict[str, asyncio.Task[Reply]] = {}
    for number in range(count):
        target = f"/prints/{number}"
        sent[target] = asyncio.create_task(_send(send, host.callers_address, target))
        await asyncio.sleep(SEND_INTERVAL_SECONDS)
    replies = {target: await reply for target, reply in sent.items()}
    assert await stopping
    return replies


async def _stop(host: HostNode) -> bool:
    is_drained = await host.async_drain()
    await host.async_stop()
    return is_drained


async def _send(send: Send, address: Address, target: str) -> Reply:
    try:
        return await send(address, target)
    except OSError:
        return Reply(0, {}, b"", complete=False)


def _check(fleet: Fleet, replies: dict[str, Reply]) -> None:
    """Check that each request has a whole response, which is true, or is not taken."""
    ran = {run.target for up in fleet.upstreams.values() for run in up.runs}
    for target, reply in replies.items():
        if target not in ran and reply.status == 0:
            continue
        assert reply.complete, target
        assert reply.status in ((200, 504) if target in ran else (503,)), target
        if reply.status == 503:
            assert reply.ran == "no"
            assert "retry-after" in reply.headers
            assert reply.headers["connection"] == "close"
    assert ran & set(replies)


async def test_late_requests_on_new_connections_are_served_or_refused() -> None:
    async with running_fleet(
        options=OPTIONS, edit_tree=_limit, edit_settings=_short_drain
    ) as fleet:
        replies = await _send_during_stop(fleet, _send_on_new_connection, 20)
        _check(fleet, replies)


async def test_late_requests_on_kept_connections_are_served_or_refused() -> None:
    async with running_fleet(
        hosts=3, options=OPTIONS, edit_tree=_limit, edit_settings=_short_drain
    ) as fleet:
        kept = _KeptConnections(10)
        await kept.async_open(fleet.hosts[0].callers_address)
        replies = await _send_during_stop(fleet, kept.send, 10)
        _check(fleet, replies)


async def test_late_uploads_are_served_or_refused() -> None:
    async with running_fleet(
        hosts=3, options=OPTIONS, edit_tree=_limit, edit_settings=_short_drain
    ) as fleet:
        replies = await _send_during_stop(fleet, _upload_in_parts, 20)
        _check(fleet, replies)
