"""Constants of retry budgets and backoff."""

BASE_RETRIES_PER_WINDOW = 1.4
"""Maximum of the retries allowed on each host per window in addition to the ratio, so
that a service with little traffic can retry at all."""

USED_SLACK_SHARE = 0.9
"""Share of the fleet's retries beyond the ratio that the hosts divide. The rest is a
margin for hosts that count the fleet differently."""

WINDOW_SECONDS = 10
"""Sliding window over which retries are limited to a ratio of first attempts. Unused
budget expires with it, so that the fleet cannot spend the budget of a quiet period in
one burst."""

MIN_BUDGET_AFTER_HEDGE = 0.3
"""Retries that must remain in the budget after a hedge, reserved for retries of failed
attempts."""

BASE_BACKOFF_SECONDS = 0.001
"""Maximum backoff before the second attempt; it doubles with each further attempt."""

MAX_BACKOFF_SECONDS = 0.25

MIN_ATTEMPT_SECONDS = 0.02
"""Minimum time that must remain until the deadline for another attempt to start."""
