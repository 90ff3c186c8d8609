"""Messages and snapshots of the rates."""

from collections.abc import Mapping
from typing import Annotated

from attrs import frozen

from catkinspan.coordination.models import Bounds, PeerMessage
from catkinspan.state.ids import HostId, WorkspaceId

Level = Annotated[float, Bounds(-1e9, 1e9)]


@frozen
class WorkspaceUsage:
    """Requests of a workspace since the start of the process."""

    workspace: WorkspaceId
    admitted: int
    requested: int
    """Requests of the workspace, refused ones included."""


@frozen
class HostUse(PeerMessage):
    """What one host admitted; a later report contains the earlier ones."""

    usages: tuple[WorkspaceUsage, ...]


@frozen
class ZoneUse(PeerMessage):
    """What the hosts admitted of which the sender is the first hub."""

    usages: tuple[WorkspaceUsage, ...]


@frozen
class WorkspaceLevel:
    """Tokens left in the fleet's bucket of a workspace, as a hub counts them."""

    workspace: WorkspaceId
    level: Level
    admit_share: float
    """Share of the requests that may be admitted, so that the level lasts until the
    next report."""


@frozen
class Levels(PeerMessage):
    """Levels of the workspaces that run short; all others may be admitted."""

    levels: tuple[WorkspaceLevel, ...]


@frozen
class WorkspaceRates:
    """State of one workspace on one host, for operators."""

    workspace: WorkspaceId
    admitted: int
    refused: int
    level: float | None
    """Tokens left as the hub told; None without news of a hub."""

    level_age: float | None


@frozen
class RatesSnapshot:
    """State of the rates on one host, for operators."""

    hub: HostId | None
    """Hub whose levels are in use; None while the host admits its own share."""

    workspaces: Mapping[WorkspaceId, WorkspaceRates]
