"""Responses to operators' read-only requests: JSON reports, health and metrics.

========================  =====================================================
``/v1/status``            all services
``/v1/status/SERVICE``    one service with all its servers
``/v1/hosts``             all hosts of the fleet, as known to this host
``/v1/workspaces``        limits, and what holds each workspace back
``/v1/config``            the revision in force, and how outdated it may be
``/v1/audit?limit=N``     latest events, newest first
``/v1/explain/ROUTE``     effective settings of a route and their origin
``/v1/histograms``        latency histograms that can be merged across hosts
``/metrics``              Prometheus text format
``/healthz``              200 while the load balancer should send callers here
========================  =====================================================
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from attrs import frozen
from loguru import logger

from catkinspan.coordination.audit.coordinator import AUDIT_ENTRIES
from catkinspan.coordination.clock import Clock
from catkinspan.coordination.metrics.models import LatencySeries
from catkinspan.coordination.reports.audit import audit_report
from catkinspan.coordination.reports.clock_reading import ClockReading
from catkinspan.coordination.reports.config import config_report
from catkinspan.coordination.reports.gather import (
    HostFacts,
    ServiceFacts,
    gather_host,
    gather_service,
    gather_workspaces,
)
from catkinspan.coordination.reports.hosts import hosts_report
from catkinspan.coordination.reports.models import HealthReport
from catkinspan.coordination.reports.status import service_report, status_report
from catkinspan.coordination.reports.workspaces import workspaces_report
from catkinspan.protocol.operators.codec import encode_report
from catkinspan.protocol.operators.explain import explain_route
from catkinspan.protocol.operators.histograms import histograms_report
from catkinspan.state.ids import RouteId, ServiceId
from catkinspan.transport.operators.messages import HostReader
from catkinspan.transport.simple_server import (
    SimpleRequest,
    SimpleResponse,
)

DEFAULT_AUDIT_ENTRIES = 100
SERIES_PER_QUERY = 8
"""Histograms per query; encoding them takes about 1 ms of the host task's time."""

MAX_LISTED_NAMES = 50
"""Names listed in the remedy for an unknown service or route."""


@frozen
class OperatorsError:
    """Body of an error response."""

    kind: str
    message: str
    remedy: str


Handler = Callable[[str], Awaitable[SimpleResponse]]


class OperatorsRequests:
    """Responds to operators' requests with immutable data from the host task."""

    def __init__(self, host: HostReader, clock: Clock) -> None:
        self._host = host
        self._clock = clock
        self._handlers: dict[str, Handler] = {
            "/v1/status": self._async_status,
            "/v1/hosts": self._async_hosts,
            "/v1/workspaces": self._async_workspaces,
            "/v1/config": self._async_config,
            "/v1/audit": self._async_audit,
            "/v1/histograms": self._async_histograms,
            "/metrics": self._async_metrics,
            "/healthz": self._async_healthz,
        }
        self._prefix_handlers: dict[str, Handler] = {
            "/v1/status/": self._async_service,
            "/v1/explain/": self._async_explain,
        }

    async def async_respond(self, request: SimpleRequest) -> SimpleResponse:
        """Return the response to a request."""
        if request.method not in ("GET", "HEAD"):
            return _error_response(
                405, "method_not_allowed", "reports are read only", "use GET"
            )
        url = urlsplit(request.target)
        try:
            return await self._async_route(url.path, url.query)
        except TimeoutError:
            message = "the host task did not answer in time"
            return _error_response(
                503, "host_busy", message, "try again, or ask another host"
            )
        except Exception:
            logger.exception("failed to build the response to an operator's request")
            message = "the report could not be built"
            return _error_response(500, "internal_error", message, "see the host's log")

    async def _async_route(self, path: str, query: str) -> SimpleResponse:
        handler = self._handlers.get(path)
        if handler is not None:
            return await handler(query)
        for prefix, prefix_handler in self._prefix_handlers.items():
            if path.startswith(prefix):
                return await prefix_handler(unquote(path.removeprefix(prefix)))
        paths = ", ".join((*self._handlers, "/v1/status/SERVICE", "/v1/explain/ROUTE"))
        return _error_response(404, "not_found", "unknown path", f"use one of: {paths}")

    # Reports

    async def _async_status(self, query: str) -> SimpleResponse:
        facts = await self._host.async_query(gather_host)
        services = await self._async_services(facts)
        workspaces = await self._host.async_query(gather_workspaces)
        draining = self._host.is_draining
        clock_reading = self._clock_reading()
        return _json_response(
            status_report(facts, services, workspaces, draining, clock_reading)
        )

    async def _async_service(self, name: str) -> SimpleResponse:
        facts = await self._host.async_query(gather_host)
        service = await self._async_service_facts(ServiceId(name))
        if service is None:
            return _not_found("service", name, facts.tree.services)
        draining = self._host.is_draining
        return _json_response(
            service_report(facts, service, draining, self._clock_reading())
        )

    async def _async_hosts(self, query: str) -> SimpleResponse:
        facts = await self._host.async_query(gather_host)
        return _json_response(hosts_report(facts, self._clock_reading()))

    async def _async_workspaces(self, query: str) -> SimpleResponse:
        facts = await self._host.async_query(gather_host)
        workspaces = await self._host.async_query(gather_workspaces)
        return _json_response(
            workspaces_report(facts, workspaces, self._clock_reading())
        )

    async def _async_config(self, query: str) -> SimpleResponse:
        facts = await self._host.async_query(gather_host)
        return _json_response(config_report(facts, self._clock_reading()))

    async def _async_audit(self, query: str) -> SimpleResponse:
        limit = _parse_limit(query)
        if limit is None:
            message = "`limit` is not a number of entries"
            remedy = f"write limit=N with N from 1 to {AUDIT_ENTRIES}"
            return _error_response(400, "bad_request", message, remedy)
        facts = await self._host.async_query(gather_host)
        excerpt = await self._host.async_audit(limit)
        clock_reading = self._clock_reading()
        return _json_response(
            audit_report(facts, excerpt.entries, excerpt.recorded, clock_reading)
        )

    async def _async_explain(self, name: str) -> SimpleResponse:
        facts = await self._host.async_query(gather_host)
        route = facts.tree.routes.get(RouteId(name))
        if route is None:
            return _not_found("route", name, facts.tree.routes)
        return _json_response(explain_route(route))

    async def _async_histograms(self, query: str) -> SimpleResponse:
        facts = await self._host.async_query(gather_host)
        latencies = [series async for series in self._async_latencies()]
        return _json_response(
            histograms_report(facts.membership.view.self_id, latencies)
        )

    async def _async_healthz(self, query: str) -> SimpleResponse:
        health = await self._host.async_health()
        status = 200 if health.serving else 503
        return _json_response(HealthReport(health.serving, health.reason), status)

    async def _async_metrics(self, query: str) -> SimpleResponse:
        # Imported on demand: the library takes 6 MB, which a host without metrics
        # requests does not need.
        from catkinspan.protocol.operators.prometheus import (
            CONTENT_TYPE,
            MetricsData,
            encode_metrics,
            latency_quantiles,
        )

        facts = await self._host.async_query(gather_host)
        services = await self._async_services(facts)
        workspaces = await self._host.async_query(gather_workspaces)
        snapshot = await self._host.async_query(lambda c, now: c.metrics.snapshot(now))
        latencies = [
            latency_quantiles(series) async for series in self._async_latencies()
        ]
        clock_reading = self._clock_reading()
        status = status_report(facts, services, workspaces, False, clock_reading)
        metrics = MetricsData(
            snapshot,
            tuple(latencies),
            status.services,
            config_report(facts, clock_reading),
            await self._host.async_peer_sent_bytes(),
            await self._host.async_control_bytes_by_kind(),
            self._host.dropped_frames,
        )
        headers = {"Content-Type": CONTENT_TYPE}
        return SimpleResponse(200, encode_metrics(metrics), headers)

    async def _async_latencies(self) -> AsyncIterator[LatencySeries]:
        """Yield all series; connection tasks can run between two of them."""
        start = 0
        while part := await self._async_series(start):
            start += len(part)
            for series in part:
                await asyncio.sleep(0)
                yield series

    async def _async_series(self, start: int) -> tuple[LatencySeries, ...]:
        return await self._host.async_query(
            lambda c, now: c.metrics.latencies(start, SERIES_PER_QUERY)
        )

    async def _async_services(self, facts: HostFacts) -> list[ServiceFacts]:
        """Query one service at a time, so that no query takes long."""
        found = [await self._async_service_facts(name) for name in facts.tree.services]
        return [service for service in found if service is not None]

    async def _async_service_facts(self, name: ServiceId) -> ServiceFacts | None:
        return await self._host.async_query(
            lambda coordinator, now: gather_service(coordinator, name, now)
        )

    def _clock_reading(self) -> ClockReading:
        return ClockReading(self._clock.monotonic(), self._clock.now())


def _json_response(report: Any, status: int = 200) -> SimpleResponse:
    headers = {"Content-Type": "application/json", "Cache-Control": "no-store"}
    return SimpleResponse(status, encode_report(report), headers)


def _error_response(
    status: int, kind: str, message: str, remedy: str
) -> SimpleResponse:
    return _json_response(OperatorsError(kind, message, remedy), status)


def _not_found(resource: str, name: str, known: Any) -> SimpleResponse:
    names = sorted(known)
    shown = ", ".join(names[:MAX_LISTED_NAMES])
    more = (
        f" and {len(names) - MAX_LISTED_NAMES} more"
        if len(names) > MAX_LISTED_NAMES
        else ""
    )
    message = f"no {resource} {name!r:.100}"
    return _error_response(
        404, f"{resource}_not_found", message, f"name one of: {shown}{more}"
    )


def _parse_limit(query: str) -> int | None:
    text = parse_qs(query).get("limit", [str(DEFAULT_AUDIT_ENTRIES)])[-1]
    if not text.isascii() or not text.isdigit():
        return None
    limit = int(text[:9])
    return limit if 1 <= limit <= AUDIT_ENTRIES else None
