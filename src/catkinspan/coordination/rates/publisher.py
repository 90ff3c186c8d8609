"""The levels that a hub sends to its followers."""

from collections.abc import Mapping
from math import ceil

from attrs import frozen

from catkinspan.coordination.budget import ByteBudget
from catkinspan.coordination.const import REPORT_INTERVAL_SECONDS
from catkinspan.coordination.rates.const import (
    HUB_LEVEL_BYTES_PER_SECOND,
    LEVEL_BURST_SECONDS,
    LEVEL_BYTES,
    LEVEL_KEPT_SECONDS,
    LEVEL_REFRESH_SECONDS,
)
from catkinspan.coordination.rates.models import Levels, WorkspaceLevel
from catkinspan.state.ids import WorkspaceId


@frozen
class _SentLevel:
    """The level that followers have of a workspace."""

    admit_share: float
    at: float


class LevelPublisher:
    """Chooses the levels to send, so that a byte budget is kept.

    All levels are sent while they fit. Otherwise those that followers have are kept up
    to date, and others are added as far as the budget reaches. A steady choice limits
    some workspaces exactly; in turn, each would be limited for a moment only.
    """

    def __init__(self) -> None:
        self._sent: dict[WorkspaceId, _SentLevel] = {}
        self._budget = ByteBudget(HUB_LEVEL_BYTES_PER_SECOND, LEVEL_BURST_SECONDS)

    def next_message(
        self, short: Mapping[WorkspaceId, WorkspaceLevel], receivers: int, now: float
    ) -> Levels:
        """Return the message for a number of followers.

        `short` has the workspaces that are short of tokens.
        """
        room = self._room(receivers, now)
        if len(short) > room:
            # All requests of the others are admitted, as without a level.
            short = {n: level for n, level in short.items() if level.admit_share < 1}
        recovered = [name for name in self._sent if name not in short]
        is_partial = len(short) > room
        if is_partial:
            del recovered[room:]
            names = self._select(short, room - len(recovered), now)
        else:
            names = list(short)
        for name in recovered:
            del self._sent[name]
        for name in names:
            self._sent[name] = _SentLevel(short[name].admit_share, now)
        size = LEVEL_BYTES * (len(names) + len(recovered) * is_partial)
        self._budget.charge(size * receivers, now)
        levels = tuple(short[name] for name in names)
        if not is_partial:
            return Levels(levels)
        return Levels(levels, True, tuple(recovered), self._leaves_out(short, now))

    def charge(self, size: float, now: float) -> None:
        """Take further bytes that were sent from the budget."""
        self._budget.charge(size, now)

    def _room(self, receivers: int, now: float) -> int:
        """Return the number of levels for which the budget pays now."""
        available = self._budget.spendable(REPORT_INTERVAL_SECONDS, now)
        return ceil(available / LEVEL_BYTES / max(1, receivers))

    def _select(
        self, short: Mapping[WorkspaceId, WorkspaceLevel], room: int, now: float
    ) -> list[WorkspaceId]:
        """Return the workspaces to send, the most important ones of all."""

        def order(name: WorkspaceId) -> tuple[int, float]:
            sent = self._sent.get(name)
            share = short[name].admit_share
            if sent is None:
                return 1, share
            if now - sent.at >= LEVEL_REFRESH_SECONDS:
                return 0, sent.at
            return 2, -abs(share - sent.admit_share)

        return sorted(short, key=order)[: max(0, room)]

    def _leaves_out(
        self, short: Mapping[WorkspaceId, WorkspaceLevel], now: float
    ) -> bool:
        oldest = now - LEVEL_KEPT_SECONDS
        return any(
            name not in self._sent or self._sent[name].at < oldest for name in short
        )
