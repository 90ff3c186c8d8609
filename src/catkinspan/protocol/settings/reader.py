"""Validating access to decoded JSON that collects every fault with its path."""

import re
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta
from ipaddress import ip_address
from typing import Any, TypeGuard, TypeVar

import orjson
from attrs import define, field
from result import Err, Ok, Result

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.state.tree import Address

T = TypeVar("T")

MAX_PORT = 65535
_PORT_PATTERN = re.compile(r"0|[1-9][0-9]{0,4}")
_BROADCAST_IP = "255.255.255.255"
MAX_DURATION_MS = 24 * 3600 * 1000


def decode_json(text: str | bytes, name: str) -> Result[object, SettingsFault]:
    """Decode a JSON text; the fault names the document."""
    try:
        return Ok(orjson.loads(text))
    except orjson.JSONDecodeError as error:
        message = f"not valid JSON: {error}"
        return Err(SettingsFault(name, message, "correct the syntax at that position"))


@define
class FaultList:
    """Faults found while reading a document."""

    consequence: str = ""
    """What a fault leads to, if the rest of the document is used nevertheless."""

    faults: list[SettingsFault] = field(factory=list)

    def add(self, path: str, message: str, remedy: str) -> None:
        """Record a fault."""
        if self.consequence:
            message = f"{message}: {self.consequence}"
        self.faults.append(SettingsFault(path, message, remedy))


class ObjectReader:
    """Reads one JSON object, member by member.

    Each method returns the validated value, or records a fault and returns the default,
    so that a single pass finds all faults. `check_unread` reports members not read.

    Example::

        reader = ObjectReader(value, "fleet", faults)
        max_hosts = reader.integer("max_hosts", 40, low=1, high=100_000)
        reader.check_unread()
    """

    def __init__(self, value: object, path: str, faults: FaultList) -> None:
        self._path = path
        self._faults = faults
        self._members: Mapping[str, object] = {}
        self._unread: set[str] = set()
        if not isinstance(value, dict):
            faults.add(path or "(document)", "not a JSON object", "write {...} here")
            return
        self._members = value
        self._unread = set(value)

    @property
    def path(self) -> str:
        """Return the path of the object in its document."""
        return self._path

    def reporting_to(self, faults: FaultList) -> "ObjectReader":
        """Return a reader of the same object that adds its faults to another list."""
        reader = ObjectReader(dict(self._members), self._path, faults)
        reader._unread = self._unread
        return reader

    def has(self, name: str) -> bool:
        """Return whether the object has a member."""
        return name in self._members

    def check_unread(self) -> None:
        """Record a fault for each member that was not read."""
        for name in sorted(self._unread):
            remedy = "remove it or correct its name"
            self._faults.add(self.member_path(name), "unknown member", remedy)

    def member_path(self, name: str) -> str:
        """Return the path of a member."""
        name = name or "(empty)"
        return f"{self._path}/{name}" if self._path else name

    def add_fault(self, name: str, message: str, remedy: str) -> None:
        """Record a fault of a member."""
        self._faults.add(self.member_path(name), message, remedy)

    def extend_faults(self, faults: FaultList) -> None:
        """Record the faults of another list too."""
        self._faults.faults += faults.faults

    def raw_value(self, name: str) -> object:
        """Return a member without validation, or None."""
        self._unread.discard(name)
        return self._members.get(name)

    def child(self, name: str) -> "ObjectReader":
        """Return a reader for an object member; an absent one is read as empty."""
        value = self.raw_value(name)
        return ObjectReader(
            {} if value is None else value, self.member_path(name), self._faults
        )

    def children(self, name: str) -> Iterator[tuple[str, "ObjectReader"]]:
        """Yield a reader for each member of an object of objects."""
        child = self.child(name)
        for key in child.member_names():
            if not key:
                child.add_fault("(empty)", "empty name", "give it a name")
            yield key, child.child(key)

    def member_names(self) -> list[str]:
        """Return the names of all members."""
        return list(self._members)

    def items(self, name: str) -> Iterator["ObjectReader"]:
        """Yield a reader for each element of an array of objects."""
        value = self.raw_value(name)
        if value is None:
            return
        if not isinstance(value, list):
            self.add_fault(name, "not an array", "write [...] here")
            return
        for index, item in enumerate(value):
            yield ObjectReader(item, f"{self.member_path(name)}/{index}", self._faults)

    def string(self, name: str, default: str | None = None) -> str:
        """Return a non-empty string."""
        value = self.raw_value(name)
        if value is None and default is not None:
            return default
        if isinstance(value, str) and value:
            return value
        self.add_fault(name, "missing or not a string", 'write a string such as "name"')
        return default or ""

    def strings(self, name: str) -> tuple[str, ...]:
        """Return an array of strings; an absent one is empty."""
        value = self.raw_value(name)
        if value is None:
            return ()
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        self.add_fault(name, "not an array of strings", 'write ["a", "b"] here')
        return ()

    def boolean(self, name: str, default: bool) -> bool:
        """Return a boolean."""
        value = self.raw_value(name)
        if value is None:
            return default
        if isinstance(value, bool):
            return value
        self.add_fault(name, "not a boolean", "write true or false")
        return default

    def integer(self, name: str, default: int | None, low: int, high: int) -> int:
        """Return an integer within inclusive bounds."""
        value = self.raw_value(name)
        if value is None and default is not None:
            return default
        if _is_integer(value) and low <= value <= high:
            return value
        self.add_fault(name, "not an integer in range", f"write {low} to {high}")
        return low if default is None else default

    def number(
        self, name: str, default: float | None, low: float, high: float
    ) -> float:
        """Return a number within inclusive bounds."""
        value = self.raw_value(name)
        if value is None and default is not None:
            return default
        if _is_number(value) and low <= value <= high:
            return float(value)
        self.add_fault(name, "not a number in range", f"write {low:g} to {high:g}")
        return low if default is None else default

    def duration_ms(self, name: str, default: timedelta) -> timedelta:
        """Return a duration given in milliseconds."""
        default_ms = default.total_seconds() * 1000
        value = self.number(name, default_ms, 1, MAX_DURATION_MS)
        return timedelta(milliseconds=value)

    def address(self, name: str, default: Address | None = None) -> Address:
        """Return a numeric address of the form IP:PORT."""
        value = self.raw_value(name)
        if value is None and default is not None:
            return default
        return self._checked_address(name, parse_address(value))

    def destination(self, name: str) -> Address:
        """Return a numeric address of the form IP:PORT that can be connected to."""
        return self._checked_address(name, parse_destination(self.raw_value(name)))

    def _checked_address(self, name: str, parsed: Result[Address, str]) -> Address:
        if isinstance(parsed, Ok):
            return parsed.ok_value
        self.add_fault(
            name, parsed.err_value, 'write "IP:PORT", such as "10.0.0.5:8080"'
        )
        return Address("0.0.0.0", 0)

    def convert(
        self, name: str, default: T, convert: Callable[[Any], T], remedy: str
    ) -> T:
        """Return a converted member; ValueError, KeyError and TypeError are faults."""
        value = self.raw_value(name)
        if value is None:
            return default
        try:
            return convert(value)
        except (ValueError, KeyError, TypeError):
            self.add_fault(name, f"invalid value {value!r:.60}", remedy)
            return default


def _is_integer(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: object) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool)


def parse_address(value: object) -> Result[Address, str]:
    """Parse ``IP:PORT`` or ``[IPv6]:PORT``; port 0 lets the system choose one."""
    if not isinstance(value, str):
        return Err("missing or not a string")
    host, separator, port = value.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    ip = host[1:-1] if is_bracketed else host
    try:
        version = ip_address(ip).version
    except ValueError:
        return Err("not a numeric IP address")
    if is_bracketed != (version == 6):
        return Err("not a numeric IP address; brackets enclose IPv6 addresses only")
    if not separator or not _PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        return Err(f"not a port from 0 to {MAX_PORT}")
    return Ok(Address(ip, int(port)))


def parse_destination(value: object) -> Result[Address, str]:
    """Parse an address that can be connected to: one host and a port above 0."""
    parsed = parse_address(value)
    if isinstance(parsed, Err):
        return parsed
    address = parsed.ok_value
    ip = ip_address(address.ip)
    if address.port == 0:
        return Err(f"not a port from 1 to {MAX_PORT}")
    if ip.is_unspecified or ip.is_multicast or address.ip == _BROADCAST_IP:
        return Err("not the IP address of a single host")
    return parsed
