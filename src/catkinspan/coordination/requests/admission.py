"""Admission checks of a request: route, API key and in-flight limit."""

from random import Random

from result import Err, Ok, Result

from catkinspan.coordination.keys.errors import KeyRefusal
from catkinspan.coordination.requests import refusals
from catkinspan.coordination.requests.dependencies import RequestDependencies
from catkinspan.coordination.requests.errors import Refusal
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.coordination.requests.records import ActiveRequest
from catkinspan.coordination.routing.errors import RouteNotFound, RouteRefusal
from catkinspan.state.ids import ANONYMOUS_WORKSPACE, ServiceId, WorkspaceId
from catkinspan.state.tree import Route, SettingsTree


class Admission:
    """Admits requests and counts the admitted ones of each workspace."""

    def __init__(self, dependencies: RequestDependencies, rng: Random) -> None:
        self._dependencies = dependencies
        self._rng = rng
        self._tree = SettingsTree()
        self._in_flight: dict[WorkspaceId, int] = {}

    def apply_tree(self, tree: SettingsTree) -> None:
        """Apply new settings."""
        self._tree = tree

    def in_flight(self, workspace: WorkspaceId) -> int:
        """Return the number of a workspace's admitted requests in flight."""
        return self._in_flight.get(workspace, 0)

    def admit(
        self, arrived: RequestArrived, now: float
    ) -> Result[ActiveRequest, Refusal]:
        """Admit a request or refuse it.

        The caller releases an admitted request with `release` when it has ended.
        """
        matched = self._dependencies.routing.match(
            arrived.method, arrived.host, arrived.path
        )
        if isinstance(matched, Err):
            return Err(self._unmatched_refusal(matched.err_value))
        route = matched.ok_value
        if route.fault:
            return Err(refusals.unusable_settings_refusal(route.fault))
        key = _presented_key(arrived, route)
        workspace = self._authenticate(route, key, now)
        if isinstance(workspace, Err):
            return workspace
        fault = self._tree.unusable_workspaces.get(workspace.ok_value)
        if fault is not None:
            return Err(refusals.unusable_settings_refusal(fault))
        if self._is_at_limit(workspace.ok_value):
            return Err(refusals.WORKSPACE_OVERLOADED)
        timeout = route.policy.deadline
        if arrived.deadline is not None:
            timeout = min(timeout, arrived.deadline)
        self._acquire(workspace.ok_value)
        return Ok(
            ActiveRequest(
                arrived=arrived,
                route=route,
                service=self._select_service(route),
                workspace=workspace.ok_value,
                key=key,
                deadline=now + timeout.total_seconds(),
                key_checked_revision=self._tree.revision,
            )
        )

    def recheck_key(self, request: ActiveRequest, now: float) -> Refusal | None:
        """Check the key again after a settings change; return a refusal if invalid."""
        if request.key_checked_revision == self._tree.revision:
            return None
        request.key_checked_revision = self._tree.revision
        checked = self._authenticate(request.route, request.key, now)
        return checked.err_value if isinstance(checked, Err) else None

    def release(self, workspace: WorkspaceId) -> None:
        """Stop counting an admitted request that has ended."""
        remaining = self._in_flight[workspace] - 1
        if remaining:
            self._in_flight[workspace] = remaining
        else:
            del self._in_flight[workspace]

    def _acquire(self, workspace: WorkspaceId) -> None:
        self._in_flight[workspace] = self._in_flight.get(workspace, 0) + 1

    def _select_service(self, route: Route) -> ServiceId:
        """Return the route's service, or a weighted random one of a traffic split."""
        if not route.split:
            return route.service
        weights = [part.weight for part in route.split]
        return self._rng.choices(route.split, weights)[0].service

    def _authenticate(
        self, route: Route, key: str | None, now: float
    ) -> Result[WorkspaceId, Refusal]:
        if route.policy.open:
            return Ok(ANONYMOUS_WORKSPACE)
        if self._dependencies.gate.is_isolated(now):
            return Err(refusals.ISOLATED)
        found = self._dependencies.keys.workspace_for(key or "", now)
        return found.map_err(lambda error: self._key_refusal(error, key))

    def _key_refusal(self, error: KeyRefusal, key: str | None) -> Refusal:
        """Return the refusal; final only if all published keys are known."""
        if key and not self._tree.has_all_keys:
            return refusals.unusable_settings_refusal(refusals.MISSING_KEY)
        return refusals.key_refusal(error, key)

    def _unmatched_refusal(self, error: RouteRefusal) -> Refusal:
        """Return the refusal; final only if all published routes are known."""
        if isinstance(error, RouteNotFound) and not self._tree.has_all_routes:
            return refusals.unusable_settings_refusal(refusals.MISSING_ROUTE)
        return refusals.route_refusal(error)

    def _is_at_limit(self, workspace_id: WorkspaceId) -> bool:
        workspace = self._tree.workspaces.get(workspace_id)
        if workspace is None:
            return False
        return self.in_flight(workspace_id) >= workspace.max_in_flight


def _presented_key(arrived: RequestArrived, route: Route) -> str | None:
    if arrived.presented_key is not None:
        return arrived.presented_key
    parameter = route.policy.key_query_parameter
    return arrived.query.get(parameter) if parameter else None
