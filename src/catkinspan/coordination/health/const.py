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
"""Minimum interval of load reports and of the hubs' replies while there are changes. A
server runs a request for 0.1 to 0.2 s, so older reports would describe requests that
have ended."""

REMOTE_LOAD_REPORT_SECONDS = 0.1
"""Minimum interval of load reports between data centres. It is longer because this
traffic is billed and most requests stay within their own data centre."""

MINOR_STATE_SECONDS = 0.5
"""Minimum interval at which followers get changes of load that hardly matter to the
choice of servers: of servers in other data centres, or below the number of slots."""

HUB_REPORTS_PER_SECOND = 400
"""Reports that a hub receives from its data centre; more hosts report less often. At
0.05 ms of processor time a report this is 2 % of a core."""

HUB_LOAD_BYTES_PER_SECOND = 48_000.0
"""Bytes that a hub sends on loads and falling risks. With the other budgets it leaves a
quarter of a tenth of a link of 10 Mbit/s to rosters, rates and configuration."""

HUB_URGENT_BYTES_PER_SECOND = 16_000.0
"""Bytes that a hub sends on risks that have risen. They have a budget of their own, so
that load reports do not delay them."""

HUB_CATCH_UP_BYTES_PER_SECOND = 30_000.0
"""Bytes that a hub sends to followers that have missed states. Under load the reports
to all followers use up their own budget at each interval."""

REMOTE_COUNT_BYTES_PER_SECOND = 30_000.0
"""Bytes that a hub sends to the primary hubs of other data centres."""

REMOTE_STANDBY_COUNT_BYTES_PER_SECOND = 10_000.0
"""Bytes that a hub sends to their standby hubs, which use the counts after a failure
only. The budget is separate, so that these do not delay the primary hubs' reports."""

REPEATED_COUNT_BYTES_PER_SECOND = 10_000.0
"""Bytes that a hub sends to the primary hubs to repeat recent changes."""

COUNT_BYTES_PER_SECOND = 2_000.0
"""Bytes that a host sends on its counts to each hub; the target for all control traffic
of a host is 6 KB a second."""

URGENT_COUNT_BYTES_PER_SECOND = 1_000.0
"""Bytes that a host sends on failures before the next report is due."""

MESSAGE_BYTES = 100
"""Size of an empty message with the headers of frame, UDP and IP."""

STATE_BYTES = 8
"""Size of a server state in a message."""

COUNTS_BYTES = 32
"""Size of the counts of a server in a message."""

COMPRESSED_COUNTS_BYTES = 18
"""Size of the counts of a server in a large message, which is compressed."""

MIN_COMPRESSED_COUNTS = 40
"""Counts from which a message is compressed."""

MAX_STATES_PER_MESSAGE = 120
"""States that fit into one datagram."""

MIN_STATES_PER_MESSAGE = 12
"""States from which at least half of a message are states, not headers."""

STATES_INTERVAL_SECONDS = 0.2
"""Interval of messages with states that a hub aims at under load. What does not fit is
left for the next one; a shorter interval would spend the budget on headers."""

RISK_WEIGHT = 6.0
"""Weight of a risk beside one request in flight, in the order of sending. It is that of
a certain failure in the choice of servers."""

KEEPALIVE_SECONDS = 1.0
"""Interval of messages to followers while no state changes. Without any the followers
would take the hub for silent and use their own estimates."""

CATCH_UP_RETRY_SECONDS = 0.3
"""Interval at which a follower asks for states that it has missed."""

CLOCK_DRIFT_PER_SECOND = 0.001
"""Drift of the clocks of two hosts in seconds, above what computers' clocks have."""

URGENT_RISK_INCREASE = 0.2
"""Increase of a risk from which it is sent at once; it outweighs a busy slot in the
choice of servers."""

LOAD_RECOUNT_SECONDS = 1.0
"""Interval at which the load is counted anew, without hosts that stopped reporting."""

FULL_REPORT_SECONDS = 2.0
"""Interval of reports that repeat recent changes, to make up for lost messages."""

REPEATED_SECONDS = 4.0
"""Age of the changes that such a report repeats, so that each one is repeated."""

RECENT_COUNTS_SECONDS = REPEATED_SECONDS
"""Period of the counts that are evidence for a hub that did not follow their sender: it
covers the reports that were lost, not failures of before."""

AVOIDED_CHECK_SECONDS = 0.5
"""Interval at which avoided servers are checked, since their risk decays."""

STALE_REPORT_SECONDS = 3.0
"""Age from which a report of another host or hub no longer counts as load."""

MAX_STATE_AGE_SECONDS = 2.5
"""Age of a hub's latest message up to which its states take precedence over this host's
estimates."""

NEGLIGIBLE_RISK = 0.12
"""Risk below which differences do not matter to the choice of servers."""

RISK_STEP = 0.05
"""Step to which the risk in messages is rounded; smaller changes are not worth a
message."""

AVOIDED_RISK = 0.5
"""Risk from which a server is reported and logged as avoided."""

RECOVERED_RISK = 0.3
"""Risk at or below which an avoided server counts as back in use."""

MAX_DEPARTURES = 4_096
"""Servers of which a host remembers that they announced to leave."""

MAX_PAUSE_SECONDS = 120.0
"""Longest pause that a server can ask for. A faulty value would otherwise keep it out
of use for good."""

MISDIRECTED_SECONDS = 5.0
"""Time for which a server is not used after its address answered for another server."""
