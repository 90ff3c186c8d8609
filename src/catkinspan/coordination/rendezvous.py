"""Rendezvous (highest random weight) hashing, Thaler and Ravishankar, 1996."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from heapq import nlargest
from typing import TypeVar

import xxhash

Member = TypeVar("Member", bound=str)

_WEIGHT_CACHE_SIZE = 1 << 16


@lru_cache(maxsize=_WEIGHT_CACHE_SIZE)
def weight(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    return xxhash.xxh64_intdigest(f"{key}\x00{member}".encode())


def owner(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member with the highest weight, None if there are no members."""
    return max(members, key=lambda member: (weight(key, member), member), default=None)


def ranked(key: str, members: Sequence[Member], count: int) -> list[Member]:
    """Return the `count` members with the highest weights, highest first."""
    return nlargest(count, members, key=lambda member: (weight(key, member), member))
