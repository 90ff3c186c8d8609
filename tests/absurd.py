"""Strategies for frames of well-formed peer messages with absurd values."""

from collections.abc import Mapping
from enum import Enum
from types import UnionType
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

import attrs
from hypothesis import strategies as st

from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import PeerMessage

KNOWN_NAMES = (
    *("host-1", "host-2", "host-3", "perth-1"),
    *("catalogue", "catalogue-1", "studio", "127.0.0.1"),
)
LARGE = (2**31, 2**53, 10**12)
OUT_OF_BOUNDS = (-1, -(2**63), 2**53 + 1, 2**64 - 1, 1e13, 1e308, -1.0)
OTHER_TYPES = ("nan", "-inf", "7", True, None, [], {}, "9" * 400)

names = st.sampled_from(KNOWN_NAMES) | st.text(max_size=4)
whole = st.sampled_from((0, 1, 2, 40, 1000, *LARGE)) | st.integers(0, 100)
decimal = st.sampled_from((0.0, 5e-324, 1e-9, 1.0, 1e12)) | st.floats(0, 100)


def encoded(kind: Any, absurd: bool) -> st.SearchStrategy[Any]:
    """Return JSON values for a field; with `absurd`, also invalid ones."""
    valid = _valid(kind, absurd)
    if not absurd:
        return valid
    wrong = st.sampled_from((*OUT_OF_BOUNDS, *OTHER_TYPES))
    return st.integers(0, 19).flatmap(lambda n: wrong if n == 0 else valid)


def _valid(kind: Any, absurd: bool) -> st.SearchStrategy[Any]:
    kind = getattr(kind, "__supertype__", kind)
    if get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    if get_origin(kind) is tuple:
        return st.lists(encoded(get_args(kind)[0], absurd), max_size=3)
    if get_origin(kind) is Mapping:
        value = encoded(get_args(kind)[1], absurd)
        return st.dictionaries(names, value, max_size=3)
    if get_origin(kind) in (Union, UnionType):
        options = [part for part in get_args(kind) if part is not type(None)]
        return st.none() | _valid(options[0], absurd)
    if attrs.has(kind):
        hints = get_type_hints(kind, include_extras=True)
        parts = (encoded(hints[a.name], absurd) for a in attrs.fields(kind))
        return st.tuples(*parts).map(list)
    if issubclass(kind, Enum):
        return st.sampled_from([member.value for member in kind])
    plain = {int: whole, float: decimal, bool: st.booleans(), str: names}
    return plain.get(kind, st.sampled_from(("", "cm", "0" * 20)))


def messages(absurd: bool) -> st.SearchStrategy[list[Any]]:
    """Return tagged messages as they stand in a frame."""
    return st.sampled_from(PEER_MESSAGES).flatmap(lambda c: tagged(c, absurd))


def tagged(cls: type[PeerMessage], absurd: bool) -> st.SearchStrategy[list[Any]]:
    """Return messages of one class as they stand in a frame."""
    return encoded(cls, absurd).map(lambda fields: [cls.__name__, fields])


def sample(kind: Any, name: str) -> Any:
    """Return a small valid JSON value of a type, with one name for every text."""
    kind = getattr(kind, "__supertype__", kind)
    if get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    if get_origin(kind) is tuple:
        return [sample(get_args(kind)[0], name)]
    if get_origin(kind) is Mapping:
        return {name: sample(get_args(kind)[1], name)}
    if get_origin(kind) in (Union, UnionType):
        return None
    if attrs.has(kind):
        hints = get_type_hints(kind, include_extras=True)
        return [sample(hints[a.name], name) for a in attrs.fields(kind)]
    if issubclass(kind, Enum):
        return next(iter(kind)).value
    return {int: 1, float: 1.0, bool: False, str: name}.get(kind, "cm")
