"""Conversion of peer messages to and from JSON types, by rules made once a class."""

from collections.abc import Callable, Sequence
from enum import Enum, IntEnum, StrEnum
from ipaddress import ip_address
from typing import Any, NewType

from attrs import fields, has
from cattrs import UnstructureStrategy
from cattrs.preconf.orjson import OrjsonConverter, make_converter

from catkinspan.coordination.models import FLOAT_BOUNDS, INTEGER_BOUNDS, Bounds
from catkinspan.protocol.peers.packed_states import (
    STATES_TYPE,
    pack_states,
    unpack_states,
)
from catkinspan.protocol.settings.reader import MAX_PORT
from catkinspan.state.tree import Address

StructureHook = Callable[[Any, Any], Any]
UnstructureHook = Callable[[Any], Any]

_JSON_TYPES = (int, float, str, bool)


def make_peer_converter() -> OrjsonConverter:
    """Return a converter that accepts only the JSON types of the fields.

    By default cattrs converts other types, for example the text "nan" to a float that
    is within no bounds. It also looks up the rule of each value again.
    """
    converter = make_converter(
        unstruct_strat=UnstructureStrategy.AS_TUPLE, detailed_validation=False
    )
    # Later rules take precedence over earlier ones.
    converter.register_structure_hook_factory(has, _class_structure_hook)
    converter.register_unstructure_hook_factory(has, _class_unstructure_hook)
    converter.register_structure_hook_factory(_is_tuple, _tuple_structure_hook)
    converter.register_structure_hook_factory(_is_new_type, _new_type_structure_hook)
    converter.register_structure_hook(int, _integer_hook(INTEGER_BOUNDS))
    converter.register_structure_hook(float, _float_hook(FLOAT_BOUNDS))
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    # Without these, the hooks of int and str also apply to enums and accept any value.
    converter.register_structure_hook(IntEnum, _structure_enum)
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_structure_hook_factory(_is_bounded, _bounded_hook)
    converter.register_structure_hook(Address, _structure_address)
    converter.register_structure_hook_func(_is_states, unpack_states)
    converter.register_unstructure_hook_func(_is_states, pack_states)
    return converter


def _class_structure_hook(kind: Any, converter: Any) -> StructureHook:
    """Return the hook for an attrs class that is encoded as an array.

    Values without a field are ignored, and fields without a value keep their default.
    """
    types = [attribute.type for attribute in fields(kind)]
    hooks = [(converter.get_structure_hook(type_), type_) for type_ in types]

    def structure(values: Any, _: Any) -> Any:
        pairs = zip(hooks, values, strict=False)
        return kind(*[hook(value, type_) for (hook, type_), value in pairs])

    return structure


def _class_unstructure_hook(kind: Any, converter: Any) -> UnstructureHook:
    """Return the hook that encodes an attrs class as an array of its fields."""
    attributes = fields(kind)
    names = [attribute.name for attribute in attributes]
    hooks = [
        (index, converter.get_unstructure_hook(attribute.type))
        for index, attribute in enumerate(attributes)
        if not _is_json_type(attribute.type)
    ]

    def unstructure(message: Any) -> Sequence[Any]:
        values = [getattr(message, name) for name in names]
        for index, hook in hooks:
            values[index] = hook(values[index])
        return values

    return unstructure


def _is_json_type(kind: Any) -> bool:
    """Return whether the values of a type are encoded as they are."""
    while isinstance(kind, NewType):
        kind = kind.__supertype__
    return (kind.__origin__ if _is_bounded(kind) else kind) in _JSON_TYPES


def _is_tuple(kind: Any) -> bool:
    arguments: tuple[Any, ...] = getattr(kind, "__args__", ())
    is_homogeneous = len(arguments) == 2 and arguments[1] is Ellipsis
    return getattr(kind, "__origin__", None) is tuple and is_homogeneous


def _tuple_structure_hook(kind: Any, converter: Any) -> StructureHook:
    item_type = kind.__args__[0]
    hook = converter.get_structure_hook(item_type)

    def structure(values: Any, _: Any) -> tuple[Any, ...]:
        return tuple([hook(value, item_type) for value in values])

    return structure


def _is_new_type(kind: Any) -> bool:
    return isinstance(kind, NewType)


def _new_type_structure_hook(kind: Any, converter: Any) -> StructureHook:
    hook: StructureHook = converter.get_structure_hook(kind.__supertype__)
    return hook


def _is_states(kind: Any) -> bool:
    return bool(kind == STATES_TYPE)


def _is_bounded(kind: Any) -> bool:
    return isinstance(getattr(kind, "__metadata__", (None,))[0], Bounds)


def _integer_hook(bounds: Bounds) -> Callable[[Any, Any], int]:
    low, high = bounds.low, bounds.high

    def structure(value: Any, _: Any) -> int:
        if type(value) is not int or not low <= value <= high:
            raise ValueError(f"not an integer from {low} to {high}")
        return value

    return structure


def _float_hook(bounds: Bounds) -> Callable[[Any, Any], float]:
    def structure(value: Any, _: Any) -> float:
        if type(value) not in (float, int) or not bounds.contains(value):
            raise ValueError(f"not a number from {bounds.low} to {bounds.high}")
        return float(value)

    return structure


def _bounded_hook(kind: Any) -> Callable[[Any, Any], Any]:
    """Return the hook for a number annotated with its bounds."""
    bounds = kind.__metadata__[0]
    return _float_hook(bounds) if kind.__origin__ is float else _integer_hook(bounds)


def _structure_address(value: Any, _: Any) -> Address:
    """Accept only numeric addresses; a host name would require a DNS lookup."""
    ip, port = value
    ip_address(ip)
    if type(port) is not int or not 0 <= port <= MAX_PORT:
        raise ValueError(f"not a port from 0 to {MAX_PORT}")
    return Address(ip, port)


def _structure_str(value: Any, _: Any) -> str:
    if type(value) is not str:
        raise TypeError("not a string")
    return value


def _structure_bool(value: Any, _: Any) -> bool:
    if type(value) is not bool:
        raise TypeError("not a boolean")
    return value


def _structure_enum(value: Any, kind: type[Enum]) -> Enum:
    return kind(value)
