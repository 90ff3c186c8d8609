"""Levels that a new hub takes from the other hubs."""

from attrs import define

from catkinspan.coordination.const import REPORT_INTERVAL_SECONDS
from catkinspan.coordination.rates.const import LEVEL_SYNC_SECONDS


@define
class LevelSync:
    """Decides when a new hub asks the other hubs for their levels.

    The totals of its hosts do not tell a new hub how much of them is recent, while the
    other hubs have counted it. If nobody answers, the whole fleet may have started.
    """

    _hub_since: float | None = None
    _is_answered: bool = False

    def set_hub_role(self, is_hub: bool, now: float) -> bool:
        """Begin when this host becomes a hub, and return whether it has just."""
        is_new = is_hub and self._hub_since is None
        if not is_hub:
            self._hub_since = None
        if is_new:
            self._hub_since, self._is_answered = now, False
        return is_new

    def record_answer(self) -> None:
        """Record that another hub answered."""
        self._is_answered = True

    def is_active(self, now: float) -> bool:
        """Return whether answers of other hubs are applied."""
        since = self._hub_since
        return since is not None and now - since <= LEVEL_SYNC_SECONDS

    def is_request_due(self, now: float) -> bool:
        """Return whether to ask the other hubs."""
        return self.is_active(now) and not self._is_answered

    def holds_levels_back(self, now: float) -> bool:
        """Return whether the first answers can still arrive before a report."""
        since = self._hub_since
        is_waiting = since is not None and now - since < REPORT_INTERVAL_SECONDS
        return is_waiting and not self._is_answered

    def can_answer(self, now: float) -> bool:
        """Return whether this hub knows the use of the last seconds."""
        if self._hub_since is None:
            return False
        return self._is_answered or not self.is_active(now)
