"""TLS connections with callers, upstreams and peers, over sockets."""

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
from catkinspan.coordination.models import Sender
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
    TEST_TIMEOUT_SECONDS,
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
class TlsFleet:
    fleet: Fleet
    authority: Authority

    async def certificate_serial(self) -> int:
        """Return the serial number of the certificate presented to callers."""
        host = self.fleet.hosts[0].callers_address
        _, writer = await asyncio.open_connection(
            host.ip, host.port, ssl=self.authority.caller()
        )
        ssl_object = writer.get_extra_info("ssl_object")
        assert ssl_object.selected_alpn_protocol() == "http/1.1"
        writer.close()
        return int(ssl_object.getpeercert()["serialNumber"], 16)


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def tls_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[TlsFleet]:
    authority = Authority(tmp_path_factory.mktemp("tls"))

    def edit_settings(settings: NodeSettings) -> NodeSettings:
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
        edit_settings=edit_settings,
        callers_tls=authority.caller(),
        upstreams_tls=server_context(authority.issue("catalogue-1", "catalogue-1")),
    ) as fleet:
        yield TlsFleet(fleet, authority)


async def test_request_passes_through_all_kinds_of_tls(
    tls_fleet: TlsFleet,
) -> None:
    hosts = tls_fleet.fleet.hosts
    tls = tls_fleet.authority.caller()
    for host in hosts:
        reply = await request(host.callers_address, "/suites/1", tls=tls)
        assert reply.status == 200
        while not await host.async_query(lambda c, now: len(c.view.usable) == 2):
            await asyncio.sleep(0.05)
        assert host.dropped_frames == 0


async def test_plain_text_to_the_tls_listener_is_closed(tls_fleet: TlsFleet) -> None:
    caller = await Caller.connect(tls_fleet.fleet.hosts[0].callers_address)
    caller.send_request("/suites/1")
    assert not (await caller.read_reply()).complete


async def test_connections_in_their_handshake_count_towards_the_limit(
    tls_fleet: TlsFleet,
) -> None:
    """Guards against unbounded connections that never finish the handshake."""
    address = tls_fleet.fleet.hosts[1].callers_address
    silent = [await asyncio.open_connection(*_ip_and_port(address)) for _ in range(20)]
    reader, writer = await asyncio.open_connection(*_ip_and_port(address))
    with suppress(ConnectionResetError):
        assert await asyncio.wait_for(reader.read(), TEST_TIMEOUT_SECONDS) == b""
    for _, open_writer in [*silent, (reader, writer)]:
        open_writer.close()


def _ip_and_port(address: Address) -> tuple[str, int]:
    return address.ip, address.port


async def test_reload_changes_new_connections_only(tls_fleet: TlsFleet) -> None:
    host = tls_fleet.fleet.hosts[0]
    caller = await Caller.connect(host.callers_address, tls_fleet.authority.caller())
    before = await tls_fleet.certificate_serial()
    tls_fleet.authority.issue("callers-host-1", LOOPBACK)
    assert host.reload_tls() == ()
    assert await tls_fleet.certificate_serial() != before
    caller.send_request("/suites/1")
    assert (await caller.read_reply()).status == 200
    caller.close()


async def test_invalid_files_keep_the_old_certificates_active(
    tls_fleet: TlsFleet,
) -> None:
    host = tls_fleet.fleet.hosts[0]
    before = await tls_fleet.certificate_serial()
    tls_fleet.authority.issue("callers-host-1", LOOPBACK, days=-1)
    (fault,) = host.reload_tls()
    assert fault.setting == "callers_tls/certificate"
    assert await tls_fleet.certificate_serial() == before
    tls_fleet.authority.issue("callers-host-1", LOOPBACK)
    assert host.reload_tls() == ()


async def test_frame_of_another_sender_than_certified_is_refused(
    tls_fleet: TlsFleet,
) -> None:
    """Guards against a host that sends messages in the name of another host."""
    target = tls_fleet.fleet.hosts[0]
    sender_tls = tls_contexts(tls_fleet.authority, "host-2")
    link = new_link("host-1", target.settings.peer_address, sender_tls, sender="host-3")
    dropped_before = target.dropped_frames
    task = asyncio.create_task(link.async_run())
    link.post(Pull(Revision(1)))
    await tls_fleet.fleet.wait_until(lambda: target.dropped_frames > dropped_before)
    hosts = await target.async_query(lambda c, _: set(c.view.hosts))
    assert hosts == {"host-1", "host-2"}
    task.cancel()


def tls_contexts(authority: Authority, host: str) -> TlsContexts:
    settings = evolve(
        node_settings(0, Address(LOOPBACK, 1), free_addresses(1)),
        host_id=HostId(host),
        peers_tls=authority.issue(f"extra-{host}", host, f"*.{host}"),
    )
    return load_tls(settings, datetime.now(UTC)).unwrap()


def new_link(
    peer: str, address: Address, tls: TlsContexts | None, sender: str = "host-2"
) -> PeerLink:
    origin = Sender(HostId(sender), 1)
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
    """Run a listener for peers and collect the names in the senders' certificates."""
    received_names: list[frozenset[str] | None] = []
    server = PeerServer(
        lambda _, names: received_names.append(names), tls.peers_server, SystemClock()
    )
    (address,) = free_addresses(1)
    await server.async_start(address)
    yield address, received_names
    await server.async_stop()


async def test_link_refuses_a_peer_certified_as_another_host(tmp_path: Path) -> None:
    """Guards against messages to the wrong host if a peer's address is wrong."""
    authority = Authority(tmp_path)
    async with peer_server(tls_contexts(authority, "host-1")) as (
        address,
        received_names,
    ):
        sender_tls = tls_contexts(authority, "host-2")
        # The second id matches a wildcard; the third is not a valid DNS name.
        for peer_id in ("host-9", "a.host-1", "x" * 70):
            assert await send_one_message(new_link(peer_id, address, sender_tls)) == 0
        assert received_names == []
        assert await send_one_message(new_link("host-1", address, sender_tls)) > 0
        assert received_names == [frozenset({"host-2", "*.host-2"})]


async def test_peer_without_a_certificate_of_the_authority_is_refused(
    tmp_path: Path,
) -> None:
    authority = Authority(tmp_path)
    stranger = tls_contexts(Authority(tmp_path, "stranger"), "host-2")
    async with peer_server(tls_contexts(authority, "host-1")) as (
        address,
        received_names,
    ):
        assert stranger.peers_client is not None
        for tls in (None, stranger):
            await send_one_message(new_link("host-1", address, tls))
        client_context = ssl.create_default_context(cafile=str(authority.path))
        _, writer = await asyncio.open_connection(
            *_ip_and_port(address), ssl=client_context, server_hostname="host-1"
        )
        writer.close()
        await asyncio.sleep(0.2)
        assert received_names == []


async def send_one_message(link: PeerLink) -> int:
    """Post one message; return the bytes sent once it is sent or dropped."""
    task = asyncio.create_task(link.async_run())
    link.post(Pull(Revision(1)))
    while not link.sent_bytes and not link.dropped_messages:
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
    """Guards against requests to a server that has taken over another one's address."""
    authority = Authority(tmp_path)
    settings = evolve(
        node_settings(0, Address(LOOPBACK, 1), free_addresses(1)),
        upstreams_tls=TlsFiles(authority=authority.path),
    )
    tls = load_tls(settings, datetime.now(UTC)).unwrap().upstreams
    server = SimpleServer(respond_ok)
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


async def respond_ok(_: SimpleRequest) -> SimpleResponse:
    return SimpleResponse(200, b"ok")
