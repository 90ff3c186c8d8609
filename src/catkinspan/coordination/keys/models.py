"""Events and directives concerning API keys."""

from attrs import field, frozen

from catkinspan.coordination.keys.const import SHOWN_DIGEST_CHARS
from catkinspan.coordination.models import Event, PeerMessage
from catkinspan.state.ids import KeyId, Revision, WorkspaceId

MESSAGES: tuple[type[PeerMessage], ...] = ()


@frozen
class KeyGiven(Event):
    """A key was published and is now accepted on this host."""

    workspace: WorkspaceId
    key: KeyId
    digest: str
    """The first digits of the key's digest."""


@frozen
class KeyWithdrawn(Event):
    """A key was withdrawn and is no longer accepted on this host."""

    workspace: WorkspaceId
    key: KeyId
    digest: str
    """The first digits of the key's digest."""


@frozen
class KeysChanged(Event):
    """Summary of a revision that changed many keys."""

    revision: Revision
    given: int
    withdrawn: int


@frozen
class CloseKeyConnections:
    """Directive to close idle connections of these keys and abort streaming ones."""

    digests: frozenset[bytes] = field(repr=lambda digests: f"{len(digests)} digests")


def digest_prefix(digest: bytes) -> str:
    """Return the leading digits of a digest, which may appear in events and logs."""
    return digest.hex()[:SHOWN_DIGEST_CHARS]
