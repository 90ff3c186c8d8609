"""Creates the tasks of an entry host and connects them."""

import asyncio
import secrets
from collections.abc import Callable, Mapping
from random import Random
from typing import TYPE_CHECKING, Any, TypeVar

from attrs import evolve
from loguru import logger
from result import Err

from catkinspan.coordination.clock import Clock
from catkinspan.coordination.host.coordinator import PEER_MESSAGES, HostCoordinator
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.daemon.host_task import HostTask, Peer
from catkinspan.daemon.interfaces import INTERFACES
from catkinspan.daemon.messages import (
    AnnounceDrain,
    BeginDrain,
    ConnectionEnded,
    ConnectionOpened,
    PeerFrame,
    Query,
    SeedsChanged,
)
from catkinspan.platform.store import PlatformStore
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import RequestId
from catkinspan.state.node import NodeSettings
from catkinspan.state.tree import Address
from catkinspan.transport.callers.connection import CallerConnection
from catkinspan.transport.callers.context import CallerContext
from catkinspan.transport.callers.listener import CallerListener
from catkinspan.transport.callers.messages import HealthQuery, HealthStatus
from catkinspan.transport.callers.ready import ReadyListener
from catkinspan.transport.mailbox import InboxFullError, Mailbox
from catkinspan.transport.operators.listener import OperatorsListener
from catkinspan.transport.operators.messages import AuditExcerpt
from catkinspan.transport.peers.datagrams import DatagramTask
from catkinspan.transport.peers.link import PeerLink
from catkinspan.transport.peers.server import PeerServer
from catkinspan.transport.socket_port import SocketPort
from catkinspan.transport.store.reader import StoreReader
from catkinspan.transport.tls import TlsContexts
from catkinspan.transport.upstreams.pool import PoolTask

if TYPE_CHECKING:
    from catkinspan.transport.tls_files import TlsFault

T = TypeVar("T")

QUERY_TIMEOUT_SECONDS = 2.0
REQUEST_ID_BYTES = 12
MAX_INCARNATION = 1 << 48

ACCEPTING_DRAIN_SHARE = 0.4
"""Share of the drain period after the notice in which connections are accepted. Most
requests that arrive later may outlast the host and would be refused."""

STOP_RESERVE_SECONDS = 0.4
"""Part of the drain period that is reserved for stopping the process."""


class HostNode:
    """Starts and stops the tasks of one entry host.

    Example::

        node = HostNode(settings, SystemClock())
        await node.async_start()
        ...
        await node.async_drain()
        await node.async_stop()
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        new_request_id: Callable[[], RequestId] | None = None,
    ) -> None:
        self._settings = settings
        self._new_request_id = new_request_id or _random_request_id
        self._clock = clock
        self._rng = Random(settings.seed)
        self._tls = self._load_initial_tls()
        # Random, since a number from the wall clock could look outdated after the
        # clock jumps.
        incarnation = 1 + secrets.randbelow(MAX_INCARNATION)
        self._interface = INTERFACES[settings.interface]
        self._sender = Sender(settings.host_id, incarnation)
        self._codec = PeerCodec(PEER_MESSAGES)
        self._upstream_pool = PoolTask(clock)
        self._reader_inbox: Mailbox[Any] = Mailbox(64)
        # Datagrams carry no certificate, so hosts with TLS use streams only.
        self._datagrams: DatagramTask | None = None
        if self._tls.peers_server is None:
            self._datagrams = DatagramTask(lambda frame: self._on_frame(frame, None))
        self._host_task = HostTask(
            self._new_coordinator(incarnation),
            self._sender,
            self._codec,
            clock,
            self._new_link,
            self._reader_inbox,
            None if self._datagrams is None else self._datagrams.inbox,
        )
        store = PlatformStore(settings.platform, self._interface.prefixes)
        self._store_reader = StoreReader(
            store, self._host_task.inbox, self._reader_inbox, self._rng
        )
        self._peer_server = PeerServer(self._on_frame, self._tls.peers_server, clock)
        self._caller_listener = CallerListener(
            self._new_connection,
            lambda mailbox: self._host_task.inbox.post_unbounded(
                ConnectionOpened(mailbox)
            ),
            lambda mailbox: self._host_task.inbox.post_unbounded(
                ConnectionEnded(mailbox)
            ),
            settings.http.max_connections,
            self._tls.callers,
            settings.http.header_timeout.total_seconds(),
        )
        self._operators_listener = OperatorsListener(self, clock)
        self._ready_listener = ReadyListener(self.async_health)
        self._operators_address = settings.operators
        self._tasks: list[asyncio.Task[None]] = []
        self._callers_address = settings.callers
        self._dropped_frames = 0
        self._failed = asyncio.Event()
        self._draining = False

    @property
    def settings(self) -> NodeSettings:
        """Return the settings that the host was started with."""
        return self._settings

    @property
    def callers_address(self) -> Address:
        """Return the address to which the callers' listener is bound."""
        return self._callers_address

    @property
    def operators_address(self) -> Address:
        """Return the address to which the operators' listener is bound."""
        return self._operators_address

    @property
    def failed(self) -> asyncio.Event:
        """Return the event that is set when a task of the host has failed."""
        return self._failed

    @property
    def is_draining(self) -> bool:
        """Return whether a graceful shutdown has begun."""
        return self._draining

    @property
    def open_connections(self) -> int:
        """Return the number of open connections of callers."""
        return self._caller_listener.open_connections

    @property
    def dropped_frames(self) -> int:
        """Return the number of peer frames rejected or lost to a full inbox."""
        return self._dropped_frames

    async def async_start(self) -> None:
        """Start all tasks; raises OSError if an address is in use."""
        await self._peer_server.async_start(self._settings.peers)
        task_functions: list[Callable[[], Any]] = [
            self._host_task.async_run,
            self._upstream_pool.async_run,
            self._store_reader.async_run,
        ]
        if self._datagrams is not None:
            await self._datagrams.async_start(self._settings.peers)
            task_functions.append(self._datagrams.async_run)
        self._tasks = [
            asyncio.create_task(self._async_run_task(run)) for run in task_functions
        ]
        self._operators_address = await self._operators_listener.async_start(
            self._settings.operators
        )
        if self._settings.ready is not None:
            await self._ready_listener.async_start(self._settings.ready)
        address = await self._caller_listener.async_start(self._settings.callers)
        self._callers_address = address
        logger.bind(
            event="start",
            incarnation=self._sender.incarnation,
            data_centre=self._settings.data_centre,
            interface=self._settings.interface,
        ).info("host {} serves callers on {}", self._settings.host_id, address)

    async def async_drain(self) -> bool:
        """Shut down gracefully; return whether all requests have ended.

        First the load balancer's health check fails. After the drain notice, idle
        connections are closed and running requests finish, at most until the end of
        the drain period. New connections are accepted in the first part of that time,
        since a load balancer without another host keeps sending them. A request that
        may last beyond the drain period is refused.
        """
        self._draining = True
        logger.bind(event="drain").info("draining host {}", self._settings.host_id)
        notice_seconds = self._settings.drain_notice.total_seconds()
        serving_seconds = self._settings.drain.total_seconds() - STOP_RESERVE_SECONDS
        remaining = max(0.0, serving_seconds - notice_seconds)
        stops_at = self._clock.monotonic() + notice_seconds + remaining
        self._host_task.inbox.post_unbounded(AnnounceDrain(stops_at))
        await asyncio.sleep(notice_seconds)
        await self._async_close_idle_connections()
        accepting = ACCEPTING_DRAIN_SHARE * remaining
        await self._caller_listener.async_wait_idle(accepting)
        self._caller_listener.stop_accepting()
        # Some of the connections accepted meanwhile may never carry a request.
        await self._async_close_idle_connections()
        idle = await self._caller_listener.async_wait_idle(remaining - accepting)
        if not idle:
            logger.warning("requests are still running at the end of the drain period")
        logger.bind(event="stop").info("stopping host {}", self._settings.host_id)
        return idle

    async def _async_close_idle_connections(self) -> None:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._host_task.inbox.post_unbounded(BeginDrain(done))
        await done

    async def async_stop(self) -> None:
        """Cancel all tasks and close all sockets; running requests are cut off."""
        self._caller_listener.stop_accepting()
        self._caller_listener.abort()
        await self._ready_listener.async_stop()
        await self._operators_listener.async_stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peer_server.async_stop()

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings, except the id, data centre and listener addresses."""
        if settings == self._settings:
            return
        unchanged = {
            name: getattr(self._settings, name)
            for name in ("host_id", "data_centre", "callers", "operators", "peers")
        }
        self._settings = evolve(settings, **unchanged)
        self._host_task.inbox.post_unbounded(SeedsChanged(settings.seeds))
        logger.bind(event="reload", seeds=[str(s) for s in settings.seeds]).info(
            "applied changed settings"
        )

    def reload_tls(self) -> "tuple[TlsFault, ...]":
        """Reload the TLS files for new connections; open connections stay.

        Returns the faults found. After any fault the current files stay in use.
        """
        if not self._settings.uses_tls:
            return ()
        from catkinspan.transport.tls_loading import load_tls

        loaded = load_tls(self._settings, self._clock.now())
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                logger.error("keeping the current TLS files: {}", fault)
            return loaded.err_value
        self._tls.replace(loaded.ok_value)
        logger.info("reloaded the TLS files")
        return ()

    async def async_query(self, read: Callable[[HostCoordinator, float], T]) -> T:
        """Run `read` on the coordinator within the host task.

        `read` must return immutable data. Raises TimeoutError if the host task does
        not reply within `QUERY_TIMEOUT_SECONDS`.
        """
        reply: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._host_task.inbox.post_unbounded(Query(read, reply))
        async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
            return await reply

    async def async_audit(self, limit: int) -> AuditExcerpt:
        """Return the latest entries of the audit trail, read in the host task."""
        audit = self._host_task.audit
        return await self.async_query(
            lambda _, now: AuditExcerpt(audit.recorded, audit.entries(limit))
        )

    async def async_health(self) -> HealthStatus:
        """Return whether the load balancer should send callers to this host.

        Raises TimeoutError if the host task does not reply within
        `QUERY_TIMEOUT_SECONDS`.
        """
        reply: Mailbox[HealthStatus] = Mailbox(1)
        self._host_task.inbox.post_unbounded(HealthQuery(reply))
        async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
            return await reply.async_get()

    async def async_peer_sent_bytes(self) -> int:
        """Return the bytes sent to peers, on open links and as datagrams."""
        stream_bytes = await self.async_query(
            lambda _, now: self._host_task.link_sent_bytes
        )
        return stream_bytes + (self._datagrams.sent_bytes if self._datagrams else 0)

    async def async_control_bytes_by_kind(self) -> Mapping[str, int]:
        """Return the bytes sent to peers since the start, by kind of message."""
        return await self.async_query(
            lambda _, now: self._host_task.control_bytes_by_kind
        )

    # Wiring

    def _new_coordinator(self, incarnation: int) -> HostCoordinator:
        settings = self._settings
        record = HostRecord(
            settings.host_id,
            settings.data_centre,
            settings.peer_address,
            incarnation,
            link_mbps=settings.link_mbps,
        )
        return HostCoordinator(
            record,
            settings.seeds,
            self._interface.new_parser(),
            Outbox(),
            self._rng,
            settings.http.max_requests,
            self._clock.monotonic(),
            settings.rate_window,
            settings.retry_slack,
        )

    async def _async_run_task(self, run: Callable[[], Any]) -> None:
        """Run a task and report an exception that ends it."""
        try:
            await run()
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("unexpected error in a task of the host")
            self._failed.set()
            raise

    def _new_connection(
        self, port: SocketPort, mailbox: Mailbox[Any]
    ) -> CallerConnection:
        context = CallerContext(
            self._host_task.inbox,
            self._upstream_pool.inbox,
            self._settings.http,
            self._clock,
            self._interface.http,
            self._tls.upstreams,
        )
        return CallerConnection(port, mailbox, context, self._new_request_id)

    def _new_link(
        self,
        peer: Peer,
        address: Address,
        encode: Callable[[list[PeerMessage]], bytes],
    ) -> PeerLink:
        is_seed = isinstance(peer, Address)
        tls = self._tls.peers_seed if is_seed else self._tls.peers_client
        return PeerLink(peer, address, encode, self._clock, self._rng, tls)

    def _on_frame(self, data: bytes, certificate_names: frozenset[str] | None) -> None:
        decoded = self._codec.decode(data)
        if isinstance(decoded, Err):
            self._drop_frame(str(decoded.err_value))
            return
        frame = decoded.ok_value
        if certificate_names is not None and frame.sender.host not in certificate_names:
            self._drop_frame(
                f"the certificate presented by {frame.sender.host!r:.60} is issued for "
                f"{', '.join(sorted(certificate_names)) or 'no host'}; issue each host "
                "a certificate of its own"
            )
            return
        if frame.skipped_count:
            logger.debug(
                "ignored {} unknown or invalid peer messages", frame.skipped_count
            )
        try:
            self._host_task.inbox.post(PeerFrame(frame))
        except InboxFullError as error:
            self._drop_frame(str(error))

    def _drop_frame(self, reason: str) -> None:
        """Count a dropped frame; log only powers of two, so no peer floods the log."""
        self._dropped_frames += 1
        if self._dropped_frames.bit_count() == 1:
            logger.warning(
                "dropped {} peer frames, latest reason: {}",
                self._dropped_frames,
                reason,
            )

    def _load_initial_tls(self) -> TlsContexts:
        """Load the TLS files; raises TlsSettingsError if one is unusable."""
        if not self._settings.uses_tls:
            return TlsContexts()
        # Imported only with TLS, since the certificate library takes 10 MB.
        from catkinspan.transport.tls_loading import TlsSettingsError, load_tls

        loaded = load_tls(self._settings, self._clock.now())
        return loaded.unwrap_or_raise(TlsSettingsError)


def _random_request_id() -> RequestId:
    return RequestId(secrets.token_hex(REQUEST_ID_BYTES))
