"""Tests of the whole request path with separate processes, as in a deployment."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
from attrs import define

from catkinspan.state.tree import Address
from catkinspan.transport.http_client import FetchError, async_fetch
from tests.fleet import (
    TEST_TIMEOUT_SECONDS,
    free_addresses,
    node_settings,
    request,
    settings_tree,
)


@define
class ProcessFleet:
    platform: Address
    upstreams: list[Address]
    callers: list[Address]
    processes: list[asyncio.subprocess.Process]
    """Platform, upstreams and hosts, in this order."""

    tree: dict[str, Any]
    operators: list[Address]
    host_files: list[Path]

    async def start_host(self, index: int) -> asyncio.subprocess.Process:
        return await start_process("serve", "--settings", str(self.host_files[index]))

    @property
    def hosts(self) -> list[asyncio.subprocess.Process]:
        return self.processes[1 + len(self.upstreams) :]

    async def publish(self) -> None:
        body = orjson.dumps(self.tree)
        answer = await async_fetch(
            self.platform, "/operators/settings", 5.0, method="PUT", body=body
        )
        assert answer.status == 200


async def start_process(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "catkinspan",
        *arguments,
        stderr=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": "src"},
    )


@asynccontextmanager
async def running_processes(folder: Path, hosts: int) -> AsyncIterator[ProcessFleet]:
    platform, *rest = free_addresses(3 + hosts)
    upstreams, callers = rest[:2], rest[2:]
    peers = free_addresses(hosts)
    nodes = [node_settings(index, platform, peers) for index in range(hosts)]
    names = {f"catalogue-{n}": address for n, address in enumerate(upstreams, 1)}
    tree = settings_tree(names, 3)
    (folder / "tree.json").write_text(json.dumps(tree))
    processes = [
        await start_process(
            "standin",
            "platform",
            "--listen",
            str(platform),
            "--tree",
            str(folder / "tree.json"),
        )
    ]
    for name, address in names.items():
        processes.append(
            await start_process(
                "standin", "upstream", "--listen", str(address), "--name", name
            )
        )
    for node, address in zip(nodes, callers, strict=True):
        path = folder / f"{node.host_id}.json"
        settings = {
            "host_id": node.host_id,
            "data_centre": node.data_centre,
            "callers": str(address),
            "operators": str(node.operators),
            "peers": str(node.peers),
            "platform": str(platform),
            "seeds": [str(seed) for seed in node.seeds],
            "drain_notice_ms": 100,
        }
        path.write_text(json.dumps(settings))
        processes.append(await start_process("serve", "--settings", str(path)))
    fleet = ProcessFleet(
        platform,
        upstreams,
        callers,
        processes,
        tree,
        [node.operators for node in nodes],
        [folder / f"{node.host_id}.json" for node in nodes],
    )
    try:
        for address in callers:
            await wait_status(address, "/suites/1", 200)
        yield fleet
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def wait_status(address: Address, target: str, status: int) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while True:
            try:
                if (await request(address, target)).status == status:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)


async def runs_by_request(fleet: ProcessFleet) -> dict[str, int]:
    counts: dict[str, int] = {}
    for address in fleet.upstreams:
        try:
            answer = await async_fetch(address, "/operators/runs", 5.0)
        except FetchError:
            continue
        for request_id, count in orjson.loads(answer.body).items():
            counts[request_id] = counts.get(request_id, 0) + count
    return counts


async def test_change_reaches_every_host_and_sigterm_exits_with_zero(
    tmp_path: Path,
) -> None:
    """Guards against hosts that miss a change, and a SIGTERM that aborts requests."""
    async with running_processes(tmp_path, hosts=2) as fleet:
        fleet.tree["services"]["catalogue"]["routes"]["late"] = {
            "match": {"path_prefix": "/late"}
        }
        await fleet.publish()
        for address in fleet.callers:
            await wait_status(address, "/late/1", 200)
        fleet.tree["workspaces"]["studio"]["keys"] = []
        await fleet.publish()
        for address in fleet.callers:
            await wait_status(address, "/suites/1", 401)
        first = fleet.hosts[0]
        first.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert await first.wait() == 0


async def test_killed_process_never_yields_a_partial_response(tmp_path: Path) -> None:
    """Guards against a crashed upstream or host whose response looks complete."""
    async with running_processes(tmp_path, hosts=2) as fleet:
        address = fleet.callers[0]
        sending = [
            asyncio.create_task(request(address, f"/suites/{n}", "POST", b"x" * 2000))
            for n in range(30)
        ]
        await asyncio.sleep(0.02)
        fleet.processes[1].kill()
        replies = await asyncio.gather(*sending)
        counts = await runs_by_request(fleet)
        assert not counts or max(counts.values()) == 1
        for reply in replies:
            if reply.complete and reply.status == 200:
                body = json.loads(reply.body.rstrip(b"."))
                assert body["request_id"] == reply.headers["x-request-id"]
        fleet.hosts[0].kill()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await fleet.hosts[0].wait()
        await wait_status(fleet.callers[1], "/suites/2", 200)


async def test_bad_settings_exit_with_status_2(tmp_path: Path) -> None:
    path = tmp_path / "host.json"
    path.write_text('{"host_id": "a", "callers": "nowhere"}')
    process = await start_process("serve", "--settings", str(path))
    assert await process.wait() == 2
    process = await start_process("check", str(path))
    assert await process.wait() == 2


async def test_restarted_host_is_seen_alive_again(tmp_path: Path) -> None:
    """Guards against links that keep writing to the connection of a dead process."""
    async with running_processes(tmp_path, hosts=2) as fleet:
        second = fleet.hosts[1]
        second.kill()
        await second.wait()
        fleet.processes.append(await fleet.start_host(1))
        async with asyncio.timeout(2 * TEST_TIMEOUT_SECONDS):
            while await known_host_statuses(fleet.operators[1]) != {"alive"}:
                await asyncio.sleep(0.1)
            while await known_host_statuses(fleet.operators[0]) != {"alive"}:
                await asyncio.sleep(0.1)


async def known_host_statuses(operators: Address) -> set[str]:
    """Return the statuses of all hosts that a host knows; empty without a response."""
    try:
        answer = await async_fetch(operators, "/v1/hosts", 5.0)
    except FetchError:
        return set()
    report = orjson.loads(answer.body)
    return {host["status"] for host in report["hosts"]}
