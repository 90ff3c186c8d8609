"""Guards the readable differences of the audit trail."""

from datetime import timedelta

from attrs import evolve

from catkinspan.coordination.configuration.const import MAX_DIFFERENCES
from catkinspan.coordination.configuration.difference import differences
from catkinspan.state.ids import (
    DataCentre,
    KeyId,
    RouteId,
    ServerId,
    ServiceId,
    WorkspaceId,
)
from catkinspan.state.policy import Policy
from catkinspan.state.tree import (
    Address,
    KeyEntry,
    Route,
    RouteMatch,
    Service,
    SettingsTree,
    Upstream,
    Workspace,
)

CATALOGUE = ServiceId("catalogue")
SUITES = RouteId("suites")
PLANNERS = WorkspaceId("planners")
SERVER = Upstream(ServerId("s1"), Address("127.0.0.1", 1), DataCentre("p1"), 2, 330)
SERVICE = Service(CATALOGUE, (SERVER,), Policy())
ROUTE = Route(SUITES, CATALOGUE, RouteMatch("/suites"), Policy(), {})
WORKSPACE = Workspace(PLANNERS, (KeyEntry(KeyId("k1"), b"d1"),), 5.0, 10.0)


def tree(
    service: Service = SERVICE, route: Route = ROUTE, workspace: Workspace = WORKSPACE
) -> SettingsTree:
    return SettingsTree(
        services={CATALOGUE: service},
        routes={SUITES: route},
        workspaces={PLANNERS: workspace},
    )


def test_inherited_change_is_shown_once_at_its_service() -> None:
    # Failure: one edit of a service shows as thousands of changed routes.
    policy = Policy(deadline=timedelta(seconds=4), healthy_floor=0.8)
    route = evolve(ROUTE, policy=evolve(policy, healthy_floor=0.9))
    after = tree(evolve(SERVICE, policy=policy), route)
    assert differences(tree(), after) == (
        "services/catalogue: deadline_ms 0:00:10 -> 0:00:04",
        "services/catalogue: healthy_floor 0.7 -> 0.8",
        "routes/suites: healthy_floor 0.7 -> 0.9",
    )


def test_servers_and_keys_are_named_without_digests() -> None:
    # Failure: the audit trail hides which key or server changed, or shows a digest.
    leaving = evolve(SERVICE, upstreams=(evolve(SERVER, leaving=True),))
    keys = (KeyEntry(KeyId("k2"), b"d2"),)
    after = tree(leaving, workspace=evolve(WORKSPACE, keys=keys, rate=6.0))
    assert differences(tree(), after) == (
        "services/catalogue/upstreams/s1: leaving False -> True",
        "workspaces/planners: rate 5.0 -> 6.0",
        "workspaces/planners/keys/k2: added",
        "workspaces/planners/keys/k1: removed",
    )


def test_long_differences_are_cut() -> None:
    # Failure: one event fills the audit ring.
    many = {
        WorkspaceId(f"w{n:03}"): evolve(WORKSPACE, id=WorkspaceId(f"w{n:03}"))
        for n in range(100)
    }
    lines = differences(SettingsTree(), SettingsTree(workspaces=many))
    assert len(lines) == MAX_DIFFERENCES + 1
    assert lines[-1] == "further differences not shown"
