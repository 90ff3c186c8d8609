"""Guards that an accepted configuration reaches all hosts despite failures."""

from random import Random

import pytest
from bench.configuration_fleet import INVALID, Fleet, shard_text

from catkinspan.coordination.configuration.const import HISTORY_REVISIONS, PUSH_FANOUT
from catkinspan.coordination.configuration.fetch import Fetcher
from catkinspan.coordination.configuration.models import (
    PLATFORM,
    ConfigurationRejected,
    Manifest,
    ManifestEntry,
    PatchSet,
)
from catkinspan.coordination.keys.models import CloseKeyConnections
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import HostId, Revision

SEED = 13
TARGET_SECONDS = 3.0
"""Stated target for a change with one of three data centres cut off."""

LARGE = {"workspaces/large": shard_text(0, 100, pad=900_000)}


def revisions(fleet: Fleet) -> set[Revision]:
    return {node.configuration.revision for node in fleet.hosts.values()}


def texts(fleet: Fleet, host: HostId) -> dict[str, str]:
    store = fleet.hosts[host].configuration._store
    return {name: document.text for name, document in store.documents.items()}


def published(fleet: Fleet) -> dict[str, str]:
    return {n: d.text for n, d in fleet.platform.published.documents.items()}


def change(fleet: Fleet, rate: float = 20.0) -> Revision:
    return fleet.publish(**{"workspaces/00": shard_text(0, 8, rate)})


@pytest.mark.parametrize(("loss", "duplication"), [(0.0, 0.0), (0.1, 0.1)])
def test_change_arrives_with_a_data_centre_cut_off_from_the_service(
    loss: float, duplication: float
) -> None:
    # Failure: hosts whose own readers see nothing stay behind.
    fleet = Fleet(40, SEED, loss, duplication)
    fleet.platform.unreachable.update(fleet.in_data_centre(0))
    start = fleet.channel.now
    revision = change(fleet)
    fleet.run_for(TARGET_SECONDS)
    assert fleet.spread_seconds(revision, start) <= TARGET_SECONDS


def test_missed_pushes_are_repaired() -> None:
    # Failure: a host that was cut off during a change keeps the old revision.
    fleet = Fleet(20, SEED)
    cut = fleet.ids[:3]
    fleet.platform.unreachable.update(cut)
    fleet.channel.partition(cut, fleet.ids[3:])
    for rate in (20.0, 30.0, 40.0):
        change(fleet, rate)
        fleet.run_for(1.0)
    assert revisions(fleet) == {1, 4}
    fleet.channel.heal_all()
    fleet.run_for(TARGET_SECONDS)
    assert revisions(fleet) == {4}
    assert texts(fleet, cut[0]) == published(fleet)


def test_host_far_behind_gets_all_changes_and_removals() -> None:
    # Failure: a host that missed more than the history keeps removed documents.
    fleet = Fleet(12, SEED, documents={"workspaces/old": shard_text(90, 4)})
    cut = [host for host in fleet.ids if not fleet.hosts[host].configuration.is_reader]
    behind = cut[0]
    fleet.platform.unreachable.add(behind)
    fleet.channel.partition([behind], [host for host in fleet.ids if host != behind])
    fleet.platform.published = fleet.platform.published.without("workspaces/old")
    for number in range(HISTORY_REVISIONS + 5):
        change(fleet, 20.0 + number)
        fleet.run_for(0.25)
    fleet.channel.heal_all()
    fleet.run_for(TARGET_SECONDS)
    assert texts(fleet, behind) == published(fleet)
    assert len(revisions(fleet)) == 1


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_large_document_travels_in_chunks(loss: float) -> None:
    # Failure: a document of 1 MB blocks the links or never arrives whole.
    fleet = Fleet(12, SEED, loss, duplication=loss)
    start = fleet.channel.now
    revision = fleet.publish(**LARGE)
    fleet.run_for(13.0)
    assert fleet.spread_seconds(revision, start) <= 13.0
    assert all(texts(fleet, host) == published(fleet) for host in fleet.ids)


def test_fetch_goes_on_when_its_source_dies() -> None:
    # Failure: a fetch waits for ever for a host that crashed.
    fleet = Fleet(8, SEED)
    readers = [h for h, n in fleet.hosts.items() if n.configuration.is_reader]
    fleet.platform.unreachable.update(readers[1:])
    revision = fleet.publish(**LARGE)
    while fleet.hosts[readers[0]].configuration.revision != revision:
        fleet.run_for(0.01)
    fleet.run_for(0.2)
    fleet.stop(readers[0])
    fleet.run_for(13.0)
    behind = [n for n in fleet.hosts.values() if n.configuration.revision != revision]
    assert behind == []


def test_one_way_cuts_are_passed_around() -> None:
    # Failure: a host asks again and again a peer that cannot hear it.
    fleet = Fleet(12, SEED)
    deaf = next(h for h, n in fleet.hosts.items() if not n.configuration.is_reader)
    others = [host for host in fleet.ids if host != deaf]
    for host in others[1:]:
        fleet.channel.cut(deaf, host)
    fleet.platform.unreachable.add(deaf)
    start = fleet.channel.now
    revision = fleet.publish(**LARGE)
    fleet.run_for(13.0)
    assert fleet.spread_seconds(revision, start) <= 13.0
    assert texts(fleet, deaf) == published(fleet)


def test_rejected_revision_stays_out_everywhere() -> None:
    # Failure: a faulty edit stops later changes or spreads between hosts.
    fleet = Fleet(20, SEED)
    fleet.publish(**{"workspaces/00": INVALID})
    fleet.run_for(2.0)
    assert revisions(fleet) == {1}
    calls = fleet.platform.calls
    fleet.run_for(10.0)
    assert fleet.platform.calls - calls <= 10 * 6
    revision = change(fleet)
    fleet.run_for(TARGET_SECONDS)
    assert revisions(fleet) == {revision}
    rejections = [
        event
        for node in fleet.hosts.values()
        for event in node.outbox.log
        if isinstance(event, ConfigurationRejected)
    ]
    readers = sum(node.configuration.is_reader for node in fleet.hosts.values())
    assert 1 <= len(rejections) <= readers


def test_withdrawn_key_stops_on_hosts_that_are_cut_off() -> None:
    # Failure: hosts that cannot hear of a withdrawal go on with the key.
    fleet = Fleet(40, SEED)
    cut = fleet.ids[:6]
    fleet.platform.unreachable.update(cut)
    fleet.channel.partition(cut, fleet.ids[6:])
    fleet.publish(**{"workspaces/00": shard_text(1, 7)})
    fleet.run_for(TARGET_SECONDS)
    open_on = [h for h, n in fleet.hosts.items() if n.opens("secret-0")]
    assert set(open_on) <= set(cut)
    directives = fleet.hosts[fleet.ids[9]].outbox.take_directives()
    assert [type(directive) for directive in directives] == [CloseKeyConnections]
    fleet.run_for(5.0 - TARGET_SECONDS)
    assert not any(node.opens("secret-0") for node in fleet.hosts.values())
    fleet.channel.heal_all()
    fleet.run_for(TARGET_SECONDS)
    assert not any(node.opens("secret-0") for node in fleet.hosts.values())
    assert all(node.opens("secret-1") for node in fleet.hosts.values())


def test_readers_with_different_steps_repair_each_other() -> None:
    # Failure: patches from one reader never fit what another reader spread.
    fleet = Fleet(12, SEED)
    left, right = fleet.ids[:6], fleet.ids[6:]
    fleet.channel.partition(left, right)
    fleet.platform.replicas = dict.fromkeys(right, fleet.platform.published)
    change(fleet, 20.0)
    fleet.run_for(2.0)
    change(fleet, 30.0)
    fleet.platform.replicas = dict.fromkeys(left, fleet.platform.replicas[right[0]])
    fleet.run_for(2.0)
    assert revisions(fleet) == {2, 3}
    fleet.platform.unreachable.update(fleet.ids)
    fleet.channel.heal_all()
    fleet.run_for(TARGET_SECONDS)
    assert revisions(fleet) == {3}


def test_change_is_pushed_to_a_bounded_number_of_peers() -> None:
    # Failure: a change waits for the next probes, or one host sends it to all.
    fleet = Fleet(40, SEED)
    node = next(n for n in fleet.hosts.values() if not n.configuration.is_reader)
    node.outbox.take_envelopes()
    changed = fleet.platform.published.changed(root='{"max_hosts": 41}')
    node.configuration.offer(changed.delta(Revision(1), ()), PLATFORM, 0.0)
    sent = node.outbox.take_envelopes()
    assert len({envelope.to for envelope in sent}) == PUSH_FANOUT
    assert {type(envelope.message) for envelope in sent} == {PatchSet}


def test_fetch_asks_each_source_before_it_asks_one_again() -> None:
    # Failure: chance sends the requests to the same peers that do not hear them.
    outbox = Outbox()
    fetcher = Fetcher(outbox, Random(SEED))
    sources = [HostId(f"host-{n:04}") for n in range(8)]
    for host in sources:
        fetcher.observe(host, Revision(9))
    for number in range(len(sources)):
        fetcher.step(Revision(1), number * 1.0)
    asked = [envelope.to for envelope in outbox.take_envelopes()]
    assert sorted(asked) == sources


def test_announced_sizes_are_bounded() -> None:
    # Failure: a faulty manifest makes a host hold gigabytes of chunks.
    fleet = Fleet(3, SEED)
    node = fleet.hosts[fleet.ids[0]]
    fetcher = node.configuration._fetcher
    fetcher.observe(fleet.ids[1], Revision(9))
    fetcher.start(Revision(1), 0.0)
    entry = ManifestEntry("workspaces/00", Revision(9), 1 << 40, 0)
    manifest = Manifest(Revision(1), Revision(9), (entry,))
    fetcher.take_manifest(manifest, fleet.ids[1], node.configuration._store, 0.0)
    assert not fetcher._partials
