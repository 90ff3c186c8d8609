"""Whether a host may mint: its rank, its waiting periods and its incarnation."""

from random import Random

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.const import (
    CONFIRM_RETRY_SECONDS,
    CONFIRMING_PEERS,
    RANK_INTERVAL_SECONDS,
)
from catkinspan.coordination.rates.leases import lender_wait, list_memory
from catkinspan.coordination.rates.models import IncarnationQuery, IncarnationReply
from catkinspan.state.hosts import FleetView, HostStatus
from catkinspan.state.ids import HostId


class MintingRight:
    """The right of one host to mint 1/max_hosts of each rate and burst.

    The right needs a rank below `max_hosts` among the ids that are or recently were
    listed. It rests for the longest lease after a start or a pause, since rights that
    an earlier process lent may be in use that long, and until peers confirm that they
    know no newer process of the same id.
    """

    def __init__(
        self, self_id: HostId, incarnation: int, outbox: Outbox, rng: Random
    ) -> None:
        self._self_id = self_id
        self._incarnation = incarnation
        self._outbox = outbox
        self._rng = rng
        self._view: FleetView | None = None
        self._seen_listed: dict[HostId, float] = {}
        self._rank: int | None = None
        self._rank_at = 0.0
        self._rest_until: float | None = None
        self._list_rest_until = 0.0
        self._confirmed_by: set[HostId] = set()
        self._confirmed = False
        self._query_at = 0.0
        self._superseded = False
        self._draining = False

    @property
    def superseded(self) -> bool:
        """Return whether a newer process of the same id is known."""
        return self._superseded

    def apply_view(self, view: FleetView, now: float) -> None:
        """Take over the host list and the known incarnations."""
        before = () if self._view is None else self._view.listed
        self._view = view
        for host in (*before, *view.listed):
            self._seen_listed[host] = now
        own = view.hosts.get(self._self_id)
        if own is not None:
            self.note_incarnation(own.incarnation)
        self._update_rank(now)

    def note_incarnation(self, incarnation: int) -> None:
        """Give up minting if a newer process of the same id exists."""
        if incarnation > self._incarnation:
            self._superseded = True

    def handle_reply(self, reply: IncarnationReply, host: HostId) -> None:
        """Count a peer's answer about the own id."""
        self.note_incarnation(reply.highest)
        if reply.asked_by == self._incarnation:
            self._confirmed_by.add(host)

    def tick(self, now: float) -> None:
        """Keep the rank, and ask peers until enough have answered."""
        if self._view is None:
            return
        if self._rest_until is None:
            self._rest_until = now + lender_wait(self._view.max_hosts)
            self._list_rest_until = now + list_memory(self._view.max_hosts)
        if now >= self._rank_at:
            self._rank_at = now + RANK_INTERVAL_SECONDS
            self._update_rank(now)
        if self._confirmed:
            return
        peers = [host for host in self._view.usable if host != self._self_id]
        if len(self._confirmed_by) >= min(CONFIRMING_PEERS, len(peers)):
            self._confirmed = True
            return
        if now >= self._query_at:
            self._query_at = now + CONFIRM_RETRY_SECONDS
            for host in self._rng.sample(peers, min(CONFIRMING_PEERS, len(peers))):
                self._outbox.send(host, IncarnationQuery())

    def resume(self) -> None:
        """Start over as a new process does."""
        self._rest_until = None
        self._confirmed_by.clear()
        self._confirmed = False
        self._query_at = 0.0

    def drain(self) -> None:
        """Give up the right for good."""
        self._draining = True

    def obstacle(self, now: float) -> str | None:
        """Return why the host must not mint, or None."""
        if self._view is None or self._rest_until is None:
            return "no tick since the start or a pause, or no view of the fleet"
        if self._superseded:
            return "a newer process of this host is known"
        if self._draining or self._is_leaving(self._view):
            return "this host is leaving"
        if self._rank is None:
            return "this host is not listed"
        limit = self._view.max_hosts
        if self._rank >= limit:
            return "this host ranks past max_hosts"
        if now < self._rest_until:
            return "leases of an earlier process may still be in use"
        if now < self._list_rest_until and len(self._view.listed) > limit:
            return "more than max_hosts are listed and lists may differ"
        if not self._confirmed:
            return "peers have not confirmed the incarnation"
        return None

    def _is_leaving(self, view: FleetView) -> bool:
        own = view.hosts.get(self._self_id)
        return own is not None and own.status is HostStatus.LEAVING

    def _update_rank(self, now: float) -> None:
        if self._view is None:
            return
        for host in self._view.listed:
            self._seen_listed[host] = now
        self._rank = None
        if self._self_id not in self._view.listed:
            return
        oldest = now - list_memory(self._view.max_hosts)
        if any(at < oldest for at in self._seen_listed.values()):
            self._seen_listed = {
                host: at for host, at in self._seen_listed.items() if at >= oldest
            }
        self._rank = sum(host < self._self_id for host in self._seen_listed)
