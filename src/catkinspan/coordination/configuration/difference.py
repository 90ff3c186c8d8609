"""Readable differences between two settings trees, without secrets."""

from collections.abc import Collection, Iterator, Mapping
from itertools import islice
from typing import Any

import attrs

from catkinspan.coordination.configuration.const import MAX_DIFFERENCES
from catkinspan.state.ids import ServiceId
from catkinspan.state.policy import POLICY_FIELDS, Policy
from catkinspan.state.tree import Route, Service, SettingsTree, Workspace


def differences(old: SettingsTree, new: SettingsTree) -> tuple[str, ...]:
    """Return one line for each difference, up to a bound.

    Example: ``services/catalogue: healthy_floor 0.7 -> 0.8``.
    """
    lines = _all(old, new)
    shown = tuple(islice(lines, MAX_DIFFERENCES))
    if next(lines, None) is None:
        return shown
    return (*shown, "further differences not shown")


def _all(old: SettingsTree, new: SettingsTree) -> Iterator[str]:
    yield from _fields("fleet", old.fleet, new.fleet)
    yield from _services(old.services, new.services)
    yield from _workspaces(old.workspaces, new.workspaces)
    yield from _routes(old, new)


def _services(
    old: Mapping[ServiceId, Service], new: Mapping[ServiceId, Service]
) -> Iterator[str]:
    yield from _membership("services", old, new)
    for id_, service in new.items():
        before = old.get(id_)
        if before is None or before is service or before == service:
            continue
        name = f"services/{id_}"
        yield from _policy(name, before.policy, service.policy)
        held = {upstream.id: upstream for upstream in before.upstreams}
        published = {upstream.id: upstream for upstream in service.upstreams}
        yield from _membership(f"{name}/upstreams", held, published)
        for server, upstream in published.items():
            if server in held:
                path = f"{name}/upstreams/{server}"
                yield from _fields(path, held[server], upstream)


def _workspaces(old: Mapping[Any, Workspace], new: Mapping[Any, Workspace]) -> Any:
    yield from _membership("workspaces", old, new)
    for id_, workspace in new.items():
        before = old.get(id_)
        if before is None or before is workspace or before == workspace:
            continue
        name = f"workspaces/{id_}"
        yield from _fields(name, before, workspace, skip=("keys",))
        held = {key.id: key for key in before.keys}
        published = {key.id: key for key in workspace.keys}
        yield from _membership(f"{name}/keys", held, published)
        for key, entry in published.items():
            if key in held and held[key] != entry:
                yield f"{name}/keys/{key}: replaced"


def _routes(old: SettingsTree, new: SettingsTree) -> Iterator[str]:
    yield from _membership("routes", old.routes, new.routes)
    for id_, route in new.routes.items():
        before = old.routes.get(id_)
        if before is None or before is route or before == route:
            continue
        name = f"routes/{id_}"
        skip = ("policy", "origins")
        yield from _fields(name, before, route, skip=skip)
        inherited = _inherited(before, route, old, new)
        yield from _policy(name, before.policy, route.policy, skip=inherited)


def _inherited(
    before: Route, after: Route, old: SettingsTree, new: SettingsTree
) -> Collection[str]:
    """Return the settings whose change is already shown at the service."""
    was = old.services.get(before.service)
    now = new.services.get(after.service)
    if was is None or now is None:
        return ()
    return tuple(
        field.name
        for field in POLICY_FIELDS.values()
        if getattr(was.policy, field.name) == getattr(before.policy, field.name)
        and getattr(now.policy, field.name) == getattr(after.policy, field.name)
    )


def _policy(
    name: str, old: Policy, new: Policy, skip: Collection[str] = ()
) -> Iterator[str]:
    for json_name, field in POLICY_FIELDS.items():
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name not in skip:
            yield f"{name}: {json_name} {_text(before)} -> {_text(after)}"


def _fields(name: str, old: Any, new: Any, skip: Collection[str] = ()) -> Iterator[str]:
    if old == new:
        return
    for field in attrs.fields(type(new)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name not in skip:
            yield f"{name}: {field.name} {_text(before)} -> {_text(after)}"


def _membership(
    name: str, old: Mapping[Any, Any], new: Mapping[Any, Any]
) -> Iterator[str]:
    if old.keys() == new.keys():
        return
    for added in sorted(new.keys() - old.keys()):
        yield f"{name}/{added}: added"
    for removed in sorted(old.keys() - new.keys()):
        yield f"{name}/{removed}: removed"


def _text(value: Any) -> str:
    if isinstance(value, frozenset):
        return "{" + ", ".join(sorted(map(str, value))) + "}"
    return str(value)
