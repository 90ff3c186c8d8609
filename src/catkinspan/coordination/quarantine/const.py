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

GOSSIP_FANOUT = 4
"""Peers that receive each report in one gossip round."""

GOSSIP_ROUNDS = 3
"""Rounds in which a host forwards a report: one immediately, then one per tick."""

MAX_REPORTS_PER_MESSAGE = 16
MAX_QUEUED_REPORTS = 64
REPORT_COPIES_PER_SECOND = 8.0
"""Rate limit of the report copies that a host sends. 8 copies of about 215 bytes take
1.7 KB/s of the 6 KB/s that a host may use for control traffic."""

MAX_REPORT_COPY_BURST = 480.0
"""Report copies that a host may send in a burst: 40 reports in all rounds."""

NOISY_SERVER_WINDOW_SECONDS = 30.0
MAX_REPORTS_PER_SERVER = 10
"""Reports about one server within `NOISY_SERVER_WINDOW_SECONDS` that are forwarded. A
server that keeps resetting connections would use up the rate limit; it is handled by
the health assessor instead."""

SENDERS_PER_NEW_HOST = 2
"""Hosts that send their crash reports to each newly started host."""

MAX_REPORTS_FOR_NEW_HOST = 64
DIGEST_BYTES = 16
"""Size of a fingerprint's digest."""
