"""A server that stops in the middle of its answer's head and closes.

Guards against a caller that gets a success with an empty or short body, framed as
whole, as other operators have reported.
"""

import asyncio
import socket
import ssl
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from attrs import define, evolve, frozen

from catkinspan.state.node import NodeSettings, TlsFiles
from catkinspan.state.tree import Address
from tests.certificates import Authority, server_context
from tests.fleet import KEY, Caller, Reply, running_fleet

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BODY = b"whole body"
STATUS_LINES = {200: b"200 OK", 204: b"204 No Content", 304: b"304 Not Modified"}


@frozen
class Answer:
    """An answer that a server breaks off."""

    status: int = 200
    framing: bytes = b"Content-Length: 10\r\n"
    body: bytes = BODY
    sends_body: bool = True

    def encode(self, request_id: bytes) -> bytes:
        head = b"HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s\r\n" % (
            STATUS_LINES[self.status],
            request_id,
            self.framing,
        )
        return head + self.body if self.sends_body else head

    def head_length(self, request_id: bytes) -> int:
        return len(self.encode(request_id)) - len(self.body) * self.sends_body


ANSWERS = {
    "length": Answer(),
    "chunks": Answer(
        framing=b"Transfer-Encoding: chunked\r\n",
        body=b"a\r\n" + BODY + b"\r\n0\r\n\r\n",
    ),
    "no length": Answer(framing=b""),
    "no content": Answer(204, framing=b"", body=b""),
    "not modified": Answer(304, framing=b"ETag: v1\r\n", body=b""),
    "head": Answer(sends_body=False),
}


@define
class CuttingServer:
    """Answers soundly, but breaks off the answers to requests of the path `/prints`."""

    answer: Answer
    resets: bool
    cut_at: int = 0
    """Bytes of an answer after which the server closes."""

    cut_count: int = 0
    connection_count: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        request_id = headers[b"x-request-id"]
        if not head.split(b" ")[1].startswith(b"/prints"):
            writer.write(Answer().encode(request_id))
            return True
        self.cut_count += 1
        writer.write(self.answer.encode(request_id)[: self.cut_at])
        await writer.drain()
        if self.resets:
            raw_socket = writer.get_extra_info("socket")
            linger = socket.SO_LINGER
            raw_socket.setsockopt(socket.SOL_SOCKET, linger, RESET_ON_CLOSE)
            writer.transport.abort()
        return False


@asynccontextmanager
async def _running_host(
    server: CuttingServer, tls_folder: Any = None
) -> AsyncIterator[Address]:
    context: ssl.SSLContext | None = None
    authority: Authority | None = None
    if tls_folder is not None:
        authority = Authority(tls_folder)
        context = server_context(authority.issue("cutting", "cutting"))

    def edit_settings(settings: NodeSettings) -> NodeSettings:
        if authority is None:
            return settings
        return evolve(settings, upstreams_tls=TlsFiles(authority=authority.path))

    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0, ssl=context)
    address = Address(*listener.sockets[0].getsockname())
    try:
        async with running_fleet(
            edit_settings=edit_settings, upstream_addresses={"cutting": address}
        ) as fleet:
            yield fleet.hosts[0].callers_address
    finally:
        listener.close()


async def _request(address: Address, method: str, after_sound_one: bool) -> Reply:
    """Send a request whose answer is cut, on a kept connection if asked for.

    The sound request before it leaves the host a connection to the server.
    """
    caller = await Caller.connect(address)
    try:
        if after_sound_one:
            caller.send_request("/suites/sound", key=KEY)
            assert (await caller.read_reply()).body == BODY
            caller.start_next_cycle()
        caller.send_request("/prints/cut", method, key=KEY)
        return await caller.read_reply()
    finally:
        caller.close()


def _check(reply: Reply) -> None:
    """Check that the reply neither is a success nor claims that nothing ran."""
    if reply.status >= 500:
        assert (reply.status, reply.ran) in ((502, "maybe"), (504, "maybe"))
    else:
        assert not reply.complete
        assert reply.status == 0


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("name", ANSWERS)
async def test_cut_head_is_no_success(name: str, resets: bool) -> None:
    answer = ANSWERS[name]
    methods = ["HEAD"] if name == "head" else ["GET", "POST"]
    server = CuttingServer(answer, resets)
    async with _running_host(server) as address:
        length = answer.head_length(b"0" * 24)
        for cut_at in range(length):
            server.cut_at = cut_at
            for method in methods:
                reply = await _request(address, method, after_sound_one=cut_at % 2 == 1)
                _check(reply)
    assert server.cut_count >= length * len(methods)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
async def test_cut_head_over_tls_is_no_success(tmp_path: Any, resets: bool) -> None:
    """Without its closing message a TLS connection may be cut by anybody."""
    server = CuttingServer(ANSWERS["length"], resets)
    async with _running_host(server, tmp_path) as address:
        for cut_at in range(server.answer.head_length(b"0" * 24)):
            server.cut_at = cut_at
            reply = await _request(address, "POST", after_sound_one=cut_at % 2 == 1)
            _check(reply)


@pytest.mark.parametrize("name", ["length", "chunks"])
async def test_cut_body_is_not_whole(name: str) -> None:
    """Guards against a body that ends early and looks whole."""
    answer = ANSWERS[name]
    server = CuttingServer(answer, resets=False)
    async with _running_host(server) as address:
        encoded = answer.encode(b"0" * 24)
        for cut_at in range(answer.head_length(b"0" * 24), len(encoded)):
            server.cut_at = cut_at
            reply = await _request(address, "POST", after_sound_one=cut_at % 2 == 1)
            assert reply.status in (502, 504) or not reply.complete
