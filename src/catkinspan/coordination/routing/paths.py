"""Checks of request paths and host names before they are matched."""

import re

from result import Err, Ok, Result

from catkinspan.coordination.routing.errors import AmbiguousPath, PathFault

_SEGMENT = r"[A-Za-z0-9_~!$&'()*+,;=:@-][A-Za-z0-9._~!$&'()*+,;=:@-]*"
_PLAIN = re.compile(rf"/(?:{_SEGMENT}(?:/{_SEGMENT})*/?)?")
"""Paths that need no closer look: no escapes, no empty and no dot-led segments."""

_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_FORBIDDEN = re.compile(r"[^A-Za-z0-9._~!$&'()*+,;=:@/%-]")
_DOT_SEGMENT = re.compile(r"/\.{1,2}(?:[/;]|%3[Bb]|$)")
"""A dot segment; some servers drop what follows a semicolon before they resolve it."""

_DOUBLE_ESCAPE = re.compile(r"%25[0-9A-Fa-f]{2}")
_SEPARATORS = frozenset("/\\.")
_CONTROLS = frozenset(map(chr, (*range(0x20), 0x7F)))
_UNRESERVED = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_~"
)


def normal_path(target: str) -> Result[str, AmbiguousPath]:
    """Return the path of a request target in the form that routes are matched on.

    A path that normalises to another one is refused instead of normalised: the
    upstream gets the target as it came, and could resolve it in another way than the
    fleet, past a route's settings. The hexadecimal digits of escapes may have either
    case.
    """
    path = target.partition("?")[0]
    if _PLAIN.fullmatch(path):
        return Ok(path)
    fault = _fault(path)
    if fault is not None:
        return Err(AmbiguousPath(path, fault))
    return Ok(upper_escapes(path))


def upper_escapes(path: str) -> str:
    """Return a path with the hexadecimal digits of its escapes in upper case."""
    return _ESCAPE.sub(lambda escape: escape.group().upper(), path)


def normal_host(host: str) -> str:
    """Return a `Host` value in lower case, without a port and a trailing dot."""
    name = host.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0].removesuffix(".")


def _fault(path: str) -> PathFault | None:
    if not path.startswith("/"):
        return PathFault.NOT_ABSOLUTE
    if _FORBIDDEN.search(path):
        return PathFault.FORBIDDEN_CHARACTER
    if "//" in path:
        return PathFault.EMPTY_SEGMENT
    if _DOT_SEGMENT.search(path):
        return PathFault.DOT_SEGMENT
    return _escape_fault(path)


def _escape_fault(path: str) -> PathFault | None:
    if "%" in _ESCAPE.sub("", path):
        return PathFault.BAD_ESCAPE
    if _DOUBLE_ESCAPE.search(path):
        return PathFault.DOUBLE_ESCAPE
    decoded = {chr(int(digits, 16)) for digits in _ESCAPE.findall(path)}
    if decoded & _SEPARATORS:
        return PathFault.ENCODED_SEPARATOR
    if decoded & _CONTROLS:
        return PathFault.ENCODED_CONTROL
    if decoded & _UNRESERVED:
        return PathFault.ENCODED_PLAIN
    return None
