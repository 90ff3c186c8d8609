"""Tests when the callers of a workspace that is over its rate may return."""

from random import Random

import pytest

from catkinspan.coordination.models import Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.models import Levels, WorkspaceLevel
from catkinspan.coordination.rates.policy import rate_policy
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import SettingsTree, Workspace
from tests.rates_fleet import WINDOW

SELF, HUB, NAME = HostId("host-1"), HostId("hub"), WorkspaceId("w")
RATE = 10.0


@pytest.mark.parametrize(
    ("level", "admit_share", "seconds"),
    [(2.0, 0.2, 0.8), (0.5, 0.9, 0.1), (0.0, 0.0, 0.1), (-20.0, 0.0, 2.1)],
)
def test_callers_return_when_the_tokens_suffice_for_them(
    level: float, admit_share: float, seconds: float
) -> None:
    """Guards against callers that return after one token and are refused again, because
    more requests are expected than there are tokens."""
    coordinator = RateCoordinator(SELF, 1, Outbox(), Random(1), rate_policy(WINDOW))
    workspaces = {NAME: Workspace(NAME, (), rate=RATE, burst=RATE)}
    coordinator.apply_tree(SettingsTree(workspaces=workspaces), 0.0)
    coordinator.apply_view(FleetView(SELF, DataCentre("north"), hubs=(HUB,)), 0.0)
    coordinator.admit(NAME, 0.0)
    levels = Levels((WorkspaceLevel(NAME, level, admit_share),))
    coordinator.handle(levels, Sender(HUB, 7), 0.1)
    assert coordinator.retry_after(NAME) == pytest.approx(seconds)
