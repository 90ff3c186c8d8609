"""Guards the quarantine against crashing requests and for innocent ones."""

from random import Random

import pytest

from catkinspan.coordination.models import Sender
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.quarantine.const import (
    CRASH_MEMORY_SECONDS,
    FANOUT,
    MAX_COPIES,
    MAX_FINGERPRINTS_PER_WORKSPACE,
    MAX_REPORTS_PER_MESSAGE,
    QUARANTINE_SECONDS,
    ROUNDS,
)
from catkinspan.coordination.quarantine.coordinator import QuarantineCoordinator
from catkinspan.coordination.quarantine.models import (
    CrashId,
    CrashNews,
    CrashReport,
    QuarantineEnded,
    RequestQuarantined,
    fingerprint,
)
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import HostId, RouteId, ServerId, WorkspaceId
from tests.quarantine_fleet import (
    DATA_CENTRES,
    QuarantineFleet,
    make_print,
    quarantine_spread,
    view_of,
)

REACH_SECONDS = 0.2
"""Target for a quarantine to be in force on all of 40 hosts."""

CULPRIT = make_print("/culprit")
HOSTS = [HostId(f"h{n:04d}") for n in range(12)]


def lone_host() -> tuple[QuarantineCoordinator, Outbox]:
    outbox = Outbox()
    return QuarantineCoordinator(HostId("a"), outbox, Random(1)), outbox


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_quarantine_reaches_all_hosts_in_time(loss: float) -> None:
    """Guards against a resend that crashes a third server through another host."""
    for seed in range(3):
        spread = quarantine_spread(seed, 40, loss)
        assert spread.reached == 40
        assert spread.last <= REACH_SECONDS
        assert spread.messages <= 2 * FANOUT * ROUNDS


def test_crashes_through_two_hosts_quarantine_everywhere() -> None:
    """Guards against a count for each host alone."""
    fleet = QuarantineFleet(1, 12)
    fleet.crash(HOSTS[0], CULPRIT, "s1")
    fleet.channel.run(1.0)
    assert fleet.refusing(CULPRIT) == 0
    fleet.crash(HOSTS[1], CULPRIT, "s2")
    fleet.channel.run(1.5)
    assert fleet.refusing(CULPRIT) == 12
    assert fleet.quarantine_events() == 12
    assert fleet.refusing(make_print("/culprit", "other workspace")) == 0


def test_quarantine_ends_and_returns_longer_on_the_next_crash() -> None:
    """Guards against a request that crashes two servers after each quarantine."""
    node, outbox = lone_host()
    for at in (0.0, 5.0):
        node.record_crash(CULPRIT, ServerId("s"), at)
    end = 5.0 + QUARANTINE_SECONDS
    refusal = node.check(CULPRIT, end - 1.0).err()
    assert refusal is not None
    assert refusal.retry_after == pytest.approx(1.0)
    node.tick(end)
    assert node.check(CULPRIT, end).is_ok()
    node.record_crash(CULPRIT, ServerId("s"), end)
    assert node.check(CULPRIT, end + 1.9 * QUARANTINE_SECONDS).is_err()
    kinds = [type(event) for event in outbox.take_events()]
    assert kinds == [RequestQuarantined, QuarantineEnded, RequestQuarantined]
    node.tick(end + CRASH_MEMORY_SECONDS)
    assert node.suspect_count == 0


def test_one_death_of_a_server_counts_once() -> None:
    """Guards against a quarantine for equal requests that died with one server."""
    node, _ = lone_host()
    for _ in range(3):
        node.record_crash(CULPRIT, ServerId("s"), 0.0)
    assert node.check(CULPRIT, 0.1).is_ok()


def test_server_that_dies_under_many_requests_accuses_none() -> None:
    """Guards against innocent requests of two servers that died by themselves."""
    fleet = QuarantineFleet(2, 12)
    prints = [make_print(f"/{n}") for n in range(8)]
    for server, when in (("s1", 1.0), ("s2", 10.0)):
        fleet.channel.run(when)
        for number, print_ in enumerate(prints):
            fleet.crash(HOSTS[number], print_, server)
    fleet.channel.run(12.0)
    assert [fleet.refusing(print_) for print_ in prints] == [0] * 8


def test_late_reports_lift_a_quarantine() -> None:
    """Guards against a verdict that stands when the server died under many requests.

    The evidence must also stay void after the log has forgotten the other crashes.
    """
    node, outbox = lone_host()
    node.record_crash(CULPRIT, ServerId("s1"), 0.0)
    node.record_crash(CULPRIT, ServerId("s2"), 10.0)
    assert node.check(CULPRIT, 10.0).is_err()
    for number in range(5):
        node.record_crash(make_print(f"/{number}"), ServerId("s2"), 10.1)
    assert node.check(CULPRIT, 10.1).is_ok()
    for number in range(300):
        print_ = make_print(f"/other/{number}", f"w{number}")
        node.record_crash(print_, ServerId(f"t{number}"), 20.0 + number)
    assert node.check(CULPRIT, 320.0).is_ok()
    assert {type(e) for e in outbox.take_events()} >= {QuarantineEnded}


def test_rack_failure_accuses_no_retried_request() -> None:
    """Guards against a retry that meets a second server of the failing rack."""
    fleet = QuarantineFleet(3, 12)
    fleet.channel.run(1.0)
    for number in range(8):
        fleet.crash(HOSTS[number], make_print(f"/{number}"), f"s{number}")
    retried = make_print("/0")
    fleet.channel.run(1.3)
    fleet.crash(HOSTS[9], retried, "s5")
    fleet.channel.run(2.0)
    assert fleet.refusing(retried) == 0


def test_success_clears_a_popular_request() -> None:
    """Guards against a quarantine for a request that runs on every server."""
    fleet = QuarantineFleet(4, 12)
    popular = make_print("/")
    fleet.crash(HOSTS[0], popular, "s1")
    fleet.channel.run(1.0)
    fleet.success(HOSTS[5], popular)
    fleet.channel.run(30.0)
    fleet.crash(HOSTS[1], popular, "s2")
    fleet.channel.run(31.0)
    assert fleet.refusing(popular) == 0


def test_new_host_learns_of_quarantines() -> None:
    """Guards against a resend through a host that started during the quarantine."""
    fleet = QuarantineFleet(5, 12)
    for host, server in ((HOSTS[0], "s1"), (HOSTS[1], "s2")):
        fleet.crash(host, CULPRIT, server)
        fleet.channel.run(fleet.channel.now + 1.0)
    new = HostId("new")
    node, outbox = lone_host()
    fleet.channel.attach(new, node, outbox)
    listed = {**fleet.listed, new: DATA_CENTRES[0]}
    for host, watch in fleet.hosts.items():
        watch.node.apply_view(view_of(host, listed), fleet.channel.now)
    fleet.channel.run(fleet.channel.now + 0.1)
    assert node.check(CULPRIT, fleet.channel.now).is_err()


def test_duplicates_and_stale_reports_count_for_nothing() -> None:
    """Guards against a quarantine made of copies of one report."""
    node, _ = lone_host()
    sender = Sender(HostId("b"), 1)
    one = CrashReport(CrashId(HostId("b"), 1, 1), CULPRIT, ServerId("s1"), 0)
    stale_ms = int(CRASH_MEMORY_SECONDS * 1000) + 1
    stale = CrashReport(CrashId(HostId("b"), 1, 2), CULPRIT, ServerId("s2"), stale_ms)
    for at in (0.0, 10.0):
        node.handle(CrashNews((one, stale)), sender, at)
    assert node.check(CULPRIT, 10.0).is_ok()


def test_memory_is_bounded_for_each_workspace() -> None:
    """Guards against a workspace that evicts the quarantine of another."""
    node, _ = lone_host()
    for at in (0.0, 5.0):
        node.record_crash(CULPRIT, ServerId("s"), at)
    for number in range(3 * MAX_FINGERPRINTS_PER_WORKSPACE):
        print_ = make_print(f"/{number}", "noisy")
        node.record_crash(print_, ServerId(f"t{number}"), 10.0)
    assert node.suspect_count == MAX_FINGERPRINTS_PER_WORKSPACE + 1
    assert node.check(CULPRIT, 10.0).is_err()


def test_burst_of_crashes_is_sent_in_bounded_messages() -> None:
    """Guards against control traffic that grows with a mass failure."""
    node, outbox = lone_host()
    peers = tuple(HOSTS)
    node.apply_view(FleetView(HostId("a"), DATA_CENTRES[0], usable=peers), 0.0)
    for number in range(500):
        node.record_crash(make_print(f"/{number}"), ServerId(f"s{number}"), 0.0)
    outbox.take_envelopes()
    node.tick(0.05)
    envelopes = outbox.take_envelopes()
    assert len(envelopes) <= FANOUT
    for envelope in envelopes:
        assert isinstance(envelope.message, CrashNews)
        assert len(envelope.message.reports) <= MAX_REPORTS_PER_MESSAGE


def test_copies_stay_within_the_control_budget() -> None:
    """Guards against reports that use up the 6 KB/s of a host for control.

    Crashes of many servers go on for a minute; a third of the budget is allowed.
    """
    node, outbox = lone_host()
    view = FleetView(HostId("a"), DATA_CENTRES[0], usable=tuple(HOSTS))
    node.apply_view(view, 0.0)
    sent = 0
    for step in range(1200):
        now = step * 0.05
        node.record_crash(make_print(f"/{step}"), ServerId(f"s{step}"), now)
        node.tick(now)
        for envelope in outbox.take_envelopes():
            assert isinstance(envelope.message, CrashNews)
            sent += len(envelope.message.reports)
    assert (sent - MAX_COPIES) / 60.0 * 215 <= 6000 / 3


def test_flaky_server_does_not_crowd_out_a_culprit() -> None:
    """Guards against a server whose resets hide a crashing request."""
    fleet = QuarantineFleet(6, 12)
    for step in range(200):
        fleet.channel.run(step * 0.1)
        fleet.crash(HOSTS[step % 12], make_print(f"/{step}"), "flaky")
    for host, server in ((HOSTS[0], "s1"), (HOSTS[1], "s2")):
        fleet.crash(host, CULPRIT, server)
        fleet.channel.run(fleet.channel.now + REACH_SECONDS)
    assert fleet.refusing(CULPRIT) == 12


def test_parts_of_a_fingerprint_do_not_run_together() -> None:
    """Guards against a workspace that blocks the requests of another."""
    one = fingerprint(WorkspaceId("ab"), RouteId("c"), "POST", "/", b"")
    other = fingerprint(WorkspaceId("a"), RouteId("bc"), "POST", "/", b"")
    assert one.digest != other.digest
