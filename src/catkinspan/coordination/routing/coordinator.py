"""Coordinator of the route index."""

from result import Result

from catkinspan.coordination.coordinator import BaseCoordinator
from catkinspan.coordination.routing.errors import RouteRefusal
from catkinspan.coordination.routing.index import RouteIndex
from catkinspan.state.tree import Route, SettingsTree


class RoutingCoordinator(BaseCoordinator):
    """Matches requests against the routes of the current settings."""

    def __init__(self, tree: SettingsTree | None = None) -> None:
        self._tree = tree or SettingsTree()
        self._index = RouteIndex(self._tree)

    def apply_tree(self, tree: SettingsTree, now: float) -> None:
        """Rebuild the index if the routes have changed."""
        if tree.routes != self._tree.routes:
            self._index = RouteIndex(tree)
        self._tree = tree

    def match(self, method: str, host: str, path: str) -> Result[Route, RouteRefusal]:
        """Return the route of a request, or why none matches."""
        return self._index.match(method, host, path)
