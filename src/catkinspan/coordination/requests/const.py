"""Constants of the requests."""

HEDGE_AFTER_USUAL = 2.0
"""Multiple of the usual latency after which a second server gets an idempotent
request; about 5 of 100 healthy requests take longer."""

TRIAL_HEDGE_AFTER_USUAL = 1.5
"""The same for a request at a doubtful server, which is likely to fail."""

LEAST_HEDGE_SECONDS = 0.02
"""Shortest wait before a second attempt."""

MAX_UNCONNECTED = 4
"""Attempts without a connection that do not count against the route's attempts, since
no server got the request."""

TRIAL_BUDGET = 1.5
"""Retries that must be left in the budget for a trial of a doubtful server."""
