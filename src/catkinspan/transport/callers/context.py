"""What all connections of callers share."""

import ssl
from typing import Any

from attrs import frozen

from catkinspan.coordination.clock import Clock
from catkinspan.protocol.http.names import HttpNames
from catkinspan.state.node import HttpLimits
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.upstreams.pool import PoolMessage


@frozen
class CallerContext:
    """Inboxes, limits and names that the connections and their requests use."""

    host: Mailbox[Any]
    """Inbox of the host task."""

    pool: Mailbox[PoolMessage]
    limits: HttpLimits
    clock: Clock
    names: HttpNames
    upstreams_tls: ssl.SSLContext | None = None
