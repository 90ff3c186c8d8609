"""Constants of the quarantine."""

CRASHES_TO_QUARANTINE = 2
INCIDENT_SECONDS = 2.0
"""Connections of one server that die within this time died of one cause."""

MAX_FINGERPRINTS_PER_INCIDENT = 4
"""With more different requests on the server, it died by itself. A server has few
slots, so that a request which crashes it takes few others along."""

MAX_SERVERS_AT_ONCE = 3
"""With more servers of other requests dying at once, a rack or switch failed; crashes
of a request within that time then count as one."""

QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 600.0
CRASH_MEMORY_SECONDS = 900.0
"""Time that a crash counts; longer than the longest quarantine, so that a single
crash after it quarantines the request again."""

MAX_FINGERPRINTS = 2_000
MAX_FINGERPRINTS_PER_WORKSPACE = 100
MAX_CRASHES_PER_FINGERPRINT = 8
CLEARANCE_SPREAD_SECONDS = 1.0
"""Successes of one request this close together are reported once."""

MAX_CLEARANCES = 2_000
MAX_SEEN_REPORTS = 8_192
MAX_RECENT_CRASHES = 256

FANOUT = 4
"""Peers that get each report in one round."""

ROUNDS = 3
"""Rounds in which a host passes a report on: one at once, then one each tick."""

MAX_REPORTS_PER_MESSAGE = 16
MAX_QUEUED_REPORTS = 64
COPIES_PER_SECOND = 8.0
"""Report copies that a host may send: 8 of about 215 bytes are 1.7 KB/s, of the 6 KB/s
that a host may spend on control."""

MAX_COPIES = 480.0
"""Copies that a host may send at once: 40 reports in all rounds."""

NOISY_SECONDS = 30.0
MAX_REPORTS_PER_SERVER = 10
"""Reports about one server within `NOISY_SECONDS` that are passed on. A server that
keeps resetting connections would use up the copies; its health is the assessor's."""

GREETERS = 2
"""Hosts that send their crash reports to a newly started host."""

MAX_REPORTS_FOR_NEW_HOST = 64
DIGEST_BYTES = 16
"""Size of a fingerprint's digest."""
