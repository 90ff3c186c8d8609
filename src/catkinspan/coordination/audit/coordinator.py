"""Audit trail of a host: a bounded buffer of entries, in memory only."""

from collections import deque
from datetime import datetime

from catkinspan.coordination.models import AuditEntry, Event
from catkinspan.state.ids import HostId

AUDIT_ENTRIES = 2000
"""Entries that a host keeps, enough for about a day at 1,400 changes a day."""


class AuditTrail:
    """Keeps the latest events of a host."""

    def __init__(self, self_id: HostId, capacity: int = AUDIT_ENTRIES) -> None:
        self._self_id = self_id
        self._entries: deque[AuditEntry] = deque(maxlen=capacity)
        self._recorded = 0

    @property
    def recorded(self) -> int:
        """Return the number of events ever recorded, including dropped ones."""
        return self._recorded

    def record(self, event: Event, at: datetime) -> AuditEntry:
        """Add an event and return its entry."""
        entry = AuditEntry(at, self._self_id, event)
        self._entries.append(entry)
        self._recorded += 1
        return entry

    def entries(self, limit: int = AUDIT_ENTRIES) -> tuple[AuditEntry, ...]:
        """Return the latest entries, newest first."""
        return tuple(reversed(self._entries))[:limit]
