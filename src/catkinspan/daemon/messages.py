"""Messages to the host task from sources other than callers and the platform."""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import frozen

from catkinspan.coordination.host.coordinator import HostCoordinator
from catkinspan.protocol.peers.codec import Frame
from catkinspan.state.tree import Address
from catkinspan.transport.mailbox import Mailbox


@frozen
class PeerFrame:
    """A decoded frame from a peer."""

    frame: Frame


@frozen
class ConnectionOpened:
    """A caller connected; its mailbox receives `Drain` and `KeysWithdrawn`."""

    mailbox: Mailbox[Any]


@frozen
class ConnectionEnded:
    """The task of a caller's connection ended."""

    mailbox: Mailbox[Any]


@frozen
class SeedsChanged:
    """The seeds in the settings file changed."""

    seeds: tuple[Address, ...]


@frozen
class Query:
    """A read of the coordinator's state, such as for the operators' listener.

    `read` runs in the host task and must return immutable data.
    """

    read: Callable[[HostCoordinator, float], Any]
    reply: "asyncio.Future[Any]"


@frozen
class AnnounceDrain:
    """Fail the load balancer's health check, notify the peers and respond with
    `Connection: close`, while requests that end before the host does are served."""

    stops_at: float
    """Monotonic time in seconds at which the host ends."""


@frozen
class BeginDrain:
    """Close idle connections; comes after `AnnounceDrain`."""

    done: "asyncio.Future[None]"
