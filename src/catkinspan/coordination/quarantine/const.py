"""Constants of request quarantine."""

CRASHES_TO_QUARANTINE = 2
INCIDENT_WINDOW_SECONDS = 2.0
"""Connection failures of one server within this time count as one incident."""

MAX_FINGERPRINTS_PER_INCIDENT = 4
"""If more distinct requests are affected, the server is taken to have failed by itself.
A server has few slots, so that a request that crashes it affects few others."""

MAX_OTHER_SERVERS_PER_INCIDENT = 3
"""If more servers fail under other requests at the same time, a rack or switch is taken
to have failed, and all crashes of a request within that time count as one."""

QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 600.0
CRASH_RETENTION_SECONDS = 900.0
"""Time for which a crash counts. It exceeds the longest quarantine, so that a single
crash after a quarantine quarantines the request again."""

MAX_FINGERPRINTS = 2_000
MAX_FINGERPRINTS_PER_WORKSPACE = 100
MAX_CRASHES_PER_FINGERPRINT = 8
MIN_CLEARANCE_INTERVAL_SECONDS = 1.0
"""Successes of one request within this time are reported once."""

MAX_CLEARANCES = 2_000
MAX_SEEN_REPORTS = 8_192
MAX_RECENT_CRASHES = 256

REPORT_ROUNDS = 3
"""Times that each report is sent: once immediately, then once per tick, since datagrams
may be lost."""

MAX_REPORTS_PER_MESSAGE = 16
MAX_QUEUED_REPORTS = 64
REPORTS_PER_SECOND = 0.7
"""Rate limit of the reports that a host sends. A hub with 85 followers sends about
215 bytes to each in each round: 38 KB/s, 3% of a link of 10 Mbit/s."""

MAX_REPORT_BURST = 40.0
"""Reports that a host may send at once."""

NOISY_SERVER_WINDOW_SECONDS = 30.0
MAX_REPORTS_PER_SERVER = 10
"""Reports about one server within `NOISY_SERVER_WINDOW_SECONDS` that are forwarded. A
server that keeps resetting connections would use up the rate limit; it is handled by
the health assessor instead."""

MAX_REPORTS_FOR_NEW_HOST = 64
DIGEST_BYTES = 16
"""Size of a fingerprint's digest."""
