"""Guards which configurations are accepted, and what an offer reports."""

import json
from random import Random

import pytest
from bench.configuration_fleet import INVALID, FakeParser, Published, shard_text
from result import Err, Ok

from catkinspan.coordination.configuration.const import MAX_DOCUMENT_CHARS
from catkinspan.coordination.configuration.coordinator import ConfigurationCoordinator
from catkinspan.coordination.configuration.models import (
    PLATFORM,
    ConfigurationAccepted,
    ConfigurationRejected,
    Delta,
    Document,
    Snapshot,
)
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import NO_REVISION, HostId, Revision

FIRST = Published().changed(
    root=json.dumps({"max_hosts": 3}), museum=shard_text(0, 2), atelier=shard_text(2, 2)
)
SECOND = FIRST.changed(museum=shard_text(0, 2, rate=20.0))


@pytest.fixture
def outbox() -> Outbox:
    return Outbox()


@pytest.fixture
def configuration(outbox: Outbox) -> ConfigurationCoordinator:
    coordinator = ConfigurationCoordinator(
        HostId("host-0000"), FakeParser(), outbox, Random(1)
    )
    assert coordinator.offer(FIRST.delta(NO_REVISION, ()), PLATFORM, 0.0) == Ok(1)
    coordinator.take_accepted()
    outbox.take_events()
    return coordinator


def test_accepted_tree_is_handed_out_once(
    configuration: ConfigurationCoordinator,
) -> None:
    # Failure: other concerns miss a tree, or rebuild their state again and again.
    configuration.offer(SECOND.delta(Revision(1), ()), PLATFORM, 1.0)
    accepted = configuration.take_accepted()
    assert accepted is not None
    assert accepted.tree is configuration.tree
    assert configuration.take_accepted() is None


def test_event_names_documents_and_differences(
    configuration: ConfigurationCoordinator, outbox: Outbox
) -> None:
    # Failure: operators cannot see what a revision changed.
    configuration.offer(SECOND.delta(Revision(1), ()), PLATFORM, 1.0)
    (event,) = outbox.take_events()
    assert isinstance(event, ConfigurationAccepted)
    assert (event.previous, event.revision, event.source) == (1, 2, "platform")
    assert event.changed == ("museum",)
    assert event.differences[0] == "workspaces/workspace-00000: rate 10.0 -> 20.0"
    assert "digest" not in repr(event)


@pytest.mark.parametrize("revision", [0, 1])
def test_revision_never_goes_back(
    configuration: ConfigurationCoordinator, revision: int
) -> None:
    # Failure: a stale replica takes an accepted configuration back.
    tree = configuration.tree
    stale = Snapshot(Revision(revision), ())
    assert configuration.offer(stale, PLATFORM, 1.0) == Ok(1)
    assert configuration.tree is tree


def test_rejected_revision_changes_nothing(
    configuration: ConfigurationCoordinator, outbox: Outbox
) -> None:
    # Failure: a faulty edit is in force in part, or floods the audit trail.
    tree = configuration.tree
    faulty = FIRST.changed(museum=shard_text(0, 2, rate=30.0), atelier=INVALID)
    for _ in range(3):
        result = configuration.offer(faulty.delta(Revision(1), ()), PLATFORM, 1.0)
        assert isinstance(result, Err)
        assert result.err_value.faults[0].path == "atelier"
    assert configuration.tree is tree
    assert (configuration.revision, configuration.watch_after) == (1, 2)
    (event,) = outbox.take_events()
    assert isinstance(event, ConfigurationRejected)
    assert event.changed == ("atelier", "museum")
    repaired = faulty.changed(atelier=shard_text(2, 2))
    offered = repaired.delta(Revision(1), ())
    assert configuration.offer(offered, PLATFORM, 2.0) == Ok(3)
    assert configuration.tree.workspaces["workspace-00000"].rate == 30.0


def test_delta_from_an_unknown_base_is_refused(
    configuration: ConfigurationCoordinator,
) -> None:
    # Failure: a delta is applied over documents that it does not start from.
    result = configuration.offer(Delta(Revision(5), Revision(6), ()), PLATFORM, 1.0)
    assert isinstance(result, Err)
    assert "snapshot" in str(result.err_value)
    assert configuration.offer(SECOND.delta(Revision(1), ()), PLATFORM, 1.0) == Ok(2)


def test_too_large_document_is_rejected(
    configuration: ConfigurationCoordinator,
) -> None:
    # Failure: one document fills the memory of every host.
    text = shard_text(0, 1, pad=MAX_DOCUMENT_CHARS)
    offered = FIRST.changed(museum=text).delta(Revision(1), ())
    result = configuration.offer(offered, PLATFORM, 1.0)
    assert isinstance(result, Err)
    assert "split" in result.err_value.faults[0].remedy


def test_snapshot_and_delta_agree(configuration: ConfigurationCoordinator) -> None:
    # Failure: a removed document lives on after a snapshot or a delta.
    third = SECOND.without("atelier")
    delta = third.delta(Revision(1), ("root", "museum", "atelier"))
    snapshot = Snapshot(Revision(4), tuple(third.documents.values()))
    assert configuration.offer(delta, PLATFORM, 1.0) == Ok(3)
    after_delta = configuration.tree.workspaces
    assert "workspace-00002" not in after_delta
    assert configuration.offer(snapshot, PLATFORM, 2.0) == Ok(4)
    assert configuration.tree.workspaces == after_delta


def test_delta_never_takes_one_document_back(
    configuration: ConfigurationCoordinator,
) -> None:
    # Failure: a late delta of a higher revision carries an older document.
    configuration.offer(SECOND.delta(Revision(1), ()), PLATFORM, 1.0)
    old = Document("museum", Revision(1), FIRST.documents["museum"].text)
    configuration.offer(Delta(Revision(1), Revision(3), (old,)), PLATFORM, 2.0)
    assert configuration.tree.workspaces["workspace-00000"].rate == 20.0
