"""Constants of server selection.

Costs are in units of the service time of one request.
"""

FULL_LOAD_COST = 0.3
"""Cost of a server whose slots are all busy, in addition to the wait for a slot. Some
servers slow down when they are nearly full."""

FAILURE_COST = 6.0
"""Cost of a certain failure for a non-idempotent request, which is lost."""

BASELINE_RISK = 0.2
"""Risk without cost. It is above the value to which the risk of a server without
requests decays (1/6), since otherwise such a server would get no requests while any
other has just succeeded, and it is the least risk of trials."""

IDEMPOTENT_FAILURE_COST = 1.5
"""Cost of a certain failure for an idempotent request, which a second server can still
answer."""

REMOTE_DATA_CENTRE_COST = 0.4
"""Cost of a server in another data centre: traffic between data centres is billed and
crosses the link twice."""

COLD_START_COST = 0.6
"""Cost of a recently started server, which is still slow."""

MAX_AFFINITY_COST = 0.35
"""Maximum of the fixed cost of each pair of host and server, by which a host prefers
some of the servers and reuses its connections to them."""

MAX_RANDOM_COST = 0.2
"""Maximum random cost. Load reports arrive with a delay, and without a random cost all
hosts would choose the same server."""

MAX_COMPARED_SERVERS = 4
"""Servers of the own data centre, and as many of the others, whose loads a choice
compares. Loads are about as old as a request takes; the more servers each host
compares, the more requests of the fleet the one with the best report gets."""

MAX_EXAMINED_SERVERS = 8
"""Servers of the own data centre, and as many of the others, among which a choice looks
for the compared ones, which are to be of low risk."""

MIN_CONNECTIONS_PER_HOST = 2
"""Connections that a host may open to a server in a fleet of any size: one with a
request and an idle one. A host may also fill all slots of a server by itself. So many
hosts that use one server at once can exceed its limit together."""

TRIAL_SHARE = 0.35
"""Share of the eligible idempotent requests sent to a high-risk server, to find out
whether it has recovered. A second server answers the request if it has not."""

MAX_COMPARED_TRIALS = 3
"""High-risk servers among which a trial goes to the one that was unused for longest.
All hosts together would choose the same one of many."""

MIN_TRIAL_RISK = BASELINE_RISK
"""Risk from which a server is high-risk and gets trials."""

TRIAL_IN_FLIGHT_LIMIT = 1
"""Requests in flight at which a server gets no further trial."""

TRIAL_WAIT_SECONDS = 1.0
"""Time after which requests in flight no longer prevent a trial. They hang, or news of
their end is missing, and a server is to be in use 2 s after it has recovered."""

TRIALS_PER_SECOND = 5.0
"""Limit of the trials of a high-risk server by requests of the whole fleet that cannot
be hedged, at a risk of zero. Hedged trials use up the retry budget when much fails, and
some services get no idempotent requests."""

TRIAL_RISK_EXPONENT = 2.0
IDEMPOTENT_TRIAL_RISK_EXPONENT = 1.0
"""Exponents of the probability that a server is not in a bad phase, in the share of the
requests without a hedge that are sent there as trials. The caller can repeat an
idempotent request."""

MAX_TRIAL_CREDIT = 2.0
"""Trials that a host without requests may save up."""
