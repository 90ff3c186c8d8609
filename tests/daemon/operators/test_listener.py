"""Guards the listener: no secret leaves it, and faults are answered."""

from io import StringIO

import pytest
from loguru import logger
from prometheus_client.parser import text_string_to_metric_families

from catkinspan.transport.http_client import Answer, async_fetch
from tests.daemon.operators.fleet import KEY, SmallFleet, digest, small_fleet

PATHS = (
    "/v1/status",
    "/v1/status/accettazione",
    "/v1/hosts",
    "/v1/workspaces",
    "/v1/config",
    "/v1/audit?limit=2000",
    "/v1/explain/accettazione%2Frepairs",
    "/v1/histograms",
    "/metrics",
    "/healthz",
)
SHOWN_CHARS = 12


async def ask(fleet: SmallFleet, path: str, method: str = "GET") -> Answer:
    address = fleet.node.operators_address
    return await async_fetch(address, path, 30.0, method=method)


async def test_no_answer_and_no_log_line_holds_a_secret() -> None:
    """A key, or a whole digest to compare keys with, must not leave the host."""
    log = StringIO()
    handler = logger.add(log, level="DEBUG", diagnose=False)
    wrong = "a-wrong-key-that-must-not-appear-either"
    try:
        async with small_fleet() as fleet:
            await fleet.serve("/repairs/1", 1)
            assert await fleet.get("/repairs/2", wrong) == 401
            fleet.tree["workspaces"]["museum"]["keys"] = []
            await fleet.publish()
            assert await fleet.get("/repairs/3") == 401
            fleet.tree["workspaces"]["museum"]["keys"] = [
                {"id": "second", "sha256": digest()}
            ]
            await fleet.publish()
            answers = {path: await ask(fleet, path) for path in PATHS}
    finally:
        logger.remove(handler)
    for path, answer in answers.items():
        assert answer.status == 200, path
        text = answer.body.decode()
        for secret in (KEY, wrong, digest()[: SHOWN_CHARS + 1], digest(wrong)):
            assert secret not in text, path
    for secret in (KEY, wrong, digest()[: SHOWN_CHARS + 1]):
        assert secret not in log.getvalue()
    shown = digest()[:SHOWN_CHARS]
    assert shown in answers["/v1/workspaces"].body.decode()
    assert shown in answers["/v1/audit?limit=2000"].body.decode()


async def test_healthz_follows_the_drain() -> None:
    async with small_fleet() as fleet:
        assert (await ask(fleet, "/healthz")).status == 200
        await fleet.node.async_drain()
        answer = await ask(fleet, "/healthz")
        assert answer.status == 503
        assert b"draining" in answer.body


@pytest.mark.parametrize(
    ("path", "method", "status"),
    [
        ("/v1/nothing", "GET", 404),
        ("/v1/status/none", "GET", 404),
        ("/v1/explain/none", "GET", 404),
        ("/v1/audit?limit=all", "GET", 400),
        ("/v1/audit?limit=0", "GET", 400),
        ("/v1/status", "POST", 405),
    ],
)
async def test_faults_are_answered_with_a_remedy(
    path: str, method: str, status: int
) -> None:
    async with small_fleet() as fleet:
        answer = await ask(fleet, path, method)
        assert answer.status == status
        assert b'"remedy"' in answer.body


async def test_metrics_are_in_the_prometheus_format() -> None:
    async with small_fleet() as fleet:
        await fleet.serve("/repairs/1", 2)
        await fleet.get("/repairs/2", "unknown-key")
        await fleet.until(
            lambda c, now: c.metrics.snapshot(now).refusals.get("key_unknown")
        )
        text = (await ask(fleet, "/metrics")).body.decode()
    samples = {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert samples[("catkinspan_refusals_total", "key_unknown")] == 1
    requests = ("catkinspan_requests_total", "accettazione", "passed")
    assert samples[requests] == 2
    latency = ("catkinspan_request_seconds_count", "accettazione", "museum")
    assert samples[latency] == 2
    p99 = ("catkinspan_request_seconds", "0.99", "accettazione", "museum")
    assert samples[p99] > 0
    assert samples[("catkinspan_service_state", "accettazione")] == 0
    assert samples[("catkinspan_revision",)] == 1
