"""Highest random weight hashing (Thaler and Ravishankar, 1996)."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from heapq import nlargest
from typing import TypeVar

import xxhash

Member = TypeVar("Member", bound=str)

_CACHED_WEIGHTS = 1 << 16


@lru_cache(maxsize=_CACHED_WEIGHTS)
def weight(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a name."""
    return xxhash.xxh64_intdigest(f"{key}\x00{member}".encode())


def owner(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member with the highest weight, or None without members."""
    return max(members, key=lambda member: (weight(key, member), member), default=None)


def ranked(key: str, members: Sequence[Member], count: int) -> list[Member]:
    """Return the `count` members with the highest weights, highest first."""
    return nlargest(count, members, key=lambda member: (weight(key, member), member))
