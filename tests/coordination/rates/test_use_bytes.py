"""Tests of the bytes of reports on the use of rates, and of the use that waits."""

from random import Random

import pytest
from attrs import define, field

from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import PeerMessage, Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.rates.models import (
    HostUse,
    Levels,
    WorkspaceLevel,
    ZoneUse,
)
from catkinspan.coordination.rates.policy import rate_policy
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.hosts import FleetView, HostRecord
from catkinspan.state.ids import DataCentre, HostId, WorkspaceId
from catkinspan.state.tree import Address, SettingsTree, Workspace
from catkinspan.testing.channel import FakeChannel
from tests.rates_fleet import WINDOW, RatesHost

HOST_USE_BYTES_PER_SECOND = 2_000
"""What a host may send on its use: with the counts of servers below 6 KB/s."""

REMOTE_USE_BYTES_PER_SECOND = 30_000
"""What a hub may send to other data centres, as much as on the counts of servers."""

WARM_UP_SECONDS = 2.0
MEASURED_SECONDS = 4.0
SELF, HUB = HostId("host-0"), HostId("hub-0")
REMOTE_HUBS = tuple(HostId(f"remote-{n}") for n in range(6))


@define
class Reporter:
    """A host whose messages are counted, with the hubs of other data centres."""

    is_hub: bool
    workspaces: int
    coordinator: RateCoordinator = field(init=False)
    channel: FakeChannel = field(init=False)
    sent: list[PeerMessage] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        outbox = Outbox()
        policy = rate_policy(WINDOW)
        self.coordinator = RateCoordinator(SELF, 1, outbox, Random(1), policy)
        settings = {n: Workspace(n, (), rate=50.0, burst=50.0) for n in self.names}
        self.coordinator.apply_tree(SettingsTree(workspaces=settings), 0.0)
        self.coordinator.apply_view(_view(self.is_hub), 0.0)
        self.channel = FakeChannel(Random(1), on_send=self._record)
        self.channel.attach(SELF, RatesHost(self.coordinator), outbox, 1)

    @property
    def names(self) -> list[WorkspaceId]:
        return [WorkspaceId(f"workspace-{n}") for n in range(self.workspaces)]

    def _record(self, source: HostId, target: HostId, message: PeerMessage) -> None:
        if isinstance(message, HostUse | ZoneUse):
            self.sent.append(message)

    def bytes_per_second(self) -> float:
        codec = PeerCodec(PEER_MESSAGES)
        return sum(codec.size(message) for message in self.sent) / MEASURED_SECONDS


def _view(is_hub: bool) -> FleetView:
    """Return the view of a host with one hub, or of the only hub."""
    centre, east = DataCentre("north"), DataCentre("east")
    address = Address("10.0.0.1", 9700)
    records = {n: HostRecord(n, centre, address) for n in (SELF, HUB)}
    records |= {n: HostRecord(n, east, address) for n in REMOTE_HUBS}
    return FleetView(
        SELF,
        centre,
        hosts=records,
        usable=tuple(records),
        hubs=(SELF if is_hub else HUB,),
        followers=(HUB,) if is_hub else (),
        primary_followers=(HUB,) if is_hub else (),
        remote_hubs=REMOTE_HUBS if is_hub else (),
        known_count=len(records),
        alive_count=len(records),
    )


def _use_all(reporter: Reporter, seconds: float) -> None:
    """Use each workspace five times a second."""
    for _ in range(round(seconds / 0.2)):
        for name in reporter.names:
            reporter.coordinator.admit(name, reporter.channel.now)
        reporter.channel.run(reporter.channel.now + 0.2)


@pytest.mark.parametrize("workspaces", [20, 300, 2_000])
def test_report_of_a_host_keeps_its_byte_budget(workspaces: int) -> None:
    """Guards against reports that grow with the workspaces in use."""
    reporter = Reporter(is_hub=False, workspaces=workspaces)
    _use_all(reporter, WARM_UP_SECONDS)
    reporter.sent.clear()
    _use_all(reporter, MEASURED_SECONDS)
    assert 0 < reporter.bytes_per_second() <= 1.1 * HOST_USE_BYTES_PER_SECOND


@pytest.mark.parametrize("workspaces", [80, 2_000])
def test_report_to_other_data_centres_keeps_its_byte_budget(workspaces: int) -> None:
    """Guards against a hub whose link is filled by the use of 26,000 workspaces."""
    reporter = Reporter(is_hub=True, workspaces=workspaces)
    _use_all(reporter, WARM_UP_SECONDS)
    reporter.sent.clear()
    _use_all(reporter, MEASURED_SECONDS)
    assert 0 < reporter.bytes_per_second() <= 1.1 * REMOTE_USE_BYTES_PER_SECOND


def test_use_that_waits_for_the_budget_is_reported_in_full() -> None:
    """Guards against admissions that no hub counts, because their report came late."""
    reporter = Reporter(is_hub=False, workspaces=1_000)
    _use_all(reporter, 0.6)
    reporter.channel.run(30.0)
    counted = dict.fromkeys(reporter.names, 0)
    for message in reporter.sent:
        assert isinstance(message, HostUse)
        for usage in message.usages:
            assert usage.recent is not None
            increment = usage.admitted - counted[usage.workspace]
            assert usage.recent >= increment
            counted[usage.workspace] = usage.admitted
    assert set(counted.values()) == {3}


def test_short_workspace_does_not_wait_for_the_budget() -> None:
    """Guards against a workspace that exceeds its rate while others are reported."""
    reporter = Reporter(is_hub=False, workspaces=1_000)
    _use_all(reporter, 1.0)
    hot = reporter.names[-1]
    sender = Sender(HUB, 7)
    now = reporter.channel.now
    reporter.coordinator.handle(_short_level(hot), sender, now)
    reporter.coordinator.admit(hot, now)
    reporter.sent.clear()
    reporter.channel.run(now + 1.0)
    (first, *_) = [m for m in reporter.sent if isinstance(m, HostUse)]
    assert first.usages[0].workspace == hot


def _short_level(name: WorkspaceId) -> PeerMessage:

    return Levels((WorkspaceLevel(name, 10.0, 1.0),))
