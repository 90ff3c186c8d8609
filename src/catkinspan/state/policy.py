"""Settings that services and routes inherit from their parent in the settings tree."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from attrs import Attribute, fields, frozen

from catkinspan.state.metadata import json_name, setting

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@frozen
class Policy:
    """Effective settings of a service or route after inheritance."""

    open: bool = setting(False, "", "Serve callers without a key.")
    idempotent_methods: frozenset[str] = setting(
        SAFE_METHODS, "", "Methods that may be retried or hedged."
    )
    idempotent: bool | None = setting(
        None,
        "",
        "Whether requests may be retried or hedged whatever their method; null to go "
        "by the method.",
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
    max_attempts: int = setting(3, "attempts", "Attempts, the first one included.")
    hedges: bool = setting(
        True,
        "",
        "Whether an idempotent request that takes long is sent to a second server.",
    )
    target_latency: timedelta | None = setting(
        None,
        "ms",
        "Time within which an answer is of full use; null for none.",
        "target_latency_ms",
    )
    priority: int = setting(1, "", "Rank when capacity is short; 0 is the most urgent.")
    max_body_bytes: int = setting(10 * 1024 * 1024, "bytes", "Largest request body.")
    hold_bytes: int = setting(
        256 * 1024, "bytes", "Responses up to this size are held until whole."
    )
    key_query_parameter: str | None = setting(
        None, "", "Query parameter that may carry the key; null for none."
    )
    retry_ratio: float = setting(
        0.1, "share", "Retries and hedges allowed for each first attempt."
    )


POLICY_FIELDS: Mapping[str, "Attribute[Any]"] = {
    json_name(attribute): attribute for attribute in fields(Policy)
}
"""Inheritable settings by JSON key."""
