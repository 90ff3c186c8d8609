"""The effective settings of a route as JSON."""

from typing import Any

from attrs import Factory, frozen

from catkinspan.protocol.settings.policy import format_setting
from catkinspan.state.policy import POLICY_FIELDS
from catkinspan.state.tree import Route


@frozen
class SettingLine:
    """One effective setting with its origin, the tree level that sets it."""

    value: Any
    unit: str
    origin: str


@frozen
class RouteExplanation:
    """Response to ``explain``."""

    route: str
    service: str
    path_prefix: str
    methods: tuple[str, ...]
    host: str | None
    settings: dict[str, SettingLine] = Factory(dict)


def explain_route(route: Route) -> RouteExplanation:
    """Return the value, unit and origin of each setting of a route."""
    settings = {
        name: SettingLine(
            format_setting(getattr(route.policy, attribute.name)),
            attribute.metadata["unit"],
            route.origins[name],
        )
        for name, attribute in POLICY_FIELDS.items()
    }
    match = route.match
    methods = tuple(sorted(match.methods))
    return RouteExplanation(
        route.id, route.service, match.path_prefix, methods, match.host, settings
    )
