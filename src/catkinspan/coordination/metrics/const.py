"""Constants of the metrics."""

MAX_SERIES = 200
"""Latency histograms of pairs of service and workspace; about 25 KB each. Further
workspaces share one histogram for each service."""

MAX_OVERFLOW_SERIES = 200
"""Histograms of the shared kind; further services share one."""

MAX_TRACKED = 2000
"""Services, and workspaces, with counts of their own."""

OTHER = "(other)"
"""Label of what has no series of its own."""

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
HISTOGRAM_WORD_BYTES = 8
"""Decoded histograms have this size, and equal ones are added without a loop."""

RECENT_SECONDS = 30
"""Span of the counts that operators see as recent."""

LATEST_SECONDS = 5
"""Span by which a service is judged if it has enough requests. Over 30 s an outage of
all servers would read as degraded for its first 15 s."""

LEAST_REQUESTS = 10
"""Requests below which their shares say nothing."""

IDLE_SECONDS = 120.0
"""Recent counts without a request for this long are forgotten."""

FAILURE_RUN_SECONDS = 10.0
"""Failed attempts at a server belong to one run if no gap between them is longer."""

KEY_NEWS_SECONDS = 600.0
"""A withdrawn key is shown as holding its workspace back for this long."""
