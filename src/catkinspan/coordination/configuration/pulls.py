"""Requests for missing changes, and the answers to them."""

from catkinspan.coordination.configuration.const import (
    MAX_PULL_RETRY_SECONDS,
    OTHER_PULL_RETRY_SECONDS,
    PULL_RETRY_SECONDS,
    PUSH_GRACE_SECONDS,
    REPEATED_ANSWER_SECONDS,
)
from catkinspan.state.ids import NO_REVISION, HostId, Revision

_NEVER = float("-inf")


class PullSchedule:
    """Decides when missing changes are requested, and from whom."""

    def __init__(self) -> None:
        self._source: HostId | None = None
        self._asked_at = _NEVER
        self._attempts = 0
        self._behind_since: float | None = None

    def reset(self) -> None:
        """Record that this host is up to date, or that earlier answers are lost."""
        self._source = self._behind_since = None
        self._asked_at = _NEVER
        self._attempts = 0

    def record_progress(self, now: float) -> None:
        """Record a part of an answer, which shows that the rest is on its way."""
        self._asked_at = now

    def may_wait_for_push(self, is_primary: bool, now: float) -> bool:
        """Return whether changes that a host announces may still arrive by a push."""
        if self._behind_since is None:
            self._behind_since = now
        return not is_primary and now - self._behind_since < PUSH_GRACE_SECONDS

    def should_ask(self, source: HostId, now: float) -> bool:
        """Return whether to request the changes from a host now, and record it."""
        wait = OTHER_PULL_RETRY_SECONDS
        if source == self._source:
            doublings = min(self._attempts - 1, 8)
            wait = min(MAX_PULL_RETRY_SECONDS, PULL_RETRY_SECONDS * 2.0**doublings)
        if now - self._asked_at < wait:
            return False
        self._source, self._asked_at = source, now
        self._attempts += 1
        return True


class SentCopies:
    """Latest large message to each host, so that repeated requests add no more."""

    def __init__(self) -> None:
        self._sent: dict[HostId, tuple[Revision, float]] = {}

    def record(self, host: HostId, revision: Revision, now: float) -> None:
        """Record that the changes up to a revision were sent to a host."""
        self._sent[host] = (revision, now)

    def is_on_its_way(self, host: HostId, revision: Revision, now: float) -> bool:
        """Return whether these changes were just sent to a host."""
        sent, at = self._sent.get(host, (NO_REVISION, _NEVER))
        return sent >= revision and now - at < REPEATED_ANSWER_SECONDS

    def remove_old(self, now: float) -> None:
        """Remove what no longer prevents an answer."""
        self._sent = {
            host: (revision, at)
            for host, (revision, at) in self._sent.items()
            if now - at < REPEATED_ANSWER_SECONDS
        }
