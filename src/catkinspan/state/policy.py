"""Settings that services and routes inherit from their parent in the tree."""

from collections.abc import Mapping
from datetime import timedelta
from enum import StrEnum
from typing import Any

from attrs import Attribute, fields, frozen

from catkinspan.state.metadata import json_name, setting

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class HealthProfile(StrEnum):
    """Trade-off between detection time and false ejections."""

    CAUTIOUS = "cautious"
    BALANCED = "balanced"
    FAST = "fast"


@frozen
class Policy:
    """Effective settings of a service or route, after inheritance."""

    open: bool = setting(False, "", "Serve callers without a key.")
    idempotent_methods: frozenset[str] = setting(
        SAFE_METHODS, "", "Methods that may be retried or hedged."
    )
    deadline: timedelta = setting(
        timedelta(seconds=10), "ms", "Longest time for a whole request.", "deadline_ms"
    )
    attempt_timeout: timedelta = setting(
        timedelta(seconds=3),
        "ms",
        "Longest wait for the response head of one attempt.",
        "attempt_timeout_ms",
    )
    queue_timeout: timedelta = setting(
        timedelta(seconds=1), "ms", "Longest wait for a slot.", "queue_timeout_ms"
    )
    max_attempts: int = setting(3, "attempts", "Attempts, the first one included.")
    hedge_after: timedelta | None = setting(
        None,
        "ms",
        "Wait before a second attempt of an idempotent request; null for none.",
        "hedge_after_ms",
    )
    run_unclaimed: bool = setting(
        False,
        "",
        "Run requests with an Idempotency-Key without a check just after a restart of "
        "the fleet; only for upstreams that recognise the key themselves.",
    )
    max_body_bytes: int = setting(10 * 1024 * 1024, "bytes", "Largest request body.")
    hold_bytes: int = setting(
        256 * 1024, "bytes", "Responses up to this size are held until whole."
    )
    key_query_parameter: str | None = setting(
        None, "", "Query parameter that may carry the key; null for none."
    )
    healthy_floor: float = setting(
        0.7, "share", "Share of the published servers that ejections must leave."
    )
    health_profile: HealthProfile = setting(
        HealthProfile.BALANCED, "", "Weight of detection time against false ejections."
    )
    retry_ratio: float = setting(
        0.1, "share", "Retries and hedges allowed for each first attempt."
    )
    max_queue: int = setting(
        200, "requests", "Longest queue for slots of a service on one dispatcher."
    )


POLICY_FIELDS: Mapping[str, "Attribute[Any]"] = {
    json_name(attribute): attribute for attribute in fields(Policy)
}
"""Inherited settings by their name in JSON."""
