"""Coordinator of the index of key digests."""

from collections.abc import Iterable
from hashlib import sha256

from result import Err, Ok, Result

from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.keys.const import MAX_KEY_EVENTS, MAX_WITHDRAWN_DIGESTS
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
    """Resolves presented keys to workspaces.

    Keys are stored only as SHA-256 digests. Connection tasks keep the digest of their
    key, from `digest_of`, to carry out `CloseKeyConnections`.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._tree = SettingsTree()
        self._index = KeyIndex()
        self._withdrawn_digests: dict[bytes, None] = {}

    def workspace_for(self, key: str, now: float) -> Result[WorkspaceId, KeyRefusal]:
        """Return the workspace of a key, or why the key is refused.

        The key is checked for each request, so a withdrawn key is refused from the next
        request on.
        """
        if not key:
            return Err(KeyRefusal(KeyRefusalKind.MISSING))
        digest = digest_of(key)
        workspace = self._index.find(digest)
        if workspace is not None:
            return Ok(workspace)
        if digest in self._withdrawn_digests:
            return Err(KeyRefusal(KeyRefusalKind.WITHDRAWN))
        return Err(KeyRefusal(KeyRefusalKind.UNKNOWN))

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Index the keys of changed workspaces and report added and withdrawn keys."""
        previous, self._tree = self._tree.workspaces, tree
        old_keys: set[IndexedKey] = set()
        new_keys: set[IndexedKey] = set()
        for id_, workspace in tree.workspaces.items():
            old_workspace = previous.get(id_)
            if old_workspace is not workspace:
                old_keys.update(_indexed_keys(old_workspace))
                new_keys.update(_indexed_keys(workspace))
        for id_ in previous.keys() - tree.workspaces.keys():
            old_keys.update(_indexed_keys(previous[id_]))
        self._update_index(old_keys - new_keys, new_keys - old_keys, tree.revision)

    def _update_index(
        self, removed: set[IndexedKey], added: set[IndexedKey], revision: Revision
    ) -> None:
        for entry in removed:
            self._index.remove(entry)
            self._remember_withdrawn(entry.digest)
        for entry in added:
            self._index.add(entry)
            self._withdrawn_digests.pop(entry.digest, None)
        still_valid = {(entry.workspace, entry.digest) for entry in added}
        withdrawn = frozenset(
            e.digest for e in removed if (e.workspace, e.digest) not in still_valid
        )
        if withdrawn:
            self._outbox.add_directive(CloseKeyConnections(withdrawn))
        self._report(removed, added, revision)

    def _remember_withdrawn(self, digest: bytes) -> None:
        self._withdrawn_digests[digest] = None
        if len(self._withdrawn_digests) > MAX_WITHDRAWN_DIGESTS:
            del self._withdrawn_digests[next(iter(self._withdrawn_digests))]

    def _report(
        self, removed: set[IndexedKey], added: set[IndexedKey], revision: Revision
    ) -> None:
        if len(removed) + len(added) > MAX_KEY_EVENTS:
            self._outbox.emit(KeysChanged(revision, len(added), len(removed)))
            return
        for entry in _sorted_keys(removed):
            short_digest = digest_prefix(entry.digest)
            self._outbox.emit(KeyWithdrawn(entry.workspace, entry.id, short_digest))
        for entry in _sorted_keys(added):
            short_digest = digest_prefix(entry.digest)
            self._outbox.emit(KeyGiven(entry.workspace, entry.id, short_digest))


def digest_of(key: str) -> bytes:
    """Return the SHA-256 digest of a presented key."""
    return sha256(key.encode("utf-8", "surrogatepass")).digest()


def _indexed_keys(workspace: Workspace | None) -> Iterable[IndexedKey]:
    if workspace is None:
        return ()
    return (
        IndexedKey(workspace.id, entry.id, entry.digest) for entry in workspace.keys
    )


def _sorted_keys(entries: set[IndexedKey]) -> list[IndexedKey]:
    return sorted(entries, key=lambda entry: (entry.workspace, entry.id))
