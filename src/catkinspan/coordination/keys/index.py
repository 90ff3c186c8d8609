"""Index of key digests by prefix."""

from hmac import compare_digest

from attrs import frozen

from catkinspan.coordination.keys.const import PREFIX_BYTES
from catkinspan.state.ids import KeyId, WorkspaceId


@frozen
class IndexedKey:
    """A published digest and the workspace that it opens."""

    workspace: WorkspaceId
    id: KeyId
    digest: bytes


class KeyIndex:
    """Finds the workspace of a digest.

    The prefix of the digest selects the entries; it depends on the key only through
    SHA-256, so its lookup time tells nothing about keys. The whole digest is then
    compared in constant time.
    """

    def __init__(self) -> None:
        self._buckets: dict[bytes, tuple[IndexedKey, ...]] = {}

    def add(self, entry: IndexedKey) -> None:
        """Add an entry."""
        prefix = entry.digest[:PREFIX_BYTES]
        self._buckets[prefix] = (*self._buckets.get(prefix, ()), entry)

    def remove(self, entry: IndexedKey) -> None:
        """Remove an entry."""
        prefix = entry.digest[:PREFIX_BYTES]
        kept = tuple(e for e in self._buckets.get(prefix, ()) if e != entry)
        if kept:
            self._buckets[prefix] = kept
            return
        self._buckets.pop(prefix, None)

    def find(self, digest: bytes) -> WorkspaceId | None:
        """Return the workspace, or None if there is none or it is not clear which."""
        found = {
            entry.workspace
            for entry in self._buckets.get(digest[:PREFIX_BYTES], ())
            if compare_digest(entry.digest, digest)
        }
        return found.pop() if len(found) == 1 else None
