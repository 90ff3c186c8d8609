"""Text helpers for operator output."""

import re

_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


def pluralize(count: int, noun: str) -> str:
    """Return a count with its noun, such as ``2 hosts``."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def event_kind(instance: object) -> str:
    """Return an event's class name in snake case, such as ``server_avoided``."""
    return _WORD_START.sub("_", type(instance).__name__).lower()
