"""Messages, events and state of the quarantine."""

from hashlib import blake2b

from attrs import define, field, frozen

from catkinspan.coordination.models import Event, Millis, PeerMessage
from catkinspan.coordination.quarantine.const import DIGEST_BYTES
from catkinspan.state.ids import HostId, RouteId, ServerId, WorkspaceId


@frozen
class Fingerprint:
    """Identity of equal requests; requests of different workspaces are never equal."""

    workspace: WorkspaceId
    digest: bytes


def fingerprint(
    workspace: WorkspaceId, route: RouteId, method: str, path: str, body_digest: bytes
) -> Fingerprint:
    """Build the fingerprint of a request.

    Each part is prefixed with its length, so that moving characters from one part to
    the next yields a different digest.
    """
    state = blake2b(digest_size=DIGEST_BYTES)
    texts = (workspace, route, method, path)
    for part in (*(text.encode() for text in texts), body_digest):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return Fingerprint(workspace, state.digest())


@frozen
class CrashId:
    """Fleet-wide unique id of a crash report."""

    host: HostId
    incarnation: int
    serial: int


@frozen
class CrashReport:
    """Report that an upstream connection was lost while it ran a request."""

    id: CrashId
    fingerprint: Fingerprint
    server: ServerId
    age_ms: Millis
    """Time between the crash and the sending of the message."""


@frozen
class Clearance:
    """Report that a request succeeded, so its earlier crashes had another cause."""

    fingerprint: Fingerprint
    age_ms: Millis
    """Time between the success and the sending of the message."""


@frozen
class CrashNews(PeerMessage):
    """Forwards crash reports and clearances."""

    reports: tuple[CrashReport, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@frozen
class RequestQuarantined(Event):
    """A request is quarantined because it crashed upstreams."""

    workspace: WorkspaceId
    fingerprint: str
    servers: tuple[ServerId, ...]
    crashes: int
    seconds: float


@frozen
class QuarantineEnded(Event):
    """A quarantined request is allowed again."""

    workspace: WorkspaceId
    fingerprint: str


@frozen
class Crash:
    """A crash, timed by the clock of this host."""

    id: CrashId
    fingerprint: Fingerprint
    server: ServerId
    at: float

    def report(self, now: float) -> CrashReport:
        """Return the report for peers."""
        age_ms = _age_ms(self.at, now)
        return CrashReport(self.id, self.fingerprint, self.server, age_ms)


@frozen
class Success:
    """A success, timed by the clock of this host."""

    fingerprint: Fingerprint
    at: float

    def clearance(self, now: float) -> Clearance:
        """Return the report for peers."""
        return Clearance(self.fingerprint, _age_ms(self.at, now))


@define
class FingerprintState:
    """Crashes and quarantine of a fingerprint."""

    crashes: list[Crash] = field(factory=list)
    quarantined_until: float = 0.0
    """End of the quarantine; 0.0 if there is none."""


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * 1000))


MESSAGES: tuple[type[PeerMessage], ...] = (CrashNews,)
