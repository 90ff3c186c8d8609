"""Messages, events and state of the quarantine."""

from hashlib import blake2b

from attrs import define, field, frozen

from catkinspan.coordination.models import Event, Millis, PeerMessage
from catkinspan.coordination.quarantine.const import DIGEST_BYTES
from catkinspan.state.ids import HostId, RouteId, ServerId, WorkspaceId


@frozen
class Fingerprint:
    """What makes two requests the same: it never spans two workspaces."""

    workspace: WorkspaceId
    digest: bytes


def fingerprint(
    workspace: WorkspaceId, route: RouteId, method: str, path: str, body_digest: bytes
) -> Fingerprint:
    """Build the fingerprint of a request.

    Each part is preceded by its length, so that no two requests share a digest by
    moving characters from one part to the next.
    """
    state = blake2b(digest_size=DIGEST_BYTES)
    texts = (workspace, route, method, path)
    for part in (*(text.encode() for text in texts), body_digest):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return Fingerprint(workspace, state.digest())


@frozen
class CrashId:
    """Names one crash report over the whole fleet."""

    host: HostId
    incarnation: int
    serial: int


@frozen
class CrashReport:
    """An upstream connection died while it ran a request."""

    id: CrashId
    fingerprint: Fingerprint
    server: ServerId
    age_ms: Millis
    """Time since the crash when the message was sent."""


@frozen
class Clearance:
    """A request succeeded, so that earlier crashes had another cause."""

    fingerprint: Fingerprint
    age_ms: Millis
    """Time since the success when the message was sent."""


@frozen
class CrashNews(PeerMessage):
    """Passes crash reports and clearances on."""

    reports: tuple[CrashReport, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@frozen
class RequestQuarantined(Event):
    """A request is refused, since it crashed upstreams."""

    workspace: WorkspaceId
    fingerprint: str
    servers: tuple[ServerId, ...]
    crashes: int
    seconds: float


@frozen
class QuarantineEnded(Event):
    """A quarantined request may run again."""

    workspace: WorkspaceId
    fingerprint: str


@frozen
class Crash:
    """A crash on the own clock."""

    id: CrashId
    fingerprint: Fingerprint
    server: ServerId
    at: float


@frozen
class Success:
    """A success on the own clock."""

    fingerprint: Fingerprint
    at: float


@define
class FingerprintState:
    """A fingerprint with its crashes."""

    crashes: list[Crash] = field(factory=list)
    quarantined_until: float = 0.0
    """End of its quarantine; 0.0 when there is none."""


MESSAGES: tuple[type[PeerMessage], ...] = (CrashNews,)
