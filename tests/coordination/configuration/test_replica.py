"""Tests that a replica holds what the store holds."""

import pytest

from catkinspan.coordination.configuration.models import Document
from catkinspan.coordination.configuration.replica import Replica
from catkinspan.state.ids import Revision
from tests.platform.entries import platform_fleet
from tests.virtual_fleet import READY_SECONDS


def document(name: str, revision: int, text: str | None = "text") -> Document:
    return Document(name, Revision(revision), text)


ADDED = document("new", 5)
REMOVED = document("new", 6, None)
BATCHES = {
    "added and removed": ([ADDED, REMOVED], {"old"}),
    "in reverse order": ([REMOVED, ADDED], {"old"}),
    "removed and added": ([document("old", 5, None), document("old", 6)], {"old"}),
    "removed twice": ([document("old", 5, None), document("old", 6, None)], set()),
    "changed and removed": ([document("old", 5), document("old", 6, None)], set()),
    "added, removed, added": ([ADDED, REMOVED, document("new", 7)], {"old", "new"}),
}


@pytest.mark.parametrize("case", BATCHES)
def test_several_changes_of_one_document_in_a_batch(case: str) -> None:
    """Guards against a server whose entry came and went and that stays in use."""
    replica = Replica()
    replica.replace([document("old", 1)], Revision(4))
    changes, names = BATCHES[case]
    replica.merge(changes, Revision(7))
    assert set(replica.documents) == names


def test_host_that_follows_gets_both_changes() -> None:
    """Guards against a follower that hears of the addition only."""
    replica, follower = Replica(), Replica()
    for each in (replica, follower):
        each.replace([document("old", 1)], Revision(4))
    changed = replica.merge([ADDED, REMOVED], Revision(6))
    follower.merge([ADDED], Revision(5))
    follower.merge(changed, Revision(6))
    assert follower.documents == replica.documents
    assert replica.changes_after(Revision(4)) == (ADDED, REMOVED)


def test_server_that_came_and_went_during_an_outage_is_in_use_nowhere() -> None:
    """Guards against requests to a server that has left, on readers and followers."""
    fleet = platform_fleet(hosts=9)
    fleet.channel.run(READY_SECONDS)
    entry = fleet.store.documents["servers/i-0"].text
    fleet.store.is_down = True
    fleet.channel.run(fleet.channel.now + 1.0)
    fleet.store.put({"servers/i-guest": entry})
    fleet.store.put({"servers/i-guest": None})
    fleet.channel.run(fleet.channel.now + 3.0)
    fleet.store.is_down = False
    fleet.channel.run(fleet.channel.now + 5.0)
    for node in fleet.hosts.values():
        services = node.coordinator.tree.services.values()
        assert "i-guest" not in {u.id for s in services for u in s.upstreams}
        assert node.coordinator.configuration.store_revision == fleet.store.revision
