"""Index of routes by host and path prefix."""

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
    canonical_host,
    canonical_path,
    uppercase_escapes,
)
from catkinspan.state.tree import Route, SettingsTree

_Entry: TypeAlias = Route | tuple[Route, ...]


@define
class _PrefixTable:
    """The routes of one host, keyed by path prefix without a trailing slash.

    Two prefixes that differ in that slash share an entry, so that a path needs one
    lookup for both.
    """

    entries: dict[str, _Entry] = field(factory=dict)
    max_depth: int = 0
    """Maximum number of segments of a prefix; longer prefixes are not looked up."""

    def add(self, route: Route) -> None:
        """Add a route."""
        prefix = uppercase_escapes(route.match.path_prefix.rstrip("/"))
        existing = self.entries.get(prefix)
        self.max_depth = max(self.max_depth, prefix.count("/"))
        if existing is None:
            self.entries[prefix] = route
            return
        routes = existing if isinstance(existing, tuple) else (existing,)
        self.entries[prefix] = tuple(sorted((*routes, route), key=_precedence))


class RouteIndex:
    """Matches requests to routes with a few dictionary lookups.

    A route for the request's host takes precedence over a route for any host; then the
    longest prefix wins. A prefix ends at a segment boundary: ``/suites`` matches
    ``/suites`` and ``/suites/7``, not ``/suites-old``. A slash at its end counts:
    ``/suites/`` matches ``/suites/`` and ``/suites/7``, not ``/suites``. Among the
    routes of that prefix, one that names the method takes precedence over one for all
    methods; shorter prefixes are not tried.

    Example::

        index.match("GET", "shop.example:8080", "/suites/7?size=a5")
    """

    def __init__(self, tree: SettingsTree) -> None:
        self._hosts: dict[str | None, _PrefixTable] = {}
        self.lookup_count = 0
        """Total dictionary lookups of all matches."""

        for route in tree.routes.values():
            host = route.match.host
            name = None if host is None else canonical_host(host)
            self._hosts.setdefault(name, _PrefixTable()).add(route)

    def match(self, method: str, host: str, path: str) -> Result[Route, RouteRefusal]:
        """Return the route of a request, or why none matches."""
        canonical = canonical_path(path)
        if isinstance(canonical, Err):
            return canonical
        name = canonical_host(host)
        routes = self._lookup(name, canonical.ok_value)
        if routes is None:
            routes = self._lookup(None, canonical.ok_value)
        if routes is None:
            return Err(RouteNotFound(name, canonical.ok_value))
        return _select_by_method(method, routes)

    def _lookup(self, host: str | None, path: str) -> tuple[Route, ...] | None:
        self.lookup_count += 1
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        for prefix in _prefixes_of(path, prefixes.max_depth):
            self.lookup_count += 1
            entry = prefixes.entries.get(prefix)
            if entry is None:
                continue
            longest = _longest_prefix_routes(entry, is_whole_path=path == prefix)
            if longest:
                return longest
        return None


def _prefixes_of(path: str, max_depth: int) -> Iterator[str]:
    """Yield the prefixes of a path with up to `max_depth` segments, longest first."""
    segments = path.rstrip("/").split("/", max_depth + 1)
    for count in range(min(len(segments), max_depth + 1), 0, -1):
        yield "/".join(segments[:count])


def _longest_prefix_routes(entry: _Entry, is_whole_path: bool) -> tuple[Route, ...]:
    """Return the routes of the longer of two prefixes that differ in a final slash.

    `is_whole_path` tells that the path has no slash there, so that only the shorter
    prefix begins it.
    """
    routes = entry if isinstance(entry, tuple) else (entry,)
    below = tuple(r for r in routes if r.match.path_prefix.endswith("/"))
    if below and not is_whole_path:
        return below
    return tuple(r for r in routes if not r.match.path_prefix.endswith("/"))


def _select_by_method(
    method: str, routes: tuple[Route, ...]
) -> Result[Route, RouteRefusal]:
    for route in routes:
        if not route.match.methods or method in route.match.methods:
            return Ok(route)
    allowed = {name for route in routes for name in route.match.methods}
    return Err(MethodNotAllowed(method, tuple(sorted(allowed))))


def _precedence(route: Route) -> tuple[bool, str]:
    return not route.match.methods, route.id
