"""Hypothesis strategies for well-formed peer messages, also with invalid values."""

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
LARGE_INTEGERS = (2**31, 2**53, 10**12)
OUT_OF_BOUNDS = (-1, -(2**63), 2**53 + 1, 2**64 - 1, 1e13, 1e308, -1.0)
VALUES_OF_OTHER_TYPES = ("nan", "-inf", "7", True, None, [], {}, "9" * 400)

names = st.sampled_from(KNOWN_NAMES) | st.text(max_size=4)
integers = st.sampled_from((0, 1, 2, 40, 1000, *LARGE_INTEGERS)) | st.integers(0, 100)
floats = st.sampled_from((0.0, 5e-324, 1e-9, 1.0, 1e12)) | st.floats(0, 100)


def field_values(kind: Any, include_invalid: bool) -> st.SearchStrategy[Any]:
    """Return JSON values for a field; with `include_invalid`, one in 20 is out of
    bounds or of another type."""
    valid = _valid_values(kind, include_invalid)
    if not include_invalid:
        return valid
    invalid = st.sampled_from((*OUT_OF_BOUNDS, *VALUES_OF_OTHER_TYPES))
    return st.integers(0, 19).flatmap(lambda n: invalid if n == 0 else valid)


def _valid_values(kind: Any, include_invalid: bool) -> st.SearchStrategy[Any]:
    kind = getattr(kind, "__supertype__", kind)
    if get_origin(kind) is Annotated:
        kind = get_args(kind)[0]
    if get_origin(kind) is tuple:
        return st.lists(field_values(get_args(kind)[0], include_invalid), max_size=3)
    if get_origin(kind) is Mapping:
        value = field_values(get_args(kind)[1], include_invalid)
        return st.dictionaries(names, value, max_size=3)
    if get_origin(kind) in (Union, UnionType):
        options = [part for part in get_args(kind) if part is not type(None)]
        return st.none() | _valid_values(options[0], include_invalid)
    if attrs.has(kind):
        hints = get_type_hints(kind, include_extras=True)
        parts = (
            field_values(hints[a.name], include_invalid) for a in attrs.fields(kind)
        )
        return st.tuples(*parts).map(list)
    if issubclass(kind, Enum):
        return st.sampled_from([member.value for member in kind])
    strategies = {int: integers, float: floats, bool: st.booleans(), str: names}
    return strategies.get(kind, st.sampled_from(("", "cm", "0" * 20)))


def messages(include_invalid: bool) -> st.SearchStrategy[list[Any]]:
    """Return tagged messages as a frame encodes them."""
    return st.sampled_from(PEER_MESSAGES).flatmap(lambda c: tagged(c, include_invalid))


def tagged(
    cls: type[PeerMessage], include_invalid: bool
) -> st.SearchStrategy[list[Any]]:
    """Return tagged messages of one class as a frame encodes them."""
    return field_values(cls, include_invalid).map(lambda fields: [cls.__name__, fields])


def sample(kind: Any, name: str) -> Any:
    """Return a small valid JSON value of a type, with `name` for every string."""
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
