"""Index of key digests by their prefix."""

from hmac import compare_digest

from attrs import frozen

from catkinspan.coordination.keys.const import DIGEST_PREFIX_BYTES
from catkinspan.state.ids import KeyId, WorkspaceId


@frozen
class IndexedKey:
    """A published digest and the workspace to which it gives access."""

    workspace: WorkspaceId
    id: KeyId
    digest: bytes


class KeyIndex:
    """Looks up the workspace of a digest.

    The prefix of the digest selects the entries. It depends on the key only through
    SHA-256, so the time of the lookup reveals nothing about keys. The whole digest is
    then compared in constant time.
    """

    def __init__(self) -> None:
        self._buckets: dict[bytes, tuple[IndexedKey, ...]] = {}

    def add(self, entry: IndexedKey) -> None:
        """Add an entry."""
        prefix = entry.digest[:DIGEST_PREFIX_BYTES]
        self._buckets[prefix] = (*self._buckets.get(prefix, ()), entry)

    def remove(self, entry: IndexedKey) -> None:
        """Remove an entry."""
        prefix = entry.digest[:DIGEST_PREFIX_BYTES]
        remaining = tuple(e for e in self._buckets.get(prefix, ()) if e != entry)
        if remaining:
            self._buckets[prefix] = remaining
            return
        self._buckets.pop(prefix, None)

    def find(self, digest: bytes) -> WorkspaceId | None:
        """Return the workspace, or None if no workspace or several have the digest."""
        workspaces = {
            entry.workspace
            for entry in self._buckets.get(digest[:DIGEST_PREFIX_BYTES], ())
            if compare_digest(entry.digest, digest)
        }
        return workspaces.pop() if len(workspaces) == 1 else None
