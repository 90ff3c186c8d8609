"""Tests that the log line of a refusal tells what the host knew."""

from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from catkinspan.coordination.keys.coordinator import digest_of
from catkinspan.coordination.requests.models import Refused, RequestArrived
from catkinspan.daemon.request_log import HostKnowledge, RequestLog
from catkinspan.state.ids import HostId, RequestId, Revision
from tests.virtual_fleet import virtual_fleet

WRONG_KEY = "mistyped-key"


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    records: list[dict[str, Any]] = []
    sink = logger.add(lambda line: records.append(dict(line.record)), level="INFO")
    yield records
    logger.remove(sink)


def _refuse_wrong_key() -> Refused:
    coordinator = next(iter(virtual_fleet(3).hosts.values())).coordinator
    request = RequestArrived(
        RequestId("r1"), "GET", "shop.example", "/jobs/1", presented_key=WRONG_KEY
    )
    coordinator.handle_request(request, 3.0)
    (directive,) = coordinator.outbox.take_directives()
    assert isinstance(directive, Refused)
    return directive


def test_refusal_line_tells_what_the_host_knew(lines: list[dict[str, Any]]) -> None:
    """Guards against a 401 whose cause, a wrong key or old settings, is unknown."""
    known = HostKnowledge(Revision(7), 0.25, 1.5, HostId("hub-1"))
    RequestLog().log_refusal(_refuse_wrong_key(), known, 3.0)
    extra = lines[-1]["extra"]
    assert extra["evidence"] == f"key {digest_of(WRONG_KEY).hex()[:12]}"
    assert (extra["revision"], extra["store_age_ms"]) == (7, 250)
    assert extra["copy_age_ms"] == 1500
    assert extra["hub"] == "hub-1"
    assert WRONG_KEY not in str(lines)
