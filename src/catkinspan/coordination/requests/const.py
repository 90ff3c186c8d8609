"""Constants of request handling."""

HEDGE_LATENCY_MULTIPLE = 2.0
"""Multiple of the expected latency after which an idempotent request is hedged; about
5% of healthy requests take longer."""

TRIAL_HEDGE_LATENCY_MULTIPLE = 1.5
"""The multiple for a trial of a high-risk server, which is likely to fail."""

MIN_HEDGE_DELAY_SECONDS = 0.02

DEADLINE_GRACE_SECONDS = 0.2
"""Time after the deadline within which a front end reports the end of its attempts."""

MAX_UNCOUNTED_CONNECT_ERRORS = 4
"""Connect errors that do not count towards the route's `max_attempts`, since no server
received the request."""

MIN_TRIAL_BUDGET = 1.5
"""Retries that the budget must exceed for a trial of a high-risk server."""

MAX_HOLD_SECONDS = 1.0
"""Maximum time that a request is held until the host has a configuration. A starting
host gets one within a few tenths of a second, sooner than a caller would retry."""

MAX_HOLD_DEADLINE_SHARE = 0.25
"""Maximum share of the caller's deadline that a request is held."""

MAX_HOLD_SECONDS_WITHOUT_DEADLINE = 0.5

MAX_CATCH_UP_HOLD_SECONDS = 0.3
"""Maximum time that a request which the settings in force do not allow is held while
newer settings are on their way. A pull takes a few milliseconds; a caller's retry at
another host costs a new connection."""
