"""Policies that derive the limits of the fleet's bucket from a published rate."""

from typing import Protocol

from attrs import frozen

from catkinspan.state.node import RateWindow
from catkinspan.state.tree import Workspace


@frozen
class BucketLimits:
    """Rate in tokens per second and capacity in tokens of the fleet's bucket."""

    rate: float
    capacity: float


class RatePolicy(Protocol):
    """Derives the bucket of a workspace from its published rate and burst."""

    def limits(self, workspace: Workspace) -> BucketLimits:
        """Return the limits of the fleet's bucket."""


class PublishedRates:
    """Uses the published rate and burst.

    Requests that the fleet admits between two exchanges exceed them for a moment; the
    excess is then debited.
    """

    def limits(self, workspace: Workspace) -> BucketLimits:
        """Return the published rate and burst."""
        return BucketLimits(workspace.rate, max(1.0, workspace.burst))


class WindowedRates:
    """Keeps the admitted requests of each time window below a bound.

    The bound is ``(rate * window + burst) * (1 + overshoot) + slack``; callers below it
    should not be refused. The bucket uses only a part of the bound. The rest is a
    margin for what the fleet admits between two exchanges and for a restart with a full
    bucket.
    """

    RATE_SHARE = 0.7
    """Share of the window's bound available to a steady rate."""

    BURST_SHARE = 0.35
    """Share of the remaining bound available to the burst."""

    def __init__(self, window: RateWindow) -> None:
        self._window = window

    def limits(self, workspace: Workspace) -> BucketLimits:
        """Return limits that keep the requests of each window below its bound."""
        seconds = self._window.length.total_seconds()
        overshoot, slack = self._window.overshoot, self._window.slack
        bound = (workspace.rate * seconds + workspace.burst) * (1 + overshoot) + slack
        rate = self.RATE_SHARE * bound / seconds
        return BucketLimits(rate, max(1.0, self.BURST_SHARE * (bound - rate * seconds)))


def rate_policy(window: RateWindow | None) -> RatePolicy:
    """Return the policy for the rate window in a host's settings."""
    return PublishedRates() if window is None else WindowedRates(window)
