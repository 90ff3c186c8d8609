"""Requests for missing changes, and the answers to them."""

from collections.abc import Collection, Sequence

from catkinspan.coordination.configuration.const import (
    ANSWERING_SOURCE_SECONDS,
    MAX_PULL_RETRY_SECONDS,
    OTHER_PULL_RETRY_SECONDS,
    PULL_RETRY_SECONDS,
)
from catkinspan.state.ids import HostId, Revision

_NEVER = float("-inf")


class PullSchedule:
    """Decides when missing changes are requested, and from which host.

    Hosts that have newer changes offer them. A host waits for a short time before it
    requests them, since its primary hub or the store may be about to send them.
    """

    def __init__(self) -> None:
        self._offers: dict[HostId, Revision] = {}
        self._source: HostId | None = None
        self._asked_at = self._answered_at = _NEVER
        self._has_part = False
        """Whether a part of the requested copy has arrived."""

        self._attempts = 0
        self._behind_since: float | None = None

    @property
    def source(self) -> HostId | None:
        """Return the host that was asked last; None if nothing is missing."""
        return self._source

    def reset(self) -> None:
        """Forget offers and requests, since earlier answers are lost."""
        self._offers.clear()
        self._source = self._behind_since = None
        self._asked_at = self._answered_at = _NEVER
        self._has_part = False
        self._attempts = 0

    def update(self, revision: Revision) -> None:
        """Forget what is no longer missing."""
        self._keep({h: r for h, r in self._offers.items() if r > revision})

    def keep_only(self, hosts: Collection[HostId]) -> None:
        """Forget the offers of all other hosts, which do not answer any more."""
        self._keep({h: r for h, r in self._offers.items() if h in hosts})

    def _keep(self, offers: dict[HostId, Revision]) -> None:
        if self._offers and not offers:
            self.reset()
        self._offers = offers

    def record_part(self, source: HostId, now: float) -> None:
        """Record a part of a copy, which shows that the rest is on its way."""
        if source == self._source:
            self._asked_at = self._answered_at = now
            self._has_part = True
            self._attempts = 1

    def record_copy(self) -> None:
        """Record that a copy is complete; changes that followed it are due at once."""
        self._asked_at = self._answered_at = _NEVER
        self._has_part = False

    def is_pending(self, now: float) -> bool:
        """Return whether the requested host is to send, but has not begun to."""
        is_answering = now - self._answered_at < ANSWERING_SOURCE_SECONDS
        return self._source is not None and is_answering and not self._has_part

    def record_pending(self, source: HostId, now: float) -> None:
        """Record that a host prepares the copy that was requested from it."""
        if source == self._source:
            self._answered_at = now

    def record_offer(self, source: HostId, revision: Revision, now: float) -> None:
        """Record that a host has the changes up to a revision."""
        self._offers[source] = revision
        if self._behind_since is None:
            self._behind_since = now

    def next_source(
        self, preferred: Sequence[HostId], grace: float, now: float
    ) -> HostId | None:
        """Return the host to request the changes from now, if any, and record it.

        Hosts in `preferred` are asked first, and the first one without a wait; others
        are asked `grace` seconds after the first offer. While a host sends a copy, no
        other host is asked; while it is to send one, only the first in `preferred`.
        """
        if self._behind_since is None:
            return None
        is_primary = bool(preferred) and preferred[0] in self._offers
        if not is_primary and now - self._behind_since < grace:
            return None
        sources = [h for h in preferred if h in self._offers] or list(self._offers)
        is_answering = now - self._answered_at < ANSWERING_SOURCE_SECONDS
        if is_answering and self._source is not None:
            may_change = is_primary and not self._has_part
            sources = [preferred[0] if may_change else self._source]
        for source in sources:
            if self._is_due(source, now):
                self._record_request(source, now)
                return source
        return None

    def _is_due(self, source: HostId, now: float) -> bool:
        wait = OTHER_PULL_RETRY_SECONDS
        if source == self._source:
            doublings = min(self._attempts - 1, 8)
            wait = min(MAX_PULL_RETRY_SECONDS, PULL_RETRY_SECONDS * 2.0**doublings)
        return now - self._asked_at >= wait

    def _record_request(self, source: HostId, now: float) -> None:
        self._has_part &= source == self._source
        self._source, self._asked_at = source, now
        self._attempts += 1
