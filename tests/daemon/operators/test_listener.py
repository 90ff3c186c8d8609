"""Tests of the operators' listener: secrets, faults and metrics."""

from io import StringIO

import pytest
from loguru import logger
from prometheus_client.parser import text_string_to_metric_families

from catkinspan.coordination.metrics.models import MetricsSnapshot
from catkinspan.transport.http_client import FetchResponse, async_fetch
from tests.daemon.operators.fleet import publish_tree, wait_until
from tests.fleet import KEY, TEST_TIMEOUT_SECONDS, Fleet, digest, request, running_fleet

PATHS = (
    "/v1/status",
    "/v1/status/catalogue",
    "/v1/hosts",
    "/v1/workspaces",
    "/v1/config",
    "/v1/audit?limit=2000",
    "/v1/explain/catalogue%2Flinked",
    "/v1/histograms",
    "/metrics",
    "/healthz",
)
DIGEST_PREFIX_CHARS = 12
WRONG_KEY = "a-wrong-key-that-must-not-appear-either"


async def fetch(fleet: Fleet, path: str, method: str = "GET") -> FetchResponse:
    address = fleet.hosts[0].operators_address
    return await async_fetch(address, path, TEST_TIMEOUT_SECONDS, method=method)


async def test_no_response_and_no_log_line_contains_a_secret() -> None:
    """Guards against leaked keys, and whole digests that would verify a guessed key."""
    log = StringIO()
    handler = logger.add(log, level="DEBUG", diagnose=False)
    try:
        async with running_fleet() as fleet:
            await use_and_change_keys(fleet)
            answers = {path: await fetch(fleet, path) for path in PATHS}
    finally:
        logger.remove(handler)
    for path, answer in answers.items():
        assert answer.status == 200, path
    digest_prefix = digest(KEY)[:DIGEST_PREFIX_CHARS]
    assert digest_prefix in answers["/v1/workspaces"].body.decode()
    assert digest_prefix in answers["/v1/audit?limit=2000"].body.decode()
    outputs = {path: answer.body.decode() for path, answer in answers.items()}
    outputs["the log"] = log.getvalue()
    for source, text in outputs.items():
        for secret in (KEY, WRONG_KEY, digest(KEY)[: DIGEST_PREFIX_CHARS + 1]):
            assert secret not in text, source


async def use_and_change_keys(fleet: Fleet) -> None:
    """Send valid and wrong keys in each place, then withdraw and add a key."""
    address = fleet.hosts[0].callers_address
    assert (await request(address, "/suites")).status == 200
    assert (await request(address, f"/linked?key={KEY}", key=None)).status == 200
    for target in ("/suites", f"/linked?key={WRONG_KEY}", f"/{WRONG_KEY}/x"):
        assert (await request(address, target, key=WRONG_KEY)).status >= 400
    assert (await request(address, f"/suites/{KEY}")).status >= 400
    fleet.tree["workspaces"]["studio"]["keys"] = []
    await publish_tree(fleet)
    assert (await request(address, "/suites")).status == 401
    fleet.tree["workspaces"]["studio"]["keys"] = [{"id": "k2", "sha256": digest(KEY)}]
    await publish_tree(fleet)


async def test_healthz_follows_the_drain() -> None:
    async with running_fleet() as fleet:
        assert (await fetch(fleet, "/healthz")).status == 200
        await fleet.hosts[0].async_drain()
        answer = await fetch(fleet, "/healthz")
        assert answer.status == 503
        assert b"draining" in answer.body


@pytest.mark.asyncio(loop_scope="module")
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
async def test_faulty_request_gets_a_remedy(
    fleet: Fleet, path: str, method: str, status: int
) -> None:
    answer = await fetch(fleet, path, method)
    assert answer.status == status
    assert b'"remedy"' in answer.body


def has_counted_both(snapshot: MetricsSnapshot) -> bool:
    served = snapshot.requests.get(("catalogue", "passed"))
    return served == 2 and snapshot.refusals.get("key_unknown") == 1


async def test_metrics_are_in_the_prometheus_format() -> None:
    async with running_fleet() as fleet:
        address = fleet.hosts[0].callers_address
        assert (await request(address, "/suites")).status == 200
        assert (await request(address, "/suites", key="unknown")).status == 401
        # The warm-up request of the host counts as well.
        await wait_until(
            fleet, lambda c, now: has_counted_both(c.metrics.snapshot(now))
        )
        text = (await fetch(fleet, "/metrics")).body.decode()
    samples = {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert samples[("catkinspan_refusals_total", "key_unknown")] == 1
    assert samples[("catkinspan_requests_total", "catalogue", "passed")] == 2
    latency = ("catkinspan_request_seconds_count", "catalogue", "studio")
    assert samples[latency] == 2
    assert samples[("catkinspan_request_seconds", "0.99", "catalogue", "studio")] > 0
    assert samples[("catkinspan_service_state", "catalogue")] == 0
    assert samples[("catkinspan_revision",)] == 1
    assert samples[("catkinspan_peer_message_bytes_total", "Heartbeat")] > 0
