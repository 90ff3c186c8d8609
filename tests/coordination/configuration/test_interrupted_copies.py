"""Tests first copies of the settings whose receiver restarts or stands still."""

from catkinspan.coordination.configuration.models import CopyRequest, Pull
from catkinspan.coordination.models import Sender
from catkinspan.state.ids import NO_REVISION, HostId, Revision
from catkinspan.testing.hosts import VirtualFleet
from tests.coordination.configuration.test_first_copies import (
    FOLLOWERS,
    START_SECONDS,
    fleet_with_large_settings,
    hub_with_copy,
    sent_parts,
)


def start_copy(fleet: VirtualFleet) -> HostId:
    """Restart a host that is no hub; return it in the middle of its copy."""
    fleet.channel.run(START_SECONDS)
    host = next(
        name for name, node in fleet.hosts.items() if not node.coordinator.view.is_hub
    )
    fleet.crash_host(host)
    fleet.start_host(host)
    fleet.channel.run(fleet.channel.now + 1.0)
    assert not fleet.hosts[host].coordinator.configuration.is_ready()
    return host


def assert_ready_in_time(fleet: VirtualFleet, host: HostId) -> None:
    fleet.channel.run(fleet.channel.now + START_SECONDS)
    assert fleet.hosts[host].coordinator.configuration.is_ready()


def test_host_that_restarts_during_its_copy_gets_all_of_it() -> None:
    """Guards against a hub that goes on with the copy of the earlier process."""
    fleet = fleet_with_large_settings(12)
    host = start_copy(fleet)
    fleet.crash_host(host)
    fleet.channel.run(fleet.channel.now + 2.0)
    fleet.start_host(host)
    assert_ready_in_time(fleet, host)


def test_host_that_stands_still_during_its_copy_gets_all_of_it() -> None:
    """Guards against received parts that are dropped and not sent again."""
    fleet = fleet_with_large_settings(12)
    host = start_copy(fleet)
    fleet.hosts[host].coordinator.configuration.resume(1.0, fleet.channel.now)
    assert_ready_in_time(fleet, host)


def test_new_process_gets_the_first_parts() -> None:
    hub, outbox = hub_with_copy(FOLLOWERS)
    host, revision = FOLLOWERS[0], Revision(5)
    hub.handle(Pull(NO_REVISION, in_parts=True), Sender(host, 1), 1.0)
    hub.handle(CopyRequest(revision, 2), Sender(host, 1), 1.1)
    sent_parts(outbox)
    hub.handle(Pull(NO_REVISION, in_parts=True), Sender(host, 2), 1.5)
    assert (host, 0) in sent_parts(outbox)
