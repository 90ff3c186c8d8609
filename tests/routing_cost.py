"""Test helpers that measure the cost of route matching on a large tree."""

import tracemalloc

from attrs import define

from catkinspan.coordination.routing.index import RouteIndex
from catkinspan.state.ids import RouteId, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Route, RouteMatch, SettingsTree

ROUTES = 17_000
ROUTE_DEPTH = 4


def make_tree(count: int) -> SettingsTree:
    """Build the routes of a large fleet, some limited to a host or to methods.

    Prefixes have 1 to `ROUTE_DEPTH` segments.
    """
    policy = Policy()
    routes = {}
    for number in range(count):
        service = number % 180
        parents = (f"/service-{service}", f"/area-{number % 37}", "/v2")
        prefix = "".join(parents[: number // 7 % 4]) + f"/route-{number}"
        host = f"shop-{number % 50}.example" if number % 4 == 0 else None
        methods = frozenset({"GET", "HEAD"}) if number % 3 == 0 else frozenset()
        match = RouteMatch(prefix, methods, host)
        route_id = RouteId(f"route-{number}")
        service_id = ServiceId(f"service-{service}")
        routes[route_id] = Route(route_id, service_id, match, policy, {})
    return SettingsTree(routes=routes)


@define
class RoutingCost:
    """Lookups and memory of the route index."""

    mean_lookups: float
    """Mean dictionary lookups per match."""

    max_lookups: int
    """Maximum dictionary lookups per match, including a path without a route."""

    bytes_per_route: float
    """Memory of the index, without the routes of the settings tree."""


def measure_routing_cost(count: int) -> RoutingCost:
    tree = make_tree(count)
    tracemalloc.start()
    index = RouteIndex(tree)
    index_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    costs = []
    for route in list(tree.routes.values())[:: max(1, count // 2000) | 1]:
        before = index.lookup_count
        host = route.match.host or "other.example"
        found = index.match("GET", host, route.match.path_prefix + "/item/7?size=a5")
        if found.ok() is not route:
            raise AssertionError(f"{route.id} was not found")
        costs.append(index.lookup_count - before)
    before = index.lookup_count
    index.match("GET", "shop-0.example", "/no/such/route/of/this/host/and/any")
    costs.append(index.lookup_count - before)
    return RoutingCost(sum(costs) / len(costs), max(costs), index_bytes / count)
