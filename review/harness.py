"""Stand-ins, clients and process handling for the cases of the review.

Only the standard library is used. The entry hosts run as separate processes with the
command, the settings template and the build result of the deploy file; the store, the
servers and the clients are small stand-ins in the process of the case.
"""

import asyncio
import base64
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
GRACE_SECONDS = 6.0
LIMIT_SECONDS = 110.0
"""Time after which a case is given up."""

KEY = "k3yoftheonlytenant42"
TENANT = "huka270"
HELD, BROKEN, NOT_RUN = 0, 1, 2

NETWORK_SECONDS = 0.0014
"""One-way delay between an entry host and a server of another zone."""


class CaseError(Exception):
    """The case cannot run."""


class Record:
    """The record of a run: one line an event, with the seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write an event."""
        if self._file.closed:
            return
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file; later events are not recorded."""
        self._file.close()


def free_port(ip: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def loopback_network() -> str:
    """Return the first three parts of a random range of loopback addresses."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


# HTTP


@dataclass
class Message:
    """A message with its start line, its headers in lower case and its body."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body; None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message that has a length, chunks or the connection's end."""
    length = message.headers.get("content-length")
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            await _read_chunks(reader, message)
        elif length is not None:
            message.complete = False
            while len(message.body) < int(length):
                wanted = min(65536, int(length) - len(message.body))
                data = await reader.read(wanted)
                if not data:
                    return
                message.body += data
            message.complete = True
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.complete = False


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        message.body += data[:-2]


def head_bytes(start: str, headers: dict[str, str]) -> bytes:
    """Return an encoded head."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


# Store


class Store:
    """The platform's metadata store as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[int, bytes]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.answered_at = 0.0
        """Time of the last answer."""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        port = free_port(ip)
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{port}"

    async def put(self, key: str, value: object) -> None:
        """Write an item; None removes it."""
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
        text = base64.b64encode(value).decode()
        fields = {"key": key, "value": text, "revision": revision}
        return {**fields, "created": revision, "lease": 0}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                await asyncio.sleep(0.004)
                body = json.dumps(await self._answer(request)).encode()
                headers = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(body)),
                }
                writer.write(head_bytes("HTTP/1.1 200 OK", headers) + body)
                self.answered_at = time.time()
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> dict[str, Any]:
        from urllib.parse import parse_qsl, urlsplit

        target = urlsplit(request.start.split(" ")[1])
        query = dict(parse_qsl(target.query, keep_blank_values=True))
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        if target.path == "/kv-range":
            names = (k for k in self._items if k.startswith(prefix) and k > after)
            keys = sorted(names)
            return {
                "items": [self._item(key) for key in keys[:50]],
                "has_more": len(keys) > 50,
                "store_revision": self._revision,
            }
        seconds = int(query["wait_ms"]) / 1000
        events: list[dict[str, Any]] = []
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds), self._changed:
                while not (events := self._events_after(int(after), prefix)):
                    await self._changed.wait()
        return {"events": events, "store_revision": self._revision}

    def _events_after(self, revision: int, prefix: str) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > revision and event["key"].startswith(prefix)
        ]


class Link:
    """The path between the machines and the store, which can be cut silently.

    Connections of before a cut, and those that are opened meanwhile, stay open and
    carry nothing; at its end they are closed.
    """

    def __init__(self, record: Record) -> None:
        self.address = ""
        self._record = record
        self._target = ""
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None] | None] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, target: str) -> None:
        """Listen on a free port and forward connections to a target."""
        port = free_port(ip)
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address, self._target = f"{ip}:{port}", target

    def cut(self) -> None:
        """Forward nothing until `heal`."""
        self._record.add("the machine is partitioned from the store")
        self._is_cut = True

    def heal(self) -> None:
        """Close what the cut held up and forward new connections."""
        self._record.add("the partition has ended")
        self._is_cut = False
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        # The event loop itself keeps only weak references to tasks.
        self._tasks.add(asyncio.current_task())
        other: asyncio.StreamWriter | None = None
        try:
            if self._is_cut:
                await asyncio.sleep(60.0)
                return
            ip, _, port = self._target.rpartition(":")
            answers, other = await asyncio.open_connection(ip, int(port))
            await asyncio.gather(
                self._forward(reader, other), self._forward(answers, writer)
            )
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()
            if other is not None:
                other.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            if not self._is_cut:
                writer.write(data)
                await writer.drain()
        if not self._is_cut:
            writer.close()


# Servers


@dataclass
class Run:
    """A request that a server began to work on."""

    server: str
    request_id: str
    method: str
    target: str
    body_bytes: int
    started_at: float
    ended: str = ""


Work = Callable[[Message], Awaitable[None]]


async def _no_work(request: Message) -> None:
    """Answer at once."""


class Server:
    """A server of a service; it serves one request at a time on a connection.

    `work` runs between the start of a request and its answer. A request is dropped
    when its connection closes, and answered 504 at the deadline that came with it.
    """

    def __init__(self, service: str, record: Record, work: Work = _no_work) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.service = service
        self.runs: list[Run] = []
        self.work = work
        self.answer_bytes = 400
        self.answers_early = False
        """Whether a long body is read on after the answer was sent."""

        self.address = ""
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._sequence = 0

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        port = free_port(ip)
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """End the server: close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def entry(self, zone: str) -> dict[str, Any]:
        """Return the entry for the store."""
        self._sequence += 1
        info = {"service": self.service, "version": "v1", "zone": zone, "slots": 3}
        status = {"state": "ready", "sequence": self._sequence, "warmup_left_ms": 0}
        return {"address": self.address, "info": info, "status": status}

    def body(self, request_id: str) -> bytes:
        """Return the whole body of the answer to a request."""
        start = f"{self.id} {request_id} ".encode()
        return start + b"." * max(0, self.answer_bytes - len(start))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                if not await self._serve_request(request, reader, writer):
                    break
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await asyncio.sleep(NETWORK_SECONDS)
        method, target, _ = request.start.split(" ")
        request_id = request.headers.get("x-request-id", "")
        if target == "/health":
            writer.write(self._head(200, "", 0, {"X-Instance-Id": self.id}))
            return True
        if request.headers.get("x-expect-instance", self.id) != self.id:
            await read_body(reader, request)
            added = {"X-Instance-Id": self.id, "X-Not-Executed": "1"}
            writer.write(self._head(421, request_id, 0, added))
            return True
        if not self.answers_early:
            await read_body(reader, request)
            if not request.complete:
                return False
        run = Run(self.id, request_id, method, target, len(request.body), time.time())
        self.runs.append(run)
        self._record.add(f"run {self.id} {method} {target} id {request_id}")
        try:
            await self._work_until_closed(request, reader, run)
        except ConnectionError:
            run.ended = "dropped"
            self._record.add(f"dropped {self.id} id {request_id}: connection closed")
            return False
        await asyncio.sleep(NETWORK_SECONDS)
        body = self.body(request_id)
        status = 504 if run.ended == "deadline" else 200
        run.ended = run.ended or "answered"
        head = self._head(status, request_id, len(body), {"X-Server-Stamp": "3e1b.07"})
        writer.write(head if method == "HEAD" else head + body)
        self._record.add(f"answered {self.id} id {request_id} {status}")
        await writer.drain()
        if self.answers_early:
            await read_body(reader, request)
        return request.complete

    async def _work_until_closed(
        self, request: Message, reader: asyncio.StreamReader, run: Run
    ) -> None:
        """Work on a request; raises ConnectionError if its connection closes."""
        deadline = int(request.headers.get("x-deadline-ms", "60000")) / 1000
        work = asyncio.ensure_future(self.work(request))
        closed = asyncio.ensure_future(_until_closed(reader))
        waits = {work} if self.answers_early else {work, closed}
        done, _ = await asyncio.wait(
            waits, timeout=deadline, return_when=asyncio.FIRST_COMPLETED
        )
        work.cancel()
        closed.cancel()
        if work in done:
            work.result()
        elif closed in done:
            raise ConnectionError
        else:
            run.ended = "deadline"

    def _head(
        self, status: int, request_id: str, length: int, added: dict[str, str]
    ) -> bytes:
        headers = {"Content-Length": str(length), **added}
        if request_id:
            headers["X-Request-Id"] = request_id
        return head_bytes(f"HTTP/1.1 {status} Status", headers)


async def _until_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:  # noqa: ASYNC110
        await asyncio.sleep(0.01)


# Clients


@dataclass
class Answer:
    """What a client got for one attempt."""

    request_id: str
    sent_at: float
    ended_at: float
    message: Message | None
    """The answer; None if the connection ended without one."""

    @property
    def text(self) -> str:
        """Return the answer in short."""
        if self.message is None:
            return "connection closed without an answer"
        whole = "whole" if self.message.complete else "cut off"
        return f"{self.message.status}, {len(self.message.body)} bytes, {whole}"


class Client:
    """A client with one connection, which it keeps open."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, address: str) -> None:
        """Open the connection."""
        ip, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open."""
        reader = self._reader
        return reader is not None and not reader.at_eof() and not reader.exception()

    async def request(
        self,
        method: str,
        host: str,
        target: str,
        deadline_ms: int = 5000,
        body: bytes = b"",
        request_id: str = "",
    ) -> Answer:
        """Send one request and wait for its answer until a second after its deadline.

        The answer is read while the body is sent.
        """
        assert self._reader is not None
        assert self._writer is not None
        request_id = request_id or secrets.token_hex(8)
        headers = {
            "Host": host,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
        }
        if body or method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(body))
        sent_at = time.time()
        self._record.add(f"sent {method} {target} id {request_id}")
        self._writer.write(head_bytes(f"{method} {target} HTTP/1.1", headers))
        sender = asyncio.ensure_future(self._send_body(body))
        message = None
        with suppress(TimeoutError):
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                message = await read_head(self._reader)
                if message is not None and method != "HEAD":
                    await read_body(self._reader, message)
        sender.cancel()
        answer = Answer(request_id, sent_at, time.time(), message)
        self._record.add(f"client id {request_id}: {answer.text}")
        return answer

    async def _send_body(self, body: bytes) -> None:
        assert self._writer is not None
        with suppress(OSError):
            for first in range(0, len(body), 65536):
                self._writer.write(body[first : first + 65536])
                await self._writer.drain()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


# Entry hosts


def render(template: str, values: dict[str, Any]) -> str:
    """Fill in a settings template: values, and sections of lists and plain values."""

    def look_up(path: str) -> Any:
        value: Any = values
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        value = look_up(match[1])
        if not value:
            return ""
        entries = value if isinstance(value, list) else [value]
        parts = []
        for index, entry in enumerate(entries):
            comma = "" if index == len(entries) - 1 else ","
            text = match[2].replace("{{.}}", str(entry)).replace("{{,}}", comma)
            parts.append(text)
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(look_up(found[1])), text)


@dataclass
class Host:
    """One entry host as a process."""

    name: str
    ip: str
    zone: str
    folder: Path
    record: Record
    front: str = ""
    ready: str = ""
    control: str = ""
    process: subprocess.Popen[bytes] | None = field(default=None, repr=False)

    def __post_init__(self) -> None:
        """Choose the ports."""
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.control = f"{self.ip}:{free_port(self.ip)}"

    def start(self, store: str, seeds: list[str]) -> None:
        """Write the settings and start the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        listen = {"front": self.front, "ready": self.ready, "control": self.control}
        values = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": listen,
            "seeds": seeds,
            "platform": {"address": store},
            "limits": {"link_mbps": 1000.0},
            "bounds": {
                "grace_s": 6,
                "retry_budget_slack": 60,
                "quota_window_s": 5,
                "quota_overshoot": 0.25,
                "quota_slack": 20,
            },
        }
        settings = self.folder / f"{self.name}.json"
        settings.write_text(render((ROOT / role["template"]).read_text(), values))
        words = role["run"].replace("/etc/catkinspan/settings.toml", str(settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CATKINSPAN_CONFIG"] = str(settings)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                words.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f"started {self.name}: {role['run']}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.add(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the host counts as ready."""
        ip, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        writer.write(head_bytes("GET /ready HTTP/1.1", {"Host": ip}))
        answer = await read_head(reader)
        writer.close()
        return answer is not None and answer.status == 200

    async def rank(self) -> int:
        """Return the rank among the candidates for the role of a hub, from 0."""
        reader, writer = await asyncio.open_connection(self.ip, 9900)
        writer.write(head_bytes("GET /v1/hosts HTTP/1.1", {"Host": self.ip}))
        answer = await read_head(reader)
        if answer is None:
            raise CaseError(f"{self.name} does not tell its rank")
        await read_body(reader, answer)
        writer.close()
        return int(json.loads(answer.body)["rank"])

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """A store, servers and entry hosts of one zone."""

    def __init__(self, folder: Path, host_count: int) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="catkinspan-review-"))
        self.network = loopback_network()
        self.store = Store()
        self.link = Link(self.record)
        self.servers: list[Server] = []
        self.host = f"{secrets.token_hex(3)}.example"
        self.hosts = [
            Host(
                f"front-tirano-{number}",
                f"{self.network}.{number}",
                "tirano",
                self.folder,
                self.record,
            )
            for number in range(1, host_count + 1)
        ]
        self._version = 6

    async def start(self, rules: list[dict[str, Any]], servers: list[Server]) -> None:
        """Start everything and wait until all hosts are ready."""
        if not (ROOT / "target" / "deps" / "catkinspan").is_dir():
            raise CaseError("target/deps is missing; run the build of the deploy file")
        self.servers = servers
        await self.store.start(f"{self.network}.200")
        for number, server in enumerate(servers, 100):
            await server.start(f"{self.network}.{number}")
            await self.store.put(f"servers/{server.id}", server.entry("tirano"))
        await self.publish(rules)
        seeds = [host.control for host in self.hosts[:3]]
        await self.link.start(f"{self.network}.201", self.store.address)
        for host in self.hosts:
            host.start(self.link.address, seeds)
        for host in self.hosts:
            await self._wait_ready(host)

    async def publish(self, rules: list[dict[str, Any]]) -> None:
        """Write a new configuration to the store."""
        self._version += 1
        services = sorted({server.service for server in self.servers})
        clusters = [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        tenant = {
            "name": TENANT,
            "api_keys": [KEY],
            "priority": 1,
            "rate_per_s": 20000,
            "burst": 20000,
        }
        await self.store.put(
            "op/config",
            {
                "version": f"{self._version:08x}",
                "limits": limits,
                "tenants": [tenant],
                "listeners": [{"host": self.host, "rules": rules}],
                "clusters": clusters,
            },
        )
        self.record.add(f"configuration {self._version:08x} acknowledged")

    async def _wait_ready(self, host: Host) -> None:
        give_up_at = time.monotonic() + 30.0
        while not await host.is_ready():
            if time.monotonic() > give_up_at:
                raise CaseError(f"{host.name} does not get ready")
            await asyncio.sleep(0.1)
        self.record.add(f"{host.name} is ready")

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for host in self.hosts:
            host.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def rule(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int
) -> dict[str, Any]:
    """Return a rule of a configuration."""
    return {
        "name": name,
        "kind": kind,
        "target_latency_ms": 800,
        "priority": 1,
        "public": False,
        "match": {"path_prefix": prefix},
        "action": {"service": service, "timeout_ms": timeout_ms, "max_attempts": 2},
    }


Case = Callable[[Fleet, bool], Awaitable[int]]


def main(case_file: str, host_count: int, case: Case) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(Path(case_file).resolve().parent, host_count)
    fleet.record.add(f"trouble: {'yes' if trouble else 'no'}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        result = asyncio.run(_run(fleet, case, trouble))
    except (CaseError, OSError, TimeoutError) as error:
        fleet.record.add(f"the case could not run: {error!r}")
        result = NOT_RUN
    finally:
        fleet.record.add("end")
        if os.environ.get("KEEP_LOGS"):
            for log in fleet.folder.glob("*.log"):
                shutil.copy(log, os.environ["KEEP_LOGS"])
        fleet.stop()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result])
    sys.exit(result)


async def _run(fleet: Fleet, case: Case, trouble: bool) -> int:
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            return await case(fleet, trouble)
    finally:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
