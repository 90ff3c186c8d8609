"""Whether a host's copy of the store has all changes that are known of."""

from collections.abc import Collection

from attrs import define, field, frozen

from catkinspan.coordination.configuration.const import MAX_CLAIM_SECONDS
from catkinspan.state.ids import NO_REVISION, HostId, Revision

_NEVER = float("-inf")


@frozen
class Confirmation:
    """The store had no change after a revision at a time."""

    revision: Revision
    at: float
    """Monotonic seconds; minus infinity if the time is unknown."""


@define
class _Claim:
    """A peer has told of a revision that the copy lacks."""

    awaited: Revision
    """Revision of the first claim; a later one does not prolong the wait for it."""

    since: float
    latest: Confirmation


@define
class CopyCompleteness:
    """Tracks what peers tell of newer revisions and when the copy had all changes.

    A peer that tells of a newer revision is believed for `MAX_CLAIM_SECONDS`, since the
    revision may not exist. The copy counts as complete only by news that name no
    revision beyond it, so it is not confirmed by peers whose claims are doubted.

    Example::

        completeness.record_news("hub-1", Confirmation(Revision(8), now), now)
        completeness.is_catching_up(now)  # True: the copy has revision 7.
        completeness.record_progress(Revision(8), now)
    """

    complete_at: float = _NEVER
    """Time at which the copy was last known to have all changes."""

    _revision: Revision = NO_REVISION
    """Revision of the copy."""

    _claims: dict[HostId, _Claim] = field(factory=dict, init=False)

    def record_news(self, source: HostId, news: Confirmation, now: float) -> None:
        """Record that a peer knows of no revision after the one that it names."""
        if news.revision <= self._revision:
            self._claims.pop(source, None)
            self._confirm(news.at)
            return
        claim = self._claims.get(source)
        if claim is None:
            self._claims[source] = _Claim(news.revision, now, news)
            return
        latest = claim.latest
        if (news.revision, news.at) > (latest.revision, latest.at):
            claim.latest = news

    def record_store_contact(self, at: float) -> None:
        """Record that the store itself named no change that the copy lacks."""
        self._confirm(at)

    def record_progress(self, revision: Revision, now: float) -> None:
        """Record the revision that the copy has reached."""
        if revision <= self._revision:
            return
        self._revision = revision
        for source, claim in list(self._claims.items()):
            if claim.latest.revision <= revision:
                del self._claims[source]
                self._confirm(claim.latest.at)
            elif claim.awaited <= revision:
                self._claims[source] = _Claim(claim.latest.revision, now, claim.latest)

    def is_catching_up(self, now: float) -> bool:
        """Return whether the copy lacks changes that a peer tells of."""
        return self._newest_claim(now) is not None

    def newest(self, now: float) -> Confirmation:
        """Return the newest revision known of, and when it had all changes.

        A host that lacks a revision which it has heard of names that one, so that it
        does not confirm its copy.
        """
        claim = self._newest_claim(now)
        if claim is None:
            return Confirmation(self._revision, self.complete_at)
        return Confirmation(claim.revision, max(claim.at, self.complete_at))

    def keep_only(self, hosts: Collection[HostId]) -> None:
        """Drop the claims of all other hosts."""
        self._claims = {h: c for h, c in self._claims.items() if h in hosts}

    def add_pause(self, gap: float) -> None:
        """Add a pause of `gap` seconds to the ages."""
        self.complete_at -= gap
        for claim in self._claims.values():
            claim.since -= gap
            claim.latest = Confirmation(claim.latest.revision, claim.latest.at - gap)

    def _confirm(self, at: float) -> None:
        self.complete_at = max(self.complete_at, at)

    def _newest_claim(self, now: float) -> Confirmation | None:
        believed = (
            claim.latest
            for claim in self._claims.values()
            if now - claim.since <= MAX_CLAIM_SECONDS
        )
        return max(believed, key=lambda claim: claim.revision, default=None)
