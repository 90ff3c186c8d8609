"""Reading of the published routes; an unusable one does not affect the others."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import evolve, frozen

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.platform import names
from catkinspan.protocol.settings.reader import FaultList, ObjectReader
from catkinspan.state.ids import RouteId, ServiceId
from catkinspan.state.policy import POLICY_FIELDS, Policy
from catkinspan.state.tree import Route, RouteMatch, WeightedService

MAX_WEIGHT = 1e9
MAX_ATTEMPTS = 1000
MAX_PRIORITY = 1000
IDEMPOTENT_KINDS = frozenset({names.SAFE, names.DOWNLOAD})
KNOWN_KINDS = IDEMPOTENT_KINDS | {names.UNSAFE}
NO_SERVICE = ServiceId("")

_ORIGIN = "platform"


@frozen
class PublishedRoutes:
    """The routes of a configuration, unusable ones included."""

    routes: Mapping[RouteId, Route]
    are_complete: bool
    """Whether the host and the path prefix of every route are known."""


@frozen
class _Destination:
    """Where the requests of a route go, and why this cannot be read."""

    parts: tuple[WeightedService, ...]
    is_split: bool
    fault: str


def read_routes(
    reader: ObjectReader,
    base: Policy,
    services: frozenset[ServiceId],
    tolerated: FaultList,
) -> PublishedRoutes:
    """Read all routes; `tolerated` gets the faults that leave the rest usable.

    A route whose service or split cannot be read is kept as unusable. One whose host or
    path prefix cannot be read is left out.
    """
    routes_reader = _RoutesReader(base, services)
    published = routes_reader.read(reader)
    tolerated.faults += routes_reader.faults
    return published


class _RoutesReader:
    """Reads routes and collects their faults by what these lead to."""

    def __init__(self, base: Policy, services: frozenset[ServiceId]) -> None:
        self._base = base
        self._services = services
        self._routes: dict[RouteId, Route] = {}
        self._unmatched = FaultList("requests without a route may belong to it")
        self._unusable = FaultList("its requests are refused")
        self._defaulted = FaultList("the default is used")

    @property
    def faults(self) -> list[SettingsFault]:
        """Return all faults."""
        lists = (self._unmatched, self._unusable, self._defaulted)
        return [fault for faults in lists for fault in faults.faults]

    def read(self, reader: ObjectReader) -> PublishedRoutes:
        """Return the routes of all listeners."""
        listeners = reader.reporting_to(self._unmatched).items(names.LISTENERS)
        for listener in listeners:
            host = listener.string(names.HOST).lower()
            for index, rule in enumerate(listener.items(names.RULES)):
                prefix = _read_prefix(rule)
                if host and prefix:
                    self._read_route(host, prefix, index, rule)
        return PublishedRoutes(self._routes, not self._unmatched.faults)

    def _read_route(
        self, host: str, prefix: str, index: int, rule: ObjectReader
    ) -> None:
        defaulting = rule.reporting_to(self._defaulted)
        name = defaulting.string(names.NAME)
        route_id = RouteId(f"{host}/{name}")
        if not name or route_id in self._routes:
            route_id = RouteId(f"{host}/{name}#{index}")
        destination = self._read_destination(rule)
        self._routes[route_id] = Route(
            id=route_id,
            service=destination.parts[0].service if destination.parts else NO_SERVICE,
            match=RouteMatch(prefix, host=host),
            policy=self._read_policy(defaulting),
            origins=dict.fromkeys(POLICY_FIELDS, _ORIGIN),
            split=destination.parts if destination.is_split else (),
            fault=destination.fault,
        )

    def _read_destination(self, rule: ObjectReader) -> _Destination:
        faults = FaultList(self._unusable.consequence)
        action = rule.reporting_to(faults).child(names.ACTION)
        is_split = action.has(names.TRAFFIC_SPLIT)
        parts = (
            _read_split(action)
            if is_split
            else (WeightedService(ServiceId(action.string(names.SERVICE)), 1.0),)
        )
        for name in {part.service for part in parts} - self._services - {NO_SERVICE}:
            message = f"unknown cluster {name!r:.80}"
            action.add_fault(names.SERVICE, message, "name a cluster")
        self._unusable.faults += faults.faults
        fault = str(faults.faults[0]) if faults.faults else ""
        return _Destination(parts, is_split, fault)

    def _read_policy(self, rule: ObjectReader) -> Policy:
        """Read the settings beside the destination, which have a cautious default."""
        base = self._base
        action = rule.child(names.ACTION)
        timeout = action.duration_ms(names.TIMEOUT_MS, base.deadline)
        return evolve(
            base,
            open=base.open or rule.boolean(names.PUBLIC, False),
            idempotent=_read_kind(rule) in IDEMPOTENT_KINDS,
            deadline=timeout,
            attempt_timeout=timeout,
            max_attempts=action.integer(names.MAX_ATTEMPTS, 1, 1, MAX_ATTEMPTS),
            target_latency=_read_target_latency(rule),
            priority=rule.integer(names.PRIORITY, base.priority, 0, MAX_PRIORITY),
        )


def _read_prefix(rule: ObjectReader) -> str:
    match = rule.child(names.MATCH)
    prefix = match.string(names.PATH_PREFIX)
    if prefix and not prefix.startswith("/"):
        match.add_fault(names.PATH_PREFIX, "not a path", "begin it with a slash")
        return ""
    return prefix


def _read_kind(rule: ObjectReader) -> str:
    """Return the kind; requests of an unknown one run at most once."""
    kind = rule.string(names.KIND)
    if kind and kind not in KNOWN_KINDS:
        message = f"unknown kind {kind!r:.40}, read as {names.UNSAFE!r}"
        rule.add_fault(names.KIND, message, f"write {', '.join(sorted(KNOWN_KINDS))}")
    return kind


def _read_target_latency(rule: ObjectReader) -> timedelta | None:
    if not rule.has(names.TARGET_LATENCY_MS):
        return None
    return rule.duration_ms(names.TARGET_LATENCY_MS, timedelta(seconds=1))


def _read_split(action: ObjectReader) -> tuple[WeightedService, ...]:
    parts = tuple(
        WeightedService(
            ServiceId(part.string(names.SERVICE)),
            part.number(names.WEIGHT, None, 0.0, MAX_WEIGHT),
        )
        for part in action.items(names.TRAFFIC_SPLIT)
    )
    if not any(part.weight for part in parts):
        remedy = "give one part a weight above 0"
        action.add_fault(names.TRAFFIC_SPLIT, "no part has a weight", remedy)
    return parts
