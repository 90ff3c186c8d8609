"""A stand-in for an upstream server with a slot limit and configurable faults.

``POST /operators/fault`` with a JSON body of `UpstreamFaults` members replaces the
active faults; ``GET /operators/runs`` returns how often each request ran.
"""

import asyncio
import ssl
from collections import Counter
from random import Random

import cattrs
import orjson
from attrs import field, frozen

from catkinspan.standin.http_server import FaultyResponse, FaultyServer
from catkinspan.state.tree import Address
from catkinspan.transport.simple_server import (
    AbortConnectionError,
    SimpleRequest,
    SimpleResponse,
)

HANG_SECONDS = 3600.0
COLD_SLOWDOWN_FACTOR = 10.0
"""Factor on the service time of the first `cold_requests` requests after a start."""


@frozen
class UpstreamFaults:
    """Active faults; the default has none."""

    slow_factor: float = 1.0
    error_share: float = 0.0
    """Share of requests that get a 500 response."""

    truncate_share: float = 0.0
    cross_share: float = 0.0
    """Share of responses that carry the id of another request."""

    late_bytes_share: float = 0.0
    """Share of responses followed by bytes that belong to no response."""

    reset_share: float = 0.0
    """Share of requests whose connection is closed after they ran."""

    hang: bool = False
    """Accept requests and never respond; the health endpoint still responds."""

    shed_all: bool = False
    draining: bool = False
    cold_requests: int = 0
    crash_on: str = ""
    """Close all connections when a request's path contains this text."""


@frozen
class UpstreamOptions:
    """Behaviour of a stand-in server without faults."""

    name: str
    service: str
    slots: int = 3
    queue_capacity: int = 2
    """Requests that may wait for a slot; further ones are shed."""

    service_seconds: float = 0.01
    body_bytes: int = 200
    seed: int = 1


@frozen
class Run:
    """A request that took a slot and started to run."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str] = field(repr=False)
    body_bytes: int


class StandinUpstream:
    """Runs requests in a limited number of slots and records each run."""

    def __init__(self, options: UpstreamOptions) -> None:
        self._options = options
        self._faults = UpstreamFaults()
        self._rng = Random(options.seed)
        self._slots = asyncio.Semaphore(options.slots)
        self._waiting = 0
        self._runs: list[Run] = []
        self._cancelled_count = 0
        self._shed = 0
        self._server = FaultyServer(self._async_handle)

    @property
    def options(self) -> UpstreamOptions:
        """Return the options of the server."""
        return self._options

    @property
    def runs(self) -> tuple[Run, ...]:
        """Return all requests that ran, in the order in which they started."""
        return tuple(self._runs)

    @property
    def run_counts(self) -> Counter[str]:
        """Return the number of runs by request id."""
        return Counter(run.request_id for run in self._runs)

    @property
    def cancelled_count(self) -> int:
        """Return the number of requests that were cancelled while they ran."""
        return self._cancelled_count

    @property
    def shed(self) -> int:
        """Return the number of requests refused for lack of a free slot."""
        return self._shed

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return self._server.open_connections

    def set_faults(self, faults: UpstreamFaults) -> None:
        """Replace the active faults."""
        self._faults = faults

    async def async_start(
        self, address: Address, tls: ssl.SSLContext | None = None
    ) -> Address:
        """Start listening and return the bound address."""
        return await self._server.async_start(address, tls)

    async def async_stop(self) -> None:
        """Close all connections immediately, as a crash does."""
        await self._server.async_stop()

    async def _async_handle(self, request: SimpleRequest) -> SimpleResponse:
        if request.path.startswith("/operators/"):
            return self._handle_operators_request(request)
        if request.path == "/healthz":
            return SimpleResponse(200, b"ok\n")
        if self._faults.draining:
            headers = {
                "X-Draining": "1",
                "X-Request-Ran": "no",
                "X-Request-Id": request.headers.get("x-request-id", ""),
                "Connection": "close",
            }
            return SimpleResponse(503, b"draining\n", headers)
        is_queue_full = (
            self._slots.locked() and self._waiting >= self._options.queue_capacity
        )
        if is_queue_full or self._faults.shed_all:
            self._shed += 1
            request_id = request.headers.get("x-request-id", "")
            headers = {"X-Request-Ran": "no", "X-Request-Id": request_id}
            return SimpleResponse(503, b"no free slot\n", headers)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._async_run(request)
        except asyncio.CancelledError:
            self._cancelled_count += 1
            raise
        finally:
            self._slots.release()

    async def _async_run(self, request: SimpleRequest) -> SimpleResponse:
        faults = self._faults
        request_id = request.headers.get("x-request-id", "")
        run = Run(
            request_id,
            request.method,
            request.target,
            request.headers,
            len(request.body),
        )
        self._runs.append(run)
        if faults.crash_on and faults.crash_on in request.path:
            await self._server.async_stop()
            raise AbortConnectionError
        if faults.hang:
            await asyncio.sleep(HANG_SECONDS)
        await asyncio.sleep(self._service_seconds(faults))
        if self._rng.random() < faults.reset_share:
            raise AbortConnectionError
        return self._respond(request, request_id, faults)

    def _service_seconds(self, faults: UpstreamFaults) -> float:
        seconds = self._options.service_seconds * faults.slow_factor
        if len(self._runs) <= faults.cold_requests:
            seconds *= COLD_SLOWDOWN_FACTOR
        return seconds

    def _respond(
        self, request: SimpleRequest, request_id: str, faults: UpstreamFaults
    ) -> SimpleResponse:
        if self._rng.random() < faults.error_share:
            return SimpleResponse(500, b"fault\n", {"X-Request-Id": request_id})
        response_id = request_id
        if self._rng.random() < faults.cross_share:
            response_id = "another-request"
        body = self._response_body(request, request_id)
        truncate_at = (
            len(body) // 2 if self._rng.random() < faults.truncate_share else None
        )
        has_late_bytes = self._rng.random() < faults.late_bytes_share
        return FaultyResponse(
            200,
            body,
            {"X-Request-Id": response_id, "X-Server": self._options.name},
            chunked="chunked" in request.target,
            cut_after=truncate_at,
            late_bytes=b"HTTP/1.1 200 OK\r\n\r\n" if has_late_bytes else b"",
        )

    def _response_body(self, request: SimpleRequest, request_id: str) -> bytes:
        content = {
            "service": self._options.service,
            "server": self._options.name,
            "request_id": request_id,
            "method": request.method,
            "target": request.target,
            "received_bytes": len(request.body),
        }
        encoded = orjson.dumps(content) + b"\n"
        return encoded + b"." * max(0, self._options.body_bytes - len(encoded))

    def _handle_operators_request(self, request: SimpleRequest) -> SimpleResponse:
        if request.path == "/operators/fault" and request.method == "POST":
            try:
                self._faults = cattrs.structure(
                    orjson.loads(request.body), UpstreamFaults
                )
            except Exception as error:  # noqa: BLE001 - cattrs raises many exception types
                return SimpleResponse(400, f"{error}\n".encode())
            return SimpleResponse(200, orjson.dumps(cattrs.unstructure(self._faults)))
        if request.path == "/operators/runs":
            return SimpleResponse(200, orjson.dumps(dict(self.run_counts)))
        return SimpleResponse(404, b"unknown operators' request\n")
