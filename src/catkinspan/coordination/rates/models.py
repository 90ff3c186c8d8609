"""Messages and snapshots of rate limiting."""

from collections.abc import Mapping
from typing import Annotated

from attrs import frozen

from catkinspan.coordination.models import Bounds, PeerMessage
from catkinspan.state.ids import HostId, WorkspaceId

Level = Annotated[float, Bounds(-1e9, 1e9)]


@frozen
class WorkspaceUsage:
    """Requests of a workspace since the sender began to count them."""

    workspace: WorkspaceId
    admitted: int
    requested: int
    """All requests of the workspace, including refused ones."""

    recent: int | None = None
    """Admissions of the last seconds, which bound what is new in a total that the
    receiver has not followed; None from hosts of older versions."""

    unconfirmed: int = 0
    """Admissions since the sender last heard a hub, which may have reached no hub."""


@frozen
class UsageIncrement:
    """Requests of a workspace that a report adds to the earlier ones."""

    workspace: WorkspaceId
    admitted: int
    requested: int


@frozen
class HostUse(PeerMessage):
    """Usage seen by one host; counters are cumulative over its reports."""

    usages: tuple[WorkspaceUsage, ...]


@frozen
class ZoneUse(PeerMessage):
    """Usage seen by the hosts whose primary hub is the sender."""

    usages: tuple[WorkspaceUsage, ...]


@frozen
class WorkspaceLevel:
    """Tokens left in a workspace's fleet-wide bucket, as computed by a hub."""

    workspace: WorkspaceId
    level: Level
    admit_share: float
    """Share of requests to admit so that the tokens last until the next report."""

    @property
    def missing_tokens(self) -> float:
        """Return the tokens by which the level is below the expected requests."""
        if self.admit_share <= 0 or self.level <= 0:
            return 1.0 - self.level
        return self.level / self.admit_share - self.level


@frozen
class Levels(PeerMessage):
    """Levels of workspaces short of tokens; requests of all others are admitted.

    If not all fit into the sender's byte budget, a message has some of them, and the
    levels of earlier messages remain in use for a while.
    """

    levels: tuple[WorkspaceLevel, ...]
    is_partial: bool = False
    """Whether levels of earlier messages remain in use."""

    recovered: tuple[WorkspaceId, ...] = ()
    """Workspaces whose earlier levels do not, in a partial message."""

    leaves_out: bool = False
    """Whether some workspaces that are short are in no recent message. A host limits
    those that it has no level of by its own recent use."""

    reserved: tuple[int, ...] = ()
    """Indices of the levels of workspaces whose requests are within the rate. They are
    short because a part of the rate is kept for hosts that are not heard from."""


@frozen
class HubLevelsRequest(PeerMessage):
    """Request of a new hub for the levels that another hub has counted."""


@frozen
class HubLevels(PeerMessage):
    """The lowest levels of a hub, for a new hub."""

    levels: tuple[WorkspaceLevel, ...]


@frozen
class WorkspaceRates:
    """Rate state of a workspace on one host, for operators."""

    workspace: WorkspaceId
    admitted: int
    refused: int
    level: float | None
    """Tokens left as reported by the hub; None without a recent report."""

    level_age: float | None


@frozen
class RatesSnapshot:
    """State of rate limiting on one host, for operators."""

    hub: HostId | None
    """Hub whose levels are in use; None while the host admits only its share."""

    workspaces: Mapping[WorkspaceId, WorkspaceRates]
