"""A large tree of routes and the look-ups that matching costs, for tests."""

import tracemalloc

from attrs import define

from catkinspan.coordination.routing.index import RouteIndex
from catkinspan.state.ids import RouteId, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Route, RouteMatch, SettingsTree

ROUTES = 17_000
ROUTE_DEPTH = 4


def make_tree(count: int) -> SettingsTree:
    """Build a tree of routes as of a large fleet: some for a host, some for methods.

    Prefixes have 1 to `ROUTE_DEPTH` segments.
    """
    policy = Policy()
    routes = {}
    for number in range(count):
        service = number % 180
        above = (f"/service-{service}", f"/area-{number % 37}", "/v2")
        prefix = "".join(above[: number // 7 % 4]) + f"/route-{number}"
        host = f"shop-{number % 50}.example" if number % 4 == 0 else None
        methods = frozenset({"GET", "HEAD"}) if number % 3 == 0 else frozenset()
        match = RouteMatch(prefix, methods, host)
        route_id = RouteId(f"route-{number}")
        service_id = ServiceId(f"service-{service}")
        routes[route_id] = Route(route_id, service_id, match, policy, {})
    return SettingsTree(routes=routes)


@define
class RoutingCost:
    """Costs of the route index."""

    lookups: float
    """Mean dictionary look-ups of one match."""

    most_lookups: int
    """Of any match, one without a route included."""

    bytes_per_route: float
    """Memory of the index alone; the routes belong to the settings tree."""


def routing_cost(count: int) -> RoutingCost:
    tree = make_tree(count)
    tracemalloc.start()
    index = RouteIndex(tree)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    costs = []
    for route in list(tree.routes.values())[:: max(1, count // 2000) | 1]:
        before = index.lookups
        host = route.match.host or "other.example"
        found = index.match("GET", host, route.match.path_prefix + "/item/7?size=a5")
        if found.ok() is not route:
            raise AssertionError(f"{route.id} was not found")
        costs.append(index.lookups - before)
    before = index.lookups
    index.match("GET", "shop-0.example", "/no/such/route/of/this/host/and/any")
    costs.append(index.lookups - before)
    return RoutingCost(sum(costs) / len(costs), max(costs), held / count)
