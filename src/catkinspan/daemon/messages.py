"""Messages to the host task that come from neither callers nor the platform."""

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
    """A caller connected; the mailbox gets `Drain` and `KeysWithdrawn`."""

    mailbox: Mailbox[Any]


@frozen
class ConnectionEnded:
    """A caller's connection task ended."""

    mailbox: Mailbox[Any]


@frozen
class SeedsChanged:
    """The settings file names other seeds."""

    seeds: tuple[Address, ...]


@frozen
class Query:
    """A question of the operators' listener about the host's state.

    `read` runs in the host task and returns immutable data.
    """

    read: Callable[[HostCoordinator, float], Any]
    reply: "asyncio.Future[Any]"


@frozen
class AnnounceDrain:
    """Fail the balancer's check from now on, tell the peers, and answer
    `Connection: close`; requests are served as before."""


@frozen
class BeginDrain:
    """Close the idle connections as well."""

    done: "asyncio.Future[None]"
