"""State of a workspace that a host serves."""

from attrs import define, field

from catkinspan.coordination.rates.bucket import TokenBucket
from catkinspan.coordination.rates.const import RECENT_USE_SECONDS
from catkinspan.coordination.rates.models import WorkspaceLevel
from catkinspan.coordination.rates.own_use import OwnUse
from catkinspan.coordination.rates.policy import BucketLimits
from catkinspan.coordination.recent_count import RecentCount


def recent_use_count() -> RecentCount:
    """Return a count of recent admissions."""
    return RecentCount(RECENT_USE_SECONDS)


@define
class WorkspaceState:
    """State of a workspace in use on this host."""

    limits: BucketLimits
    """Limits of the fleet's bucket."""

    bucket: TokenBucket
    """Bucket for this host's share of the rate, used without recent levels of a hub for
    a workspace that the host did not serve before."""

    own_use: OwnUse
    recent_use: RecentCount = field(factory=recent_use_count)
    admitted: int = 0
    unconfirmed: int = 0
    """Requests admitted since levels last arrived."""

    refused: int = 0
    last_used_at: float = 0.0
    hub_level: WorkspaceLevel | None = None
    """Level last reported by the hub; None while the workspace has enough tokens."""

    hub_level_at: float = 0.0
    is_reserved: bool = False
    """Whether that level is low only because a part of the rate is kept for others."""
