"""Constants of the retries concern."""

RESERVE_RETRIES = 1.0
"""Retries that a service's budget holds at the start, so that a service with little
traffic can retry at all. The reserve is not refilled by time, which bounds the excess
over the ratio to one retry for each host and service."""

MAX_SAVED_RETRIES = 10.0
"""Retries that a host may save up for one service, which bounds a burst of them."""

HEDGE_FLOOR = 1.0
"""Retries that hedges leave in the budget, because a retry answers a failure."""

NOT_RUN_COST = 0.25
"""Part of a retry that is charged for an attempt that provably did not run. It loads
the upstream with a refusal only, but without any charge an overloaded upstream would
get every request `max_attempts` times."""

BASE_BACKOFF_SECONDS = 0.001
"""Upper end of the wait before the second attempt."""

MAX_BACKOFF_SECONDS = 0.25
"""Longest wait between two attempts."""

LEAST_ATTEMPT_SECONDS = 0.02
"""Time that must be left before the deadline for another attempt."""
