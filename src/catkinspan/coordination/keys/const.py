"""Constants of the keys."""

PREFIX_BYTES = 8
"""Bytes of the digest that select the entries to compare."""

SHOWN_DIGEST_CHARS = 12
"""Hexadecimal digits of a digest in events and logs."""

MAX_WITHDRAWN = 10_000
"""Withdrawn digests remembered, to tell a withdrawn key from an unknown one."""

MAX_KEY_EVENTS = 100
"""Events of single keys for one revision; a larger change has one summary."""
