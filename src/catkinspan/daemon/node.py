"""One entry host: its tasks and how they are wired together."""

import asyncio
import secrets
from collections.abc import Callable
from random import Random
from typing import Any, TypeVar

from loguru import logger
from result import Err, Result

from catkinspan.coordination.clock import Clock
from catkinspan.coordination.host.coordinator import (
    PEER_MESSAGES,
    HostCoordinator,
    HostIdentity,
)
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.daemon.host_task import HostTask
from catkinspan.daemon.messages import (
    AnnounceDrain,
    BeginDrain,
    ConnectionEnded,
    ConnectionOpened,
    PeerFrame,
    ProbeResult,
    Query,
)
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.protocol.settings.tree import TreeParser
from catkinspan.state.hosts import ListedHost
from catkinspan.state.ids import HostId, RequestId
from catkinspan.state.node import NodeSettings
from catkinspan.state.tree import Address, SettingsTree
from catkinspan.transport.callers.connection import CallerConnection
from catkinspan.transport.callers.listener import CallerListener
from catkinspan.transport.callers.messages import (
    HealthQuery,
    HealthStatus,
    RequestRecord,
)
from catkinspan.transport.mailbox import InboxFullError, Mailbox
from catkinspan.transport.operators.listener import OperatorsListener
from catkinspan.transport.operators.messages import AuditExcerpt
from catkinspan.transport.peers.link import PeerLink
from catkinspan.transport.peers.server import PeerServer
from catkinspan.transport.platform.reader import PlatformReader
from catkinspan.transport.socket_port import SocketPort
from catkinspan.transport.tls import TlsContexts, TlsSettingsError, load_tls
from catkinspan.transport.tls_files import TlsFault
from catkinspan.transport.upstreams.pool import PoolTask
from catkinspan.transport.upstreams.prober import ProberTask

T = TypeVar("T")

QUERY_SECONDS = 2.0
REQUEST_ID_BYTES = 12


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
        self._tls = self._load_tls().unwrap_or_raise(TlsSettingsError)
        # A later process life has a higher number, as the wall clock moves on.
        incarnation = int(clock.now().timestamp() * 1000)
        self._origin = Origin(settings.host_id, incarnation)
        self._codec = PeerCodec(PEER_MESSAGES)
        self._pool = PoolTask(clock)
        self._reader_inbox: Mailbox[Any] = Mailbox(64)
        self._host = HostTask(
            self._new_coordinator,
            self._origin,
            self._codec,
            clock,
            self._rng,
            self._new_link,
            self._reader_inbox,
            self._on_tree,
            self._on_record,
        )
        self._reader = PlatformReader(
            settings.platform, self._host.inbox, self._reader_inbox, self._rng
        )
        self._prober = self._new_prober()
        self._peers = PeerServer(self._on_frame, self._tls.peers_server)
        self._listener = CallerListener(
            self._new_connection,
            lambda mailbox: self._host.inbox.force(ConnectionOpened(mailbox)),
            lambda mailbox: self._host.inbox.force(ConnectionEnded(mailbox)),
            settings.http.max_connections,
            self._tls.callers,
            settings.http.header_timeout.total_seconds(),
        )
        self._operators = OperatorsListener(self, clock)
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
        """Return the address of the callers' listener in use."""
        return self._callers_address

    @property
    def operators_address(self) -> Address:
        """Return the address of the operators' listener in use."""
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
        """Return the number of callers' connections."""
        return self._listener.open_connections

    @property
    def dropped_frames(self) -> int:
        """Return the number of peer frames that were refused or had no room."""
        return self._dropped_frames

    async def async_start(self) -> None:
        """Start all tasks; raises OSError if an address is not free."""
        await self._peers.async_start(self._settings.peers)
        runs: list[Callable[[], Any]] = [
            self._host.async_run,
            self._pool.async_run,
            self._reader.async_run,
        ]
        if self._prober is not None:
            runs.append(self._prober.async_run)
        self._tasks = [asyncio.create_task(self._async_guard(run)) for run in runs]
        self._operators_address = await self._operators.async_start(
            self._settings.operators
        )
        address = await self._listener.async_start(self._settings.callers)
        self._callers_address = address
        logger.info("host {} serves callers on {}", self._settings.host_id, address)

    async def async_drain(self) -> bool:
        """Shut down gracefully; return whether all requests have ended.

        The balancer's check fails first, and connections are accepted until it has
        had time to notice. Then running requests finish.
        """
        self._draining = True
        logger.info("draining host {}", self._settings.host_id)
        self._host.inbox.force(AnnounceDrain())
        await asyncio.sleep(self._settings.drain_notice.total_seconds())
        self._listener.stop_accepting()
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._host.inbox.force(BeginDrain(done))
        await done
        timeout = self._settings.drain.total_seconds()
        idle = await self._listener.async_wait_idle(timeout)
        if not idle:
            logger.warning("requests still run after {} s; closing them", timeout)
        return idle

    async def async_stop(self) -> None:
        """End all tasks and close all sockets at once."""
        self._listener.stop_accepting()
        self._listener.abort()
        await self._operators.async_stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.async_stop()

    def reload_tls(self) -> tuple[TlsFault, ...]:
        """Read the TLS files again for new connections; open ones go on.

        Returns the faults found; with any, the files in use stay in force.
        """
        loaded = self._load_tls()
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                logger.error("TLS files in use stay in force: {}", fault)
            return loaded.err_value
        self._tls.replace(loaded.ok_value)
        logger.info("TLS files are read again")
        return ()

    async def async_query(self, read: Callable[[HostCoordinator, float], T]) -> T:
        """Read from the coordinator within its own task.

        `read` must return immutable data. Raises TimeoutError if the host task does
        not answer within `QUERY_SECONDS`.
        """
        reply: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._host.inbox.force(Query(read, reply))
        async with asyncio.timeout(QUERY_SECONDS):
            return await reply

    async def async_audit(self, limit: int) -> AuditExcerpt:
        """Return the latest entries of the audit trail, read in the host task."""
        audit = self._host.audit
        return await self.async_query(
            lambda _, now: AuditExcerpt(audit.recorded, audit.entries(limit))
        )

    async def async_health(self) -> HealthStatus:
        """Return whether the balancer should send callers to this host.

        Raises TimeoutError if the host task does not answer within `QUERY_SECONDS`.
        """
        reply: Mailbox[HealthStatus] = Mailbox(1)
        self._host.inbox.force(HealthQuery(reply))
        async with asyncio.timeout(QUERY_SECONDS):
            return await reply.async_get()

    async def async_peer_bytes(self) -> int:
        """Return the bytes sent on the open peer links, read in the host task."""
        return await self.async_query(lambda _, now: self._host.peer_bytes)

    # Wiring

    def _new_coordinator(self, incarnation: int) -> HostCoordinator:
        settings = self._settings
        listing = ListedHost(
            settings.host_id, settings.data_centre, settings.peer_address
        )
        return HostCoordinator(
            HostIdentity(listing, incarnation),
            TreeParser(),
            Outbox(),
            self._rng,
            settings.http.max_requests,
            self._clock.monotonic(),
        )

    async def _async_guard(self, run: Callable[[], Any]) -> None:
        """Log the failure of a task that must not end."""
        try:
            await run()
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("a task of the host failed")
            self._failed.set()
            raise

    def _new_connection(
        self, port: SocketPort, mailbox: Mailbox[Any]
    ) -> CallerConnection:
        return CallerConnection(
            port,
            mailbox,
            self._host.inbox,
            self._pool.inbox,
            self._settings.http,
            self._clock,
            self._new_request_id,
            self._tls.upstreams,
        )

    def _new_link(
        self,
        peer: HostId,
        address: Address,
        encode: Callable[[list[PeerMessage]], bytes],
    ) -> PeerLink:
        tls = self._tls.peers_client
        return PeerLink(peer, address, encode, self._clock, self._rng, tls)

    def _new_prober(self) -> ProberTask | None:
        interval = self._settings.probe_interval
        if interval is None:
            return None
        return ProberTask(
            interval.total_seconds(),
            lambda *result: self._host.inbox.force(ProbeResult(*result)),
            self._clock,
            self._rng,
            self._tls.upstreams,
        )

    def _on_frame(self, data: bytes, certified: frozenset[str] | None) -> None:
        decoded = self._codec.decode(data)
        if isinstance(decoded, Err):
            self._drop_frame(str(decoded.err_value))
            return
        frame = decoded.ok_value
        if certified is not None and frame.origin.host not in certified:
            self._drop_frame(
                f"the certificate of {frame.origin.host!r:.60} names "
                f"{', '.join(sorted(certified)) or 'no host'}; issue each host a "
                "certificate of its own"
            )
            return
        if frame.unknown:
            logger.debug("{} peer messages were not understood", frame.unknown)
        try:
            self._host.inbox.post(PeerFrame(frame))
        except InboxFullError as error:
            self._drop_frame(str(error))

    def _drop_frame(self, reason: str) -> None:
        """Count a frame, and log every power of two, so that no peer fills the log."""
        self._dropped_frames += 1
        if self._dropped_frames.bit_count() == 1:
            logger.warning("{} peer frames dropped: {}", self._dropped_frames, reason)

    def _on_tree(self, tree: SettingsTree) -> None:
        if self._prober is not None:
            self._prober.apply_tree(tree)

    def _on_record(self, record: RequestRecord) -> None:
        logger.info(
            "request {} service={} workspace={} status={} kind={} ms={:.1f} "
            "attempts={}",
            record.request_id,
            record.service,
            record.workspace,
            record.status,
            record.kind,
            record.seconds * 1000,
            record.attempts,
        )

    def _load_tls(self) -> Result[TlsContexts, tuple[TlsFault, ...]]:
        return load_tls(self._settings, self._clock.now())


def _random_request_id() -> RequestId:
    return RequestId(secrets.token_hex(REQUEST_ID_BYTES))
