"""Constants of the slots concern."""

FIRST_LEASE_SECONDS = 0.5
"""Life of a new lease until the holder renews it. It is short because a grant may be
lost on a one-way path, and its slot would stay idle for this time."""

LEASE_SECONDS = 5.0
"""Life of a renewed lease on the dispatcher's clock."""

RENEW_SHARE = 0.5
"""Share of a lease's life after which the holder renews it."""

IDLE_SECONDS = 1.0
"""Time for which a host keeps an idle leased slot ahead of demand."""

KEEP_SHARE = 0.25
"""Share of the slots that must be free for a host to keep a slot after its request."""

ANSWER_SECONDS = 0.04
"""Longest wait for the dispatcher's first answer to an ask."""

UNANSWERED_LIMIT = 2
"""Unanswered asks in a row after which a host falls back to direct choice."""

FALLBACK_SECONDS = 1.0
"""Time in fallback between two probes of the dispatcher."""

REASK_SECONDS = 1.0
"""Time between repeated asks for a queued request, in case an answer was lost."""

SILENCE_SECONDS = 0.15
"""Time without any answer after which queued requests are asked for again, because
the dispatcher may have been replaced or paused."""

TICKETS_PER_WORKSPACE = 4
"""Requests of one workspace for which a host asks at once. The rest waits on the host,
so that one workspace cannot flood the dispatcher's inbox."""

SMALL_FLEET_HOSTS = 200
"""Largest fleet whose hosts may ask for each request."""

SMALL_FLEET_ASKS = 300.0
"""Asks a second of a host in a small fleet."""

LARGE_FLEET_ASKS = 3.0
"""Asks a second of a host in a large fleet: about 1.2 KB/s with answers and returns."""

RETRY_SHARE = 0.5
"""Share of the ask budget that is kept for requests which a server has shed."""

CAREFUL_SECONDS = 1.0
"""Longest time in which a new dispatcher uses half of each server's slots, rounded up,
because its predecessor may still lease. The predecessor uses the other half."""

REPORT_SECONDS = 0.1
"""Time in which hosts report their leases to a new dispatcher. Without a predecessor
that still leases, it uses all slots after this time."""

ROLE_RETRY_SECONDS = 0.2
"""Time for which a host asks the former dispatcher, when the new one does not know of
its role yet."""

TRIAL_SECONDS = 0.25
"""Least time between two requests to a server on trial."""

LOAN_SECONDS = 1.0
"""Life of a loan between dispatchers."""

LOAN_MARGIN_SECONDS = 0.2
"""Rest of a loan's life in which no new request starts on it."""

SHED_SECONDS = 0.05
"""Time for which a server gets no lease after it shed a leased request. The slot is
then in use by someone that the dispatcher does not know of."""

LOAN_GAP_SECONDS = 0.005
"""Least time between two requests for a loan to one dispatcher."""

LOAN_BACKOFF_SECONDS = 0.1
"""Time before a dispatcher that had nothing to lend is asked again."""

LOAN_HYSTERESIS = 0.1
"""Share by which a dispatcher must be short before one with a queue lends to it."""

MAX_LOAN = 8
"""Most slots in one loan."""

MAX_PARTNERS = 3
"""Dispatchers of other data centres that one dispatcher borrows from."""

MAX_REPORTED_WORKSPACES = 16
"""Workspaces named in a request for a loan; the smaller ones are left out."""

MIN_CONNECTIONS = 2
"""Least connections to a server for each host that uses it."""

LEAST_DIRECT = 2.0
"""Requests of a service that a host may always run at once without a lease, while its
dispatcher answers; in fallback it is one."""

DIRECT_STEP = 0.05
"""Requests by which a served request raises the limit of those without a lease."""

DIRECT_BACKOFF = 0.7
"""Factor on that limit after a shed one. With the step, a limit of 2 is in balance at
about one shed in twelve requests."""

DEFAULT_MAX_QUEUE = 200
"""Queue bound for a service without settings."""
