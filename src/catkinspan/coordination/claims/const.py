"""Constants of the claims."""

WINDOW_SECONDS = 60.0
"""A resend that begins within this time of the first one cannot run twice."""

PROMISE_SECONDS = 63.0
"""Time that a holder keeps a promise: the window, the time-out of a claim and 4%
for clocks that run at different rates."""

LIST_SPREAD_SECONDS = 15.0
"""Longest time for a published host list to be in force on every serving host."""

ABSTAIN_SECONDS = 95.0
"""Time that a holder abstains after a start or a pause. It covers the promises of
the earlier life, and two spreads of a host list for `HolderHistory`."""

ABSTAIN_PAUSE_SECONDS = 5.0
"""Pauses up to this time do not make a holder abstain: it still has its promises, and
its host list is younger than `LIST_SPREAD_SECONDS`. A shorter limit would let a stall
of a busy host cost `ABSTAIN_SECONDS`."""

LIST_MEMORY_SECONDS = 95.0
"""Time that a replaced host list still takes part in claims: `PROMISE_SECONDS` and
two spreads of a list."""

HOLDERS = 5
"""Holders of each claim; a majority of three outlives two failures."""

CLAIM_GROUPS = 512
"""Claims of one group share their holders, so that these are computed rarely."""

MAX_LISTS = 16
"""Host lists remembered; with more changes in the memory time claims are refused."""

MAX_HOLDER_SETS = 4
"""Holder sets that one claim may need a majority of."""

PAUSE_GUARD_SECONDS = 1.0
"""Time after a pause in which claims are refused: requests that waited unread in a
socket are of unknown age, possibly older than the window."""

CLAIM_TIMEOUT_SECONDS = 0.5
ASK_AGAIN_SECONDS = 0.15
REFRESH_SECONDS = 20.0
"""Interval at which a request that still runs renews its promises."""

RELEASE_REPEATS = 2
"""Repetitions of each release, since a lost one blocks the resend for a window."""

MAX_PROMISES = 20_000
MAX_PROMISES_PER_WORKSPACE = 4_000
MAX_OWN_CLAIMS_PER_WORKSPACE = 2_000
DIGEST_BYTES = 16
REQUEST_DIGEST_BYTES = 8
