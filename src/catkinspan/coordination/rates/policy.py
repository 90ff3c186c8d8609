"""How a published rate becomes the fleet's bucket."""

from typing import Protocol

from attrs import frozen

from catkinspan.state.node import RateWindow
from catkinspan.state.tree import Workspace


@frozen
class BucketLimits:
    """Rate in tokens a second and cap in tokens of the fleet's bucket."""

    rate: float
    cap: float


class RatePolicy(Protocol):
    """Turns a workspace's published rate and burst into a bucket."""

    def limits(self, workspace: Workspace) -> BucketLimits:
        """Return the limits of the fleet's bucket."""


class ExactRates:
    """The bucket has the published rate and burst.

    What the fleet admits between two exchanges comes on top for a moment, and is paid
    back.
    """

    def limits(self, workspace: Workspace) -> BucketLimits:
        """Return the published rate and burst."""
        return BucketLimits(workspace.rate, max(1.0, workspace.burst))


class WindowedRates:
    """The bucket uses a part of the room that a windowed bound leaves.

    Operators who bound each window by ``(rate * window + burst) * (1 + overshoot) +
    slack`` want no caller refused below that. The rest of the room is for what the
    fleet admits between two exchanges, and for a restart with a full bucket.
    """

    RATE_SHARE = 0.7
    """Part of the window's bound that a steady rate may use."""

    BURST_SHARE = 0.35
    """Part of what is left in the window that goes to the burst."""

    def __init__(self, window: RateWindow) -> None:
        self._window = window

    def limits(self, workspace: Workspace) -> BucketLimits:
        """Return limits that keep each window below its bound."""
        seconds = self._window.length.total_seconds()
        over, slack = self._window.overshoot, self._window.slack
        bound = (workspace.rate * seconds + workspace.burst) * (1 + over) + slack
        rate = self.RATE_SHARE * bound / seconds
        return BucketLimits(rate, max(1.0, self.BURST_SHARE * (bound - rate * seconds)))


def rate_policy(window: RateWindow | None) -> RatePolicy:
    """Return the policy for a host's settings."""
    return ExactRates() if window is None else WindowedRates(window)
