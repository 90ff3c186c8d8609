"""Owner of the index of key hashes."""

from collections.abc import Iterable
from hashlib import sha256

from result import Err, Ok, Result

from catkinspan.coordination.concern import BaseCoordinator
from catkinspan.coordination.keys.const import MAX_KEY_EVENTS, MAX_WITHDRAWN
from catkinspan.coordination.keys.errors import KeyRefusal, KeyRefusalKind
from catkinspan.coordination.keys.index import IndexedKey, KeyIndex
from catkinspan.coordination.keys.models import (
    CloseKeyConnections,
    KeyGiven,
    KeysChanged,
    KeyWithdrawn,
    digest_prefix,
)
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import Revision, WorkspaceId
from catkinspan.state.tree import SettingsTree, Workspace


class KeyCoordinator(BaseCoordinator):
    """Tells which workspace a presented key opens.

    Keys are held only as SHA-256 digests. Connection tasks keep the digest of the
    key, from `digest_of`, to follow `CloseKeyConnections`.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._tree = SettingsTree()
        self._index = KeyIndex()
        self._withdrawn: dict[bytes, None] = {}

    def workspace_for(self, key: str, now: float) -> Result[WorkspaceId, KeyRefusal]:
        """Return the workspace of a key, or why it is refused.

        Checked for each request, so a withdrawn key stops at the next one.
        """
        if not key:
            return Err(KeyRefusal(KeyRefusalKind.MISSING))
        digest = digest_of(key)
        workspace = self._index.find(digest)
        if workspace is not None:
            return Ok(workspace)
        if digest in self._withdrawn:
            return Err(KeyRefusal(KeyRefusalKind.WITHDRAWN))
        return Err(KeyRefusal(KeyRefusalKind.UNKNOWN))

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Index the keys of changed workspaces and report given and withdrawn ones."""
        previous, self._tree = self._tree.workspaces, tree
        before: set[IndexedKey] = set()
        after: set[IndexedKey] = set()
        for id_, workspace in tree.workspaces.items():
            old = previous.get(id_)
            if old is not workspace:
                before.update(_entries(old))
                after.update(_entries(workspace))
        for id_ in previous.keys() - tree.workspaces.keys():
            before.update(_entries(previous[id_]))
        self._replace(before - after, after - before, tree.revision)

    def _replace(
        self, gone: set[IndexedKey], given: set[IndexedKey], revision: Revision
    ) -> None:
        for entry in gone:
            self._index.remove(entry)
            self._remember_withdrawn(entry.digest)
        for entry in given:
            self._index.add(entry)
            self._withdrawn.pop(entry.digest, None)
        kept = {(entry.workspace, entry.digest) for entry in given}
        closed = frozenset(
            e.digest for e in gone if (e.workspace, e.digest) not in kept
        )
        if closed:
            self._outbox.add_directive(CloseKeyConnections(closed))
        self._report(gone, given, revision)

    def _remember_withdrawn(self, digest: bytes) -> None:
        self._withdrawn[digest] = None
        if len(self._withdrawn) > MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]

    def _report(
        self, gone: set[IndexedKey], given: set[IndexedKey], revision: Revision
    ) -> None:
        if len(gone) + len(given) > MAX_KEY_EVENTS:
            self._outbox.emit(KeysChanged(revision, len(given), len(gone)))
            return
        for entry in _in_order(gone):
            shown = digest_prefix(entry.digest)
            self._outbox.emit(KeyWithdrawn(entry.workspace, entry.id, shown))
        for entry in _in_order(given):
            shown = digest_prefix(entry.digest)
            self._outbox.emit(KeyGiven(entry.workspace, entry.id, shown))


def digest_of(key: str) -> bytes:
    """Return the SHA-256 digest of a presented key."""
    return sha256(key.encode("utf-8", "surrogatepass")).digest()


def _entries(workspace: Workspace | None) -> Iterable[IndexedKey]:
    if workspace is None:
        return ()
    return (
        IndexedKey(workspace.id, entry.id, entry.digest) for entry in workspace.keys
    )


def _in_order(entries: set[IndexedKey]) -> list[IndexedKey]:
    return sorted(entries, key=lambda entry: (entry.workspace, entry.id))
