"""Sizes of the messages on servers, for their byte budgets."""

from catkinspan.coordination.health.const import (
    COMPRESSED_COUNTS_BYTES,
    COUNTS_BYTES,
    MESSAGE_BYTES,
    MIN_COMPRESSED_COUNTS,
    STATE_BYTES,
)


def states_size(states: int, receivers: int) -> int:
    """Return the bytes of a message of server states to all receivers."""
    return (MESSAGE_BYTES + STATE_BYTES * states) * receivers


def counts_size(counts: int, receivers: int) -> int:
    """Return the bytes of a message of request counts to all receivers."""
    is_compressed = counts >= MIN_COMPRESSED_COUNTS
    size = COMPRESSED_COUNTS_BYTES if is_compressed else COUNTS_BYTES
    return (MESSAGE_BYTES + size * counts) * receivers
