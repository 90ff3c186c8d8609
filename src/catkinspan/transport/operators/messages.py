"""Queries from the operators' listener to the host task."""

from collections.abc import Callable, Mapping
from typing import Protocol, TypeVar

from attrs import frozen

from catkinspan.coordination.host.coordinator import HostCoordinator
from catkinspan.coordination.models import AuditEntry
from catkinspan.transport.callers.messages import HealthStatus

T = TypeVar("T")


@frozen
class AuditExcerpt:
    """The latest entries of the audit trail, newest first."""

    recorded: int
    entries: tuple[AuditEntry, ...]


class HostReader(Protocol):
    """Reads data from the host task by messages with a reply.

    Each method raises TimeoutError if the host task does not reply in time.
    """

    @property
    def is_draining(self) -> bool:
        """Return whether a graceful shutdown has begun."""

    @property
    def dropped_frames(self) -> int:
        """Return the number of peer frames dropped since the start."""

    async def async_query(self, read: Callable[[HostCoordinator, float], T]) -> T:
        """Run `read` in the host task; it must return immutable data."""

    async def async_audit(self, limit: int) -> AuditExcerpt:
        """Return the latest entries of the audit trail."""

    async def async_health(self) -> HealthStatus:
        """Return whether the load balancer should send callers to this host."""

    async def async_peer_sent_bytes(self) -> int:
        """Return the number of bytes sent on the open peer links."""

    async def async_peer_message_bytes(self) -> Mapping[str, int]:
        """Return the bytes of the messages to peers, by the name of the kind."""
