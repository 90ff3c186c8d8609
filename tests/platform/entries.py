"""Builders of store documents for tests."""

import json
from random import Random
from typing import Any

from catkinspan.platform.configuration import PlatformDocuments
from catkinspan.state.node import RateWindow
from catkinspan.testing.hosts import ResponsePolicy, VirtualFleet, always_ok
from tests.virtual_fleet import DATA_CENTRES, host_records

KEY = "2b9wu3fexd9dnn2ctnfz"


def server_entry(number: int, state: str = "ready", **changes: Any) -> str:
    entry: dict[str, Any] = {
        "address": f"10.9.0.{number + 1}:8080",
        "born": 1780000000000 + number,
        "info": {
            "service": "huvo11a",
            "version": "v1",
            "zone": DATA_CENTRES[number % len(DATA_CENTRES)],
            "slots": 3,
        },
        "status": {"state": state, "sequence": 4, "warmup_left_ms": 0},
    }
    entry.update(changes)
    return json.dumps(entry)


def configuration(version: int = 7, rate: float = 58, **changes: Any) -> str:
    config: dict[str, Any] = {
        "version": f"{version:08x}",
        "base_version": "00000005",
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864},
        "tenants": [
            {
                "name": "huka270",
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": rate,
                "burst": rate,
            }
        ],
        "listeners": [
            {
                "host": "ficu95.example",
                "rules": [
                    {
                        "name": "r-1",
                        "kind": "unsafe",
                        "target_latency_ms": 800,
                        "priority": 1,
                        "public": False,
                        "match": {"path_prefix": "/pufi791/"},
                        "action": {
                            "service": "huvo11a",
                            "timeout_ms": 2500,
                            "max_attempts": 2,
                        },
                    },
                    {
                        "name": "r-2",
                        "kind": "safe",
                        "target_latency_ms": 800,
                        "priority": 2,
                        "public": True,
                        "match": {"path_prefix": "/lohu930/"},
                        "action": {
                            "traffic_split": [
                                {"service": "huvo11a", "weight": 90},
                                {"service": "wuno96b", "weight": 10},
                            ],
                            "timeout_ms": 2000,
                            "max_attempts": 2,
                        },
                    },
                ],
            }
        ],
        "clusters": [
            {"name": "huvo11a", "health_path": "/health", "max_conns": 360},
            {"name": "wuno96b", "health_path": "/health", "max_conns": 360},
        ],
    }
    config.update(changes)
    return json.dumps(config)


def platform_fleet(
    hosts: int = 12,
    servers: int = 6,
    seed: int = 1,
    respond: ResponsePolicy = always_ok,
    rate_window: RateWindow | None = None,
    text: str | None = None,
    rate: float = 58,
    data_centres: tuple[str, ...] = DATA_CENTRES,
) -> VirtualFleet:
    """Start virtual hosts with platform documents; they are ready after 3 s."""
    documents = {f"servers/i-{n}": server_entry(n) for n in range(servers)}
    documents["op/config"] = text or configuration(rate=rate)
    return VirtualFleet(
        host_records(hosts, data_centres),
        documents,
        PlatformDocuments,
        Random(seed),
        respond,
        rate_window=rate_window,
    )
