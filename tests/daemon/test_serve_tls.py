"""Tests of TLS files in `catkinspan serve`: checked at start, reloaded on SIGHUP."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from catkinspan.state.node import TlsFiles
from catkinspan.state.tree import Address
from tests.certificates import LOOPBACK, Authority
from tests.fleet import TEST_TIMEOUT_SECONDS, free_addresses


async def serve(folder: Path, files: TlsFiles) -> asyncio.subprocess.Process:
    (platform,) = map(str, free_addresses(1))
    # Port 0, since a port that was free may be taken before it is bound.
    callers = operators = peers = f"{LOOPBACK}:0"
    settings = {
        "host_id": "host-1",
        "data_centre": "perth-1",
        "callers": callers,
        "operators": operators,
        "peers": peers,
        "platform": platform,
        "drain_notice_ms": 1,
        "callers_tls": {"certificate": str(files.certificate), "key": str(files.key)},
    }
    path = folder / "host.json"
    path.write_text(json.dumps(settings))
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "catkinspan", "serve", "--settings", str(path)),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": "src"},
    )


async def read_until(process: asyncio.subprocess.Process, text: str) -> str:
    """Return the next line of the log that contains a text."""
    assert process.stdout is not None
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while text not in (line := (await process.stdout.readline()).decode()):
            assert line, f"the process ended without {text!r}"
    return line


async def served_serial_number(line: str, authority: Authority) -> str:
    ip, _, port = json.loads(line)["message"].split()[-1].rpartition(":")
    address = Address(ip, int(port))
    _, writer = await asyncio.open_connection(
        address.ip, address.port, ssl=authority.caller()
    )
    serial = writer.get_extra_info("ssl_object").getpeercert()["serialNumber"]
    writer.close()
    return str(serial)


async def test_sighup_reloads_the_files(tmp_path: Path) -> None:
    """Guards against a SIGHUP that keeps old certificates or applies invalid ones."""
    authority = Authority(tmp_path)
    files = authority.issue("callers", LOOPBACK)
    process = await serve(tmp_path, files)
    try:
        line = await read_until(process, "serves callers on")
        first = await served_serial_number(line, authority)
        authority.issue("callers", LOOPBACK)
        process.send_signal(signal.SIGHUP)
        await read_until(process, "reloaded the TLS files")
        second = await served_serial_number(line, authority)
        assert second != first
        authority.issue("callers", LOOPBACK, days=-1)
        process.send_signal(signal.SIGHUP)
        error = await read_until(process, "keeping the current TLS files")
        assert str(files.certificate) in error
        assert "install a renewed certificate" in error
        assert await served_serial_number(line, authority) == second
        process.terminate()
        assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def test_bad_file_at_start_ends_with_a_typed_fault(tmp_path: Path) -> None:
    files = Authority(tmp_path).issue("callers", LOOPBACK, days=-1)
    process = await serve(tmp_path, files)
    _, output = await asyncio.wait_for(process.communicate(), TEST_TIMEOUT_SECONDS)
    assert process.returncode == 2
    (line,) = output.decode().splitlines()
    assert line.startswith(f"fault: callers_tls/certificate: {files.certificate}")
