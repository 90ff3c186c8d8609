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
"""Times that each report is sent, at most once per tick, since datagrams may be lost.
"""

FOLLOWER_REPORT_ROUNDS = 1
"""Times that a hub sends followers a report of a request that is not quarantined. It
only lets them report a success of the request, which any one of them may do."""

MAX_REPORTS_PER_MESSAGE = 16
MAX_QUEUED_REPORTS = 64
MESSAGE_BYTES = 100
"""Size of an empty message with the headers of frame, UDP and IP."""

REPORT_BYTES = 120
"""Size of a report in a message, with names of usual length."""

MESSAGE_INTERVAL_SECONDS = 1.0
"""Interval of messages that is aimed at if there are more reports than a budget pays
for: shorter ones would spend it on headers."""

HUB_BYTES_PER_SECOND = 900.0
"""Bytes that a host sends on reports to the hubs of its data centre, and once more on
urgent ones; the target for all control traffic of a host is 6 KB a second."""

HUB_BURST_SECONDS = 20.0
"""Time for which unused budget for these is kept: about forty reports at once."""

REMOTE_BYTES_PER_SECOND = 6_000.0
"""Bytes that a hub sends on reports to the hubs of other data centres."""

URGENT_REMOTE_BYTES_PER_SECOND = 3_000.0
FOLLOWER_BYTES_PER_SECOND = 18_000.0
"""Bytes that a hub sends on reports to its followers. With the other budgets of the
quarantine these are 40 KB a second, 3 % of a link of 10 Mbit/s."""

URGENT_FOLLOWER_BYTES_PER_SECOND = 6_000.0
SYNC_BYTES_PER_SECOND = 5_000.0
"""Bytes that a hub sends on reports to hosts that are new to it."""

BURST_SECONDS = 2.0
"""Time for which a hub's unused budget is kept."""

URGENT_BURST_SECONDS = 5.0
"""Time for which unused budget for urgent reports is kept, so that all followers of a
large data centre can get those of one request at once."""

NOISY_SERVER_WINDOW_SECONDS = 30.0
MAX_REPORTS_PER_SERVER = 10
"""Reports about one server within `NOISY_SERVER_WINDOW_SECONDS` that are forwarded. A
server that keeps resetting connections would use up the rate limit; it is handled by
the health assessor instead."""

MAX_REPORTS_FOR_NEW_HOST = 64
DIGEST_BYTES = 16
"""Size of a fingerprint's digest."""
