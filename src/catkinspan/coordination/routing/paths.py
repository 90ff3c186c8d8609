"""Validation and canonical form of request paths and host names."""

import re

from result import Err, Ok, Result

from catkinspan.coordination.routing.errors import AmbiguousPath, PathFault

_SEGMENT = r"[A-Za-z0-9_~!$&'()*+,;=:@-][A-Za-z0-9._~!$&'()*+,;=:@-]*"
_SIMPLE_PATH = re.compile(rf"/(?:{_SEGMENT}(?:/{_SEGMENT})*/?)?")
"""Matches paths that need no other check: they have no escapes, no empty segments and
no segments that begin with a dot."""

_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_FORBIDDEN = re.compile(r"[^A-Za-z0-9._~!$&'()*+,;=:@/%-]")
_DOT_SEGMENT = re.compile(r"/\.{1,2}(?:[/;]|%3[Bb]|$)")
"""Matches a dot segment, also before a semicolon: some servers drop what follows the
semicolon before they resolve dot segments."""

_DOUBLE_ESCAPE = re.compile(r"%25[0-9A-Fa-f]{2}")
_SEPARATORS = frozenset("/\\.")
_CONTROLS = frozenset(map(chr, (*range(0x20), 0x7F)))
_UNRESERVED = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_~"
)


def canonical_path(target: str) -> Result[str, AmbiguousPath]:
    """Return the path of a request target in the form used for route matching.

    A path that is not in its normal form is refused instead of normalised: the upstream
    receives the target unchanged, and could resolve it differently and bypass the
    settings of the route. The hexadecimal digits of escapes may have either case.
    """
    path = target.partition("?")[0]
    if _SIMPLE_PATH.fullmatch(path):
        return Ok(path)
    fault = _find_fault(path)
    if fault is not None:
        return Err(AmbiguousPath(path, fault))
    return Ok(uppercase_escapes(path))


def uppercase_escapes(path: str) -> str:
    """Return a path with its percent escapes in upper case."""
    return _ESCAPE.sub(lambda escape: escape.group().upper(), path)


def canonical_host(host: str) -> str:
    """Return a `Host` value in lower case, without port and trailing dot."""
    name = host.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0].removesuffix(".")


def _find_fault(path: str) -> PathFault | None:
    if not path.startswith("/"):
        return PathFault.NOT_ABSOLUTE
    if _FORBIDDEN.search(path):
        return PathFault.FORBIDDEN_CHARACTER
    if "//" in path:
        return PathFault.EMPTY_SEGMENT
    if _DOT_SEGMENT.search(path):
        return PathFault.DOT_SEGMENT
    return _find_escape_fault(path)


def _find_escape_fault(path: str) -> PathFault | None:
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
        return PathFault.ENCODED_UNRESERVED
    return None
