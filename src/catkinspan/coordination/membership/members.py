"""Records of the known hosts and the order of statements about them."""

from attrs import define

from catkinspan.coordination.membership.models import HostUpdate, Place, Sighting
from catkinspan.state.hosts import HostRecord, HostStatus, ListedHost
from catkinspan.state.ids import NO_REVISION, DataCentre, HostId, Revision
from catkinspan.state.tree import Address

_RANK = {
    HostStatus.ALIVE: 0,
    HostStatus.LEAVING: 0,
    HostStatus.SUSPECT: 1,
    HostStatus.DEAD: 2,
}


@define
class Member:
    """What a host knows of a peer."""

    id: HostId
    data_centre: DataCentre
    peer_address: Address
    listed: bool = False
    leaving_in_list: bool = False
    leaving: bool = False
    """Whether the peer announced that it leaves; final within an incarnation."""

    status: HostStatus = HostStatus.ALIVE
    """Alive, suspect or dead; leaving is kept apart so that a suspicion of a leaving
    host never makes it usable again."""

    incarnation: int = 0
    """Zero until the peer was heard of."""

    refutation: int = 0
    changed_at: float = 0.0
    heard_at: float | None = None
    """When a message came directly from the peer."""

    revision: Revision = NO_REVISION
    """Revision in force at the peer, from its last probe or ack."""

    revision_at: float | None = None
    """When the peer was first seen with that revision."""

    unheard_probes: int = 0
    """Probes in a row without a direct ack while the peer itself was heard."""

    @property
    def is_leaving(self) -> bool:
        """Return whether the peer or the platform's list says that it leaves."""
        return self.leaving or self.leaving_in_list

    @property
    def is_usable(self) -> bool:
        """Return whether the peer may hold a role."""
        return self.listed and not self.is_leaving and not self.is_dead

    @property
    def is_dead(self) -> bool:
        """Return whether the peer counts as dead."""
        return self.status is HostStatus.DEAD

    @property
    def shown_status(self) -> HostStatus:
        """Return the status for the fleet view."""
        if self.is_leaving and not self.is_dead:
            return HostStatus.LEAVING
        return self.status

    def update(self) -> HostUpdate:
        """Return the statement to pass on."""
        status = self.status
        if self.leaving and not self.is_dead:
            status = HostStatus.LEAVING
        return HostUpdate(self.id, status, self.incarnation, self.refutation)

    def place(self) -> Place:
        """Return where the peer is."""
        address = self.peer_address
        return Place(self.id, self.data_centre, address.ip, address.port)

    def record(self) -> HostRecord:
        """Return the entry for the fleet view."""
        return HostRecord(
            self.id,
            self.data_centre,
            self.peer_address,
            self.shown_status,
            self.incarnation,
            self.listed,
        )

    def note_revision(self, revision: Revision, now: float) -> None:
        """Record the revision that the peer has in force."""
        if revision != self.revision:
            self.revision = revision
            self.revision_at = now

    def sighting(self) -> Sighting:
        """Return what operators read of the peer beyond the fleet view."""
        return Sighting(self.id, self.heard_at, self.revision, self.revision_at)

    def take_listing(self, listing: ListedHost) -> None:
        """Take over what the platform's list says."""
        self.listed = True
        self.leaving_in_list = listing.leaving
        self.data_centre = listing.data_centre
        self.peer_address = listing.peer_address

    def merge(self, update: HostUpdate, now: float) -> bool:
        """Take over a statement if it is newer; return whether it was."""
        if update.incarnation < self.incarnation:
            return False
        if update.incarnation > self.incarnation:
            self.incarnation = update.incarnation
            self.refutation = update.refutation
            self.leaving = update.status is HostStatus.LEAVING
            self._set_status(update.status, now)
            return True
        news = update.status is HostStatus.LEAVING and not self.leaving
        self.leaving = self.leaving or news
        held = (self.refutation, _RANK[self.status])
        if (update.refutation, _RANK[update.status]) <= held:
            return news
        self.refutation = update.refutation
        self._set_status(update.status, now)
        return True

    def suspect(self, now: float) -> None:
        """Suspect the peer after a probe without an answer."""
        self._set_status(HostStatus.SUSPECT, now)

    def declare_dead(self, now: float) -> None:
        """Count the peer as dead after a suspicion that it did not refute."""
        self._set_status(HostStatus.DEAD, now)

    def _set_status(self, status: HostStatus, now: float) -> None:
        if status is HostStatus.LEAVING:
            status = HostStatus.ALIVE
        self.status = status
        self.changed_at = now


def member_of(listing: ListedHost) -> Member:
    """Return a record for a listed host that was not known yet."""
    member = Member(listing.id, listing.data_centre, listing.peer_address)
    member.take_listing(listing)
    return member


def member_at(place: Place) -> Member:
    """Return a record for a host that a peer introduced."""
    return Member(place.host, place.data_centre, Address(place.ip, place.port))
