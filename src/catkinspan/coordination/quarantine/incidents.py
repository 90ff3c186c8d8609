"""Tells a request that crashes servers from a server that dies by itself."""

from collections import deque
from collections.abc import Sequence

from catkinspan.coordination.quarantine.const import (
    INCIDENT_SECONDS,
    MAX_FINGERPRINTS_PER_INCIDENT,
    MAX_RECENT_CRASHES,
    MAX_SERVERS_AT_ONCE,
)
from catkinspan.coordination.quarantine.models import Crash


class IncidentLog:
    """The crashes of the whole fleet that this host heard of, newest last."""

    def __init__(self) -> None:
        self._recent: deque[Crash] = deque(maxlen=MAX_RECENT_CRASHES)

    def add(self, crash: Crash) -> None:
        """Add a crash."""
        self._recent.append(crash)

    def near(self, crash: Crash) -> list[Crash]:
        """Return the crashes around the instant of one, itself included."""
        return [c for c in self._recent if abs(c.at - crash.at) <= INCIDENT_SECONDS]

    def count(self, crashes: Sequence[Crash]) -> int:
        """Return how many separate incidents speak against one fingerprint."""
        incidents = 0
        counted: list[Crash] = []
        for crash in sorted(crashes, key=lambda c: c.at):
            if self._server_died_by_itself(crash):
                continue
            if any(self._is_same_incident(crash, earlier) for earlier in counted):
                continue
            counted.append(crash)
            incidents += 1
        return incidents

    def _server_died_by_itself(self, crash: Crash) -> bool:
        affected = {c.fingerprint for c in self.near(crash) if c.server == crash.server}
        return len(affected) > MAX_FINGERPRINTS_PER_INCIDENT

    def _is_same_incident(self, crash: Crash, earlier: Crash) -> bool:
        if crash.at - earlier.at > INCIDENT_SECONDS:
            return False
        return crash.server == earlier.server or self._is_wide_failure(crash)

    def _is_wide_failure(self, crash: Crash) -> bool:
        """Return whether other requests lost many other servers at the same time."""
        near = self.near(crash)
        own = {c.server for c in near if c.fingerprint == crash.fingerprint}
        others = {c.server for c in near if c.fingerprint != crash.fingerprint}
        return len(others - own) > MAX_SERVERS_AT_ONCE
