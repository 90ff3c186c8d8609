"""Guards the order of statements about hosts and the shape of the fleet view."""

from random import Random

from bench.configuration_fleet import host_ids, listing

from catkinspan.coordination.membership.coordinator import MembershipCoordinator
from catkinspan.coordination.membership.models import (
    Ack,
    HostSuperseded,
    HostUpdate,
    Place,
    Probe,
)
from catkinspan.coordination.models import Origin
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import HostList, HostStatus
from catkinspan.state.ids import NO_REVISION, DataCentre, HostId, Revision
from catkinspan.state.tree import FleetSettings, SettingsTree

A, B, C = host_ids(3)


def host_list(*hosts: HostId, revision: int = 1) -> HostList:
    return HostList(Revision(revision), {host: listing(host) for host in hosts})


def coordinator(*hosts: HostId) -> tuple[MembershipCoordinator, Outbox]:
    outbox = Outbox()
    membership = MembershipCoordinator(listing(A), 100, outbox, Random(1))
    membership.apply_host_list(host_list(*hosts), 0.0)
    return membership, outbox


def tell(
    membership: MembershipCoordinator, about: HostId, status: HostStatus, **numbers: int
) -> None:
    update = HostUpdate(
        about, status, numbers.get("incarnation", 1), numbers.get("refutation", 0)
    )
    probe = Probe(1, NO_REVISION, updates=(update,))
    membership.handle(probe, Origin(C, 1), 1.0)


def test_view_is_a_new_object_only_after_a_change() -> None:
    # Failure: concerns recompute roles on every message.
    membership, _ = coordinator(A, B, C)
    view = membership.view
    tell(membership, B, HostStatus.ALIVE)
    changed = membership.view
    tell(membership, B, HostStatus.ALIVE)
    membership.apply_host_list(host_list(A, B, C), 2.0)
    assert changed is not view
    assert membership.view is changed
    membership.apply_tree(SettingsTree(fleet=FleetSettings(max_hosts=7)), 3.0)
    assert membership.view.max_hosts == 7


def test_list_of_a_lower_revision_is_ignored() -> None:
    # Failure: a stale replica takes hosts out of their roles.
    membership, _ = coordinator(A, B, C)
    membership.apply_host_list(host_list(A, revision=0), 1.0)
    assert membership.view.usable == (A, B, C)


def test_host_that_the_list_lost_keeps_its_observed_state() -> None:
    # Failure: a list that goes back makes a host forget that a peer left.
    membership, _ = coordinator(A, B, C)
    tell(membership, B, HostStatus.LEAVING)
    membership.apply_host_list(host_list(A, C, revision=2), 2.0)
    assert not membership.view.hosts[B].listed
    membership.apply_host_list(host_list(A, B, C, revision=3), 3.0)
    assert membership.view.hosts[B].status is HostStatus.LEAVING
    assert membership.view.usable == (A, C)


def test_own_host_holds_a_role_only_while_listed() -> None:
    # Failure: a host that the platform does not list mints or dispatches.
    membership, _ = coordinator(B, C)
    assert membership.view.usable == (B, C)


def test_refutation_wins_within_an_incarnation_only() -> None:
    # Failure: a late suspicion overrides a refutation or a new process life.
    membership, _ = coordinator(A, B, C)
    tell(membership, B, HostStatus.DEAD)
    assert membership.view.hosts[B].status is HostStatus.DEAD
    tell(membership, B, HostStatus.ALIVE)
    assert membership.view.hosts[B].status is HostStatus.DEAD
    tell(membership, B, HostStatus.ALIVE, refutation=1)
    tell(membership, B, HostStatus.SUSPECT)
    assert membership.view.hosts[B].status is HostStatus.ALIVE
    tell(membership, B, HostStatus.ALIVE, incarnation=2)
    tell(membership, B, HostStatus.DEAD, refutation=5)
    record = membership.view.hosts[B]
    assert (record.status, record.incarnation) == (HostStatus.ALIVE, 2)


def test_suspicion_never_makes_a_leaving_host_usable() -> None:
    # Failure: suspect replaces leaving, and the host gets roles again.
    membership, _ = coordinator(A, B, C)
    tell(membership, B, HostStatus.LEAVING)
    tell(membership, B, HostStatus.SUSPECT, refutation=3)
    assert membership.view.usable == (A, C)


def test_new_process_raises_its_incarnation_above_a_fast_clock() -> None:
    # Failure: peers ignore a restarted host whose wall clock is behind.
    membership, outbox = coordinator(A, B, C)
    membership.tick(0.0)
    tell(membership, A, HostStatus.DEAD, incarnation=500)
    assert membership.incarnation == 501
    assert not membership.superseded
    assert not [e for e in outbox.take_events() if isinstance(e, HostSuperseded)]


def test_old_process_learns_of_the_newer_one() -> None:
    # Failure: a process that woke late goes on with the right of its successor.
    membership, outbox = coordinator(A, B, C)
    for second in range(10):
        membership.tick(float(second))
    assert A in membership.view.usable
    tell(membership, A, HostStatus.ALIVE, incarnation=500)
    assert membership.superseded
    assert membership.incarnation == 100
    assert A not in membership.view.usable
    events = [e for e in outbox.take_events() if isinstance(e, HostSuperseded)]
    assert events == [HostSuperseded(A, 100, 500)]


def test_peer_tells_an_old_process_of_the_newer_one() -> None:
    # Failure: only the successor knows, and the old process hears from neither.
    membership, outbox = coordinator(A, B, C)
    membership.handle(Probe(1, NO_REVISION), Origin(B, 9), 1.0)
    outbox.take_envelopes()
    membership.handle(Probe(2, NO_REVISION), Origin(B, 8), 2.0)
    (envelope,) = outbox.take_envelopes()
    assert isinstance(envelope.message, Ack)
    assert HostUpdate(B, HostStatus.ALIVE, 9, 0) in envelope.message.updates


def test_first_contact_is_news_only_of_a_host_that_counted_as_dead() -> None:
    # Failure: a mass start floods the links, or a host that was listed before it
    # started stays dead for the peers that did not hear it.
    membership, outbox = coordinator(A, B, C)
    membership.handle(Probe(1, NO_REVISION), Origin(B, 9), 1.0)
    membership.handle(Probe(1, NO_REVISION), Origin(C, 9), 1.0)
    assert not any(e.message.updates for e in outbox.take_envelopes())
    late, outbox = coordinator(A, B, C)
    tell(late, B, HostStatus.DEAD, incarnation=0)
    late.handle(Probe(1, NO_REVISION), Origin(B, 9), 2.0)
    outbox.take_envelopes()
    late.handle(Probe(2, NO_REVISION), Origin(C, 1), 3.0)
    (envelope,) = outbox.take_envelopes()
    assert HostUpdate(B, HostStatus.ALIVE, 9, 0) in envelope.message.updates


def test_unlisted_host_is_known_but_not_usable() -> None:
    # Failure: a host that the list does not have yet is not probed or answered.
    membership, _ = coordinator(A, B, C)
    place = Place(HostId("host-0009"), DataCentre("dc-0"), "127.0.0.1", 20009)
    probe = Probe(1, NO_REVISION, places=(place,))
    membership.handle(probe, Origin(place.host, 5), 1.0)
    record = membership.view.hosts[place.host]
    assert (record.listed, record.peer_address.port) == (False, 20009)
    assert place.host not in membership.view.usable


def test_probes_from_before_a_pause_prove_nothing() -> None:
    # Failure: a host that wakes suspects the peers whose acks were lost meanwhile.
    membership, _ = coordinator(A, B, C)
    membership.tick(0.0)
    membership.resume(10.0, 10.0)
    membership.tick(10.0)
    assert {r.status for r in membership.view.hosts.values()} == {HostStatus.ALIVE}


def test_connectivity_without_peers_and_before_the_first_ack() -> None:
    # Failure: a lone host counts as isolated, or a cut-off one as connected.
    alone, _ = coordinator(A)
    assert alone.connectivity(10.0) == 1.0
    started, _ = coordinator(A, B, C)
    assert started.connectivity(0.0) == 0.0
