"""The checks of a request before it may run: route, key and crowding."""

from random import Random

from result import Err, Ok, Result

from catkinspan.coordination.requests import refusals
from catkinspan.coordination.requests.errors import Refusal
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.coordination.requests.records import LiveRequest
from catkinspan.coordination.requests.stages import Stages
from catkinspan.state.ids import ANONYMOUS_WORKSPACE, ServiceId, WorkspaceId
from catkinspan.state.tree import Route, SettingsTree


class Admission:
    """Admits requests by the settings in force, and counts those of each workspace."""

    def __init__(self, stages: Stages, rng: Random) -> None:
        self._stages = stages
        self._rng = rng
        self._tree = SettingsTree()
        self._in_flight: dict[WorkspaceId, int] = {}

    def apply_tree(self, tree: SettingsTree) -> None:
        """Take over the settings."""
        self._tree = tree

    def in_flight(self, workspace: WorkspaceId) -> int:
        """Return the number of a workspace's admitted requests that have not ended."""
        return self._in_flight.get(workspace, 0)

    def admit(
        self, arrived: RequestArrived, now: float
    ) -> Result[LiveRequest, Refusal]:
        """Return the admitted request, or why it is refused; `leave` ends its count."""
        matched = self._stages.routing.match(arrived.method, arrived.host, arrived.path)
        if isinstance(matched, Err):
            return Err(refusals.route_refusal(matched.err_value))
        route = matched.ok_value
        key = _presented_key(arrived, route)
        workspace = self._authenticate(route, key, now)
        if isinstance(workspace, Err):
            return workspace
        if self._is_crowded(workspace.ok_value):
            return Err(refusals.WORKSPACE_OVERLOADED)
        allowed = route.policy.deadline
        if arrived.deadline is not None:
            allowed = min(allowed, arrived.deadline)
        self._enter(workspace.ok_value)
        return Ok(
            LiveRequest(
                arrived=arrived,
                route=route,
                service=self._service_of(route),
                workspace=workspace.ok_value,
                key=key,
                deadline=now + allowed.total_seconds(),
                key_revision=self._tree.revision,
            )
        )

    def refusal_by_key(self, request: LiveRequest, now: float) -> Refusal | None:
        """Check the key again if the settings have changed since the last check."""
        if request.key_revision == self._tree.revision:
            return None
        request.key_revision = self._tree.revision
        checked = self._authenticate(request.route, request.key, now)
        return checked.err_value if isinstance(checked, Err) else None

    def leave(self, workspace: WorkspaceId) -> None:
        """Note that an admitted request has ended."""
        left = self._in_flight[workspace] - 1
        if left:
            self._in_flight[workspace] = left
        else:
            del self._in_flight[workspace]

    def _enter(self, workspace: WorkspaceId) -> None:
        self._in_flight[workspace] = self._in_flight.get(workspace, 0) + 1

    def _service_of(self, route: Route) -> ServiceId:
        """Return the service of a request, by the weights of a split route."""
        if not route.split:
            return route.service
        weights = [part.weight for part in route.split]
        return self._rng.choices(route.split, weights)[0].service

    def _authenticate(
        self, route: Route, key: str | None, now: float
    ) -> Result[WorkspaceId, Refusal]:
        if route.policy.open:
            return Ok(ANONYMOUS_WORKSPACE)
        if self._stages.gate.is_isolated(now):
            return Err(refusals.ISOLATED)
        found = self._stages.keys.workspace_for(key or "", now)
        return found.map_err(refusals.key_refusal)

    def _is_crowded(self, workspace_id: WorkspaceId) -> bool:
        workspace = self._tree.workspaces.get(workspace_id)
        if workspace is None:
            return False
        return self.in_flight(workspace_id) >= workspace.max_in_flight


def _presented_key(arrived: RequestArrived, route: Route) -> str | None:
    if arrived.presented_key is not None:
        return arrived.presented_key
    parameter = route.policy.key_query_parameter
    return arrived.query.get(parameter) if parameter else None
