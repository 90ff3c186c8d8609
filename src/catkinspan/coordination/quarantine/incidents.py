"""Tells a request that crashes servers from a server that dies by itself."""

from collections import deque
from collections.abc import Sequence

from catkinspan.coordination.quarantine.const import (
    INCIDENT_SECONDS,
    MAX_FINGERPRINTS_PER_INCIDENT,
    MAX_RECENT_CRASHES,
    MAX_REPORTS_PER_SERVER,
    MAX_SERVERS_AT_ONCE,
    NOISY_SECONDS,
)
from catkinspan.coordination.quarantine.models import Crash


class IncidentLog:
    """The last crashes of the whole fleet that this host heard of."""

    def __init__(self) -> None:
        self._recent: deque[Crash] = deque(maxlen=MAX_RECENT_CRASHES)

    def add(self, crash: Crash) -> None:
        """Add a crash."""
        self._recent.append(crash)

    def near(self, crash: Crash) -> list[Crash]:
        """Return the crashes around the instant of one, itself included."""
        return [c for c in self._recent if abs(c.at - crash.at) <= INCIDENT_SECONDS]

    def is_noisy(self, crash: Crash) -> bool:
        """Return whether the server has lost many connections lately."""
        same = (c for c in self._recent if c.server == crash.server)
        count = sum(abs(c.at - crash.at) <= NOISY_SECONDS for c in same)
        return count > MAX_REPORTS_PER_SERVER

    def incidents(self, crashes: Sequence[Crash]) -> list[Crash]:
        """Return one crash for each separate incident that speaks against a request.

        Keep only these: the log forgets the other crashes that tell them apart.
        """
        counted: list[Crash] = []
        for crash in sorted(crashes, key=lambda c: c.at):
            near = self.near(crash)
            if _server_died_by_itself(crash, near):
                continue
            if any(_is_same_incident(crash, earlier, near) for earlier in counted):
                continue
            counted.append(crash)
        return counted


def _server_died_by_itself(crash: Crash, near: Sequence[Crash]) -> bool:
    affected = {c.fingerprint for c in near if c.server == crash.server}
    return len(affected) > MAX_FINGERPRINTS_PER_INCIDENT


def _is_same_incident(crash: Crash, earlier: Crash, near: Sequence[Crash]) -> bool:
    if crash.at - earlier.at > INCIDENT_SECONDS:
        return False
    return crash.server == earlier.server or _is_wide_failure(crash, near)


def _is_wide_failure(crash: Crash, near: Sequence[Crash]) -> bool:
    """Return whether other requests lost many other servers at the same time."""
    own = {c.server for c in near if c.fingerprint == crash.fingerprint}
    others = {c.server for c in near if c.fingerprint != crash.fingerprint}
    return len(others - own) > MAX_SERVERS_AT_ONCE
