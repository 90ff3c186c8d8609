"""Constants of the retries concern."""

RESERVE_RETRIES = 1.4
"""Retries in each window beside the ratio, so that a service with little traffic can
retry at all. The platform grants 56 to 60 a window for 32 to 40 hosts."""

WINDOW_SECONDS = 10
"""Span in which retries are compared with first tries. Nothing is saved up beyond it,
so that a whole fleet cannot spend the savings of a calm time at once."""

HEDGE_FLOOR = 0.3
"""Retries that hedges leave in the budget, because a retry answers a failure."""

BASE_BACKOFF_SECONDS = 0.001
"""Upper end of the wait before the second attempt."""

MAX_BACKOFF_SECONDS = 0.25
"""Longest wait between two attempts."""

LEAST_ATTEMPT_SECONDS = 0.02
"""Time that must be left before the deadline for another attempt."""
