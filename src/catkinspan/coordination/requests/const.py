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

HOLD_SECONDS = 1.0
"""Longest wait of a request for the first configuration of the host. A host that
starts gets it within a few tenths of a second, sooner than a caller would return."""

HOLD_SHARE = 0.25
"""Part of the caller's time that this wait may take."""

HOLD_WITHOUT_DEADLINE_SECONDS = 0.5
