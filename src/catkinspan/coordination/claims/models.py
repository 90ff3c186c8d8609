"""Messages and state of the claims."""

from enum import IntEnum, StrEnum
from hashlib import blake2b

from attrs import frozen

from catkinspan.coordination.claims.const import DIGEST_BYTES, REQUEST_DIGEST_BYTES
from catkinspan.coordination.claims.errors import ClaimRefusal
from catkinspan.coordination.models import Digest64, Millis, PeerMessage
from catkinspan.state.ids import HostId, RequestId, RouteId, WorkspaceId


class Ran(StrEnum):
    """Whether a request ran at an upstream."""

    NO = "no"
    """The request provably did not run."""

    YES = "yes"
    MAYBE = "maybe"


@frozen
class ClaimKey:
    """What a claim is about: one idempotency key of a workspace on a route."""

    workspace: WorkspaceId
    digest: bytes
    """Digest of workspace, route and key."""

    request_digest: bytes
    """Digest of the request; another request under the same key is a misuse."""


def claim_key(
    workspace: WorkspaceId,
    route: RouteId,
    key: str,
    method: str,
    path: str,
    body: bytes,
) -> ClaimKey:
    """Build the claim of a request; `body` is the digest of its body.

    Each part is preceded by its length, so that no two requests share a digest by
    moving characters from one part to the next.
    """
    return ClaimKey(
        workspace,
        _digest(DIGEST_BYTES, workspace.encode(), route.encode(), key.encode()),
        _digest(REQUEST_DIGEST_BYTES, method.encode(), path.encode(), body),
    )


def _digest(size: int, *parts: bytes) -> bytes:
    state = blake2b(digest_size=size)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()


class ClaimDecision(StrEnum):
    """Answer to the begin of a claim."""

    GRANTED = "granted"
    PENDING = "pending"
    REFUSED = "refused"


@frozen
class ClaimVerdict:
    """Whether a request may run."""

    decision: ClaimDecision
    refusal: ClaimRefusal | None = None
    """The reason, when refused."""


GRANTED = ClaimVerdict(ClaimDecision.GRANTED)
PENDING = ClaimVerdict(ClaimDecision.PENDING)


@frozen
class SettledClaim:
    """The verdict on a claim that was pending."""

    request_id: RequestId
    verdict: ClaimVerdict


@frozen
class ClaimOwner:
    """One begin of a claim; never used again, not even after a restart."""

    host: HostId
    incarnation: int
    serial: int


class Answer(IntEnum):
    """A holder's answer to a claim."""

    PROMISED = 0
    RUNNING = 1
    """Promised to another request that has not reported its end."""

    ENDED = 2
    """Promised to another request that ran or may have run."""

    MISUSED = 3
    """Promised to a request with another digest."""

    STARTED = 4
    """The holder abstains, since it started or was paused."""

    LIST_DIFFERS = 5
    """The holder knows holder sets that the claimant did not name."""

    FULL = 6
    """The holder has no room for the workspace."""


@frozen
class ClaimRequest(PeerMessage):
    """Asks a holder to promise a claim to one request."""

    serial: int
    workspace: WorkspaceId
    digest: bytes
    request_digest: bytes
    holder_sets: tuple[Digest64, ...]
    """Digests of the holder sets in which the claimant seeks a majority."""


@frozen
class ClaimAnswer(PeerMessage):
    """Answers a `ClaimRequest`."""

    serial: int
    incarnation: int
    """Incarnation of the claimant that asked."""

    answer: Answer
    wait_ms: Millis = 0
    """Remaining time of an abstention or of a promise to another request."""

    holder_sets: tuple[tuple[HostId, ...], ...] = ()
    """The holder's own sets, with `LIST_DIFFERS`."""


@frozen
class ClaimFinished(PeerMessage):
    """Reports the end of a claim to its holders; `Ran.NO` releases it."""

    serial: int
    workspace: WorkspaceId
    digest: bytes
    ran: Ran


MESSAGES: tuple[type[PeerMessage], ...] = (ClaimRequest, ClaimAnswer, ClaimFinished)
