"""TLS towards callers, upstreams and peers, over sockets."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from datetime import UTC, datetime
from pathlib import Path
from random import Random

import pytest
import pytest_asyncio
from attrs import evolve, frozen

from catkinspan.coordination.configuration.models import Pull
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import Origin
from catkinspan.daemon.clock import SystemClock
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.ids import HostId, Revision, ServerId
from catkinspan.state.node import NodeSettings, TlsFiles
from catkinspan.state.tree import Address
from catkinspan.transport.http_client import FetchError, async_fetch
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.peers.link import PeerLink
from catkinspan.transport.peers.server import PeerServer
from catkinspan.transport.simple_server import (
    SimpleRequest,
    SimpleResponse,
    SimpleServer,
)
from catkinspan.transport.tls import TlsContexts, WrongServerError
from catkinspan.transport.tls_loading import load_tls
from catkinspan.transport.upstreams.connection import async_open_connection
from tests.certificates import LOOPBACK, Authority, server_context
from tests.fleet import (
    SAFETY_SECONDS,
    Caller,
    Fleet,
    free_addresses,
    node_settings,
    request,
    running_fleet,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")
CODEC = PeerCodec(PEER_MESSAGES)


@frozen
class SecureFleet:
    fleet: Fleet
    authority: Authority

    async def serial(self) -> int:
        """Return the serial number of the certificate that callers are shown."""
        host = self.fleet.hosts[0].callers_address
        _, writer = await asyncio.open_connection(
            host.ip, host.port, ssl=self.authority.caller()
        )
        secure = writer.get_extra_info("ssl_object")
        assert secure.selected_alpn_protocol() == "http/1.1"
        writer.close()
        return int(secure.getpeercert()["serialNumber"], 16)


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def secure(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[SecureFleet]:
    authority = Authority(tmp_path_factory.mktemp("tls"))

    def node(settings: NodeSettings) -> NodeSettings:
        callers = authority.issue(f"callers-{settings.host_id}", LOOPBACK)
        return evolve(
            settings,
            callers_tls=evolve(callers, authority=None),
            upstreams_tls=TlsFiles(authority=authority.path),
            peers_tls=authority.issue(settings.host_id, settings.host_id),
            http=evolve(settings.http, max_connections=20),
        )

    async with running_fleet(
        hosts=2,
        node=node,
        callers_tls=authority.caller(),
        upstreams_tls=server_context(authority.issue("catalogue-1", "catalogue-1")),
    ) as fleet:
        yield SecureFleet(fleet, authority)


async def test_request_passes_through_all_kinds_of_tls(secure: SecureFleet) -> None:
    hosts = secure.fleet.hosts
    tls = secure.authority.caller()
    for host in hosts:
        reply = await request(host.callers_address, "/suites/1", tls=tls)
        assert reply.status == 200
        while not await host.async_query(lambda c, now: len(c.view.usable) == 2):
            await asyncio.sleep(0.05)
        assert host.dropped_frames == 0


async def test_plain_text_to_the_tls_listener_is_closed(secure: SecureFleet) -> None:
    caller = await Caller.connect(secure.fleet.hosts[0].callers_address)
    caller.send_request("/suites/1")
    assert not (await caller.read_reply()).complete


async def test_connections_in_their_handshake_count(secure: SecureFleet) -> None:
    """Callers that never finish the handshake must not be without a bound."""
    address = secure.fleet.hosts[1].callers_address
    silent = [await asyncio.open_connection(*_ip_and_port(address)) for _ in range(20)]
    reader, writer = await asyncio.open_connection(*_ip_and_port(address))
    with suppress(ConnectionResetError):
        assert await asyncio.wait_for(reader.read(), SAFETY_SECONDS) == b""
    for _, open_writer in [*silent, (reader, writer)]:
        open_writer.close()


def _ip_and_port(address: Address) -> tuple[str, int]:
    return address.ip, address.port


async def test_reload_changes_new_connections_only(secure: SecureFleet) -> None:
    host = secure.fleet.hosts[0]
    caller = await Caller.connect(host.callers_address, secure.authority.caller())
    before = await secure.serial()
    secure.authority.issue("callers-host-1", LOOPBACK)
    assert host.reload_tls() == ()
    assert await secure.serial() != before
    caller.send_request("/suites/1")
    assert (await caller.read_reply()).status == 200
    caller.close()


async def test_bad_files_leave_the_old_ones_in_force(secure: SecureFleet) -> None:
    host = secure.fleet.hosts[0]
    before = await secure.serial()
    secure.authority.issue("callers-host-1", LOOPBACK, days=-1)
    (fault,) = host.reload_tls()
    assert fault.setting == "callers_tls/certificate"
    assert await secure.serial() == before
    secure.authority.issue("callers-host-1", LOOPBACK)
    assert host.reload_tls() == ()


async def test_frame_of_another_sender_than_certified_is_refused(
    secure: SecureFleet,
) -> None:
    """One host's certificate must not speak for another host."""
    target = secure.fleet.hosts[0]
    rogue = contexts(secure.authority, "host-2")
    link = new_link("host-1", target.settings.peer_address, rogue, sender="host-3")
    refused = target.dropped_frames
    task = asyncio.create_task(link.async_run())
    link.post(Pull(Revision(1)))
    await secure.fleet.wait(lambda: target.dropped_frames > refused)
    hosts = await target.async_query(lambda c, _: set(c.view.hosts))
    assert hosts == {"host-1", "host-2"}
    task.cancel()


def contexts(authority: Authority, host: str) -> TlsContexts:
    settings = evolve(
        node_settings(0, Address(LOOPBACK, 1), free_addresses(1)),
        host_id=HostId(host),
        peers_tls=authority.issue(f"extra-{host}", host, f"*.{host}"),
    )
    return load_tls(settings, datetime.now(UTC)).unwrap()


def new_link(
    peer: str, address: Address, tls: TlsContexts | None, sender: str = "host-2"
) -> PeerLink:
    origin = Origin(HostId(sender), 1)
    return PeerLink(
        HostId(peer),
        address,
        lambda messages: CODEC.encode(origin, messages),
        SystemClock(),
        Random(1),
        tls.peers_client if tls else None,
    )


@asynccontextmanager
async def peer_server(
    tls: TlsContexts,
) -> AsyncIterator[tuple[Address, list[frozenset[str] | None]]]:
    """Run a peers' listener and collect the names that senders are certified for."""
    seen: list[frozenset[str] | None] = []
    server = PeerServer(
        lambda _, names: seen.append(names), tls.peers_server, SystemClock()
    )
    (address,) = free_addresses(1)
    await server.async_start(address)
    yield address, seen
    await server.async_stop()


async def test_link_refuses_a_peer_certified_as_another_host(tmp_path: Path) -> None:
    """A wrong address of a host must not send messages to another host."""
    authority = Authority(tmp_path)
    async with peer_server(contexts(authority, "host-1")) as (address, seen):
        own = contexts(authority, "host-2")
        # The second is named by a wildcard, the third is no DNS name at all.
        for dialled in ("host-9", "a.host-1", "x" * 70):
            assert await delivery(new_link(dialled, address, own)) == 0
        assert seen == []
        assert await delivery(new_link("host-1", address, own)) > 0
        assert seen == [frozenset({"host-2", "*.host-2"})]


async def test_peer_without_a_certificate_of_the_authority_is_refused(
    tmp_path: Path,
) -> None:
    authority = Authority(tmp_path)
    stranger = contexts(Authority(tmp_path, "stranger"), "host-2")
    async with peer_server(contexts(authority, "host-1")) as (address, seen):
        assert stranger.peers_client is not None
        for tls in (None, stranger):
            await delivery(new_link("host-1", address, tls))
        bare = ssl.create_default_context(cafile=str(authority.path))
        _, writer = await asyncio.open_connection(
            *_ip_and_port(address), ssl=bare, server_hostname="host-1"
        )
        writer.close()
        await asyncio.sleep(0.2)
        assert seen == []


async def delivery(link: PeerLink) -> int:
    """Post one message and return the bytes sent when the link is done with it."""
    task = asyncio.create_task(link.async_run())
    link.post(Pull(Revision(1)))
    while not link.sent_bytes and not link.dropped:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    task.cancel()
    return link.sent_bytes


@pytest.mark.parametrize(
    ("names", "accepted"),
    [
        ((LOOPBACK,), True),
        (("catalogue-1",), True),
        (("catalogue-2", "127.0.0.2", "*"), False),
        ((), False),
    ],
)
async def test_upstream_is_verified_by_address_or_id(
    tmp_path: Path, names: tuple[str, ...], accepted: bool
) -> None:
    """A request must not go to a server that took another one's address."""
    authority = Authority(tmp_path)
    settings = evolve(
        node_settings(0, Address(LOOPBACK, 1), free_addresses(1)),
        upstreams_tls=TlsFiles(authority=authority.path),
    )
    tls = load_tls(settings, datetime.now(UTC)).unwrap().upstreams
    server = SimpleServer(answer_ok)
    context = server_context(authority.issue("server", *names))
    address = await server.async_start(Address(LOOPBACK, 0), context)
    name = ServerId("catalogue-1")
    if accepted:
        connection = await async_open_connection(name, address, Mailbox(16), tls)
        connection.port.close()
        fetched = await async_fetch(address, "/healthz", 5.0, tls, server=name)
        assert fetched.status == 200
    else:
        with pytest.raises(WrongServerError, match="issue it with one of them"):
            await async_open_connection(name, address, Mailbox(16), tls)
        with pytest.raises(FetchError):
            await async_fetch(address, "/healthz", 5.0, tls, server=name)
    await server.async_stop()


async def answer_ok(_: SimpleRequest) -> SimpleResponse:
    return SimpleResponse(200, b"ok")
