"""Constants of the health."""

START_RISK = 0.1
"""Risk of a server of which nothing is known."""

LEAST_RISK = 0.01
MOST_RISK = 0.95
"""With this bound three successes in a row bring a server back below one in three."""

GOOD_TO_BAD_PER_SECOND = 0.02
BAD_TO_GOOD_PER_SECOND = 0.1
"""Rates at which servers enter and leave bad phases of about ten seconds; the risk
drifts between its bounds by them while there is no evidence."""

SUCCESS_FACTOR = 0.3
"""Change of the odds by a success in time. A server in a bad phase still serves one
request in three or four."""

FAILURE_FACTOR = 10.0
"""Change of the odds by a failure or an overdue request of any host."""

OWN_FAILURE_FACTOR = 5.0
"""The same for what this host saw by itself: a bad path from here, while the rest of
the fleet reaches the server."""

OVERDUE_FACTOR = 2.5
"""Multiple of the usual latency after which a request counts as overdue; about 2 of
100 healthy requests take longer."""

LEAST_OVERDUE_SECONDS = 0.06
USUAL_SHARE_OF_TARGET = 0.28
"""Usual latency as a share of the target, until enough requests were seen."""

USUAL_WITHOUT_TARGET_SECONDS = 0.2
PRIOR_SAMPLES = 8.0
"""Weight of that assumption, in requests."""

LATENCY_MEMORY_SAMPLES = 60.0
"""Requests over which the usual latency is averaged."""

MAX_LATENCY_CLASSES = 20_000

LOAD_SECONDS = 0.05
"""Interval of reports of the load, and of the hubs' answers, while there is news. A
server runs a request for one to two tenths of a second, so that older news of its load
would be of requests that have ended."""

REMOTE_LOAD_SECONDS = 0.1
"""The same between data centres, where bytes have a price and most requests stay
within their own."""

LOAD_HOSTS = 40
"""Hosts of the fleet up to which that interval holds; with more it grows with them, so
that the hubs' work does not."""

FULL_SECONDS = 2.0
"""Interval of whole reports, which repair what was lost."""

STALE_SECONDS = 3.0
"""Age from which a report of another host or hub no longer counts as load."""

FLEET_FRESH_SECONDS = 2.5
"""Age up to which the hub's view of a server goes before the own one."""

RISK_STEP = 0.05
"""Change of a risk that is worth a message."""

AVOIDED_RISK = 0.5
"""Risk from which a server is shown and logged as avoided."""

BACK_RISK = 0.3
"""Risk below which an avoided server counts as back."""

DRAIN_SECONDS = 10.0
"""Time for which a server's own drain signal holds without a change of its entry."""

GONE_SECONDS = 5.0
"""Time for which a server is left out whose address answers for another server."""
