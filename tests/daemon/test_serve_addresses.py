"""Tests `catkinspan serve` with an address that another process has taken."""

import asyncio
import json
import os
import socket
import sys
from pathlib import Path

import pytest

from catkinspan.daemon.cli.const import EXIT_FAILED
from tests.fleet import TEST_TIMEOUT_SECONDS, free_addresses

LOOPBACK = "127.0.0.1"
ANY_PORT = f"{LOOPBACK}:0"


@pytest.mark.parametrize(
    ("name", "socket_type"),
    [
        ("peers", socket.SOCK_STREAM),
        ("peers", socket.SOCK_DGRAM),
        ("operators", socket.SOCK_STREAM),
        ("callers", socket.SOCK_STREAM),
    ],
)
async def test_taken_address_ends_with_one_line(
    tmp_path: Path, name: str, socket_type: socket.SocketKind
) -> None:
    """Guards against a traceback after the message that names the remedy."""
    path = tmp_path / "host.json"
    (platform,) = map(str, free_addresses(1))
    with socket.socket(socket.AF_INET, socket_type) as taken:
        taken.bind((LOOPBACK, 0))
        if socket_type is socket.SOCK_STREAM:
            taken.listen()
        settings = {
            "host_id": "host-1",
            "data_centre": "perth-1",
            "callers": ANY_PORT,
            "operators": ANY_PORT,
            "peers": ANY_PORT,
            "platform": platform,
            name: f"{LOOPBACK}:{taken.getsockname()[1]}",
        }
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "catkinspan", "serve", "--settings", str(path)),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": "src"},
        )
        _, output = await asyncio.wait_for(process.communicate(), TEST_TIMEOUT_SECONDS)
    (line,) = output.decode().splitlines()
    assert line.startswith("cannot listen:")
    assert line.endswith("free the address or change it in the settings")
    assert process.returncode == EXIT_FAILED
