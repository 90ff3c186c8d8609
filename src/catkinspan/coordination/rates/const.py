"""Constants of the rate limits."""

HUB_REPORT_MAX_AGE_SECONDS = 1.0
"""Age up to which the levels of a hub are used; beyond it the host admits only its
share of the rate. A remote hub is not counted after the same time without a report."""

ASSUMED_FLEET_HOSTS = 64
"""Fleet size assumed by a host that knows of no other host. The store lists no
hosts, and a fleet that restarts at once must not admit a full burst on each host."""

LOW_LEVEL_SHARE = 0.5
"""Share of the burst below which a hub sends the level of a workspace. A workspace that
it does not list is admitted without limit: what all hosts admit until the next report
fits into the margin of the rate window."""

LEVEL_HORIZON_SECONDS = 0.5
"""Time for which a reported level must last: two exchanges within a data centre and one
between data centres."""

DEMAND_AVERAGING_SECONDS = 0.6
"""Time constant of the moving average of a workspace's demand."""

REPORT_AFTER_USE_SECONDS = 1.0
"""Time for which a workspace is reported after its last request. Several reports carry
the same counter, so the loss of one does no harm."""

IDLE_EXPIRY_SECONDS = 30.0
"""Time without use after which the state of a workspace is dropped. At any usual rate
its bucket is full again by then."""
