"""Constants of the rate limits."""

from catkinspan.coordination.const import (
    REPORT_INTERVAL_SECONDS,
    STANDBY_REPORT_INTERVAL_SECONDS,
)

HUB_REPORT_MAX_AGE_SECONDS = 1.0
"""Age of the last report of a remote hub beyond which another one is counted."""

LEVELS_MAX_AGE_SECONDS = 0.45
"""Age up to which a host uses the levels of a hub: two reports. Beyond it the host goes
on with its own recent use. Until then it admits a workspace that is not short without
limit, so a longer time would exceed the bound if a burst comes with the loss."""

OWN_USE_WINDOW_SECONDS = 5.0
"""Window in which a host without levels limits its admissions."""

OWN_USE_AVERAGING_SECONDS = 30.0
"""Time constant of a host's own use. A client that sends a request every few seconds
stays in it."""

OWN_USE_MIN_SECONDS = 5.0
"""Shortest time over which the own use is averaged."""

OWN_USE_DEVIATIONS = 1.65
"""Standard deviations above the mean up to which the requests of a window are admitted.
The sum over the hosts that serve a workspace must stay below the bound of its rate."""

ASSUMED_FLEET_HOSTS = 64
"""Fleet size assumed by a host that knows of no other host. The store lists no
hosts, and a fleet that restarts at once must not admit a full burst on each host."""

SILENT_HOST_WEIGHT = 1.35
"""Weight of a silent host in the division of each rate, relative to a host that is
heard from. It goes on with its own use, which may be more than an even share."""

LOW_LEVEL_SHARE = 0.5
"""Share of the burst below which a hub sends the level of a workspace. A workspace that
it does not list is admitted without limit: what all hosts admit until the next report
fits into the margin of the rate window."""

LEVEL_HORIZON_SECONDS = 0.5
"""Time for which a reported level must last: two exchanges within a data centre and one
between data centres."""

HUB_LEVEL_BYTES_PER_SECOND = 24_000.0
"""Bytes that a hub sends on levels. With the budgets of the states of servers it stays
below a tenth of a link of 10 Mbit/s."""

LEVEL_BURST_SECONDS = 2.0
"""Time for which bytes that were not sent are kept. When many callers return at once,
most workspaces are short for a moment."""

LEVEL_BYTES = 30
"""Size of a level in a message, with a name of usual length."""

RESERVED_LEVEL_BYTES = 4
"""Size of the index of a reserved level in a message."""

LEVEL_REFRESH_SECONDS = 0.6
"""Age from which the level that hosts have is sent again before others, if not all fit
into the budget."""

LEVEL_KEPT_SECONDS = 1.2
"""Time for which a host uses a level that later messages leave out for want of budget:
two refreshes, so that one message may be lost."""

LEVEL_SYNC_SECONDS = 2.0
"""Time for which a new hub asks the other hubs for their levels and applies them. They
need the next roster to know it, and use of earlier seconds is refilled by then."""

MAX_SYNC_LEVELS = 250
"""Levels in an answer to a new hub, the lowest ones. Up to seven hubs answer at once,
which together takes a link of 10 Mbit/s for less than 50 ms."""

DEMAND_AVERAGING_SECONDS = 0.6
"""Time constant of the moving average of a workspace's demand."""

REPORT_AFTER_USE_SECONDS = 1.0
"""Time for which a workspace is reported after its last request. Several reports carry
the same counter, so the loss of one does no harm."""

HOST_USE_BYTES_PER_SECOND = 2_000.0
"""Bytes that a host sends to its primary hub on its use of rates. With the counts of
servers it stays below 6 KB/s. The reports to standby hubs have as much."""

REMOTE_USE_BYTES_PER_SECOND = 30_000.0
"""Bytes that a hub sends to all hubs of other data centres on the use of rates, as much
as on the counts of servers."""

USAGE_BYTES = 32
"""Size of a workspace's use in a message, with a name of usual length."""

RECENT_USE_SECONDS = STANDBY_REPORT_INTERVAL_SECONDS + REPORT_INTERVAL_SECONDS
"""Shortest time for which an admission counts as recent: the longest interval between
two reports to a standby hub. Earlier use reaches a hub late only if another hub counted
it, or if the sender was cut off and had a part of the rate of its own."""

IDLE_EXPIRY_SECONDS = 30.0
"""Time without use after which the state of a workspace is dropped. At any usual rate
its bucket is full again by then."""
