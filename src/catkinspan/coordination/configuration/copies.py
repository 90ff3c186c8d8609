"""Full copies of the store that hosts send to each other in parts."""

from attrs import define, field, frozen

from catkinspan.coordination.configuration.const import (
    COPY_IDLE_SECONDS,
    COPY_LINK_SHARE,
    COPY_WINDOW_PARTS,
    MIN_CONCURRENT_COPIES,
    REPEATED_ANSWER_SECONDS,
)
from catkinspan.coordination.configuration.models import (
    CopyPart,
    CopyRequest,
    Document,
)
from catkinspan.coordination.configuration.parts import split_into_parts
from catkinspan.coordination.configuration.replica import Replica
from catkinspan.coordination.models import Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, Revision

Parts = tuple[tuple[Document, ...], ...]


@define
class PartialCopy:
    """A copy that is being received. Its parts may arrive in another order."""

    revision: Revision
    received_count: int = 0
    """Number of parts that have arrived without a gap."""

    _parts: dict[int, tuple[Document, ...]] = field(factory=dict)
    _total: int | None = None

    @property
    def is_complete(self) -> bool:
        """Return whether all parts have arrived."""
        return self.received_count == self._total

    def add(self, part: CopyPart) -> None:
        """Add a part of this copy."""
        self._parts[part.index] = part.documents
        while self.received_count in self._parts:
            self.received_count += 1
        if part.is_last:
            self._total = part.index + 1

    def documents(self) -> list[Document]:
        """Return the documents of all parts."""
        return [document for part in self._parts.values() for document in part]


@frozen
class _Waiting:
    """A host process that waits for its copy."""

    incarnation: int
    asked_at: float


@define
class _Transfer:
    """A copy on its way to one host process."""

    incarnation: int
    revision: Revision
    parts: Parts
    heard_at: float
    sent_at: float
    received_count: int = 0
    sent_count: int = 0

    def take_parts(self, now: float) -> list[CopyPart]:
        """Return the parts to send next, and record that they were sent."""
        end = min(len(self.parts), self.received_count + COPY_WINDOW_PARTS)
        sent = range(self.sent_count, end)
        self.sent_count, self.sent_at = max(self.sent_count, end), now
        return copy_parts(self.revision, self.parts)[sent.start : sent.stop]


def copy_parts(revision: Revision, parts: Parts) -> list[CopyPart]:
    """Return the messages of a copy."""
    last = len(parts) - 1
    return [
        CopyPart(revision, index, documents, index == last)
        for index, documents in enumerate(parts)
    ]


class OutgoingCopies:
    """Sends copies to a few hosts at once, and further parts as earlier ones arrive.

    So a copy waits here rather than in a full link, before heartbeats and levels. The
    receivers' links fill at most a share of this host's link.
    """

    def __init__(self, replica: Replica, outbox: Outbox) -> None:
        self._replica = replica
        self._outbox = outbox
        self._view: FleetView | None = None
        self._waiting: dict[HostId, _Waiting] = {}
        self._transfers: dict[HostId, _Transfer] = {}
        self._parts: tuple[Revision, Parts] | None = None
        self._sent_at_once: dict[HostId, float] = {}
        """Time of the latest copy that was sent to each host without waiting."""

    def apply_view(self, view: FleetView) -> None:
        """Use a changed view of the fleet."""
        self._view = view

    def is_pending(self, host: HostId) -> bool:
        """Return whether a host waits for a copy or is receiving one."""
        return host in self._waiting or host in self._transfers

    def request(self, sender: Sender, now: float) -> None:
        """Send a copy to a host as soon as there is room for it.

        If the host is receiving one, repeat the parts that seem to be lost.
        """
        host = sender.host
        transfer = self._transfer_to(sender)
        if transfer is None:
            self._waiting[host] = _Waiting(sender.incarnation, now)
            self._start_next(now)
            return
        transfer.heard_at = now
        if now - transfer.sent_at >= REPEATED_ANSWER_SECONDS:
            transfer.sent_count = transfer.received_count
            self._send(host, transfer.take_parts(now))

    def send_at_once(self, host: HostId, now: float) -> None:
        """Send all parts to a host of an older version, which requests none.

        Repeated requests add no further copy while one may be on its way.
        """
        sent_at = self._sent_at_once.get(host, float("-inf"))
        if now - sent_at < REPEATED_ANSWER_SECONDS:
            return
        self._sent_at_once[host] = now
        self._send(host, copy_parts(self._replica.revision, self._split()))

    def continue_copy(self, sender: Sender, request: CopyRequest, now: float) -> None:
        """Send the next parts of a copy, or end it."""
        host = sender.host
        transfer = self._transfer_to(sender)
        if request.is_cancelled:
            self._waiting.pop(host, None)
            self._transfers.pop(host, None)
        elif transfer is not None and transfer.revision == request.revision:
            transfer.heard_at = now
            if request.received_parts >= len(transfer.parts):
                del self._transfers[host]
            transfer.received_count = max(
                transfer.received_count, request.received_parts
            )
            self._send(host, transfer.take_parts(now))
        self._start_next(now)

    def tick(self, now: float) -> None:
        """Drop the copies of hosts that no longer answer, and start others."""
        for host, waiting in list(self._waiting.items()):
            if now - waiting.asked_at > COPY_IDLE_SECONDS:
                del self._waiting[host]
        for host, transfer in list(self._transfers.items()):
            if now - transfer.heard_at > COPY_IDLE_SECONDS:
                del self._transfers[host]
        self._sent_at_once = {
            host: sent_at
            for host, sent_at in self._sent_at_once.items()
            if now - sent_at < REPEATED_ANSWER_SECONDS
        }
        if not self._transfers:
            self._parts = None
        self._start_next(now)

    def _transfer_to(self, sender: Sender) -> _Transfer | None:
        """Return the copy on its way to a host; drop one to an earlier process.

        The parts that an earlier process acknowledged are lost.
        """
        transfer = self._transfers.get(sender.host)
        if transfer is None or transfer.incarnation == sender.incarnation:
            return transfer
        del self._transfers[sender.host]
        return None

    def _send(self, host: HostId, parts: list[CopyPart]) -> None:
        for part in parts:
            self._outbox.send(host, part)

    def _start_next(self, now: float) -> None:
        view = self._view
        while self._waiting and view is not None:
            # A hub comes first, since it can then send copies as well.
            hubs = [host for host in view.hubs if host in self._waiting]
            host = next(iter(hubs or self._waiting))
            if not self._has_room(host, view):
                return
            waiting = self._waiting.pop(host)
            transfer = _Transfer(
                waiting.incarnation, self._replica.revision, self._split(), now, now
            )
            self._transfers[host] = transfer
            self._send(host, transfer.take_parts(now))

    def _split(self) -> Parts:
        revision = self._replica.revision
        if self._parts is None or self._parts[0] != revision:
            documents = self._replica.documents.values()
            self._parts = (revision, tuple(split_into_parts(documents)))
        return self._parts[1]

    def _has_room(self, host: HostId, view: FleetView) -> bool:
        if len(self._transfers) < MIN_CONCURRENT_COPIES:
            return True
        records = [view.hosts.get(h) for h in (view.self_id, host, *self._transfers)]
        own, *others = [0.0 if r is None else r.link_mbps for r in records]
        return all(others) and sum(others) <= COPY_LINK_SHARE * own
