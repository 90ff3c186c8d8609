"""Tests route matching and its cost."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from catkinspan.coordination.routing.coordinator import RoutingCoordinator
from catkinspan.coordination.routing.errors import (
    AmbiguousPath,
    MethodNotAllowed,
    PathFault,
    RouteNotFound,
)
from catkinspan.coordination.routing.index import RouteIndex
from catkinspan.coordination.routing.paths import canonical_path
from catkinspan.state.ids import RouteId, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Route, RouteMatch, SettingsTree
from tests.routing_cost import ROUTE_DEPTH, ROUTES, make_tree, measure_routing_cost

MAX_LOOKUPS = 2 * (1 + ROUTE_DEPTH + 1)
"""One lookup of the host and one of each prefix down to the root, first for the host of
the request and then for any host."""


def make_index(**routes: RouteMatch) -> RouteIndex:
    return RouteIndex(make_settings(**routes))


def make_settings(**routes: RouteMatch) -> SettingsTree:
    return SettingsTree(
        routes={
            RouteId(name): Route(RouteId(name), ServiceId("s"), match, Policy(), {})
            for name, match in routes.items()
        }
    )


def matched_route(
    index: RouteIndex, path: str, method: str = "GET", host: str = "h"
) -> str:
    route = index.match(method, host, path).ok()
    return "" if route is None else route.id


INDEX = make_index(
    root=RouteMatch("/", host="own.example"),
    suites=RouteMatch("/suites"),
    proofs=RouteMatch("/suites/proofs/"),
    read=RouteMatch("/orders", frozenset({"GET"})),
    write=RouteMatch("/orders", frozenset({"POST", "PUT"})),
    caffe=RouteMatch("/caff%c3%a8"),
)


@pytest.mark.parametrize(
    ("path", "route"),
    [
        ("/suites", "suites"),
        ("/suites/", "suites"),
        ("/suites/7?size=a5//..", "suites"),
        ("/suites-old", ""),
        ("/suites/proofs", "suites"),
        ("/suites/proofs/", "proofs"),
        ("/suites/proofs/3/pages/2", "proofs"),
        ("/suites/proofsheet", "suites"),
        ("/caff%C3%A8/1", "caffe"),
        ("/", ""),
    ],
)
def test_longest_prefix_wins_at_a_segment_boundary(path: str, route: str) -> None:
    """Guards against a request that is matched to a neighbouring route."""
    assert matched_route(INDEX, path) == route


def test_route_of_the_host_goes_before_a_longer_one_of_any_host() -> None:
    """Guards against requests for a specific host that use a shared route."""
    for host in ("own.example", "OWN.example.:8443"):
        assert matched_route(INDEX, "/suites/proofs/3", host=host) == "root"
    assert matched_route(INDEX, "/suites/proofs/3", host="other.example") == "proofs"


def test_methods_choose_among_routes_of_one_prefix() -> None:
    """Guards against a write that is matched to the route for reads."""
    assert matched_route(INDEX, "/orders/7", "GET") == "read"
    assert matched_route(INDEX, "/orders/7", "PUT") == "write"
    refusal = INDEX.match("DELETE", "h", "/orders/7")
    allowed = ("GET", "POST", "PUT")
    assert refusal == Err(MethodNotAllowed("DELETE", allowed))


@pytest.mark.parametrize(
    ("path", "fault"),
    [
        ("suites", PathFault.NOT_ABSOLUTE),
        ("http://h/suites", PathFault.NOT_ABSOLUTE),
        ("/suites/../orders", PathFault.DOT_SEGMENT),
        ("/suites/.", PathFault.DOT_SEGMENT),
        ("/suites/..;v=1/orders", PathFault.DOT_SEGMENT),
        ("/suites/..%3Bv=1/orders", PathFault.DOT_SEGMENT),
        ("//suites", PathFault.EMPTY_SEGMENT),
        ("/suites//proofs", PathFault.EMPTY_SEGMENT),
        ("/suites%2Fproofs", PathFault.ENCODED_SEPARATOR),
        ("/suites%5cproofs", PathFault.ENCODED_SEPARATOR),
        ("/suites/%2e%2E/orders", PathFault.ENCODED_SEPARATOR),
        ("/suites/%252e%252e/orders", PathFault.DOUBLE_ESCAPE),
        ("/suites/%0d%0a", PathFault.ENCODED_CONTROL),
        ("/%73uites", PathFault.ENCODED_UNRESERVED),
        ("/suites/%4", PathFault.BAD_ESCAPE),
        ("/suites\\proofs", PathFault.FORBIDDEN_CHARACTER),
        ("/suites/\u00e8", PathFault.FORBIDDEN_CHARACTER),
    ],
)
def test_ambiguous_paths_are_refused(path: str, fault: PathFault) -> None:
    """Guards against a path with which the upstream bypasses the route's settings."""
    refusal = INDEX.match("GET", "h", path).err()
    assert isinstance(refusal, AmbiguousPath)
    assert refusal.fault is fault


@settings(derandomize=True, max_examples=500, deadline=None)
@given(
    st.sets(st.from_regex(r"(/[ab]{1,2}){0,3}/?", fullmatch=True), max_size=6),
    st.from_regex(r"(/[ab]{1,2}){1,4}/?|/", fullmatch=True),
)
def test_route_has_the_longest_prefix_that_begins_the_path(
    prefixes: set[str], path: str
) -> None:
    """Guards against the settings of another route: an unsafe request that is taken as
    one of a safe route is repeated."""
    routes = {f"{prefix or '/'}": RouteMatch(prefix or "/") for prefix in prefixes}
    begin = [
        prefix
        for prefix in routes
        if path == prefix or path.startswith(prefix.rstrip("/") + "/")
    ]
    assert matched_route(make_index(**routes), path) == max(begin, key=len, default="")


def test_unknown_path_is_not_found() -> None:
    """Guards against a refusal that does not name the host and the path."""
    assert INDEX.match("GET", "H:80", "/x") == Err(RouteNotFound("h", "/x"))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.text(alphabet="/.%2eEfF5cC;a\\?~", max_size=24))
def test_accepted_paths_have_one_reading(text: str) -> None:
    """Guards against accepting a path with a dot, empty or encoded segment."""
    path = canonical_path("/" + text).ok()
    if path is None:
        return
    segments = path.split("/")[1:]
    assert "" not in segments[:-1]
    assert not {".", ".."} & {segment.partition(";")[0] for segment in segments}
    assert "%2E" not in path and "%2F" not in path and "%5C" not in path


def test_index_follows_the_tree() -> None:
    """Guards against a route that still matches after its removal."""
    routing = RoutingCoordinator()
    routing.apply_tree(make_settings(a=RouteMatch("/a")), 0.0)
    assert routing.match("GET", "h", "/a").is_ok()
    routing.apply_tree(make_settings(b=RouteMatch("/b")), 1.0)
    assert routing.match("GET", "h", "/a").is_err()
    assert routing.match("GET", "h", "/b").is_ok()


def test_cost_does_not_grow_with_the_routes() -> None:
    """Guards against a linear scan of the routes and a large index.

    Both trees have prefixes of all depths for the requested host. The index may use a
    sixteenth of the 64 MB of memory that a host has for control.
    """
    cost = measure_routing_cost(ROUTES)
    assert cost.max_lookups <= measure_routing_cost(ROUTES // 10).max_lookups
    assert cost.max_lookups <= MAX_LOOKUPS
    assert cost.bytes_per_route * ROUTES <= 4_000_000


def test_paths_deeper_than_every_prefix_cost_no_more() -> None:
    """Guards against lookups that grow with the slashes of a caller's path."""
    index = RouteIndex(make_tree(1_000))
    index.match("GET", "shop-0.example", "/a" * 2_000)
    assert index.lookup_count <= MAX_LOOKUPS
