"""Stand-ins and process control for the scripts of the second review.

Everything runs on loopback addresses and free ports. The store and the servers are
tasks of the script's own event loop; the hosts are processes that are started with the
command of `deploy/system.toml`.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
STARTED = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
KEY = "2b9wu3fexd9dnn2ctnfz"
TENANT = "huka270"


class CannotRunError(Exception):
    """The case could not be run; it tells nothing about the rule."""


class Record:
    """Writes `record.txt` of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")

    @classmethod
    def quiet(cls) -> "Record":
        """Return a record that keeps nothing."""
        return cls(Path(os.devnull))

    def __call__(self, text: str) -> None:
        """Add a line with the seconds since the start of the script."""
        self._file.write(f"{time.monotonic() - STARTED:8.3f} {text}\n")
        self._file.flush()


_ports = iter(random.sample(range(12_000, 30_000), 18_000))
"""Ports below those that systems usually give to outgoing connections."""


def free_port() -> int:
    """Return a port that is free for TCP and UDP, another one at each call."""
    for port in _ports:
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return port
    raise CannotRunError("no free port")


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Read the body that follows a head; raises if it is not complete."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if size == 0:
                return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


class Store:
    """The platform's store: `/kv-key`, `/kv-range` and `/kv-watch`."""

    def __init__(self) -> None:
        self.address = ""
        self._items: dict[str, tuple[int, bytes]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 10
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    async def put(self, key: str, value: object) -> None:
        """Write a JSON value, or remove the item if the value is None."""
        async with self._changed:
            self._revision += 1
            if value is None:
                self._items.pop(key, None)
                event = {"key": key, "revision": self._revision, "deleted": True}
            else:
                self._items[key] = (self._revision, json.dumps(value).encode())
                event = self._item(key)
            self._events.append(event)
            self._changed.notify_all()

    def _item(self, key: str) -> dict[str, Any]:
        revision, value = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease": 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head)
                status, answer = await self._answer(head.target)
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        from urllib.parse import parse_qsl

        path, _, raw = target.partition("?")
        query = dict(parse_qsl(raw, keep_blank_values=True))
        prefix = query.get("path_prefix", "")
        if path == "/kv-key":
            if query.get("key") not in self._items:
                return 404, {"store_revision": self._revision}
            item = self._item(query["key"])
            return 200, {**item, "store_revision": self._revision}
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self._item(k) for k in keys[:50]],
                "has_more": len(keys) > 50,
                "store_revision": self._revision,
            }
        if path != "/kv-watch":
            return 404, {}
        after_revision, wait = int(query["after"]), int(query["wait_ms"]) / 1000

        def events() -> list[dict[str, Any]]:
            return [
                e
                for e in self._events
                if e["revision"] > after_revision and e["key"].startswith(prefix)
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(lambda: bool(events()))
            return 200, {"events": events(), "store_revision": self._revision}


@dataclass
class Connection:
    """A connection that a server accepted."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def answer(
        self, request: Message, body: bytes, status: int = 200, extra: str = ""
    ) -> None:
        """Send a whole answer with the server's signature."""
        head = answer_head(request, len(body), status, extra)
        self.writer.write(head + body)
        await self.writer.drain()


def answer_head(
    request: Message, length: int | None, status: int, extra: str = ""
) -> bytes:
    """Return the head of an answer; without a length its body is chunked."""
    framing = (
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    return (
        f"HTTP/1.1 {status} X\r\nX-Request-Id: {request.headers['x-request-id']}\r\n"
        f"X-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n{extra}"
        f"{framing}\r\n\r\n"
    ).encode()


Handler = Callable[["Server", Connection, Message], Awaitable[bool]]


@dataclass
class Server:
    """A server of a service; `handler` handles a request after its head.

    The handler reads the body, answers, and returns whether the connection is kept.
    """

    id: str
    service: str
    handler: Handler
    record: Record
    zone: str = "tirano"
    slots: int = 3
    address: str = ""
    runs: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def entry(self, state: str = "ready", sequence: int = 1) -> dict[str, Any]:
        """Return the server's entry in the store."""
        return {
            "address": self.address,
            "born": 1765000000000,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": sequence, "warmup_left_ms": 0},
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        try:
            while (head := await read_head(reader)) is not None:
                id_ = head.headers.get("x-request-id", "")
                if head.headers.get("x-expect-instance") != self.id:
                    await read_body(reader, head)
                    await connection.answer(head, b"", 421)
                    continue
                self.record(f"server {self.id}: {head.start} id {id_}")
                if not await self.handler(self, connection, head):
                    break
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.record(f"server {self.id}: connection ended: {error!r}")
        finally:
            writer.close()


class Relay:
    """A path of one host to the store, which can be cut without a reset."""

    def __init__(self, target: str) -> None:
        self._target = target.split(":")
        self._open = asyncio.Event()
        self._open.set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def cut(self) -> None:
        """Hold all bytes back from now on, in both directions."""
        self._open.clear()

    def heal(self) -> None:
        """Let the bytes pass again."""
        self._open.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            await self._open.wait()
            host, port = self._target
            behind_reader, behind_writer = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self._pump(reader, behind_writer), self._pump(behind_reader, writer)
            )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


@dataclass
class HostProcess:
    """One entry host."""

    name: str
    folder: Path
    record: Record
    settings: dict[str, Any]
    process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return int(self.settings["callers"].split(":")[1])

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.name}.json"

    def write_settings(self) -> None:
        """Write the settings file."""
        self.settings_path.write_text(json.dumps(self.settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        words = [
            str(self.settings_path) if w.endswith("settings.toml") else w for w in words
        ]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CATKINSPAN_CONFIG"] = str(self.settings_path)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"host {self.name}: started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record(f"host {self.name}: gets {number.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask the host whether it takes new connections, as the platform does."""
        port = int(self.settings["ready"].split(":")[1])
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and head.status == 200
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self) -> None:
        """Ask until the host is ready."""
        ready = await self.is_ready()
        while not ready:
            await asyncio.sleep(0.1)
            ready = await self.is_ready()

    async def stop(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """A store, servers and hosts, like those of a small deployment."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp())
        self.store = Store()
        self.hosts: list[HostProcess] = []
        self.relays: dict[str, Relay] = {}
        """Paths of the hosts to the store, by the names of the hosts."""

    async def start(
        self,
        servers: list[Server],
        config: dict[str, Any],
        hosts: int = 1,
        links: tuple[float, ...] = (1000.0,),
        zones: tuple[str, ...] = ("tirano", "lecco", "chiavenna"),
    ) -> None:
        """Start everything and wait until all hosts are ready."""
        await self.store.start()
        for server in servers:
            await server.start()
            await self.store.put(f"servers/{server.id}", server.entry())
        await self.store.put("op/config", config)
        self.hosts = [self._new_host(index) for index in range(hosts)]
        seeds = [host.settings["peers"] for host in self.hosts[:3]]
        for index, host in enumerate(self.hosts):
            relay = self.relays[host.name] = Relay(self.store.address)
            await relay.start()
            host.settings["platform"] = relay.address
            host.settings["seeds"] = seeds
            host.settings["link_mbps"] = links[index % len(links)]
            host.settings["data_centre"] = zones[index % len(zones)]
            await host.start()
        async with asyncio.timeout(20):
            for host in self.hosts:
                await host.wait_ready()
        self.record("all hosts are ready")

    def _new_host(self, index: int) -> HostProcess:
        settings = {
            "host_id": f"front-{index + 1}",
            "interface": "operator",
            "callers": f"127.0.0.1:{free_port()}",
            "ready": f"127.0.0.1:{free_port()}",
            "peers": f"127.0.0.1:{free_port()}",
            "operators": f"127.0.0.1:{free_port()}",
            "platform": self.store.address,
            "link_mbps": 1000.0,
            "drain_ms": 6e3,
            "drain_notice_ms": 2400,
            "retry_slack": 60,
            "rate_window": {"length_ms": 5e3, "overshoot": 0.25, "slack": 20},
        }
        return HostProcess(f"front-{index + 1}", self.folder, self.record, settings)

    async def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for host in self.hosts:
            await host.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, kind: str, service: str, timeout_ms: int = 2500) -> dict[str, Any]:
    """Return a rule for the path prefix `/NAME/`."""
    return {
        "name": f"r-{name}",
        "kind": kind,
        "target_latency_ms": 800,
        "priority": 1,
        "public": False,
        "match": {"path_prefix": f"/{name}/"},
        "action": {"service": service, "timeout_ms": timeout_ms, "max_attempts": 2},
    }


def configuration(
    version: int, rules: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration with one tenant and no quota in reach."""
    return {
        "version": f"{version:08x}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": 5000,
                "burst": 5000,
            }
        ],
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
    }


def request_head(
    method: str, path: str, id_: str, length: int = 0, deadline_ms: int = 4000
) -> bytes:
    """Return the head of a client's request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id_}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def read_answer(reader: asyncio.StreamReader) -> Message:
    """Read a whole answer; raises if the connection ends before its end."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError("the connection ended without an answer")
    head.body = await read_body(reader, head)
    return head


def run_case(
    case: Callable[[Record, Fleet], Awaitable[bool]], folder: Path, seconds: float = 100
) -> None:
    """Run a case, which returns whether the rule held, and exit as agreed."""

    async def run() -> int:
        record = Record(folder / "record.txt")
        record(f"TROUBLE={int(TROUBLE)}")
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(seconds):
                held = await case(record, fleet)
            record("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (CannotRunError, TimeoutError, OSError, KeyError) as error:
            record(f"the case could not run: {error!r}")
            return 2
        finally:
            await fleet.stop()

    code = asyncio.run(run())
    print(f"exit {code}")
    sys.exit(code)
