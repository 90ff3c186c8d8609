"""Tests the authentication of callers' keys."""

from hashlib import sha256

import pytest
from result import Err, Ok

from catkinspan.coordination.keys.coordinator import KeyCoordinator, digest_of
from catkinspan.coordination.keys.errors import KeyRefusal, KeyRefusalKind
from catkinspan.coordination.keys.index import IndexedKey, KeyIndex
from catkinspan.coordination.keys.models import (
    CloseKeyConnections,
    KeyGiven,
    KeysChanged,
    KeyWithdrawn,
)
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import KeyId, Revision, WorkspaceId
from catkinspan.state.tree import KeyEntry, SettingsTree, Workspace


def workspace(name: str, *keys: str) -> Workspace:
    entries = tuple(KeyEntry(KeyId(k), sha256(k.encode()).digest()) for k in keys)
    return Workspace(WorkspaceId(name), entries, 5.0, 10.0)


def tree(*workspaces: Workspace, revision: int = 1) -> SettingsTree:
    return SettingsTree(
        Revision(revision), workspaces={entry.id: entry for entry in workspaces}
    )


def refusal(kind: KeyRefusalKind) -> Err[KeyRefusal]:
    return Err(KeyRefusal(kind))


@pytest.fixture
def outbox() -> Outbox:
    return Outbox()


@pytest.fixture
def keys(outbox: Outbox) -> KeyCoordinator:
    coordinator = KeyCoordinator(outbox)
    coordinator.apply_tree(tree(workspace("museum", "m1", "m2")), 0.0)
    outbox.take_events()
    return coordinator


def test_key_resolves_to_its_own_workspace(keys: KeyCoordinator) -> None:
    """Guards against a request that runs for a workspace other than its key's."""
    keys.apply_tree(tree(workspace("museum", "m1"), workspace("atelier", "a1")), 1.0)
    assert keys.workspace_for("m1", 2.0) == Ok("museum")
    assert keys.workspace_for("a1", 2.0) == Ok("atelier")


@pytest.mark.parametrize(
    ("key", "kind"),
    [
        ("", KeyRefusalKind.MISSING),
        ("other", KeyRefusalKind.UNKNOWN),
        ("m1 ", KeyRefusalKind.UNKNOWN),
        ("\ud800", KeyRefusalKind.UNKNOWN),
    ],
)
def test_refusals_name_the_reason(
    keys: KeyCoordinator, key: str, kind: KeyRefusalKind
) -> None:
    """Guards against refusals without a reason, and input that raises an exception."""
    assert keys.workspace_for(key, 1.0) == refusal(kind)


def test_withdrawn_key_is_refused_and_its_connections_close(
    keys: KeyCoordinator, outbox: Outbox
) -> None:
    """Guards against a withdrawn key that still works on open connections."""
    keys.apply_tree(tree(workspace("museum", "m2"), revision=2), 1.0)
    assert keys.workspace_for("m1", 1.0) == refusal(KeyRefusalKind.WITHDRAWN)
    assert keys.workspace_for("m2", 1.0) == Ok("museum")
    assert outbox.take_directives() == [CloseKeyConnections({digest_of("m1")})]


def test_removed_workspace_withdraws_its_keys(
    keys: KeyCoordinator, outbox: Outbox
) -> None:
    """Guards against keys that still work after their workspace was removed."""
    keys.apply_tree(tree(revision=2), 1.0)
    assert keys.workspace_for("m1", 1.0) == refusal(KeyRefusalKind.WITHDRAWN)
    (directive,) = outbox.take_directives()
    assert directive == CloseKeyConnections({digest_of("m1"), digest_of("m2")})


def test_key_published_again_works(keys: KeyCoordinator) -> None:
    """Guards against remembered withdrawals that override the settings in force."""
    keys.apply_tree(tree(revision=2), 1.0)
    keys.apply_tree(tree(workspace("museum", "m1"), revision=3), 2.0)
    assert keys.workspace_for("m1", 2.0) == Ok("museum")


def test_moved_key_closes_the_connections_of_the_old_workspace(
    keys: KeyCoordinator, outbox: Outbox
) -> None:
    """Guards against a stream that continues for a workspace that lost the key."""
    moved = tree(workspace("museum", "m2"), workspace("atelier", "m1"), revision=2)
    keys.apply_tree(moved, 1.0)
    assert keys.workspace_for("m1", 1.0) == Ok("atelier")
    assert outbox.take_directives() == [CloseKeyConnections({digest_of("m1")})]


def test_key_of_two_workspaces_is_refused(keys: KeyCoordinator) -> None:
    """Guards against requests charged to a workspace by the order of the documents."""
    keys.apply_tree(tree(workspace("museum", "m1"), workspace("atelier", "m1")), 1.0)
    assert keys.workspace_for("m1", 1.0) == refusal(KeyRefusalKind.UNKNOWN)


def test_whole_digest_is_compared() -> None:
    """Guards against access with a digest that only shares the prefix."""
    index = KeyIndex()
    digest = sha256(b"m1").digest()
    index.add(IndexedKey(WorkspaceId("museum"), KeyId("m1"), digest))
    assert index.find(digest) == "museum"
    assert index.find(digest[:16] + b"\0" * 16) is None


def test_events_contain_no_whole_digest(keys: KeyCoordinator, outbox: Outbox) -> None:
    """Guards against audit events whose digests can be matched against stolen keys."""
    keys.apply_tree(tree(workspace("museum", "m2", "m3"), revision=2), 1.0)
    events = outbox.take_events()
    shown = {key: digest_of(key).hex()[:12] for key in ("m1", "m3")}
    assert events == [
        KeyWithdrawn(WorkspaceId("museum"), KeyId("m1"), shown["m1"]),
        KeyGiven(WorkspaceId("museum"), KeyId("m3"), shown["m3"]),
    ]
    assert digest_of("m1").hex() not in repr(CloseKeyConnections({digest_of("m1")}))


def test_many_changed_keys_make_one_event(outbox: Outbox) -> None:
    """Guards against a start with 26,000 workspaces that evicts all other events from
    the audit trail."""
    coordinator = KeyCoordinator(outbox)
    many = workspace("museum", *(f"key-{n}" for n in range(500)))
    coordinator.apply_tree(tree(many), 0.0)
    assert outbox.take_events() == [KeysChanged(Revision(1), 500, 0)]
