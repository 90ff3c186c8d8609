"""Constants of the callers' keys."""

DIGEST_PREFIX_BYTES = 8
"""Leading bytes of a digest by which the index selects the entries to compare."""

SHOWN_DIGEST_CHARS = 12
"""Hexadecimal digits of a digest shown in events and logs."""

MAX_WITHDRAWN_DIGESTS = 10_000
"""Withdrawn digests remembered to tell a withdrawn key from an unknown one."""

MAX_KEY_EVENTS = 100
"""Maximum number of events per revision that name one key each; a larger change emits a
summary event instead."""
