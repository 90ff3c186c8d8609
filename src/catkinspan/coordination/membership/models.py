"""Messages, events and interfaces of the membership."""

from collections.abc import Mapping
from ipaddress import ip_address
from typing import Annotated, Protocol

from attrs import Attribute, field, frozen

from catkinspan.coordination.models import Between, Event, PeerMessage
from catkinspan.state.hosts import FleetView, HostStatus
from catkinspan.state.ids import DataCentre, HostId, Revision


@frozen
class HostUpdate:
    """A statement about a host, piggybacked on probes and acks.

    A higher incarnation supersedes a lower one. Within an incarnation a higher
    refutation number wins, then dead over suspect over alive.
    """

    host: HostId
    status: HostStatus
    incarnation: int
    refutation: int


Port = Annotated[int, Between(1, 65535)]


def _check_numeric(_: "Place", __: "Attribute[str]", value: str) -> None:
    """Refuse a name, which a link would ask the name service for."""
    ip_address(value)


@frozen
class Place:
    """Data centre and peer address of a host that the platform's list may lack."""

    host: HostId
    data_centre: DataCentre
    ip: str = field(validator=_check_numeric)
    port: Port


@frozen
class Probe(PeerMessage):
    """Asks a peer for an ack."""

    sequence: int
    revision: Revision
    leaving: bool = False
    updates: tuple[HostUpdate, ...] = ()
    places: tuple[Place, ...] = ()


@frozen
class Ack(PeerMessage):
    """Answers a probe."""

    sequence: int
    revision: Revision
    leaving: bool = False
    relayed: bool = False
    """Whether the probe came through a helper; the ack itself came directly."""

    updates: tuple[HostUpdate, ...] = ()
    places: tuple[Place, ...] = ()


@frozen
class ProbeRequest(PeerMessage):
    """Asks a helper to probe a target that did not ack."""

    sequence: int
    target: HostId


@frozen
class RelayedProbe(PeerMessage):
    """Probe that a helper passes on for another host."""

    sequence: int
    origin: HostId


@frozen
class RelayedAck(PeerMessage):
    """Answer to a relayed probe, on its way back through the helper."""

    sequence: int
    origin: HostId
    target: HostId


@frozen
class Leaving(PeerMessage):
    """Announces that the sender shuts down."""

    refutation: int


MESSAGES = (Probe, Ack, ProbeRequest, RelayedProbe, RelayedAck, Leaving)


@frozen
class OneWayPath:
    """A path that works from `target` to `source` but not back."""

    source: HostId
    target: HostId
    since: float
    """Monotonic seconds of the host that reports it."""


@frozen
class Sighting:
    """What a host knows of a peer's state from its messages, for operators."""

    host: HostId
    heard_at: float | None
    """Monotonic seconds of the last message that came directly; None without one."""

    revision: Revision
    """Revision in force at the peer, 0 before the first probe or ack."""

    revision_at: float | None
    """Monotonic seconds at which the peer was first seen with that revision."""


@frozen
class MembershipSnapshot:
    """The fleet as one host observes it, for operators."""

    view: FleetView
    sightings: Mapping[HostId, Sighting]
    connectivity: float
    one_way_paths: tuple[OneWayPath, ...]
    superseded: bool


@frozen
class HostStatusChanged(Event):
    """A peer died, returned or announced that it leaves."""

    host: HostId
    status: HostStatus
    incarnation: int


@frozen
class OneWayPathFound(Event):
    """The host hears a peer that does not hear it."""

    source: HostId
    target: HostId


@frozen
class OneWayPathEnded(Event):
    """A path that was one-way works in both directions again."""

    source: HostId
    target: HostId


@frozen
class HostSuperseded(Event):
    """A newer process with the own id is known to peers."""

    host: HostId
    incarnation: int
    newer: int


@frozen
class HostIsolated(Event):
    """The host reached neither the platform nor a majority of its peers."""

    connectivity: float
    limit_seconds: float


@frozen
class IsolationEnded(Event):
    """The host reaches the platform or a majority of its peers again."""


class RevisionExchange(Protocol):
    """What probes and acks carry for the configuration concern."""

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""

    def observe_revision(self, host: HostId, revision: Revision, now: float) -> None:
        """Learn the revision that a peer has in force."""


class PeerContact(Protocol):
    """How well a host reaches its peers."""

    def acked_share(self, window: float, now: float) -> float:
        """Return the share of probed peers that acked in the last `window` seconds."""


class PlatformContact(Protocol):
    """When a host last reached the platform."""

    @property
    def platform_contact_at(self) -> float | None:
        """Return monotonic seconds of the last contact, or None without one."""
