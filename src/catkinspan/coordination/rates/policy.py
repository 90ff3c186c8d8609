"""Policies that derive the limits of the fleet's bucket from a published rate."""

from typing import Protocol

from attrs import frozen

from catkinspan.coordination.rates.const import LEVEL_HORIZON_SECONDS
from catkinspan.state.node import RateWindow
from catkinspan.state.tree import Workspace


@frozen
class BucketLimits:
    """Limits of the fleet's bucket, in tokens and tokens per second."""

    rate: float
    capacity: float
    initial: float
    """Level with which a hub starts that does not know the earlier use."""


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
        capacity = max(1.0, workspace.burst)
        return BucketLimits(workspace.rate, capacity, capacity)


class WindowedRates:
    """Keeps the admitted requests of each time window below a bound.

    The bound is ``(rate * window + burst) * (1 + overshoot) + slack``; callers within
    the published rate and burst are not refused. The bucket holds the burst and a
    reserve, since hubs admit a share of the requests when the level is below what is
    expected until the next report. The rest of the bound is for a restart of all hubs
    within the window, which forgets the burst that was used, and for what the fleet
    admits between two exchanges.
    """

    EXCHANGE_SHARE = 0.09
    """Share of the window's bound for what is admitted between two exchanges."""

    RESERVE_HORIZONS = 1.5
    """Reserve in the bucket, in horizons of the levels. A steady demand leaves one of
    them; after a burst the average of the demand falls slowly and asks for more."""

    def __init__(self, window: RateWindow) -> None:
        self._window = window

    def limits(self, workspace: Workspace) -> BucketLimits:
        """Return limits that keep the requests of each window below its bound."""
        seconds = self._window.length.total_seconds()
        overshoot, slack = self._window.overshoot, self._window.slack
        published, burst = workspace.rate, max(1.0, workspace.burst)
        bound = (published * seconds + burst) * (1 + overshoot) + slack
        available = (1 - self.EXCHANGE_SHARE) * bound
        spare_rate = (available - 2 * burst) / (seconds + LEVEL_HORIZON_SECONDS)
        rate = max(published, spare_rate)
        capacity = burst + rate * self.RESERVE_HORIZONS * LEVEL_HORIZON_SECONDS
        initial = min(capacity, max(1.0, available - rate * seconds - burst))
        return BucketLimits(rate, capacity, initial)


def rate_policy(window: RateWindow | None) -> RatePolicy:
    """Return the policy for the rate window in a host's settings."""
    return PublishedRates() if window is None else WindowedRates(window)
