"""Readable differences between two settings trees, without secrets."""

from collections.abc import Collection, Iterator, Mapping
from itertools import islice
from typing import Any

import attrs

from catkinspan.coordination.configuration.const import MAX_DIFFERENCES
from catkinspan.coordination.configuration.models import ServersChanged
from catkinspan.state.ids import Revision, ServerId, ServiceId
from catkinspan.state.policy import POLICY_FIELDS, Policy
from catkinspan.state.tree import Route, Service, SettingsTree, Upstream, Workspace


def describe_differences(old: SettingsTree, new: SettingsTree) -> tuple[str, ...]:
    """Return one line for each difference, up to `MAX_DIFFERENCES`.

    Example: ``services/catalogue: retry_ratio 0.1 -> 0.2``.
    """
    lines = _tree_changes(old, new)
    shown = tuple(islice(lines, MAX_DIFFERENCES))
    if next(lines, None) is None:
        return shown
    return (*shown, "further differences not shown")


def _tree_changes(old: SettingsTree, new: SettingsTree) -> Iterator[str]:
    yield from _field_changes("fleet", old.fleet, new.fleet)
    yield from _service_changes(old.services, new.services)
    yield from _workspace_changes(old.workspaces, new.workspaces)
    yield from _route_changes(old, new)


def _service_changes(
    old: Mapping[ServiceId, Service], new: Mapping[ServiceId, Service]
) -> Iterator[str]:
    yield from _added_and_removed("services", old, new)
    for id_, service in new.items():
        before = old.get(id_)
        if before is None or before is service or before == service:
            continue
        name = f"services/{id_}"
        yield from _policy_changes(name, before.policy, service.policy)
        old_upstreams = {upstream.id: upstream for upstream in before.upstreams}
        new_upstreams = {upstream.id: upstream for upstream in service.upstreams}
        yield from _added_and_removed(f"{name}/upstreams", old_upstreams, new_upstreams)
        for server, upstream in new_upstreams.items():
            if server in old_upstreams:
                path = f"{name}/upstreams/{server}"
                yield from _field_changes(path, old_upstreams[server], upstream)


def _workspace_changes(
    old: Mapping[Any, Workspace], new: Mapping[Any, Workspace]
) -> Any:
    yield from _added_and_removed("workspaces", old, new)
    for id_, workspace in new.items():
        before = old.get(id_)
        if before is None or before is workspace or before == workspace:
            continue
        name = f"workspaces/{id_}"
        yield from _field_changes(name, before, workspace, skip=("keys",))
        old_keys = {key.id: key for key in before.keys}
        new_keys = {key.id: key for key in workspace.keys}
        yield from _added_and_removed(f"{name}/keys", old_keys, new_keys)
        for key, entry in new_keys.items():
            if key in old_keys and old_keys[key] != entry:
                yield f"{name}/keys/{key}: replaced"


def _route_changes(old: SettingsTree, new: SettingsTree) -> Iterator[str]:
    yield from _added_and_removed("routes", old.routes, new.routes)
    for id_, route in new.routes.items():
        before = old.routes.get(id_)
        if before is None or before is route or before == route:
            continue
        name = f"routes/{id_}"
        skip = ("policy", "origins")
        yield from _field_changes(name, before, route, skip=skip)
        inherited = _inherited_settings(before, route, old, new)
        yield from _policy_changes(name, before.policy, route.policy, skip=inherited)


def _inherited_settings(
    before: Route, after: Route, old: SettingsTree, new: SettingsTree
) -> Collection[str]:
    """Return the settings whose change is already reported for the service."""
    old_service = old.services.get(before.service)
    new_service = new.services.get(after.service)
    if old_service is None or new_service is None:
        return ()
    return tuple(
        field.name
        for field in POLICY_FIELDS.values()
        if getattr(old_service.policy, field.name) == getattr(before.policy, field.name)
        and getattr(new_service.policy, field.name) == getattr(after.policy, field.name)
    )


def _policy_changes(
    name: str, old: Policy, new: Policy, skip: Collection[str] = ()
) -> Iterator[str]:
    for json_name, field in POLICY_FIELDS.items():
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name not in skip:
            yield f"{name}: {json_name} {_format(before)} -> {_format(after)}"


def _field_changes(
    name: str, old: Any, new: Any, skip: Collection[str] = ()
) -> Iterator[str]:
    if old == new:
        return
    for field in attrs.fields(type(new)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name not in skip:
            yield f"{name}: {field.name} {_format(before)} -> {_format(after)}"


def _added_and_removed(
    name: str, old: Mapping[Any, Any], new: Mapping[Any, Any]
) -> Iterator[str]:
    if old.keys() == new.keys():
        return
    for added in sorted(new.keys() - old.keys()):
        yield f"{name}/{added}: added"
    for removed in sorted(old.keys() - new.keys()):
        yield f"{name}/{removed}: removed"


def _format(value: Any) -> str:
    if isinstance(value, frozenset):
        return "{" + ", ".join(sorted(map(str, value))) + "}"
    return str(value)


def describe_server_changes(
    previous: SettingsTree, tree: SettingsTree, revision: Revision, source: str
) -> ServersChanged | None:
    """Return the servers that were added, leave or were removed; None without any."""
    before, after = _servers_by_id(previous), _servers_by_id(tree)
    leaving = [
        name
        for name, server in after.items()
        if server.leaving and not (name in before and before[name].leaving)
    ]
    added, removed = after.keys() - before.keys(), before.keys() - after.keys()
    if not (added or leaving or removed):
        return None
    return ServersChanged(
        revision,
        source,
        tuple(sorted(added)),
        tuple(sorted(leaving)),
        tuple(sorted(removed)),
    )


def _servers_by_id(tree: SettingsTree) -> dict[ServerId, Upstream]:
    return {u.id: u for s in tree.services.values() for u in s.upstreams}
