"""Decoding of inherited settings and their resolution through the tree."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from attrs import Attribute, evolve, frozen

from catkinspan.protocol.settings.reader import MAX_DURATION_MS, ObjectReader
from catkinspan.state.policy import POLICY_FIELDS, Policy

_NUMBER_RANGES: Mapping[str, tuple[float, float]] = {
    "max_attempts": (1, 10),
    "max_body_bytes": (0, 1 << 40),
    "hold_bytes": (0, 64 << 20),
    "priority": (0, 100),
    "retry_ratio": (0.0, 1.0),
}
_NULLABLE = frozenset({"target_latency_ms", "key_query_parameter", "idempotent"})
_DURATION_REMEDY = f"write milliseconds from 1 to {MAX_DURATION_MS}"
DEFAULT_ORIGIN = "default"


@frozen
class InheritedPolicy:
    """Settings at one level of the tree, with the level that sets each value."""

    policy: Policy = Policy()
    origins: Mapping[str, str] = dict.fromkeys(POLICY_FIELDS, DEFAULT_ORIGIN)


def read_policy(
    reader: ObjectReader, parent: InheritedPolicy, level: str
) -> InheritedPolicy:
    """Return the parent's settings with the changes of this level.

    Null resets an optional setting; settings that are not present are inherited.
    """
    changes: dict[str, Any] = {}
    origins = dict(parent.origins)
    for name in reader.member_names():
        attribute = POLICY_FIELDS.get(name)
        if attribute is None:
            continue
        inherited = getattr(parent.policy, attribute.name)
        changes[attribute.name] = _read_setting(reader, name, attribute, inherited)
        origins[name] = level
    reader.check_unread()
    return InheritedPolicy(evolve(parent.policy, **changes), origins)


def _read_setting(
    reader: ObjectReader, name: str, attribute: "Attribute[Any]", inherited: Any
) -> Any:
    if reader.raw_value(name) is None:
        if name not in _NULLABLE:
            reader.add_fault(
                name, "null is not allowed", "remove it to inherit the value"
            )
        return None if name in _NULLABLE else inherited
    if name.endswith("_ms"):
        return reader.convert(name, inherited, _parse_duration, _DURATION_REMEDY)
    if name == "idempotent_methods":
        return frozenset(method.upper() for method in reader.strings(name))
    if name == "key_query_parameter":
        return reader.string(name)
    if name == "idempotent" or isinstance(attribute.default, bool):
        return reader.boolean(name, bool(inherited))
    low, high = _NUMBER_RANGES[name]
    if isinstance(attribute.default, int):
        return reader.integer(name, inherited, int(low), int(high))
    return reader.number(name, inherited, low, high)


def _parse_duration(value: Any) -> timedelta:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(value)
    if not 1 <= value <= MAX_DURATION_MS:
        raise ValueError(value)
    return timedelta(milliseconds=value)


def format_setting(value: object) -> object:
    """Return the JSON representation of a setting's value."""
    if isinstance(value, timedelta):
        return round(value.total_seconds() * 1000, 3)
    if isinstance(value, frozenset):
        return sorted(value)
    return value
