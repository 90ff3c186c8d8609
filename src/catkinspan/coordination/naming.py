"""Words in operators' output."""

import re

_WORD_START = re.compile(r"(?<=[a-z0-9])(?=[A-Z])")


def pluralize(count: int, noun: str) -> str:
    """Return a count with its noun, as in ``2 hosts``."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def event_kind(instance: object) -> str:
    """Return the class name in lower case, as in ``server_ejected``."""
    return _WORD_START.sub("_", type(instance).__name__).lower()
