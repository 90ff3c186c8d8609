"""Tests deployments whose size and layout differ from the simulated scenarios."""

import json
from collections import Counter
from datetime import timedelta
from random import Random
from typing import Any

from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.platform.configuration import PlatformDocuments
from catkinspan.state.ids import HostId, RequestId
from catkinspan.testing.hosts import (
    ResponsePolicy,
    VirtualAttempt,
    VirtualFleet,
    always_ok,
)
from tests.platform.entries import KEY, configuration, server_entry
from tests.virtual_fleet import host_records

APPLY_SECONDS = 2.0
"""Time until a configuration is active (the platform's `config_apply_ms`)."""

MAX_SHARE_DEVIATION = 0.1
"""Largest deviation of a service's share in a split route (the sites' `weight_off`)."""


def _fleet(
    hosts: int,
    documents: dict[str, str],
    data_centres: tuple[str, ...] = ("north", "east", "south"),
    respond: ResponsePolicy = always_ok,
) -> VirtualFleet:
    fleet = VirtualFleet(
        host_records(hosts, data_centres),
        documents,
        PlatformDocuments,
        Random(1),
        respond,
    )
    fleet.channel.run(3.0)
    return fleet


def _send(
    fleet: VirtualFleet, count: int, path: str, key: str | None = KEY
) -> list[tuple[HostId, RequestId]]:
    """Send ten requests per second to the hosts in turn and wait for their results."""
    sent = []
    names = list(fleet.hosts)
    for number in range(count):
        fleet.channel.run(fleet.channel.now + 0.1)
        host, request_id = names[number % len(names)], RequestId(f"r{number}")
        arrived = RequestArrived(
            request_id,
            "GET",
            "ficu95.example",
            path,
            presented_key=key,
            deadline=timedelta(seconds=3),
        )
        fleet.submit_request(host, arrived)
        sent.append((host, request_id))
    fleet.channel.run(fleet.channel.now + 3.0)
    return sent


def _served(fleet: VirtualFleet, sent: list[tuple[HostId, RequestId]]) -> int:
    return sum(request in fleet.hosts[host].finished for host, request in sent)


def _rule(name: str, prefix: str, **action: Any) -> dict[str, Any]:
    return {
        "name": name,
        "kind": "safe",
        "target_latency_ms": 800,
        "priority": 1,
        "public": False,
        "match": {"path_prefix": prefix},
        "action": {"timeout_ms": 2000, "max_attempts": 2, **action},
    }


def _listeners(*rules: dict[str, Any]) -> list[dict[str, Any]]:
    return [{"host": "ficu95.example", "rules": list(rules)}]


def _clusters(*names: str) -> list[dict[str, Any]]:
    return [
        {"name": name, "health_path": "/health", "max_conns": 360} for name in names
    ]


def test_two_hosts_in_one_data_centre_serve() -> None:
    documents = {"op/config": configuration(), "servers/i-0": server_entry(0)}
    fleet = _fleet(2, documents, data_centres=("north",))
    sent = _send(fleet, 40, "/pufi791/x")
    assert _served(fleet, sent) == len(sent)


def test_single_server_stays_in_use_after_a_period_of_timeouts() -> None:
    """Without an alternative, an unhealthy server is used instead of refusing."""

    def respond(attempt: VirtualAttempt, rng: Random) -> tuple[OutcomeKind, float]:
        if 4.0 <= attempt.started_at < 6.0:
            return OutcomeKind.TIMEOUT, 1.0
        return OutcomeKind.OK, 0.05

    documents = {"op/config": configuration(), "servers/i-0": server_entry(0)}
    fleet = _fleet(6, documents, respond=respond)
    sent = _send(fleet, 120, "/pufi791/x")
    after = sent[40:]
    assert _served(fleet, after) == len(after)
    refusals = [r for host in fleet.hosts.values() for r in host.refusals.values()]
    assert len(refusals) <= 30


def test_deployment_without_tenants_serves_callers_without_a_key() -> None:
    decoded = json.loads(configuration())
    del decoded["tenants"]
    documents = {"op/config": json.dumps(decoded), "servers/i-0": server_entry(0)}
    fleet = _fleet(6, documents)
    sent = _send(fleet, 40, "/pufi791/x", key=None)
    assert _served(fleet, sent) == len(sent)


def test_route_split_three_ways_keeps_its_weights() -> None:
    weights = {"huvo11a": 50, "wuno96b": 30, "zara22c": 20}
    split = [{"service": name, "weight": weights[name]} for name in weights]
    documents = {
        "op/config": configuration(
            rate=1000,
            listeners=_listeners(_rule("r-1", "/x/", traffic_split=split)),
            clusters=_clusters(*weights),
        )
    }
    for number, name in enumerate([*weights, *weights]):
        info = {"service": name, "version": "v1", "zone": "north", "slots": 3}
        documents[f"servers/i-{number}"] = server_entry(number, info=info)
    fleet = _fleet(6, documents)
    sent = _send(fleet, 400, "/x/y")
    assert _served(fleet, sent) == len(sent)
    counts = Counter(attempt.assigned.service for attempt in fleet.attempts)
    for name, weight in weights.items():
        assert abs(counts[name] / len(sent) - weight / 100) <= MAX_SHARE_DEVIATION


def test_change_of_four_hundred_routes_reaches_every_host() -> None:
    """A configuration that exceeds one datagram is sent over the stream connections."""
    documents = {"op/config": configuration(), "servers/i-0": server_entry(0)}
    fleet = _fleet(12, documents)
    rules = [_rule(f"r-{n}", f"/new{n}/", service="huvo11a") for n in range(400)]
    fleet.store.put(
        {"op/config": configuration(version=9, listeners=_listeners(*rules))}
    )
    fleet.channel.run(fleet.channel.now + APPLY_SECONDS)
    for path in ("/new0/x", "/new399/x"):
        sent = _send(fleet, 12, path)
        assert _served(fleet, sent) == len(sent)
