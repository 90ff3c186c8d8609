"""Constants of server health."""

INITIAL_RISK = 0.1
"""Risk of a server without evidence."""

MIN_RISK = 0.01
MAX_RISK = 0.95
"""With this bound, three successes in a row bring a server back below a risk of 1/3."""

GOOD_TO_BAD_PER_SECOND = 0.02
BAD_TO_GOOD_PER_SECOND = 0.1
"""Rates at which servers enter and leave bad phases of about ten seconds. Without
evidence they set the value to which the risk decays, and how fast."""

SUCCESS_FACTOR = 0.3
"""Factor on the odds for a success in time. A server in a bad phase still serves one
request in three or four."""

FAILURE_FACTOR = 10.0
"""Factor on the odds for a failure or an overdue request of any host."""

OWN_FAILURE_FACTOR = 5.0
"""Factor on the odds for a failure that this host saw itself. It covers a bad network
path from this host while the rest of the fleet reaches the server."""

OVERDUE_FACTOR = 2.5
"""Multiple of the expected latency after which a request counts as overdue; about 2 of
100 healthy requests take longer."""

MIN_OVERDUE_SECONDS = 0.06
PRIOR_LATENCY_SHARE_OF_TARGET = 0.28
"""Expected latency as a share of the target, until enough requests have been seen."""

PRIOR_LATENCY_SECONDS = 0.2
"""Expected latency without a target, until enough requests have been seen."""

PRIOR_LATENCY_SAMPLES = 8.0
"""Weight of the assumed latency, in requests."""

LATENCY_WINDOW_SAMPLES = 60.0
"""Requests over which the expected latency is averaged."""

MAX_LATENCY_CLASSES = 20_000

LOAD_REPORT_SECONDS = 0.05
"""Interval of load reports and of the hubs' replies while there are changes. A server
runs a request for 0.1 to 0.2 s, so older reports would describe requests that
have ended."""

REMOTE_LOAD_REPORT_SECONDS = 0.1
"""Interval of load reports between data centres. It is longer because this traffic is
billed and most requests stay within their own data centre."""

BASE_INTERVAL_HOSTS = 40
"""Fleet size up to which `LOAD_REPORT_SECONDS` holds. Beyond it the interval grows
in proportion to the number of hosts, so that the load on the hubs does not."""

FULL_REPORT_SECONDS = 2.0
"""Interval of full reports, which make up for lost messages."""

STALE_REPORT_SECONDS = 3.0
"""Age from which a report of another host or hub no longer counts as load."""

MAX_STATE_AGE_SECONDS = 2.5
"""Age up to which a hub's state of a server takes precedence over this host's
estimate."""

RISK_STEP = 0.05
"""Step to which the risk in messages is rounded; smaller changes are not worth a
message."""

AVOIDED_RISK = 0.5
"""Risk from which a server is reported and logged as avoided."""

RECOVERED_RISK = 0.3
"""Risk at or below which an avoided server counts as back in use."""

DRAIN_SIGNAL_SECONDS = 10.0
"""Time for which a server's drain signal holds without a change of its entry."""

MISDIRECTED_SECONDS = 5.0
"""Time for which a server is not used after its address answered for another server."""
