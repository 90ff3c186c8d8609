"""Distinguishes requests that crash servers from servers that fail by themselves."""

from collections import deque
from collections.abc import Sequence

from catkinspan.coordination.quarantine.const import (
    INCIDENT_WINDOW_SECONDS,
    MAX_FINGERPRINTS_PER_INCIDENT,
    MAX_OTHER_SERVERS_PER_INCIDENT,
    MAX_RECENT_CRASHES,
    MAX_REPORTS_PER_SERVER,
    NOISY_SERVER_WINDOW_SECONDS,
)
from catkinspan.coordination.quarantine.models import Crash


class IncidentLog:
    """The latest crashes in the fleet that are known to this host."""

    def __init__(self) -> None:
        self._recent: deque[Crash] = deque(maxlen=MAX_RECENT_CRASHES)

    def add(self, crash: Crash) -> None:
        """Add a crash to the log."""
        self._recent.append(crash)

    def crashes_near(self, crash: Crash) -> list[Crash]:
        """Return the crashes close in time to the given one, including itself."""
        return [
            c for c in self._recent if abs(c.at - crash.at) <= INCIDENT_WINDOW_SECONDS
        ]

    def is_server_noisy(self, crash: Crash) -> bool:
        """Return whether the server of a crash has had many recent crashes."""
        same = (c for c in self._recent if c.server == crash.server)
        count = sum(abs(c.at - crash.at) <= NOISY_SERVER_WINDOW_SECONDS for c in same)
        return count > MAX_REPORTS_PER_SERVER

    def distinct_incidents(self, crashes: Sequence[Crash]) -> list[Crash]:
        """Return one crash for each separate incident attributed to a request.

        The caller should keep only these: the log is bounded and may later lose the
        crashes that separate the incidents.
        """
        incidents: list[Crash] = []
        for crash in sorted(crashes, key=lambda c: c.at):
            nearby = self.crashes_near(crash)
            if _is_server_failure(crash, nearby):
                continue
            if any(_is_same_incident(crash, earlier, nearby) for earlier in incidents):
                continue
            incidents.append(crash)
        return incidents


def _is_server_failure(crash: Crash, nearby: Sequence[Crash]) -> bool:
    affected = {c.fingerprint for c in nearby if c.server == crash.server}
    return len(affected) > MAX_FINGERPRINTS_PER_INCIDENT


def _is_same_incident(crash: Crash, earlier: Crash, nearby: Sequence[Crash]) -> bool:
    if crash.at - earlier.at > INCIDENT_WINDOW_SECONDS:
        return False
    return crash.server == earlier.server or _is_wide_failure(crash, nearby)


def _is_wide_failure(crash: Crash, nearby: Sequence[Crash]) -> bool:
    """Return whether many other servers failed under other requests meanwhile."""
    own = {c.server for c in nearby if c.fingerprint == crash.fingerprint}
    others = {c.server for c in nearby if c.fingerprint != crash.fingerprint}
    return len(others - own) > MAX_OTHER_SERVERS_PER_INCIDENT
