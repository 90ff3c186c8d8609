"""Constants of the balancing.

Costs are in units of the time that a server needs for one request.
"""

LOAD_COST = 0.3
"""Cost of a server whose slots are all taken, beside the wait for one of them. Some
servers slow down when they are nearly full."""

RISK_COST = 6.0
"""Cost of a certain failure for a request that may run only once: it is lost."""

USUAL_RISK = 0.12
"""Risk that costs nothing: that of a server of which little is known. With a cost from
zero on, requests crowd at the few servers that have just succeeded."""

IDEMPOTENT_RISK_COST = 1.5
"""The same for a request that a second server can still answer."""

REMOTE_COST = 0.4
"""Cost of a server in another data centre: its bytes have a price, and two passages."""

COLD_COST = 0.6
"""Cost of a server that has just started and is slow."""

STABLE_NOISE_COST = 0.35
"""Largest cost by the pair of host and server. Each host prefers some of the servers,
so that its connections to them are used again."""

RANDOM_NOISE_COST = 0.2
"""Largest random cost. Hosts hear of the load with a delay, and would all choose the
same server without it."""

TRIAL_SHARE = 0.35
"""Share of the idempotent requests that may go to a doubtful server, to find out
whether its bad phase is over. A second server answers if it is not."""

TRIAL_RISK = 0.2
"""Risk from which a server needs such trials."""

TRIAL_IN_FLIGHT = 1
"""Requests in flight at a server from which it gets no further trial."""
