"""Constants of the health concern."""

DIGEST_SECONDS = 0.1
"""Least time between two digests of one host for one service."""

DIGESTS_PER_SECOND = 8.0
DIGEST_BURST = 16.0
MAX_DIGEST_ENTRIES = 8
MAX_EVIDENCE_ENTRIES = 24

REPORT_SECONDS = 30.0
"""Time between two reports of clock and rates to an assessor."""

MAX_REPORT_AGE_SECONDS = 70.0
"""Age at which a report's clock and rates are no longer used."""

RATE_CHECK_SECONDS = 1.0
RATE_CHANGE = 2.0
"""Change of a host's rate that calls for a report ahead of time."""

ARBITERS = 2
"""Assessors of a service that pool the evidence of all data centres."""

TAKEOVER_SECONDS = 0.4
"""Wait of the second arbiter, so that the first usually acts alone."""

VOTERS_PER_DATA_CENTRE = 3
VOTING_DATA_CENTRES = 3
PERMIT_SECONDS = 24.0
REFRESH_SECONDS = 8.0
RESEND_SECONDS = 0.5
"""Second sending of a changed verdict, for the case that the first was lost."""

PERMIT_RETRY_SECONDS = 0.3
CLOCK_MARGIN = 0.05
"""Share of a lease given up for clocks that run at different rates."""

JUDGE_SECONDS = 0.5
"""Longest time between two judgements while evidence is held."""

EXPIRY_SECONDS = 0.25
"""Time between two checks for what has expired."""

SLOW_RATIO = 4.0
"""Latency over the reference of the request class that counts as slow."""

STALL_RATIO = 12.0
STALL_MIN_SECONDS = 0.4
STALL_UNKNOWN_SECONDS = 1.5
"""Age of an attempt that counts as stalled while its class has no reference."""

COLD_STALL_FACTOR = 4.0
"""Longer wait before an attempt at a cold server counts as stalled."""

STALL_REPEAT_SECONDS = 0.5
REFERENCE_SAMPLES = 20
"""Samples of a class before its reference is used."""

MAX_CLASSES = 64
MAX_OPEN_ATTEMPTS = 20_000
CLASS_FAULT_RATE = 0.1
CLASS_FAILURES = 8
"""Last failures of a class that show whether one server or the class is at fault."""

RATE_SECONDS = 5.0
"""Time constant of the observed sample rates."""

PEER_RATE_SECONDS = 10.0
"""Time constant of the failure rates that servers are compared by."""

PEER_SCORE_FACTOR = 1.5
"""Multiple of the peers' median score that is taken off a server's own score."""

SCORE_CAP = 3.0
"""Largest score as a multiple of the ejection threshold."""

COLD_SECONDS = 15.0
"""Time in which a newly published server is not judged by its latency."""

SLOW_START_SECONDS = 10.0
SLOW_START_SHARE = 0.1
TRIALS_PER_SECOND = 4.0
"""Trial requests to a returning server, over all hosts."""

TRIAL_SUCCESSES = 6
TRIAL_FAILURES = 2
TRIAL_REPORT_SECONDS = 0.5
MAX_TRIAL_SECONDS = 60.0
"""Longest trial; a service without idempotent requests yields no evidence."""

PATH_CONFIRM_SECONDS = 1.5
"""Wait before a data centre avoids a server, since an ejection may follow."""

PATH_THRESHOLD_SHARE = 0.75
BAD_PATH_SECONDS = 120.0
"""Time that a data centre's bad path keeps its evidence out of the pool."""

WATCH_SECONDS = 3.0
"""Time that hosts report the successes of a suspect, unless it is renewed."""

WATCH_RENEW_SECONDS = 1.5
QUIET_SECONDS = 0.7
"""Least time without a success after which a watched server counts as quiet."""

QUIET_ATTEMPTS = 6.0
"""Attempts that would have been expected while it was quiet."""

HOME_QUIET_ATTEMPTS = 20.0
"""Attempts that must lack a success before evidence of the server's own data centre
suffices alone. With attempts spread evenly over three data centres, a server that the
two others reach stays without a success in one of 600,000 such spans."""

HELD_EVENT_SECONDS = 60.0
MAX_HOLD_SECONDS = 300.0
FORGIVE_SECONDS = 600.0
"""Time without ejection after which earlier ejections no longer count."""

AVOID_SECONDS = 3.0
MAX_AVOID_SECONDS = 60.0
LOCAL_THRESHOLD = 7.0
DRAIN_SECONDS = 30.0
"""Time that a drain signal holds unless it is repeated or the list confirms it."""

DRAIN_RESEND_SECONDS = (0.3, 1.0)
MAX_REPORTED_HOSTS = 3
