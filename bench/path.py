"""Real time: the path through a host against going straight to the stand-in.

Both variants run in this process, one after the other, so the ratio is what counts;
the absolute figures vary with the machine.
"""

import asyncio
import time
from datetime import UTC, datetime
from typing import Any

import h11
from attrs import frozen
from hdrh.histogram import HdrHistogram

from catkinspan.daemon.demo import DEMO_KEY, DemoFleet
from catkinspan.daemon.logs import set_up_logs
from catkinspan.state.tree import Address

FIRST_PORT = 19000
REQUESTS = 2000
RATE_REQUESTS = 4000
CALLERS = 16
LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3


@frozen
class Measurement:
    """Latencies in microseconds and processor time of one variant."""

    histogram: HdrHistogram
    seconds: float
    cpu_seconds: float

    @property
    def count(self) -> int:
        """Return the number of requests."""
        return int(self.histogram.get_total_count())

    def latency(self, percentile: float) -> int:
        """Return a percentile of the latency in microseconds."""
        return int(self.histogram.get_value_at_percentile(percentile))


class BenchCaller:
    """Sends requests over one kept connection."""

    def __init__(self, address: Address) -> None:
        self._address = address

    async def async_connect(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            self._address.ip, self._address.port
        )
        self._http = h11.Connection(h11.CLIENT)

    async def async_request(self) -> int:
        """Send a request and return the status of the answer."""
        headers = [
            ("Host", "fleet.example"),
            ("Authorization", f"Bearer {DEMO_KEY}"),
            ("X-Request-Id", "bench"),
        ]
        request = h11.Request(method="GET", target="/repairs/17", headers=headers)
        self._writer.write(
            (self._http.send(request) or b"")
            + (self._http.send(h11.EndOfMessage()) or b"")
        )
        status = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                self._http.start_next_cycle()
                return status

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def async_measure(address: Address, callers: int, requests: int) -> Measurement:
    """Send requests with a number of callers at once; all must succeed."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)

    async def async_call() -> None:
        caller = BenchCaller(address)
        await caller.async_connect()
        for _ in range(requests // callers):
            started = time.perf_counter()
            status = await caller.async_request()
            histogram.record_value(int((time.perf_counter() - started) * 1e6))
            if status != 200:
                raise RuntimeError(f"status {status} in the bench; is the rate high?")
        caller.close()

    started, cpu = time.perf_counter(), time.process_time()
    await asyncio.gather(*(async_call() for _ in range(callers)))
    return Measurement(
        histogram, time.perf_counter() - started, time.process_time() - cpu
    )


class BenchFleet(DemoFleet):
    """The demo's fleet without limits that would refuse the bench's requests."""

    def settings_tree(self) -> dict[str, Any]:
        """Return the demo's tree with a high rate."""
        tree = super().settings_tree()
        tree["workspaces"]["museo"].update({"rate": 1e6, "burst": 1e6})
        return tree


async def async_run() -> None:
    """Measure both variants and print them."""
    set_up_logs("ERROR", as_json=False)
    fleet = BenchFleet(FIRST_PORT, slots=100, service_seconds=0.0)
    await fleet.async_start()
    direct_address, _ = fleet.upstreams[0]
    host_address = fleet.hosts[0].settings.callers
    await async_warm_up(host_address)
    print(f"path, real time, {datetime.now(UTC):%Y-%m-%d}")
    print("  variant              p50 us   p99 us   requests/s   cpu us/request")
    for callers, requests in ((1, REQUESTS), (CALLERS, RATE_REQUESTS)):
        direct = await async_measure(direct_address, callers, requests)
        through = await async_measure(host_address, callers, requests)
        print_variant(f"direct, {callers} callers", direct)
        print_variant(f"host, {callers} callers", through)
        added = [through.latency(p) - direct.latency(p) for p in (50, 99)]
        print(f"  added by the host    {added[0]:>6}   {added[1]:>6}")
    await fleet.async_stop()


async def async_warm_up(address: Address) -> None:
    """Wait until the host has tokens for the bench's workspace."""
    caller = BenchCaller(address)
    await caller.async_connect()
    while await caller.async_request() != 200:  # noqa: ASYNC110
        await asyncio.sleep(0.1)
    caller.close()


def print_variant(name: str, measured: Measurement) -> None:
    """Print one line of the table."""
    rate = measured.count / measured.seconds
    cpu = measured.cpu_seconds / measured.count * 1e6
    print(
        f"  {name:<20} {measured.latency(50):>6}   {measured.latency(99):>6}"
        f"   {rate:>10.0f}   {cpu:>14.0f}"
    )


def run() -> None:
    """Print the real-time figures of the path."""
    asyncio.run(async_run())


if __name__ == "__main__":
    run()
