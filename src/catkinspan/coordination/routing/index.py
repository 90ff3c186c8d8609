"""An index of routes by host and path prefix."""

from collections.abc import Iterator
from typing import TypeAlias

from attrs import define, field
from result import Err, Ok, Result

from catkinspan.coordination.routing.errors import (
    MethodNotAllowed,
    RouteNotFound,
    RouteRefusal,
)
from catkinspan.coordination.routing.paths import (
    normal_host,
    normal_path,
    upper_escapes,
)
from catkinspan.state.tree import Route, SettingsTree

_Entry: TypeAlias = Route | tuple[Route, ...]


@define
class _Prefixes:
    """The routes of one host by path prefix, without a trailing slash."""

    entries: dict[str, _Entry] = field(factory=dict)
    depth: int = 0
    """Most segments of a prefix; deeper parts of a path are not looked up."""

    def add(self, route: Route) -> None:
        """Add a route."""
        prefix = upper_escapes(route.match.path_prefix.rstrip("/"))
        present = self.entries.get(prefix)
        self.depth = max(self.depth, prefix.count("/"))
        if present is None:
            self.entries[prefix] = route
            return
        routes = present if isinstance(present, tuple) else (present,)
        self.entries[prefix] = tuple(sorted((*routes, route), key=_precedence))


class RouteIndex:
    """Finds the route of a request with a few dictionary look-ups.

    A route for the request's host goes before a route for any host, then the longest
    prefix wins. A prefix ends at a segment boundary: ``/suites`` matches ``/suites``
    and ``/suites/7``, not ``/suites-old``. Among the routes of that prefix, one that
    names the method goes before one for all methods; shorter prefixes are not tried.

    Example::

        index.match("GET", "shop.example:8080", "/suites/7?size=a5")
    """

    def __init__(self, tree: SettingsTree) -> None:
        self._hosts: dict[str | None, _Prefixes] = {}
        self.lookups = 0
        """Dictionary look-ups of all matches so far."""

        for route in tree.routes.values():
            host = route.match.host
            name = None if host is None else normal_host(host)
            self._hosts.setdefault(name, _Prefixes()).add(route)

    def match(self, method: str, host: str, path: str) -> Result[Route, RouteRefusal]:
        """Return the route of a request, or why there is none."""
        normal = normal_path(path)
        if isinstance(normal, Err):
            return normal
        name = normal_host(host)
        entry = self._find(name, normal.ok_value)
        if entry is None:
            entry = self._find(None, normal.ok_value)
        if entry is None:
            return Err(RouteNotFound(name, normal.ok_value))
        return _choose(method, entry)

    def _find(self, host: str | None, path: str) -> _Entry | None:
        self.lookups += 1
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        for prefix in _prefixes_of(path, prefixes.depth):
            self.lookups += 1
            entry = prefixes.entries.get(prefix)
            if entry is not None:
                return entry
        return None


def _prefixes_of(path: str, depth: int) -> Iterator[str]:
    """Yield the prefixes of a path, longest first, with at most `depth` segments."""
    segments = path.rstrip("/").split("/", depth + 1)
    for count in range(min(len(segments), depth + 1), 0, -1):
        yield "/".join(segments[:count])


def _choose(method: str, entry: _Entry) -> Result[Route, RouteRefusal]:
    routes = entry if isinstance(entry, tuple) else (entry,)
    for route in routes:
        if not route.match.methods or method in route.match.methods:
            return Ok(route)
    allowed = {name for route in routes for name in route.match.methods}
    return Err(MethodNotAllowed(method, tuple(sorted(allowed))))


def _precedence(route: Route) -> tuple[bool, str]:
    return not route.match.methods, route.id
