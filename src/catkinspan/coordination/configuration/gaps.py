"""Times between two copies of the store, whose single changes are not known."""

from attrs import frozen

from catkinspan.coordination.configuration.const import MAX_REVISION_GAPS
from catkinspan.state.ids import NO_REVISION, Revision


@frozen
class RevisionGap:
    """Revisions between two full copies of which only the difference is known.

    A document that came and went in between is in neither copy. A host whose own copy
    is from that time may hold it, so the difference is of no use to that host.
    """

    after: Revision = NO_REVISION
    until: Revision = NO_REVISION

    def contains(self, revision: Revision) -> bool:
        """Return whether a copy of this revision is from between the two copies."""
        return self.after < revision < self.until


NO_GAP = RevisionGap()


class RevisionGaps:
    """The gaps in a history of changes, oldest first."""

    def __init__(self) -> None:
        self._gaps: list[RevisionGap] = []

    def add(self, gap: RevisionGap) -> None:
        """Add a gap; the two oldest ones become one if there are too many."""
        if gap.until - gap.after <= 1:
            return
        self._gaps.append(gap)
        if len(self._gaps) > MAX_REVISION_GAPS:
            self._gaps[:2] = [_join(self._gaps[:2])]

    def drop_until(self, revision: Revision) -> None:
        """Drop the gaps that end at a revision or before."""
        self._gaps = [gap for gap in self._gaps if gap.until > revision]

    def contain(self, revision: Revision) -> bool:
        """Return whether a copy of this revision is from within a gap."""
        return any(gap.contains(revision) for gap in self._gaps)

    def after(self, revision: Revision) -> RevisionGap:
        """Return one gap that covers all that end after a revision."""
        return _join([gap for gap in self._gaps if gap.until > revision])

    def revision_after(self, revision: Revision) -> Revision:
        """Return a revision, or the end of the gap that contains it."""
        ends = (gap.until for gap in self._gaps if gap.contains(revision))
        return max(ends, default=revision)


def _join(gaps: list[RevisionGap]) -> RevisionGap:
    if not gaps:
        return NO_GAP
    return RevisionGap(min(gap.after for gap in gaps), max(gap.until for gap in gaps))
