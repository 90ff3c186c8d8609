"""Constants of the metrics."""

MAX_SERIES = 200
"""Latency histograms, one for each pair of service and workspace; each takes about
25 KB. Further workspaces share one histogram for each service."""

MAX_OVERFLOW_SERIES = 200
"""Histograms shared by the further workspaces of a service. Further services share
one."""

MAX_ENTRIES = 2000
"""Limit for the services, and for the workspaces, with counts of their own."""

OTHER_LABEL = "(other)"
"""Label for everything that has no series of its own."""

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
HISTOGRAM_WORD_BYTES = 8
"""Decoded histograms have this word size. Histograms of equal word size are added
without a loop."""

RECENT_SECONDS = 30
"""Span of the recent counts in reports for operators."""

ASSESSMENT_SPAN_SECONDS = 5
"""Span by which a service is assessed if it has enough requests. Over 30 s an outage
of all servers would read as degraded for its first 15 s."""

MIN_ASSESSED_REQUESTS = 10
"""Fewest requests from which shares are computed."""

IDLE_SECONDS = 120.0
"""Recent counts are dropped after this time without a request."""

MAX_FAILURE_GAP_SECONDS = 10.0
"""Failed attempts at a server belong to one run if no gap between them is longer."""

WITHDRAWN_KEY_SECONDS = 600.0
"""Time for which a withdrawn key is reported as holding its workspace back."""
